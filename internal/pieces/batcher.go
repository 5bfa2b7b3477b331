package pieces

import (
	"slices"
	"sort"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
)

const (
	// maxTries bounds the number of calls that a piece is sent in.
	maxTries = 3
	// A call is overdue after overdueFactor times its configured time plus overdueMargin,
	// that is, only well after its configured time: pieces of a stage take up to about that
	// time, and the slower upstreams of a service exceed it.
	overdueFactor = 1.8
	overdueMargin = 100 * time.Millisecond
	// A call times out after timeoutFactor times its configured time, multiplied by the
	// upstream's slowdown (at least 1), plus overdueMargin: its response is lost or its
	// upstream doesn't respond. If only the response was lost, the upstream is idle until
	// then.
	timeoutFactor = 3
	// slowdownWeight is the weight of the newest call in an upstream's slowdown.
	slowdownWeight = 0.4
	// slowThreshold is the slowdown above which other upstreams are preferred.
	slowThreshold = 1.6
	// domainMargin is the time that must be left before a piece is due for it to wait for
	// an upstream in the failure domain where its result is needed.
	domainMargin = 100 * time.Millisecond
	// domainQueueCalls is the length of the queue, in full calls, above which no piece waits
	// for an upstream in the failure domain where its result is needed: the service is then
	// short of upstreams.
	domainQueueCalls = 2
	// domainScanCalls is how far the queue is scanned, in full calls for each domainUpstreams
	// upstreams, for pieces whose result is needed in an upstream's failure domain; a piece
	// further back would overtake too many others.
	domainScanCalls = 2
	domainUpstreams = 5
	// noUpstreamWait is the expected wait at a service without an available upstream.
	noUpstreamWait = 2 * time.Second
	// maxExpiryInterval bounds the time between two scans of the queue for expired pieces.
	maxExpiryInterval = 100 * time.Millisecond
	// fullBackoff is the back-off of an upstream without free capacity.
	fullBackoff = 100 * time.Millisecond
	// inputReadTime is the time that a call has for reading its inputs. An upstream reads all
	// of them when it begins with the call, before it works on the pieces.
	inputReadTime = 100 * time.Millisecond
	// roomShortageTime is how long a service counts as short of room after a piece found none.
	roomShortageTime = 500 * time.Millisecond
	// shortQueueCalls is the length of the queue, in full calls at each upstream, above which a
	// lack of room delays pieces. Single pieces find no room at any load.
	shortQueueCalls = 0.25
)

// backoffBounds bound the back-off of a failed upstream.
var backoffBounds = availability.Backoff{Min: 250 * time.Millisecond, Max: 2 * time.Second}

// Call is a batch of pieces for one upstream.
type Call struct {
	Upstream *catalog.Member
	Jobs     []*Job

	upstream       *upstream
	started        time.Time
	configuredTime time.Duration
	// timeout is how long the call may take before its connection is closed.
	timeout time.Duration
	bytes   int64
	overdue bool
	// readsInputs is set until the pieces have been told that the call has read their inputs.
	readsInputs bool
	// send is nil unless the service has a roll-out.
	send *rollout.Send
	// grant is what the judge granted when the call was placed.
	grant availability.Grant
}

// overdueAfter returns the time after which the call is overdue.
func (c *Call) overdueAfter() time.Duration {
	return time.Duration(overdueFactor*float64(c.configuredTime)) + overdueMargin
}

// Timeout returns how long the call may take.
func (c *Call) Timeout() time.Duration { return c.timeout }

// result is a result that an upstream holds.
type result struct {
	upstream *upstream
	bytes    int64
	expires  time.Time
}

// Batcher decides which pieces go to which upstream of one service. It does no input or
// output and is not safe for concurrent use: its owner serialises all calls.
type Batcher struct {
	judge     *availability.Judge
	rollouts  *rollout.Table
	batch     catalog.Batch
	upstreams map[string]*upstream
	queue     []*Job
	calls     map[*Call]struct{}
	results   map[string]result
	// produced lists the handles of results in the order in which they expire.
	produced []string
	// recent has the handles by which copies of earlier responses are found.
	recent *recentResults
	// nextExpiry is when the next queued piece may expire; zero before the first scan.
	nextExpiry time.Time
	// roomShortUntil is until when the service counts as short of room for results.
	roomShortUntil time.Time
}

