package booking

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// ClaimsConfig is the holder that claims are written for.
type ClaimsConfig struct {
	Holder Holder
	// Partitions overrides the number of claim objects for tests; 0 takes Partitions.
	Partitions int
}

// ClaimState says who may run a claimed request.
type ClaimState int

const (
	// Granted lets the caller dispatch the request once.
	Granted ClaimState = iota + 1
	// Held says that the key was claimed before.
	Held
)

// Claim is the answer to a claim that was resolved.
type Claim struct {
	State ClaimState
	// Holder is the entry that holds the claim; it is set when State is Held.
	Holder Holder
	// Outcome is the recorded outcome, or nil.
	Outcome *Outcome
}

// Claims writes claims and outcomes to the object API. It is safe for concurrent use.
type Claims struct {
	holder Holder
	get    func(ctx context.Context, name string) (platform.Object, error)
	create func(ctx context.Context, obj platform.Object) (platform.Object, error)
	update func(ctx context.Context, obj platform.Object) (platform.Object, error)
	logger *log.Logger
	scope  tally.Scope
	clock  clock
	// ready holds each partition with open changes at most once.
	ready chan *partition
	// cacheBytes is the size of all cached contents.
	cacheBytes atomic.Int64

	mu         sync.Mutex
	rng        *rand.Rand
	closed     bool
	sequence   uint64
	held       map[digest]*change
	partitions []*partition
}

// partition is one claim object and the changes that wait for it.
type partition struct {
	name string
	// changes are not resolved; a worker takes them in order.
	changes []*change
	// queued is set while the partition is in ready, with a worker or waits for a retry.
	queued   bool
	failures int
	// cached is what the object held after the last write; only the worker uses it.
	cached *content
	// uncached is the number of writes for which nothing is cached, after another
	// entry changed the object. Only the worker uses it.
	uncached int
	// unresolved is the version of the last write without a conclusive reply, which
	// may take effect as long as the object is at that version. Only the worker uses it.
	unresolved *string
}

// changeKind is what a change does to its claim.
type changeKind int

const (
	changeClaim changeKind = iota + 1
	changeRecord
	changeRelease
)

// change is one change of a claim by this entry and, in Claims.held, the entry's
// memory of the claim. Claims.mu guards it.
type change struct {
	kind     changeKind
	key      digest
	sequence uint64
	at       int64
	outcome  *Outcome
	// taken is set when a worker may have written the change.
	taken bool
	// abandoned is set when a claim's caller has given up.
	abandoned bool
	// granted is set when the claim is in the store.
	granted bool
	claim   Claim
	err     error
	// done is closed when the change is resolved.
	done chan struct{}
}

// NewClaims returns claims for the holder. Run must be running for calls to end
// before their context does.
func NewClaims(cfg ClaimsConfig, client *platform.Client, rng *rand.Rand, logger *log.Logger, scope tally.Scope) *Claims {
	if cfg.Partitions <= 0 {
		cfg.Partitions = Partitions
	}
	c := &Claims{
		holder: cfg.Holder,
		get: func(ctx context.Context, name string) (platform.Object, error) {
			return client.Get(ctx, platform.ShareClaims, platform.KindClaim, name)
		},
		create: func(ctx context.Context, obj platform.Object) (platform.Object, error) {
			return client.Create(ctx, platform.ShareClaims, obj)
		},
		update: func(ctx context.Context, obj platform.Object) (platform.Object, error) {
			return client.Update(ctx, platform.ShareClaims, obj)
		},
		logger:     logger,
		scope:      scope,
		ready:      make(chan *partition, cfg.Partitions),
		rng:        rng,
		held:       make(map[digest]*change),
		partitions: make([]*partition, cfg.Partitions),
	}
	for i := range c.partitions {
		c.partitions[i] = &partition{name: partitionName(i)}
	}
	return c
}

// Run writes changes until ctx ends. Changes that are open then stay unresolved.
func (c *Claims) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range Workers {
		wg.Go(func() { c.work(ctx) })
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

func (c *Claims) work(ctx context.Context) {
	for {
		select {
		case p := <-c.ready:
			c.process(ctx, p)
		case <-ctx.Done():
			return
		}
	}
}

// enqueue adds a change and hands its partition to a worker. The caller holds mu.
func (c *Claims) enqueue(g *change) {
	p := c.partitions[g.key.partition(len(c.partitions))]
	p.changes = append(p.changes, g)
	if !p.queued {
		p.queued = true
		c.ready <- p
	}
}

// requeue hands the partition to a worker after a random delay that grows with the failures.
func (c *Claims) requeue(p *partition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := min(maxRetryDelay, minRetryDelay<<min(p.failures, 10))
	p.failures++
	delay := bound/2 + time.Duration(c.rng.Int64N(int64(bound/2)))
	time.AfterFunc(delay, func() { c.ready <- p })
}

func (c *Claims) count(name, result string) {
	c.scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}
