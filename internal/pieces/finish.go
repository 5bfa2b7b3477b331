package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

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
		if now.Sub(c.started) >= c.cut {
			w.pace = 2 * max(w.pace, 1)
		}
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
		b.results[r.Handle] = result{worker: w, bytes: j.Bytes, expires: now.Add(b.batch.ResultTTL)}
		b.made = append(b.made, r.Handle)
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
		b.requeue(j, w, dialect.FailureExecution)
	}
}

// requeue queues the piece for another upstream, or ends it if it was tried often enough.
func (b *Batcher) requeue(j *Job, w *worker, why dialect.Failure) {
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
	case dialect.FailureNoCapacity:
		// Results of other gateways' queues fill it; they expire if nobody drops them.
		if !now.Before(w.expires) {
			w.unknown = 0
		}
		w.unknown = min(w.unknown+j.Bytes, b.batch.ResultCapacityBytes/2)
		w.expires = now.Add(b.batch.ResultTTL / 4)
		w.resting = now.Add(fullPause)
		b.requeue(j, w, why)
	case dialect.FailureExecution:
		b.requeue(j, w, why)
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

// RequeueOverdue queues the pieces of calls that take too long again and returns the number of
// these calls. The upstream is taken for slow from then on.
func (b *Batcher) RequeueOverdue(now time.Time) int {
	n := 0
	for c := range b.calls {
		if c.overdue || now.Sub(c.started) < c.limit() {
			continue
		}
		c.overdue = true
		n++
		c.worker.pace = max(c.worker.pace, float64(now.Sub(c.started))/float64(c.expected))
		for _, j := range c.Jobs {
			b.requeue(j, c.worker, dialect.FailureExecution)
		}
	}
	return n
}

// GroupByUpstream groups the handles of results that are to be dropped by the upstream that holds
// them. A result that another gateway's queue made is known by its maker only.
func (b *Batcher) GroupByUpstream(results []Result) map[*catalog.Member][]string {
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

// ResultsReleased frees the room of results that their upstream has dropped.
func (b *Batcher) ResultsReleased(handles []string) {
	for _, h := range handles {
		if r, ok := b.results[h]; ok {
			r.worker.held -= r.bytes
			delete(b.results, h)
		}
	}
}
