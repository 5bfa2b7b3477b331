package pieces

import (
	"slices"
	"sort"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

const (
	// maxTries bounds the calls that one piece is sent in.
	maxTries = 3
	// overdueFactor and overdueMargin say when a call takes too long: upstreams of a
	// service differ in speed, and a stage's pieces cost up to about the stated time.
	overdueFactor = 1.8
	overdueMargin = 100 * time.Millisecond
	// cutFactor is the multiple of the time that an upstream's calls take lately after which
	// a call is cut: its answer is lost or its upstream is dark. The upstream could be free
	// all the while.
	cutFactor = 3
	// paceWeight is the weight of the newest call in an upstream's pace.
	paceWeight = 0.4
	// slowPace is the pace beyond which other upstreams are preferred.
	slowPace = 1.6
	// minPause and maxPause bound how long a failed upstream gets no call.
	minPause = 250 * time.Millisecond
	maxPause = 2 * time.Second
	// domainMargin is what must be left before a piece is due when it waits for an upstream
	// in the failure domain where its result is needed.
	domainMargin = 100 * time.Millisecond
	// domainQueue is the number of calls' worth of waiting pieces beyond which none waits
	// for its failure domain: the service is then short of upstreams.
	domainQueue = 2
	// domainReach is how many calls' worth of pieces are looked through for those of an
	// upstream's failure domain; a piece further back would go before too many others.
	domainReach = 2
	// noUpstreamWait is expected of a service none of whose upstreams works now.
	noUpstreamWait = 2 * time.Second
	// maxExpireLook bounds the time until the queue is looked through for pieces that must
	// end.
	maxExpireLook = 100 * time.Millisecond
	// fullPause is how long an upstream without room gets no call.
	fullPause = 100 * time.Millisecond
)

// Call is a set of pieces for one upstream.
type Call struct {
	Upstream *catalog.Member
	Jobs     []*Job

	worker   *worker
	started  time.Time
	expected time.Duration
	// cut is how long the call may take.
	cut     time.Duration
	bytes   int64
	overdue bool
}

// limit is the time from which the call is overdue.
func (c *Call) limit() time.Duration {
	return time.Duration(overdueFactor*float64(c.expected)) + overdueMargin
}

// Timeout is how long the call may take before its connection is cut.
func (c *Call) Timeout() time.Duration { return c.cut }

// result is a result that an upstream holds.
type result struct {
	worker  *worker
	bytes   int64
	expires time.Time
}

// Batcher decides which pieces go to which upstream of one service. It does no input or
// output; its owner serialises all calls.
type Batcher struct {
	batch   catalog.Batch
	workers map[string]*worker
	queue   []*Job
	calls   map[*Call]struct{}
	results map[string]result
	// made are the handles of results in the order in which they expire.
	made []string
	// expireAt is when the next piece of the queue may have to end; zero before a look.
	expireAt time.Time
}

// NewBatcher returns a batcher without upstreams.
func NewBatcher() *Batcher {
	return &Batcher{workers: make(map[string]*worker), calls: make(map[*Call]struct{}), results: make(map[string]result)}
}

// SetUpstreams replaces the upstreams that may get new calls.
func (b *Batcher) SetUpstreams(batch catalog.Batch, members []*catalog.Member) {
	b.batch = batch
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.ID] = true
		w := b.workers[m.ID]
		if w == nil || w.member.Born != m.Born || w.member.Address != m.Address {
			w = &worker{pace: 1}
			b.workers[m.ID] = w
		}
		w.member, w.gone = m, false
	}
	for id, w := range b.workers {
		if known[id] {
			continue
		}
		w.gone = true
		if w.calls == 0 {
			delete(b.workers, id)
		}
	}
}

// Add puts pieces into the queue.
func (b *Batcher) Add(jobs []*Job) {
	for _, j := range jobs {
		b.enqueue(j)
	}
}

func (b *Batcher) enqueue(j *Job) {
	if j.queued || j.done {
		return
	}
	j.queued = true
	if at := b.endOf(j); at.Before(b.expireAt) {
		b.expireAt = at
	}
	i, _ := slices.BinarySearchFunc(b.queue, j, func(a, target *Job) int {
		if target.before(a) {
			return 1
		}
		return -1
	})
	b.queue = slices.Insert(b.queue, i, j)
}

// Cancel takes pieces out of the queue; results that are still made are surplus.
func (b *Batcher) Cancel(jobs []*Job) {
	for _, j := range jobs {
		j.done = true
	}
	b.compact()
}

func (b *Batcher) compact() {
	b.queue = slices.DeleteFunc(b.queue, func(j *Job) bool {
		if j.done {
			j.queued = false
		}
		return j.done
	})
}

// Next returns the next call, or nil if no upstream is free or nothing waits.
func (b *Batcher) Next(now time.Time) *Call {
	b.expire(now)
	if len(b.queue) == 0 {
		return nil
	}
	b.demote(now)
	for _, w := range b.free(now) {
		if jobs := b.collect(w, now); len(jobs) > 0 {
			return b.begin(now, w, jobs)
		}
	}
	return nil
}

// begin counts a call.
func (b *Batcher) begin(now time.Time, w *worker, jobs []*Job) *Call {
	c := &Call{Upstream: w.member, Jobs: jobs, worker: w, started: now}
	c.expected = b.callTime(len(jobs))
	// A slow upstream gets longer with each call that is cut, so that one which takes many
	// times the stated time is waited for in the end.
	c.cut = time.Duration(cutFactor*max(w.pace, 1)*float64(c.expected)) + overdueMargin
	for _, j := range jobs {
		c.bytes += j.Bytes
		j.running++
		j.tries++
	}
	w.calls++
	w.held += c.bytes
	b.calls[c] = struct{}{}
	return c
}