// NewBatcher returns a batcher without upstreams.
func NewBatcher(judge *availability.Judge) *Batcher {
	return &Batcher{judge: judge, upstreams: make(map[string]*upstream), calls: make(map[*Call]struct{}), results: make(map[string]result), recent: newRecentResults()}
}

// UseRollouts sets the roll-outs that calls follow. It must be called before the first piece.
func (b *Batcher) UseRollouts(r *rollout.Table) { b.rollouts = r }

// Held returns the number of calls at upstreams that have another version, and of results that
// they hold.
func (b *Batcher) Held(exceptVersion string) int {
	n := 0
	for c := range b.calls {
		if c.Upstream.Version != exceptVersion {
			n++
		}
	}
	for _, r := range b.results {
		if r.upstream.member.Version != exceptVersion {
			n++
		}
	}
	return n
}

// SetUpstreams replaces the upstreams that may get new calls.
func (b *Batcher) SetUpstreams(batch catalog.Batch, members []*catalog.Member) {
	b.batch = batch
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.ID] = true
		u := b.upstreams[m.ID]
		if u == nil || u.member.Start() != m.Start() {
			u = &upstream{record: b.judge.Upstream(m), slowdown: 1}
			b.upstreams[m.ID] = u
		}
		u.member, u.removed = m, false
	}
	for id, u := range b.upstreams {
		if known[id] {
			continue
		}
		u.removed = true
		if u.calls == 0 {
			delete(b.upstreams, id)
		}
	}
}

// atOnce returns how many pieces may be in calls at a time.
func (b *Batcher) atOnce() int {
	return len(b.upstreams) * max(1, b.batch.Slots) * max(1, b.batch.Size)
}

// Add queues pieces.
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
	if at := b.expiryOf(j); at.Before(b.nextExpiry) {
		b.nextExpiry = at
	}
	i, _ := slices.BinarySearchFunc(b.queue, j, func(a, target *Job) int {
		if target.before(a) {
			return 1
		}
		return -1
	})
	b.queue = slices.Insert(b.queue, i, j)
}

// Cancel removes pieces from the queue. Results of their calls in progress are surplus.
func (b *Batcher) Cancel(jobs []*Job) {
	for _, j := range jobs {
		j.done = true
	}
	b.removeDone()
}

// HandOver ends the queued pieces that aren't pinned and have no call in progress with
// FailureHandedOver, and returns their number.
func (b *Batcher) HandOver() int {
	n := 0
	for _, j := range b.queue {
		if j.running == 0 && !j.done && !j.Pinned {
			j.complete(Result{Failure: FailureHandedOver})
			n++
		}
	}
	b.removeDone()
	return n
}

func (b *Batcher) removeDone() {
	b.queue = slices.DeleteFunc(b.queue, func(j *Job) bool {
		if j.done {
			j.queued = false
		}
		return j.done
	})
}

// Next returns the next call, or nil if there is none: no upstream is free, or no queued
// piece may run on a free one, because it waits for its failure domain, must avoid the
// upstream or exceeds the upstream's free capacity for results. It first ends expired
// pieces, and moves those that can no longer be done when they are due to the background.
func (b *Batcher) Next(now time.Time) *Call {
	b.expire(now)
	b.demote(now)
	if len(b.queue) == 0 {
		return nil
	}
	free, isShort := b.freeUpstreams(now)
	if isShort {
		b.noteRoomShortage(now, b.queue[0])
	}
	if len(free) == 0 {
		b.endStranded(now)
		return nil
	}
	for _, u := range free {
		if jobs := b.collect(u, now); len(jobs) > 0 {
			return b.startCall(now, u, jobs)
		}
	}
	return nil
}

// endStranded ends the queued pieces that can't be run before they expire, because each
// upstream leaves or wants quiet for too long.
func (b *Batcher) endStranded(now time.Time) {
	outlook := b.outlook(now)
	if !outlook.IsClosed() {
		return
	}
	for _, j := range b.queue {
		if j.running == 0 && !j.done && (outlook.Earliest.IsZero() || !outlook.Earliest.Before(b.expiryOf(j))) {
			j.complete(Result{Failure: FailureNoUpstream})
		}
	}
	b.removeDone()
}

