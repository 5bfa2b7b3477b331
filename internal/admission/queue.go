package admission

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// QueueConfig configures a queue.
type QueueConfig struct {
	// MaxQueued is the maximum number of waiting requests, at least 1.
	MaxQueued int
	// Limit is the initial number of slots; it is not used with Take.
	Limit int
	// Take takes a slot from its owner, and Give returns an unused one. Both are
	// called with the queue's lock held and must not call the queue. Without them
	// the queue counts slots itself.
	Take func() bool
	Give func()
	// FIFO disables priorities, fairness, eviction and newest-first service. It is
	// the baseline of the measurements.
	FIFO bool
}

// Request asks for a slot.
type Request struct {
	Organisation string
	// Weight is the organisation's share relative to others; below 1 counts as 1.
	Weight   int
	Priority fleet.Priority
	// Deadline is when the request must have ended; the zero time means no deadline.
	Deadline time.Time
	// Expected is the estimated duration of the request once it has started, or 0.
	Expected time.Duration
	// Immediate refuses the request with ReasonNoSlot instead of queueing it.
	Immediate bool
	// Reroutable marks a request that can run on another upstream, so that
	// RefuseReroutable refuses it while it waits.
	Reroutable bool
}

// Queue grants slots to requests; it is safe for concurrent use.
type Queue struct {
	cfg      QueueConfig
	granted  tally.Counter
	waitTime tally.Timer
	refused  map[Reason]tally.Counter
	depth    tally.Gauge

	mu       sync.Mutex
	limit    int
	inFlight int
	queued   int
	closed   bool
	levels   [fleet.PriorityCount]level
	// busySince is when the queue last became non-empty.
	busySince time.Time
	// meanHoldTime is the moving average of the time between grant and release.
	meanHoldTime time.Duration
}

// NewQueue returns an open queue.
func NewQueue(cfg QueueConfig, scope tally.Scope) *Queue {
	q := &Queue{
		cfg:      cfg,
		limit:    cfg.Limit,
		granted:  scope.Counter("granted"),
		waitTime: scope.Timer("wait"),
		refused:  make(map[Reason]tally.Counter),
		depth:    scope.Gauge("queued"),
	}
	for _, r := range []Reason{ReasonQueueFull, ReasonDeadline, ReasonCancelled, ReasonNoSlot, ReasonClosed} {
		q.refused[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("refused")
	}
	for i := range q.levels {
		q.levels[i].organisations = make(map[string]*organisation)
	}
	return q
}

// Acquire waits for a slot. On success the returned function releases the slot;
// calls of it after the first have no effect. Otherwise the refusal gives the reason.
// A slot is never granted after the latest start at which the request can meet its
// deadline, even if the process was paused.
func (q *Queue) Acquire(ctx context.Context, r Request) (func(), *Refusal) {
	w := newWaiter(r)
	if ctx.Err() != nil {
		return nil, q.refuse(ReasonCancelled, 0)
	}
	q.mu.Lock()
	refusal := q.admit(w)
	q.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	if refusal := q.wait(ctx, w); refusal != nil {
		return nil, refusal
	}
	q.granted.Inc(1)
	return q.releaseFunc(), nil
}

// admit grants a slot, queues the waiter or refuses it. q.mu is held.
func (q *Queue) admit(w *waiter) *Refusal {
	if q.closed {
		return q.refuse(ReasonClosed, 0)
	}
	if w.isLate(time.Now()) {
		return q.refuse(ReasonDeadline, 0)
	}
	if q.queued == 0 && q.takeSlot() {
		w.granted = true
		w.done <- nil
		return nil
	}
	if w.request.Immediate {
		return q.refuse(ReasonNoSlot, 0)
	}
	if q.queued >= max(q.cfg.MaxQueued, 1) && !q.evictFor(w) {
		return q.refuse(ReasonQueueFull, q.retryAfter())
	}
	q.push(w)
	q.dispatch()
	return nil
}

// wait blocks until the waiter is granted a slot, refused, cancelled or past its latest
// start.
func (q *Queue) wait(ctx context.Context, w *waiter) *Refusal {
	select {
	case refusal := <-w.done:
		return q.confirmGrant(ctx, w, refusal)
	default:
	}
	start := time.Now()
	defer func() { q.waitTime.Record(time.Since(start)) }()
	var late <-chan time.Time
	if !w.latestStart.IsZero() {
		timer := time.NewTimer(time.Until(w.latestStart))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case refusal := <-w.done:
		return q.confirmGrant(ctx, w, refusal)
	case <-ctx.Done():
		return q.withdraw(w, ReasonCancelled)
	case <-late:
		return q.withdraw(w, ReasonDeadline)
	}
}

// confirmGrant checks the waiter's context and latest start again, because the process
// may have been paused after the grant.
func (q *Queue) confirmGrant(ctx context.Context, w *waiter, refusal *Refusal) *Refusal {
	switch {
	case refusal != nil:
		return refusal
	case ctx.Err() != nil:
		return q.withdraw(w, ReasonCancelled)
	case w.isLate(time.Now()):
		return q.withdraw(w, ReasonDeadline)
	}
	return nil
}

// withdraw removes a waiter from the queue, or returns its slot if it was granted one
// at the same time.
func (q *Queue) withdraw(w *waiter, reason Reason) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case w.granted:
		q.returnSlot()
		q.dispatch()
	case w.organisation != nil:
		q.remove(w)
	}
	var hint time.Duration
	if reason == ReasonDeadline {
		hint = q.retryAfter()
	}
	return q.refuse(reason, hint)
}

