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

// ClaimsConfig identifies the owner on whose behalf claims are written.
type ClaimsConfig struct {
	Owner Owner
	// Partitions and Segments override the number of objects for tests; 0 means the
	// constants of the same names.
	Partitions int
	Segments   int
}

// ClaimState reports whether the caller may run a claimed request.
type ClaimState int

const (
	// Granted allows the caller to dispatch the request once.
	Granted ClaimState = iota + 1
	// Held means that the key was claimed before.
	Held
)

// Claim is the result of a claim whose state is known.
type Claim struct {
	State ClaimState
	// Owner is the entry that owns the claim; it is set when State is Held.
	Owner Owner
	// Outcome is the recorded outcome, or nil.
	Outcome *Outcome
}

// Claims writes claims and outcomes to the platform's object API. It is safe for
// concurrent use.
type Claims struct {
	owner  Owner
	get    func(ctx context.Context, name string) (platform.Object, error)
	create func(ctx context.Context, obj platform.Object) (platform.Object, error)
	update func(ctx context.Context, obj platform.Object) (platform.Object, error)
	logger *log.Logger
	scope  tally.Scope
	clock  clock
	// maxSegmentBytes, minCompactedBytes and compactionInterval are MaxSegmentBytes,
	// MinCompactedBytes and CompactionInterval, or smaller values in tests.
	maxSegmentBytes, minCompactedBytes int
	compactionInterval                 time.Duration
	partitions                         int
	segments                           []*segment

	mu       sync.Mutex
	rng      *rand.Rand
	closed   bool
	sequence uint64
	owned    map[digest]*change
	// compactionCredit is the number of decided claims not yet spent on compactions.
	compactionCredit int
	views            map[int]*view
	// viewBytes is the total size of all views.
	viewBytes int
}

// segment is one object that accepts new claims, with the changes that wait to be written.
type segment struct {
	index int
	name  string
	// partitions is the number of partitions to which the segment's claims are moved:
	// those whose index modulo the number of segments is the segment's index.
	partitions int
	// ready has an element when the writer has to process the pending changes.
	ready chan struct{}
	// compact has an element when the compactor has to check the segment.
	compact chan struct{}
	// pending are the unresolved changes in the order in which the writer handles them.
	pending []*change
	// scheduled is set while the segment is ready, being processed or waiting for its next
	// write.
	scheduled bool
	failures  int
	// bytes is the size of the segment at its last read or write.
	bytes int
	// cached is the content of the object after the last write. Only the writer uses it.
	cached *claimObject
	// lastEpochs has the id and epochs of the object at its last read or write. Only the
	// writer uses it, to read partitions in advance.
	lastEpochs *claimObject
	// writeTokens is the number of writes allowed now by the token bucket, as of
	// refilledAt.
	writeTokens float64
	refilledAt  time.Time
	// uncachedWrites is the number of further writes that use no cached content, because
	// another entry changed the object. Only the writer uses it.
	uncachedWrites int
	// ambiguousVersion is the version that the last write without a conclusive reply was
	// based on. That write may take effect as long as the object has this version. Only
	// the writer uses it.
	ambiguousVersion *string
}

// changeKind is the kind of change made to a claim.
type changeKind int

const (
	changeClaim changeKind = iota + 1
	changeOutcome
	changeRelease
	// changeMove removes finished claims that are stored in their partitions.
	changeMove
)

// change is one change of a claim by this entry and, in Claims.owned, the entry's record
// of the claim. Claims.mu guards it.
type change struct {
	kind     changeKind
	key      digest
	sequence uint64
	at       int64
	outcome  *Outcome
	// moved are the claims of a changeMove by partition.
	moved map[int]map[digest]record
	// maybeWritten is set when the change may have been written.
	maybeWritten bool
	// abandoned is set when the caller of a claim has stopped waiting.
	abandoned bool
	// granted is set on a resolved changeClaim that was granted, and on no other change.
	granted bool
	claim   Claim
	err     error
	// done is closed when the change is resolved.
	done chan struct{}
}

// NewClaims returns claims written on behalf of the owner. While Run is not running, calls
// end only with their context.
func NewClaims(cfg ClaimsConfig, client *platform.Client, rng *rand.Rand, logger *log.Logger, scope tally.Scope) *Claims {
	if cfg.Partitions <= 0 {
		cfg.Partitions = Partitions
	}
	if cfg.Segments <= 0 {
		cfg.Segments = Segments
	}
	cfg.Segments = min(cfg.Segments, cfg.Partitions)
	c := &Claims{
		owner: cfg.Owner,
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
		maxSegmentBytes:    MaxSegmentBytes,
		minCompactedBytes:  MinCompactedBytes,
		compactionInterval: CompactionInterval,
		partitions:         cfg.Partitions,
		segments:           make([]*segment, cfg.Segments),
		rng:                rng,
		owned:              make(map[digest]*change),
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

// Run writes changes until ctx ends. Changes that are then pending stay unresolved.
func (c *Claims) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.segments {
		wg.Go(func() { c.runWriter(ctx, s) })
		wg.Go(func() { c.runCompactor(ctx, s) })
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

func (c *Claims) runWriter(ctx context.Context, s *segment) {
	for {
		select {
		case <-s.ready:
			c.processPending(ctx, s)
		case <-ctx.Done():
			return
		}
	}
}

// enqueue adds a change to the segment and wakes its writer. The caller holds mu.
func (c *Claims) enqueue(s *segment, ch *change) {
	s.pending = append(s.pending, ch)
	if !s.scheduled {
		s.scheduled = true
		s.ready <- struct{}{}
	}
}

// segmentOf returns the segment that accepts the claim of the key.
func (c *Claims) segmentOf(key digest) *segment {
	return c.segments[key.partition(c.partitions)%len(c.segments)]
}

// scheduleAfter wakes the writer after the delay.
func (s *segment) scheduleAfter(delay time.Duration) {
	time.AfterFunc(delay, func() { s.ready <- struct{}{} })
}

// retryDelay returns a random delay that grows with the consecutive failures of the
// segment.
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
