package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
)

// comparableCallTime is the time that calls of all sizes are scaled to, so that their times can be
// compared.
const comparableCallTime = 100 * time.Millisecond

// end records what the call says of its upstream's version.
func (c *Call) end(now time.Time, results []dialect.Result, err error) {
	took := time.Duration(float64(now.Sub(c.started)) / float64(max(c.configuredTime, 1)) * float64(comparableCallTime))
	o := rollout.Outcome{Time: took, Count: len(c.Jobs)}
	failed := countFailures(results, dialect.FailureExecution)
	switch {
	case err != nil && now.Sub(c.started) >= c.timeout:
		o.Result = rollout.Late
	case err != nil:
		o.Result, o.Time = rollout.Broken, 0
	case failed > 0:
		o.Result, o.Count = rollout.Failed, failed
	}
	c.send.End(now, o)
	if good := len(results) - failed; err == nil && failed > 0 && good > 0 {
		c.send.End(now, rollout.Outcome{Count: good})
	}
}
