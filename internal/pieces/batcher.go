package pieces

import (
	"slices"
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
	// fullPause is how long an upstream without room gets no call.
	fullPause = 100 * time.Millisecond
)

// worker is one upstream of the service.
type worker struct {
	member *catalog.Member
	calls  int
	// pace is the time of recent calls relative to the stated one.
	pace float64
	// failures counts failed calls in a row.
	failures int
	// resting is until when the upstream gets no call.
	resting time.Time
	// held are the bytes of results that the upstream is known to hold.
	held int64
	// unknown are bytes that the upstream holds by its own word for others, until expires.
	unknown int64
	expires time.Time
	gone    bool
}

// room returns the bytes that are left for results.
func (w *worker) room(batch catalog.Batch, now time.Time) int64 {
	left := batch.RoomBytes - w.held
	if now.Before(w.expires) {
		left -= w.unknown
	}
	return left
}

// Call is a set of pieces for one upstream.
type Call struct {
	Upstream *catalog.Member
	Jobs     []*Job

	worker   *worker
	started  time.Time
	expected time.Duration
	bytes    int64
	overdue  bool
}

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
	c.expected = b.batch.CallTime + time.Duration(len(jobs))*b.batch.PieceTime
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

// nextCall is the expected time of a call with what waits.
func (b *Batcher) nextCall() time.Duration {
	return b.batch.CallTime + time.Duration(min(max(1, b.batch.Size), len(b.queue)))*b.batch.PieceTime
}