// startCall creates a call and accounts for its pieces and result memory.
func (b *Batcher) startCall(now time.Time, u *upstream, jobs []*Job) *Call {
	c := &Call{Upstream: u.member, Jobs: jobs, upstream: u, started: now}
	c.configuredTime = b.callTime(len(jobs))
	// Each time-out lengthens the next one of the upstream, so that calls complete in the
	// end even on one that takes many times the configured time.
	c.timeout = time.Duration(timeoutFactor*max(u.slowdown, 1)*float64(c.configuredTime)) + overdueMargin
	for _, j := range jobs {
		c.readsInputs = c.readsInputs || j.inputsRead != nil
		c.bytes += j.Bytes
		j.running++
		j.tries++
	}
	c.grant = u.record.Begin(now)
	b.rollouts.Place(u.member, len(jobs))
	c.send = b.rollouts.Begin(now, u.member, "")
	u.calls++
	u.heldBytes += c.bytes
	b.calls[c] = struct{}{}
	return c
}

// callTime returns the configured time of a call with so many pieces.
func (b *Batcher) callTime(pieces int) time.Duration {
	return b.batch.CallTime + time.Duration(pieces)*b.batch.PieceTime
}

// nextCallTime returns the configured time of a call with the queued pieces, up to the
// maximum size.
func (b *Batcher) nextCallTime() time.Duration {
	return b.callTime(min(max(1, b.batch.Size), len(b.queue)))
}

// demote moves pieces that can no longer be done when they are due to the background,
// behind those that can, and ends those whose GiveUp time has passed. In a burst beyond the
// service's capacity, a queue in the order of due times alone would finish every piece a
// little too late.
func (b *Batcher) demote(now time.Time) {
	latest := now.Add(b.nextCallTime())
	for _, rank := range []int{rankNormal, rankDeferred} {
		from, to := b.firstOfRank(rank), b.firstOfRank(rank+1)
		n := from
		for n < to && b.queue[n].Due.Before(latest) {
			n++
		}
		demoted := slices.Clone(b.queue[from:n])
		b.queue = slices.Delete(b.queue, from, n)
		for _, j := range demoted {
			j.Background, j.queued = true, false
			if now.Before(b.expiryOf(j)) {
				b.enqueue(j)
			} else if !j.done {
				j.complete(Result{Failure: dialect.FailureExpired})
			}
		}
	}
}

// freeUpstreams returns the upstreams that may get a call, the best one first. With one
// call at a time per slot, pieces wait in this queue, where a more urgent one can still
// overtake them. isShort is set if another one would be free if it had room for results.
func (b *Batcher) freeUpstreams(now time.Time) (free []*upstream, isShort bool) {
	for _, u := range b.upstreams {
		if u.removed || u.calls >= max(1, b.batch.Slots) || !u.record.Check(now).IsOpen() || b.rollouts.Allowance(now, u.member) == 0 {
			continue
		}
		if u.heldBytes > 0 && b.batch.ResultCapacityBytes > 0 && u.freeBytes(b.batch, now) <= 0 {
			isShort = true
			continue
		}
		free = append(free, u)
	}
	slices.SortFunc(free, func(a, b *upstream) int {
		if a.betterThan(now, b) {
			return -1
		}
		return 1
	})
	return free, isShort
}

// collect removes the pieces for a call from the queue and returns them.
func (b *Batcher) collect(u *upstream, now time.Time) []*Job {
	size := min(max(1, b.batch.Size), b.rollouts.Allowance(now, u.member))
	if u.record.Failures() > 0 {
		// A failed upstream is probed with few pieces.
		size = max(1, size/4)
	}
	freeBytes := u.freeBytes(b.batch, now)
	wait := b.domainWait(u, now)
	var jobs []*Job
	take := func(j *Job) {
		fits := b.batch.ResultCapacityBytes <= 0 || j.Bytes <= freeBytes || (len(jobs) == 0 && u.heldBytes == 0)
		avoided := j.avoid == u.member.ID && len(b.upstreams) > 1
		if !fits {
			b.noteRoomShortage(now, j)
		}
		if !fits || avoided || j.done || !j.queued || wait.shouldWait(j) {
			return
		}
		freeBytes -= j.Bytes
		j.queued = false
		jobs = append(jobs, j)
	}
	// scanned is how far into the queue the pieces were considered.
	scanned := 0
	if len(b.queue) > size {
		// If there are more pieces than fit, those whose result is needed in the upstream's
		// failure domain go first.
		for scanned < min(len(b.queue), b.domainScan(size)) && len(jobs) < size {
			if j := b.queue[scanned]; !j.Background && j.Domain == u.member.FailureDomain {
				take(j)
			}
			scanned++
		}
	}
	for i := 0; i < len(b.queue) && len(jobs) < size; i++ {
		take(b.queue[i])
		scanned = max(scanned, i+1)
	}
	if len(jobs) > 0 {
		kept := slices.DeleteFunc(b.queue[:scanned], func(j *Job) bool { return !j.queued || j.done })
		b.queue = slices.Delete(b.queue, len(kept), scanned)
	}
	return jobs
}

