package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"bergamotrudder.example/bergamotrudder/internal/instance"
)

const (
	// ordinaryFraction and bulkFraction of the memory limit are the parts of a budget. Beside
	// them, the heap holds the state of the fleet and what is left for the garbage collector.
	ordinaryFraction = 0.1
	bulkFraction     = 0.2
	// connectionsFraction of the memory limit is for the connections of callers, each of which
	// costs connectionBytes for its buffers and the stacks of its goroutines.
	connectionsFraction = 0.2
	connectionBytes     = 24 << 10
	// connectionsShare of the descriptors is for the connections of callers. The rest is for
	// upstreams, other gateways, the store, and readiness checks.
	connectionsShare = 0.6
	// smallBytes is how much of each body is taken from ordinary memory.
	smallBytes = 32 << 10
	// FreeBytes is what a buffered response may hold without a share: it is part of connectionBytes.
	FreeBytes = 4 << 10
	// FreeHeadBytes is what a head may cost without a share: it is part of connectionBytes as well.
	FreeHeadBytes = 8 << 10
	// stallTime is how long a body or head must have made no progress before it yields, and
	// responseStallTime how long a caller may take to read a buffered response: more, as its
	// request has run.
	stallTime         = 250 * time.Millisecond
	responseStallTime = time.Second
	// maxWait is how long a share waits for memory, and waitStep how often the stalled shares
	// are looked for meanwhile.
	maxWait  = 500 * time.Millisecond
	waitStep = 100 * time.Millisecond
	// spellEnd is the time without refusals after which the next one begins a new spell.
	spellEnd = 10 * time.Second
)

// Errors of Share.Take.
var (
	// ErrSpent is returned if the budget is spent and nothing yields.
	ErrSpent = errors.New("memory for callers is spent")
	// ErrYielded is returned to a share that has yielded to others.
	ErrYielded = errors.New("no progress while others wait for memory")
)

// Cause is why something of a caller was refused or ended.
type Cause string

// Causes in metrics, states and logs.
const (
	// CauseMemory is a body or head for which there was no memory.
	CauseMemory Cause = "memory"
	// CauseStalled is a body, head or response without progress that yielded.
	CauseStalled Cause = "stalled"
	// CauseTooLarge is a body over the configured limit.
	CauseTooLarge Cause = "tooLarge"
	// CauseTimeout is a body that didn't arrive before its deadline.
	CauseTimeout Cause = "timeout"
	// CauseUnbuffered is a response that was not buffered, for lack of memory.
	CauseUnbuffered Cause = "unbuffered"
	// CauseConnections is a connection without a request that was closed to make room for
	// another one, or one that found no room.
	CauseConnections Cause = "connections"
)

var causes = []Cause{CauseMemory, CauseStalled, CauseTooLarge, CauseTimeout, CauseUnbuffered, CauseConnections}

// Config has the limits of the process.
type Config struct {
	// MemoryBytes is the memory at which the process is killed.
	MemoryBytes int64
	// Descriptors is the number of files and sockets that the process may have open.
	Descriptors int
}

// pool is one part of a budget.
type pool struct {
	limit int64
	free  *semaphore.Weighted
	held  atomic.Int64
	// stalled has the shares with memory of this part that may yield, the one with the least recent
	// progress first. It is guarded by the budget's mu.
	stalled shareList
}

func newPool(limit int64) *pool {
	p := &pool{limit: limit, free: semaphore.NewWeighted(limit)}
	p.stalled.init()
	return p
}

// take takes n bytes, and waits for them for up to the time.
func (p *pool) take(ctx context.Context, n int64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := p.free.Acquire(ctx, n); err != nil {
		return err
	}
	p.held.Add(n)
	return nil
}

func (p *pool) tryTake(n int64) bool {
	if !p.free.TryAcquire(n) {
		return false
	}
	p.held.Add(n)
	return true
}

func (p *pool) giveBack(n int64) {
	if n > 0 {
		p.held.Add(-n)
		p.free.Release(n)
	}
}

// Budget is the memory and the connections that a process has for callers. It is safe for
// concurrent use.
type Budget struct {
	ordinary       *pool
	bulk           *pool
	maxConnections int
	logger         *log.Logger
	counts         map[Cause]*count
	gauges         gauges

	mu sync.Mutex
	// responses has the shares of responses that may yield, in the order of pool.stalled.
	responses shareList
	// refusedAt is the time of the last refusal.
	refusedAt time.Time
}

// count counts what was refused or ended for one cause.
type count struct {
	n       atomic.Int64
	counter tally.Counter
}

type gauges struct {
	ordinary, ordinaryLimit, bulk, bulkLimit tally.Gauge
}