// demote puts pieces that can no longer be done when they are due behind those that can.
// Under a burst beyond the service's capacity, a queue in the order of due times alone
// would bring every piece a little too late.
func (b *Batcher) demote(now time.Time) {
	latest := now.Add(b.nextCall())
	n := 0
	for n < len(b.queue) && !b.queue[n].Background && b.queue[n].Due.Before(latest) {
		n++
	}
	if n == 0 {
		return
	}
	late := slices.Clone(b.queue[:n])
	b.queue = slices.Delete(b.queue, 0, n)
	for _, j := range late {
		j.Background, j.queued = true, false
		b.enqueue(j)
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
		if w.held > 0 && b.batch.RoomBytes > 0 && w.room(b.batch, now) <= 0 {
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

// freeAt is when the upstream is expected to be free, at the earliest now.
func (b *Batcher) freeAt(w *worker, now time.Time) time.Time {
	at := now
	if w.resting.After(at) {
		at = w.resting
	}
	for c := range b.calls {
		if end := c.started.Add(time.Duration(float64(c.expected) * max(w.pace, 1))); c.worker == w && end.After(at) {
			at = end
		}
	}
	return at
}

// waitsForDomain reports whether the piece should wait for an upstream in the failure
// domain where its result is needed: one that will be free early enough.
func (b *Batcher) waitsForDomain(j *Job, w *worker, now time.Time) bool {
	if j.Domain == "" || j.Background || j.Domain == w.member.FailureDomain || j.tries > 0 || len(b.queue) > domainQueue*b.batch.Size {
		return false
	}
	latest := j.Due.Add(-b.nextCall() - domainMargin)
	for _, v := range b.workers {
		if v == w || v.gone || v.member.FailureDomain != j.Domain || v.failures > 0 || v.pace > slowPace {
			continue
		}
		if v.held > 0 && v.room(b.batch, now) < j.Bytes {
			continue
		}
		if b.freeAt(v, now).Before(latest) {
			return true
		}
	}
	return false
}

func (w *worker) betterThan(other *worker) bool {
	if slow, otherSlow := w.pace > slowPace, other.pace > slowPace; slow != otherSlow {
		return otherSlow
	}
	if w.failures != other.failures {
		return w.failures < other.failures
	}
	if w.held != other.held {
		return w.held < other.held
	}
	return w.member.ID < other.member.ID
}

// collect takes the pieces for a call out of the queue.
func (b *Batcher) collect(w *worker, now time.Time) []*Job {
	size := max(1, b.batch.Size)
	if w.failures > 0 {
		// A failed upstream is tried with few pieces.
		size = max(1, size/4)
	}
	room := w.room(b.batch, now)
	var jobs []*Job
	take := func(j *Job) {
		fits := b.batch.RoomBytes <= 0 || j.Bytes <= room || (len(jobs) == 0 && w.held == 0)
		avoided := j.avoid == w.member.ID && len(b.workers) > 1
		if len(jobs) == size || !fits || avoided || j.done || !j.queued || b.waitsForDomain(j, w, now) {
			return
		}
		room -= j.Bytes
		j.queued = false
		jobs = append(jobs, j)
	}
	if len(b.queue) > size {
		// Of more pieces than fit, those whose inputs or results lie here go first.
		for _, j := range b.queue[:min(len(b.queue), domainReach*size)] {
			if !j.Background && j.Domain == w.member.FailureDomain {
				take(j)
			}
		}
	}
	for _, j := range b.queue {
		take(j)
	}
	b.queue = slices.DeleteFunc(b.queue, func(j *Job) bool { return !j.queued || j.done })
	return jobs
}

// Finish takes the results of a call, or the error that ended it. It returns the results
// that nobody needs.
func (b *Batcher) Finish(now time.Time, c *Call, results []dialect.Result, failed error) []Result {
	delete(b.calls, c)
	w := c.worker
	w.calls--
	w.held -= c.bytes
	if w.gone && w.calls == 0 && b.workers[w.member.ID] == w {
		delete(b.workers, w.member.ID)
	}
	if failed != nil || len(results) != len(c.Jobs) {
		b.fail(now, c)
		return nil
	}
	w.failures = 0
	w.pace += paceWeight * (float64(now.Sub(c.started))/float64(c.expected) - w.pace)
	var surplus []Result
	for i, j := range c.Jobs {
		j.running--
		r := results[i]
		if r.Failure != dialect.FailureNone {
			b.reject(now, w, j, r.Failure)
			continue
		}
		b.results[r.Handle] = result{worker: w, bytes: j.Bytes, expires: now.Add(b.batch.ResultTime)}
		w.held += j.Bytes
		made := Result{Handle: r.Handle, Maker: w.member.ID, FailureDomain: w.member.FailureDomain}
		if j.done {
			surplus = append(surplus, made)
			continue
		}
		j.end(made)
	}
	return surplus
}

func (j *Job) end(r Result) {
	j.done = true
	j.finish(r)
}

// fail gives the pieces of a failed call to other upstreams.
func (b *Batcher) fail(now time.Time, c *Call) {
	w := c.worker
	w.failures++
	w.resting = now.Add(min(minPause<<min(w.failures-1, 4), maxPause))
	for _, j := range c.Jobs {
		j.running--
		b.again(j, w, dialect.FailureWork)
	}
}

// again queues the piece for another upstream, or ends it if it was tried often enough.
func (b *Batcher) again(j *Job, w *worker, why dialect.Failure) {
	if j.done || j.queued {
		return
	}
	if j.tries >= maxTries {
		if j.running == 0 {
			j.end(Result{Failure: why})
		}
		return
	}
	j.avoid = w.member.ID
	b.enqueue(j)
}

func (b *Batcher) reject(now time.Time, w *worker, j *Job, why dialect.Failure) {
	switch why {
	case dialect.FailureRoom:
		// Results of other gateways' queues fill it; they expire if nobody drops them.
		if !now.Before(w.expires) {
			w.unknown = 0
		}
		w.unknown = min(w.unknown+j.Bytes, b.batch.RoomBytes/2)
		w.expires = now.Add(b.batch.ResultTime / 4)
		w.resting = now.Add(fullPause)
		b.again(j, w, why)
	case dialect.FailureWork:
		b.again(j, w, why)
	default:
		if !j.done && j.running == 0 {
			j.end(Result{Failure: why})
		}
	}
}

// Refused takes a call back that the upstream did not work on, because it was full.
func (b *Batcher) Refused(now time.Time, c *Call) {
	delete(b.calls, c)
	w := c.worker
	w.calls--
	w.held -= c.bytes
	w.resting = now.Add(fullPause)
	for _, j := range c.Jobs {
		j.running--
		j.tries--
		b.enqueue(j)
	}
}

// Overdue queues the pieces of calls that take too long again and returns the number of
// these calls. The upstream is taken for slow from then on.
func (b *Batcher) Overdue(now time.Time) int {
	n := 0
	for c := range b.calls {
		limit := time.Duration(overdueFactor*float64(c.expected)) + overdueMargin
		if c.overdue || now.Sub(c.started) < limit {
			continue
		}
		c.overdue = true
		n++
		c.worker.pace = max(c.worker.pace, float64(now.Sub(c.started))/float64(c.expected))
		for _, j := range c.Jobs {
			b.again(j, c.worker, dialect.FailureWork)
		}
	}
	return n
}

// NextCheck returns when Overdue or Next should be called even if nothing happens, or
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
			earlier(c.started.Add(time.Duration(overdueFactor*float64(c.expected)) + overdueMargin))
		}
	}
	if len(b.queue) > 0 {
		for _, w := range b.workers {
			earlier(w.resting)
			earlier(w.expires)
		}
		for _, j := range b.queue {
			if j.Domain != "" {
				earlier(j.Due.Add(-b.nextCall() - domainMargin))
				break
			}
		}
		for _, j := range b.queue {
			if j.Background {
				earlier(j.GiveUp)
				break
			}
		}
		earlier(b.queue[0].Deadline.Add(-b.batch.CallTime))
	}
	return next
}

