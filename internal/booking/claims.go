package booking

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// ClaimsConfig is the holder that claims are written for.
type ClaimsConfig struct {
	Owner Owner
	// Partitions and Segments override the numbers of objects for tests; 0 takes the
	// constants of these names.
	Partitions int
	Segments   int
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
	// Owner is the entry that holds the claim; it is set when State is Held.
	Owner Owner
	// Outcome is the recorded outcome, or nil.
	Outcome *Outcome
}

// Claims writes claims and outcomes to the object API. It is safe for concurrent use.
type Claims struct {
	holder Owner
	get    func(ctx context.Context, name string) (platform.Object, error)
	create func(ctx context.Context, obj platform.Object) (platform.Object, error)
	update func(ctx context.Context, obj platform.Object) (platform.Object, error)
	logger *log.Logger
	scope  tally.Scope
	clock  clock
	// segmentBytes, compactedBytes and compactionInterval are the constants
	// MaxSegmentBytes, MinCompactedBytes and CompactionInterval, and less in tests.
	segmentBytes, compactedBytes int
	compactionInterval           time.Duration
	partitions                   int
	segments                     []*segment

	mu       sync.Mutex
	rng      *rand.Rand
	closed   bool
	sequence uint64
	held     map[digest]*change
	// credit is the number of decided claims that no compaction has used up.
	credit int
	views  map[int]*view
	// viewBytes is the size of all views.
	viewBytes int
}

// segment is one object that takes new claims, and the changes that wait for it.
type segment struct {
	index int
	name  string
	// partitions is the number of partitions to which the segment's claims are moved:
	// those whose index is the segment's modulo the number of segments.
	partitions int
	// ready has an element when the worker has to look at the changes.
	ready chan struct{}
	// compact has an element when the compactor has to look at the segment.
	compact chan struct{}
	// changes are not resolved; the worker takes them in order.
	changes []*change
	// queued is set while the segment is ready, with the worker or waits for its next turn.
	queued   bool
	failures int
	// bytes is the size of the segment when it was last seen.
	bytes int
	// cached is what the object held after the last write; only the worker uses it.
	cached *content
	// last has the id and epochs of the object when it was last read or written; only
	// the worker uses it, for partitions that it reads in advance.
	last *content
	// turns is the number of turns that the worker may take now, as of turned.
	turns  float64
	turned time.Time
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
	// changeMove removes finished claims that their partitions have.
	changeMove
)

// change is one change of a claim by this entry and, in Claims.held, the entry's
// memory of the claim. Claims.mu guards it.
type change struct {
	kind     changeKind
	key      digest
	sequence uint64
	at       int64
	outcome  *Outcome
	// moved are the claims of a changeMove by partition.
	moved map[int]map[digest]record
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
	if cfg.Segments <= 0 {
		cfg.Segments = Segments
	}
	cfg.Segments = min(cfg.Segments, cfg.Partitions)
	c := &Claims{
		holder: cfg.Owner,
		get: func(ctx context.Context, name string) (platform.Object, error) {
			return client.Get(ctx, platform.ShareClaims, platform.KindClaim, name)
		},
		create: func(ctx context.Context, obj platform.Object) (platform.Object, error) {
			return client.Create(ctx, platform.ShareClaims, obj)
		},
		update: func(ctx context.Context, obj platform.Object) (platform.Object, error) {
			return client.Update(ctx, platform.ShareClaims, obj)
		},
		logger:             logger,
		scope:              scope,
		segmentBytes:       MaxSegmentBytes,
		compactedBytes:     MinCompactedBytes,
		compactionInterval: CompactionInterval,
		partitions:         cfg.Partitions,
		segments:           make([]*segment, cfg.Segments),
		rng:                rng,
		held:               make(map[digest]*change),
		views:              make(map[int]*view),
	}
	for i := range c.segments {
		c.segments[i] = &segment{
			index:      i,
			name:       segmentName(i),
			partitions: (cfg.Partitions - i + cfg.Segments - 1) / cfg.Segments,
			ready:      make(chan struct{}, 1),
			compact:    make(chan struct{}, 1),
		}
	}
	return c
}

// Run writes changes until ctx ends. Changes that are open then stay unresolved.
func (c *Claims) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.segments {
		wg.Go(func() { c.work(ctx, s) })
		wg.Go(func() { c.compactAlways(ctx, s) })
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

func (c *Claims) work(ctx context.Context, s *segment) {
	for {
		select {
		case <-s.ready:
			c.process(ctx, s)
		case <-ctx.Done():
			return
		}
	}
}

// enqueue adds a change to the segment and wakes its worker. The caller holds mu.
func (c *Claims) enqueue(s *segment, g *change) {
	s.changes = append(s.changes, g)
	if !s.queued {
		s.queued = true
		s.ready <- struct{}{}
	}
}

// segmentOf returns the segment that takes the claim of the key.
func (c *Claims) segmentOf(key digest) *segment {
	return c.segments[key.partition(c.partitions)%len(c.segments)]
}

// requeue wakes the worker after a delay.
func (s *segment) requeue(delay time.Duration) {
	time.AfterFunc(delay, func() { s.ready <- struct{}{} })
}

// retryDelay is random and grows with the failures of the segment.
func (c *Claims) retryDelay(s *segment) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := min(maxRetryDelay, minRetryDelay<<min(s.failures, 10))
	s.failures++
	return bound/2 + time.Duration(c.rng.Int64N(int64(bound/2)))
}

func (c *Claims) count(name, result string) {
	c.scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}