// New returns a budget that nothing is taken from.
func New(cfg Config, logger *log.Logger, scope tally.Scope) *Budget {
	b := &Budget{
		ordinary: newPool(int64(ordinaryFraction * float64(cfg.MemoryBytes))),
		bulk:     newPool(int64(bulkFraction * float64(cfg.MemoryBytes))),
		maxConnections: min(
			int(connectionsFraction*float64(cfg.MemoryBytes))/connectionBytes,
			int(connectionsShare*float64(cfg.Descriptors)),
		),
		logger: logger,
		counts: make(map[Cause]*count),
	}
	for _, cause := range causes {
		b.counts[cause] = &count{counter: scope.Tagged(map[string]string{"cause": string(cause)}).Counter("intakeRefusals")}
	}
	b.responses.init()
	b.gauges.ordinary, b.gauges.ordinaryLimit = gaugesOf(scope, "ordinary")
	b.gauges.bulk, b.gauges.bulkLimit = gaugesOf(scope, "bulk")
	return b
}

func gaugesOf(scope tally.Scope, part string) (held, limit tally.Gauge) {
	s := scope.Tagged(map[string]string{"part": part})
	return s.Gauge("intakeHeldBytes"), s.Gauge("intakeLimitBytes")
}

// MaxConnections returns how many connections of callers may be open.
func (b *Budget) MaxConnections() int { return b.maxConnections }

// Count counts something that was refused or ended, and logs the first one of a spell.
func (b *Budget) Count(cause Cause) {
	c := b.counts[cause]
	c.n.Add(1)
	c.counter.Inc(1)
	if !b.beginsSpell(time.Now()) {
		return
	}
	b.logger.Warn().Str(instance.KeyReason, string(cause)).
		Int64("ordinaryHeld", b.ordinary.held.Load()).Int64("ordinaryLimit", b.ordinary.limit).
		Int64("bulkHeld", b.bulk.held.Load()).Int64("bulkLimit", b.bulk.limit).Int("maxConnections", b.maxConnections).
		Msg("callers outside the limits; refused until they stop, see the metrics intakeRefusals")
}

// beginsSpell reports whether a refusal at the time is the first one of a spell.
func (b *Budget) beginsSpell(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	begins := now.Sub(b.refusedAt) > spellEnd
	b.refusedAt = now
	return begins
}

// Report updates the gauges.
func (b *Budget) Report(context.Context) {
	b.gauges.ordinary.Update(float64(b.ordinary.held.Load()))
	b.gauges.ordinaryLimit.Update(float64(b.ordinary.limit))
	b.gauges.bulk.Update(float64(b.bulk.held.Load()))
	b.gauges.bulkLimit.Update(float64(b.bulk.limit))
}

// YieldOldest makes the share yield that has made no progress for longest, and reports whether there
// is one.
func (b *Budget) YieldOldest(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.oldest().yield(now) > 0
}

// oldest returns the share that has made no progress for longest, or nil. The caller holds mu.
func (b *Budget) oldest() *Share {
	ordinary, bulk := b.ordinary.stalled.front(), b.bulk.stalled.front()
	if ordinary == nil || bulk != nil && bulk.movedAt.Before(ordinary.movedAt) {
		return bulk
	}
	return ordinary
}

// yieldStalled makes stalled shares yield until they free n bytes of the pool. Each share has
// ordinary memory.
func (b *Budget) yieldStalled(now time.Time, p *pool, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n > 0 {
		s := p.stalled.front()
		if p == b.ordinary {
			s = b.oldest()
		}
		freed := s.yield(now)
		if freed == 0 {
			freed = b.responses.front().yield(now)
		}
		if freed == 0 {
			return
		}
		n -= freed
	}
}

// State is the dump of a budget.
type State struct {
	OrdinaryHeldBytes  int64           `json:"ordinaryHeldBytes"`
	OrdinaryLimitBytes int64           `json:"ordinaryLimitBytes"`
	BulkHeldBytes      int64           `json:"bulkHeldBytes"`
	BulkLimitBytes     int64           `json:"bulkLimitBytes"`
	MaxConnections     int             `json:"maxConnections"`
	Refusals           map[Cause]int64 `json:"refusals"`
}

// State returns what is held, the limits and the refusals by cause.
func (b *Budget) State() State {
	s := State{
		OrdinaryHeldBytes: b.ordinary.held.Load(), OrdinaryLimitBytes: b.ordinary.limit,
		BulkHeldBytes: b.bulk.held.Load(), BulkLimitBytes: b.bulk.limit,
		MaxConnections: b.maxConnections, Refusals: make(map[Cause]int64, len(causes)),
	}
	for cause, c := range b.counts {
		s.Refusals[cause] = c.n.Load()
	}
	return s
}