// callTime is the stated time of a call with so many pieces.
func (b *Batcher) callTime(pieces int) time.Duration {
	return b.batch.CallTime + time.Duration(pieces)*b.batch.PieceTime
}

// nextCall is the expected time of a call with what waits.
func (b *Batcher) nextCall() time.Duration {
	return b.callTime(min(max(1, b.batch.Size), len(b.queue)))
}

// demote puts pieces that can no longer be done when they are due behind those that can.
// Under a burst beyond the service's capacity, a queue in the order of due times alone
// would bring every piece a little too late.
func (b *Batcher) demote(now time.Time) {
	latest := now.Add(b.nextCall())
	for _, rank := range []int{rankInTime, rankYields} {
		from, to := b.first(rank), b.first(rank+1)
		n := from
		for n < to && b.queue[n].Due.Before(latest) {
			n++
		}
		late := slices.Clone(b.queue[from:n])
		b.queue = slices.Delete(b.queue, from, n)
		for _, j := range late {
			j.Background, j.queued = true, false
			b.enqueue(j)
		}
	}
}

// free returns the upstreams that may get a call, the best one first. One call at a time
// per slot keeps what waits in this queue, where a more urgent piece can still go first.
func (b *Batcher) free(now time.Time) []*worker {
	var free []*worker
	for _, w := range b.workers {
		if w.gone || w.calls >= max(1, b.batch.Slots) || now.Before(w.resting) {
			continue
		}
		if w.held > 0 && b.batch.ResultCapacityBytes > 0 && w.room(b.batch, now) <= 0 {
			continue
		}
		free = append(free, w)
	}
	slices.SortFunc(free, func(a, b *worker) int {
		if a.betterThan(b) {
			return -1
		}
		return 1
	})
	return free
}

// collect takes the pieces for a call out of the queue.
func (b *Batcher) collect(w *worker, now time.Time) []*Job {
	size := max(1, b.batch.Size)
	if w.failures > 0 {
		// A failed upstream is tried with few pieces.
		size = max(1, size/4)
	}
	room := w.room(b.batch, now)
	wait := b.domainWait(w, now)
	var jobs []*Job
	take := func(j *Job) {
		fits := b.batch.ResultCapacityBytes <= 0 || j.Bytes <= room || (len(jobs) == 0 && w.held == 0)
		avoided := j.avoid == w.member.ID && len(b.workers) > 1
		if !fits || avoided || j.done || !j.queued || wait.holds(j) {
			return
		}
		room -= j.Bytes
		j.queued = false
		jobs = append(jobs, j)
	}
	// seen is how far into the queue the pieces were looked at.
	seen := 0
	if len(b.queue) > size {
		// Of more pieces than fit, those whose inputs or results lie here go first.
		for seen < min(len(b.queue), domainReach*size) && len(jobs) < size {
			if j := b.queue[seen]; !j.Background && j.Domain == w.member.FailureDomain {
				take(j)
			}
			seen++
		}
	}
	for i := 0; i < len(b.queue) && len(jobs) < size; i++ {
		take(b.queue[i])
		seen = max(seen, i+1)
	}
	if len(jobs) > 0 {
		kept := slices.DeleteFunc(b.queue[:seen], func(j *Job) bool { return !j.queued || j.done })
		b.queue = slices.Delete(b.queue, len(kept), seen)
	}
	return jobs
}

// NextCheck returns when RequeueOverdue or Next should be called even if nothing happens, or
// the zero time.
func (b *Batcher) NextCheck(now time.Time) time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for c := range b.calls {
		if !c.overdue {
			earlier(c.started.Add(c.limit()))
		}
	}
	if len(b.queue) > 0 {
		for _, w := range b.workers {
			earlier(w.resting)
			earlier(w.expires)
		}
		if len(b.queue) <= domainQueue*b.batch.Size {
			if i := slices.IndexFunc(b.queue, func(j *Job) bool { return j.Domain != "" }); i >= 0 {
				earlier(b.queue[i].Due.Add(-b.nextCall() - domainMargin))
			}
		}
		if i := b.first(rankLate); i < len(b.queue) {
			earlier(b.queue[i].GiveUp)
		}
		earlier(b.queue[0].Deadline.Add(-b.batch.CallTime))
	}
	return next
}

// first is the index of the first waiting piece of the rank or a later one.
func (b *Batcher) first(rank int) int {
	return sort.Search(len(b.queue), func(i int) bool { return b.queue[i].rank() >= rank })
}

// endOf is when the piece ends if it still waits then. One that waits although a call with
// it is in progress waits because that call is overdue.
func (b *Batcher) endOf(j *Job) time.Time {
	last := j.Deadline.Add(-b.batch.CallTime)
	if j.Background && j.GiveUp.Before(last) {
		return j.GiveUp
	}
	return last
}

// expire ends pieces that can't be done before their request ends, and forgets results
// that their upstream has dropped.
func (b *Batcher) expire(now time.Time) {
	for len(b.made) > 0 {
		r, ok := b.results[b.made[0]]
		if ok && !now.After(r.expires) {
			break
		}
		if ok {
			r.worker.held -= r.bytes
			delete(b.results, b.made[0])
		}
		b.made = b.made[1:]
	}
	if now.Before(b.expireAt) {
		return
	}
	ended := false
	b.expireAt = now.Add(maxExpireLook)
	for _, j := range b.queue {
		at := b.endOf(j)
		switch {
		case j.done:
		case !now.Before(at):
			j.end(Result{Failure: dialect.FailureExpired})
			ended = true
		case at.Before(b.expireAt):
			b.expireAt = at
		}
	}
	if ended {
		b.compact()
	}
}
