package placement

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Choice is a selected upstream with a request on it. Done must be called once.
type Choice struct {
	table    *Table
	upstream *upstream
	member   *catalog.Member
	started  time.Time
	// predictedMs is the expected time to the first byte in milliseconds.
	predictedMs   float64
	prefillTokens float64
	// aheadTokens are the tokens that were to be read on the upstream before this request.
	aheadTokens  float64
	preferred    bool
	hasFirstByte bool
	isError      bool
	isFirstRead  bool
	grant        availability.Grant
}

// Member returns the selected upstream.
func (c *Choice) Member() *catalog.Member { return c.member }

// UncachedTokens returns the prompt tokens that the upstream is expected to read.
func (c *Choice) UncachedTokens() int { return int(c.prefillTokens) }

// Predicted returns the expected time to the first byte.
func (c *Choice) Predicted() time.Duration {
	return time.Duration(c.predictedMs * float64(time.Millisecond))
}

// IsPreferred reports whether the gateways prefer the upstream for the prompt.
func (c *Choice) IsPreferred() bool { return c.preferred }

// Admit returns an error if the request must not be written to the upstream any more.
func (c *Choice) Admit() error { return c.upstream.record.Admit(time.Now(), &c.grant) }

// MarkError records, before FirstByte, that the response is an error. Its time says nothing of how
// long the engine takes to read a prompt.
func (c *Choice) MarkError() { c.isError = true }

// FirstByte records the first byte of the response.
func (c *Choice) FirstByte(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.hasFirstByte {
		return
	}
	c.hasFirstByte = true
	u := c.upstream
	u.prefillTokens -= c.prefillTokens
	delete(u.waiting, c)
	elapsedMs := now.Sub(c.started).Seconds() * 1000
	if !c.isError {
		u.engine.RecordFirstEvent(now, c.aheadTokens+c.prefillTokens, elapsedMs)
	}
	excess := elapsedMs - c.predictedMs
	u.addExcess(now, excessWeight, max(excess, 0))
}

// Pace records the usual time between the events of the response.
func (c *Choice) Pace(now time.Time, d time.Duration) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.upstream.engine.RecordPace(now, d.Seconds()*1000)
}

// ColdFor records the remaining cold time that the upstream reported.
func (c *Choice) ColdFor(now time.Time, d time.Duration) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.upstream.coldUntil = now.Add(d)
}

// Done records the end of the request on the upstream.
func (c *Choice) Done(now time.Time, outcome Outcome) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	u := c.upstream
	u.running--
	if !c.hasFirstByte {
		u.prefillTokens -= c.prefillTokens
		delete(u.waiting, c)
	}
	if u.running == 0 {
		// Sums of floats leave a remainder.
		u.prefillTokens = 0
	}
	if c.grant.IsProbe() {
		u.record.EndProbe()
	}
	switch outcome {
	case Answered:
		u.recovered(now)
		u.failureRate -= failureWeight * u.failureRate
	case Failed:
		u.recovered(now)
		u.failureRate += failureWeight * (1 - u.failureRate)
	case Refused:
		// Each refusal counts as 20 ms more of excess time, so that other upstreams are
		// preferred. One that asked for quiet gets nothing meanwhile, and its share after that.
		if u.record.Check(now).Reason != availability.Quiet {
			u.addExcess(now, 1, u.excess(now)+20)
		}
	case Unreachable, Interrupted:
		u.failureRate += failureWeight * (1 - u.failureRate)
		u.backOff(now, c.started)
	case TimedOut:
		u.failureRate += failureWeight * (1 - u.failureRate)
	case Cancelled:
		// The outcome doesn't depend on the upstream.
	}
}

// recovered ends the back-off of an upstream that responded.
func (u *upstream) recovered(now time.Time) {
	if !u.record.Recover() {
		return
	}
	if until := now.Add(restartColdTime); until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// backOff puts the upstream in exponential back-off after a request that began at started.
func (u *upstream) backOff(now, started time.Time) {
	if u.record.BackOff(now, started, backoffBounds) {
		u.cache = newCache()
	}
}