// expire ends pieces that can't be done before their request ends, and forgets results
// that their upstream has dropped.
func (b *Batcher) expire(now time.Time) {
	ended := false
	last := now.Add(b.batch.CallTime)
	for _, j := range b.queue {
		waited := j.Background && j.running == 0 && !now.Before(j.GiveUp)
		if !j.done && (waited || !last.Before(j.Deadline)) {
			j.end(Result{Failure: dialect.FailureLate})
			ended = true
		}
	}
	if ended {
		b.compact()
	}
	for handle, r := range b.results {
		if now.After(r.expires) {
			r.worker.held -= r.bytes
			delete(b.results, handle)
		}
	}
}

// Makers groups the handles of results that are to be dropped by the upstream that holds
// them. A result that another gateway's queue made is known by its maker only.
func (b *Batcher) Makers(results []Result) map[*catalog.Member][]string {
	groups := make(map[*catalog.Member][]string)
	for _, made := range results {
		if r, ok := b.results[made.Handle]; ok {
			groups[r.worker.member] = append(groups[r.worker.member], made.Handle)
		} else if w := b.workers[made.Maker]; w != nil {
			groups[w.member] = append(groups[w.member], made.Handle)
		}
	}
	return groups
}

// Dropped frees the room of results that their upstream has dropped.
func (b *Batcher) Dropped(handles []string) {
	for _, h := range handles {
		if r, ok := b.results[h]; ok {
			r.worker.held -= r.bytes
			delete(b.results, h)
		}
	}
}

// Estimate is what a queue expects of pieces that are added to it.
type Estimate struct {
	// Calls is the number of upstreams that work, each counted by its pace.
	Calls float64
	// Ahead is the number of pieces that wait and can be done when they are due, and Late
	// that of the others.
	Ahead int
	Late  int
	// Busy is the share of upstreams with a call in progress.
	Busy float64
	// Size, CallTime and PieceTime are those of the service.
	Size      int
	CallTime  time.Duration
	PieceTime time.Duration
}

// Estimate returns what the queue expects now.
func (b *Batcher) Estimate(now time.Time) Estimate {
	e := Estimate{Busy: b.busy(), Size: max(1, b.batch.Size), CallTime: b.batch.CallTime, PieceTime: b.batch.PieceTime}
	for _, j := range b.queue {
		if j.Background {
			e.Late++
		} else {
			e.Ahead++
		}
	}
	for _, w := range b.workers {
		if !w.gone && !now.Before(w.resting) {
			e.Calls += 1 / max(w.pace, 0.5)
		}
	}
	return e
}

// WaitLate returns the same as Wait for pieces behind all that wait.
func (e Estimate) WaitLate(pieces int) time.Duration {
	e.Ahead += e.Late
	return e.Wait(pieces)
}

// Wait returns how long so many more pieces are expected to take until their results. An
// empty estimate expects nothing.
func (e Estimate) Wait(pieces int) time.Duration {
	if e.Size == 0 {
		return 0
	}
	if e.Calls == 0 {
		return noUpstreamWait
	}
	ahead := e.Ahead + pieces
	full := e.CallTime + time.Duration(e.Size)*e.PieceTime
	own := e.CallTime + time.Duration(min(e.Size, ahead))*e.PieceTime
	// On average half of a call is still to run at the upstream that is free next.
	before := float64(ahead/e.Size)*float64(full)/e.Calls + e.Busy*float64(own)/(2*e.Calls)
	return time.Duration(before) + own
}

// busy returns the share of upstreams with a call in progress.
func (b *Batcher) busy() float64 {
	if len(b.workers) == 0 {
		return 0
	}
	n := 0
	for _, w := range b.workers {
		if w.calls > 0 {
			n++
		}
	}
	return float64(n) / float64(len(b.workers))
}
