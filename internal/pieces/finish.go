package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// Finish records the results of a call, or the error that ended it. It returns surplus
// results, whose pieces are already done or cancelled.
func (b *Batcher) Finish(now time.Time, c *Call, results []dialect.Result, failed error) []Result {
	b.endCall(c)
	u := c.upstream
	if u.removed && u.calls == 0 && b.upstreams[u.member.ID] == u {
		delete(b.upstreams, u.member.ID)
	}
	if failed != nil || len(results) != len(c.Jobs) {
		if now.Sub(c.started) >= c.timeout {
			u.slowdown = 2 * max(u.slowdown, 1)
		}
		b.failCall(now, c)
		return nil
	}
	u.record.Recover()
	u.slowdown += slowdownWeight * (float64(now.Sub(c.started))/float64(c.configuredTime) - u.slowdown)
	var surplus []Result
	for i, j := range c.Jobs {
		j.running--
		r := results[i]
		if r.Failure != dialect.FailureNone {
			b.handleFailure(now, u, j, r.Failure)
			continue
		}
		b.results[r.Handle] = result{upstream: u, bytes: j.Bytes, expires: now.Add(b.batch.ResultTTL)}
		b.produced = append(b.produced, r.Handle)
		b.recent.add(r.Handle, j.identity(), now)
		u.heldBytes += j.Bytes
		produced := Result{Handle: r.Handle, Maker: u.member.ID, FailureDomain: u.member.FailureDomain}
		if j.done {
			surplus = append(surplus, produced)
			continue
		}
		j.complete(produced)
	}
	return surplus
}

// endCall ends the accounting for a call.
func (b *Batcher) endCall(c *Call) {
	delete(b.calls, c)
	c.upstream.calls--
	c.upstream.heldBytes -= c.bytes
	if c.grant.IsProbe() {
		c.upstream.record.EndProbe()
	}
}

func (j *Job) complete(r Result) {
	j.done = true
	j.finish(r)
}

// failCall puts the upstream of a failed call in back-off and queues the pieces for others.
func (b *Batcher) failCall(now time.Time, c *Call) {
	u := c.upstream
	u.record.BackOff(now, c.started, backoffBounds)
	for _, j := range c.Jobs {
		j.running--
		b.requeue(j, u, dialect.FailureExecution)
	}
}

// requeue queues the piece for another upstream, or ends it after maxTries calls.
func (b *Batcher) requeue(j *Job, u *upstream, why dialect.Failure) {
	if j.done || j.queued {
		return
	}
	if j.tries >= maxTries {
		if j.running == 0 {
			j.complete(Result{Failure: why})
		}
		return
	}
	j.avoid = u.member.ID
	b.enqueue(j)
}

// handleFailure handles a piece that has no result although its call succeeded.
func (b *Batcher) handleFailure(now time.Time, u *upstream, j *Job, why dialect.Failure) {
	switch why {
	case dialect.FailureNoCapacity:
		// The upstream is full although this queue's results fit: results of other gateways'
		// queues fill it, and expire if they are not released. Each rejected piece adds its
		// size to the estimate of their size, up to half of the capacity; the estimate is
		// valid for a quarter of ResultTTL after the last rejected piece.
		if !now.Before(u.untrackedUntil) {
			u.untrackedBytes = 0
		}
		u.untrackedBytes = min(u.untrackedBytes+j.Bytes, b.batch.ResultCapacityBytes/2)
		u.untrackedUntil = now.Add(b.batch.ResultTTL / 4)
		u.record.Rest(now, fullBackoff)
		b.requeue(j, u, why)
	case dialect.FailureExecution:
		b.requeue(j, u, why)
	default:
		if !j.done && j.running == 0 {
			j.complete(Result{Failure: why})
		}
	}
}

// Refused queues again the pieces of a call that the upstream did not run because it was
// full.
func (b *Batcher) Refused(now time.Time, c *Call) {
	c.upstream.record.Rest(now, fullBackoff)
	b.Return(c)
}

// Return queues again the pieces of a call that was not run.
func (b *Batcher) Return(c *Call) {
	b.endCall(c)
	for _, j := range c.Jobs {
		j.running--
		j.tries--
		b.enqueue(j)
	}
}

// RequeueOverdue queues the pieces of overdue calls again and returns the number of these
// calls. It raises the upstream's slowdown to that of the call.
func (b *Batcher) RequeueOverdue(now time.Time) int {
	n := 0
	for c := range b.calls {
		if c.overdue || now.Sub(c.started) < c.overdueAfter() {
			continue
		}
		c.overdue = true
		n++
		c.upstream.slowdown = max(c.upstream.slowdown, float64(now.Sub(c.started))/float64(c.configuredTime))
		for _, j := range c.Jobs {
			b.requeue(j, c.upstream, dialect.FailureExecution)
		}
	}
	return n
}

// GroupByUpstream groups the handles of results to release by the upstream that holds
// them. Results of another gateway's queue are found by their Maker only.
func (b *Batcher) GroupByUpstream(results []Result) map[*catalog.Member][]string {
	groups := make(map[*catalog.Member][]string)
	for _, res := range results {
		if r, ok := b.results[res.Handle]; ok {
			groups[r.upstream.member] = append(groups[r.upstream.member], res.Handle)
		} else if u := b.upstreams[res.Maker]; u != nil {
			groups[u.member] = append(groups[u.member], res.Handle)
		}
	}
	return groups
}

// ResultsReleased frees the accounted memory of results that their upstream has released.
func (b *Batcher) ResultsReleased(handles []string) {
	for _, h := range handles {
		if r, ok := b.results[h]; ok {
			r.upstream.heldBytes -= r.bytes
			delete(b.results, h)
		}
	}
}