// NextCheck returns when RequeueOverdue or Next should be called if no other event occurs
// before, or the zero time.
func (b *Batcher) NextCheck(now time.Time) time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for c := range b.calls {
		if !c.overdue {
			earlier(c.started.Add(c.overdueAfter()))
		}
		if c.readsInputs {
			earlier(c.started.Add(inputReadTime))
		}
	}
	if len(b.queue) > 0 {
		for _, u := range b.upstreams {
			earlier(u.record.Check(now).Until)
			earlier(u.untrackedUntil)
		}
		if len(b.queue) <= domainQueueCalls*b.batch.Size {
			if i := slices.IndexFunc(b.queue, func(j *Job) bool { return j.Domain != "" }); i >= 0 {
				earlier(b.queue[i].Due.Add(-b.nextCallTime() - domainMargin))
			}
		}
		earlier(b.nextExpiry)
	}
	return next
}

// MarkInputsRead tells the pieces of calls that have had the time to read their inputs. Calls
// to upstreams that are slow, failing or full aren't taken into account: their pieces may soon
// be run again elsewhere, from the same inputs.
func (b *Batcher) MarkInputsRead(now time.Time) {
	for c := range b.calls {
		if !c.readsInputs || now.Sub(c.started) < inputReadTime {
			continue
		}
		c.readsInputs = false
		if u := c.upstream; u.record.Failures() > 0 || u.slowdown > slowThreshold || now.Before(u.untrackedUntil) {
			continue
		}
		for _, j := range c.Jobs {
			if j.inputsRead != nil && !j.done {
				j.inputsRead()
				j.inputsRead = nil
			}
		}
	}
}

// noteRoomShortage records that the piece found no room for its result, unless it is in the
// background.
func (b *Batcher) noteRoomShortage(now time.Time, j *Job) {
	if !j.Background {
		b.roomShortUntil = now.Add(roomShortageTime)
	}
}

// domainScan returns how many queued pieces are scanned for those whose result is needed in an
// upstream's failure domain. The more upstreams, the faster the queue moves.
func (b *Batcher) domainScan(size int) int {
	return domainScanCalls * size * max(1, len(b.upstreams)/domainUpstreams)
}

// firstOfRank returns the index of the first queued piece of the rank or a later one.
func (b *Batcher) firstOfRank(rank int) int {
	return sort.Search(len(b.queue), func(i int) bool { return b.queue[i].rank() >= rank })
}

// expiryOf returns when the piece expires if it is still queued then, even if a call with
// it is in progress: a piece is queued again only when that call is overdue.
func (b *Batcher) expiryOf(j *Job) time.Time {
	last := j.Deadline.Add(-b.batch.CallTime)
	if j.Background && j.GiveUp.Before(last) {
		return j.GiveUp
	}
	return last
}

// expire ends pieces that can't be done before their request's deadline or are past
// their GiveUp time, and evicts results that their upstream no longer holds.
func (b *Batcher) expire(now time.Time) {
	for len(b.produced) > 0 {
		r, ok := b.results[b.produced[0]]
		if ok && !now.After(r.expires) {
			break
		}
		if ok {
			r.upstream.heldBytes -= r.bytes
			delete(b.results, b.produced[0])
		}
		b.produced = b.produced[1:]
	}
	b.recent.expire(now)
	if now.Before(b.nextExpiry) {
		return
	}
	ended := false
	b.nextExpiry = now.Add(maxExpiryInterval)
	for _, j := range b.queue {
		at := b.expiryOf(j)
		switch {
		case j.done:
		case !now.Before(at):
			j.complete(Result{Failure: dialect.FailureExpired})
			ended = true
		case at.Before(b.nextExpiry):
			b.nextExpiry = at
		}
	}
	if ended {
		b.removeDone()
	}
}
