package gateway

import (
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
)

// errUnusable is the cause of an attempt whose response must not be forwarded.
var errUnusable = errors.New("unusable response")

// recordFirstByte records the first byte of the response.
func (q *request) recordFirstByte(choice *placement.Choice) {
	now := time.Now()
	choice.FirstByte(now)
	if q.sendFirstByte == 0 {
		q.sendFirstByte = now.Sub(q.sendStarted)
	}
}

// sendOutcome returns what the last send says of the version of its upstream.
func (q *request) sendOutcome(now time.Time, choice *placement.Choice, outcome placement.Outcome, err error) rollout.Outcome {
	o := rollout.Outcome{Result: rollout.Unknown, Time: q.sendFirstByte}
	var failed *forward.Error
	isExchangeError := errors.As(err, &failed)
	switch {
	case isExchangeError && failed.State == forward.NotSent && outcome == placement.Unreachable:
		o.Result = rollout.Broken
	case isExchangeError && failed.State != forward.Unknown:
		return o
	case outcome == placement.Answered && q.status/100 == 2:
		o.Result = rollout.Good
		if q.response.events > 1 {
			o.Gap = (now.Sub(q.sendStarted) - q.sendFirstByte) / time.Duration(q.response.events-1)
		}
	case outcome == placement.Answered, outcome == placement.Failed:
		o.Result = rollout.Failed
	case outcome == placement.Interrupted && errors.Is(err, errUnusable):
		o.Result = rollout.Spoiled
	case outcome == placement.Interrupted:
		o.Result = rollout.Broken
	case outcome == placement.TimedOut:
		o.Result = rollout.Late
	}
	if o.Time == 0 && (o.Result == rollout.Late || o.Result == rollout.Unknown) {
		// It would have taken at least as long.
		o.Time = now.Sub(q.sendStarted)
	}
	if choice.IsFirstRead() {
		// The old version may have read the prompt before, for another gateway.
		o.Time = 0
	}
	if q.upstream.IsCold(now) {
		o.Time, o.Gap = 0, 0
	}
	return o
}
