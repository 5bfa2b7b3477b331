package admission

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// QueueConfig sets up a queue.
type QueueConfig struct {
	// MaxQueued is the largest number of waiting requests, at least 1.
	MaxQueued int
	// Limit is the first number of slots; it is not used with Take.
	Limit int
	// Take takes a slot from its owner, and Give gives back one that was not
	// used. Both are called with the queue's lock held and must not call the queue. Without them the queue
	// counts slots itself.
	Take func() bool
	Give func()
	// FIFO turns priorities, fairness, eviction and newest first off; it is the
	// baseline of the measurements.
	FIFO bool
}

// Request asks for a slot.
type Request struct {
	Organisation string
	// Weight is the organisation's share relative to others; below 1 counts as 1.
	Weight   int
	Priority fleet.Priority
	// Deadline is when the work must have ended; the zero time means no deadline.
	Deadline time.Time
	// Expected is the time that the work takes once it has started, as far as known.
	Expected time.Duration
	// Immediate refuses the request when it would have to wait.
	Immediate bool
	// Reroutable lets RefuseReroutable refuse the request while it waits.
	Reroutable bool
}

// Queue hands out slots; it is safe for concurrent use.
type Queue struct {
	cfg     QueueConfig
	granted tally.Counter
	waited  tally.Timer
	refused map[Reason]tally.Counter
	depth   tally.Gauge

	mu       sync.Mutex
	limit    int
	inFlight int
	queued   int
	closed   bool
	levels   [fleet.PriorityCount]level
	// busySince is when the queue last stopped being empty.
	busySince time.Time
	// holding is the recent mean time between grant and release.
	holding time.Duration
}

// NewQueue returns an open queue.
func NewQueue(cfg QueueConfig, scope tally.Scope) *Queue {
	q := &Queue{
		cfg:     cfg,
		limit:   cfg.Limit,
		granted: scope.Counter("granted"),
		waited:  scope.Timer("wait"),
		refused: make(map[Reason]tally.Counter),
		depth:   scope.Gauge("queued"),
	}
	for _, r := range []Reason{ReasonQueueFull, ReasonDeadline, ReasonCancelled, ReasonNoSlot, ReasonClosed} {
		q.refused[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("refused")
	}
	for i := range q.levels {
		q.levels[i].organisations = make(map[string]*organisation)
	}
	return q
}

// Acquire waits for a slot. On success the returned function gives the slot back;
// calls of it after the first have no effect. Otherwise the refusal says why. A
// slot is never granted after the latest start, also not to a process that was paused.
func (q *Queue) Acquire(ctx context.Context, r Request) (func(), *Refusal) {
	w := newWaiter(r)
	if ctx.Err() != nil {
		return nil, q.refuse(ReasonCancelled, 0)
	}
	q.mu.Lock()
	refusal := q.enter(w)
	q.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	if refusal := q.wait(ctx, w); refusal != nil {
		return nil, refusal
	}
	q.granted.Inc(1)
	return q.releaser(), nil
}

// enter grants a slot, queues the waiter or refuses it. q.mu is held.
func (q *Queue) enter(w *waiter) *Refusal {
	if q.closed {
		return q.refuse(ReasonClosed, 0)
	}
	if w.isLate(time.Now()) {
		return q.refuse(ReasonDeadline, 0)
	}
	if q.queued == 0 && q.take() {
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

// wait blocks until the waiter is granted, refused, cancelled or late.
func (q *Queue) wait(ctx context.Context, w *waiter) *Refusal {
	select {
	case refusal := <-w.done:
		return q.accept(ctx, w, refusal)
	default:
	}
	start := time.Now()
	defer func() { q.waited.Record(time.Since(start)) }()
	var late <-chan time.Time
	if !w.latest.IsZero() {
		timer := time.NewTimer(time.Until(w.latest))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case refusal := <-w.done:
		return q.accept(ctx, w, refusal)
	case <-ctx.Done():
		return q.leave(w, ReasonCancelled)
	case <-late:
		return q.leave(w, ReasonDeadline)
	}
}

// accept checks a grant once more, because the process may have been paused
// between the grant and this.
func (q *Queue) accept(ctx context.Context, w *waiter, refusal *Refusal) *Refusal {
	switch {
	case refusal != nil:
		return refusal
	case ctx.Err() != nil:
		return q.leave(w, ReasonCancelled)
	case w.isLate(time.Now()):
		return q.leave(w, ReasonDeadline)
	}
	return nil
}

// leave takes a waiter out of the queue, or gives back the slot that it was
// granted at the same moment.
func (q *Queue) leave(w *waiter, reason Reason) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case w.granted:
		q.give()
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

func (q *Queue) releaser() func() {
	var once sync.Once
	start := time.Now()
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.holding += (time.Since(start) - q.holding) / 8
			q.inFlight--
			q.dispatch()
		})
	}
}

// SetLimit sets the number of slots. Slots in use above a lowered limit finish.
func (q *Queue) SetLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = n
	q.dispatch()
}

// Recheck grants slots that their owner has freed.
func (q *Queue) Recheck() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// RefuseReroutable refuses the waiting requests that may go elsewhere.
func (q *Queue) RefuseReroutable() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.movable() {
		q.finish(w, q.refuse(ReasonNoSlot, 0))
	}
}

// Close refuses all waiting and all later requests with ReasonClosed. Granted
// slots are not affected.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for q.queued > 0 {
		q.finish(q.next(), q.refuse(ReasonClosed, 0))
	}
}

// dispatch grants slots while there are any. q.mu is held.
func (q *Queue) dispatch() {
	for q.queued > 0 && q.take() {
		w := q.next()
		if w.isLate(time.Now()) {
			q.give()
			q.finish(w, q.refuse(ReasonDeadline, q.retryAfter()))
			continue
		}
		q.charge(w)
		w.granted = true
		q.finish(w, nil)
	}
}

func (q *Queue) finish(w *waiter, refusal *Refusal) {
	q.remove(w)
	w.done <- refusal
}

func (q *Queue) take() bool {
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

func (q *Queue) give() {
	q.inFlight--
	if q.cfg.Give != nil {
		q.cfg.Give()
	}
}

func (q *Queue) refuse(reason Reason, retryAfter time.Duration) *Refusal {
	q.refused[reason].Inc(1)
	return &Refusal{Reason: reason, RetryAfter: retryAfter}
}

// retryAfter is the time in which the waiting requests get their slots. q.mu is held.
func (q *Queue) retryAfter() time.Duration {
	slots := max(q.inFlight, 1)
	d := q.holding * time.Duration(q.queued+1) / time.Duration(slots)
	return min(max(d, minRetryAfter), maxRetryAfter)
}