func (q *Queue) releaseFunc() func() {
	var once sync.Once
	start := time.Now()
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.meanHoldTime += (time.Since(start) - q.meanHoldTime) / 8
			q.inFlight--
			q.dispatch()
		})
	}
}

// SetLimit sets the number of slots. A lower limit doesn't affect slots in use.
func (q *Queue) SetLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = n
	q.dispatch()
}

// Recheck grants free slots; the owner of the slots calls it when one may be free.
func (q *Queue) Recheck() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// RefuseReroutable refuses the waiting requests that can run on another upstream.
func (q *Queue) RefuseReroutable() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.reroutable() {
		q.deliver(w, q.refuse(ReasonNoSlot, 0))
	}
}

// Close refuses all waiting and all later requests with ReasonClosed. Granted
// slots are not affected.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for q.queued > 0 {
		q.deliver(q.next(), q.refuse(ReasonClosed, 0))
	}
}

// dispatch grants slots while there are free ones and waiting requests. q.mu is held.
func (q *Queue) dispatch() {
	for q.queued > 0 && q.takeSlot() {
		w := q.next()
		if w.isLate(time.Now()) {
			q.returnSlot()
			q.deliver(w, q.refuse(ReasonDeadline, q.retryAfter()))
			continue
		}
		q.charge(w)
		w.granted = true
		q.deliver(w, nil)
	}
}

func (q *Queue) deliver(w *waiter, refusal *Refusal) {
	q.remove(w)
	w.done <- refusal
}

func (q *Queue) takeSlot() bool {
	if q.cfg.Take != nil {
		if !q.cfg.Take() {
			return false
		}
	} else if q.inFlight >= q.limit {
		return false
	}
	q.inFlight++
	return true
}

func (q *Queue) returnSlot() {
	q.inFlight--
	if q.cfg.Give != nil {
		q.cfg.Give()
	}
}

func (q *Queue) refuse(reason Reason, retryAfter time.Duration) *Refusal {
	q.refused[reason].Inc(1)
	return &Refusal{Reason: reason, RetryAfter: retryAfter}
}

// retryAfter estimates how long it takes until all waiting requests have got a slot.
// q.mu is held.
func (q *Queue) retryAfter() time.Duration {
	slots := max(q.inFlight, 1)
	d := q.meanHoldTime * time.Duration(q.queued+1) / time.Duration(slots)
	return min(max(d, minRetryAfter), maxRetryAfter)
}
