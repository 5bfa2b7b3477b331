package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
)

// comparableCallTime is the time that calls of all sizes are scaled to, so that their times can be
// compared.
const comparableCallTime = 100 * time.Millisecond

// end records what the call says of its upstream's version. Its pieces end together, so they are
// one answer.
func (c *Call) end(now time.Time, results []dialect.Result, err error) {
	took := time.Duration(float64(now.Sub(c.started)) / float64(max(c.configuredTime, 1)) * float64(comparableCallTime))
	o := rollout.Outcome{Time: took}
	switch {
	case err != nil && now.Sub(c.started) >= c.timeout:
		o.Result = rollout.Late
	case err != nil:
		o.Result, o.Time = rollout.Broken, 0
	case countFailures(results, dialect.FailureExecution) > 0:
		o.Result = rollout.Failed
	}
	c.send.End(now, o)
}
