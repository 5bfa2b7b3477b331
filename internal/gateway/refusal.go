package gateway

import (
	"net/http"
	"strconv"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
)

// Reasons of the gateway's own answers.
const (
	reasonNoConfiguration = "noConfiguration"
	reasonUnknownRoute    = "unknownRoute"
	reasonUnauthenticated = "unauthenticated"
	reasonHeaderTooLarge  = "headerTooLarge"
	reasonBodyTooLarge    = "bodyTooLarge"
	reasonBodyBroken      = "bodyBroken"
	reasonInvalidRequest  = "invalidRequest"
	reasonNoUpstream      = "noUpstream"
	reasonOverloaded      = "overloaded"
	reasonUpstreamFull    = "upstreamFull"
	reasonStageFailed     = "stageFailed"
	reasonDeadline        = "deadline"
	reasonUpstreamFailed  = "upstreamFailed"
	reasonInternal        = "internal"
	reasonLeaving         = "leaving"
)

// Outcomes of requests in logs and metrics.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeBrokenOff  = "brokenOff"
	outcomeCallerGone = "callerGone"
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	reason string
	detail string
	// execution says whether the request ran.
	execution fleet.Execution
	// after is when the caller may come back; 0 gives no advice.
	after time.Duration
}

// callerGone ends a request whose caller no longer waits; nothing is written.
var callerGone = &refusal{reason: outcomeCallerGone}

// notRun is a refusal that promises that the request has not run and never will.
func notRun(reason, detail string, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, detail: detail, execution: fleet.NotStarted, after: after}
}

// mayHaveRun is an answer that promises nothing.
func mayHaveRun(status int, reason, detail string) *refusal {
	return &refusal{status: status, reason: reason, detail: detail, execution: fleet.Unknown}
}

// invalid is an answer to a request that no route takes as it is.
func invalid(status int, reason, detail string) *refusal {
	return &refusal{status: status, reason: reason, detail: detail, execution: fleet.NotStarted}
}

func (f *refusal) write(w http.ResponseWriter, id string) error {
	p := problem.New(f.status, f.reason, f.detail)
	p.Execution, p.RequestID, p.RetryAfterMs = f.execution, id, f.after.Milliseconds()
	body := p.JSON()
	h := w.Header()
	h.Set("Content-Type", problem.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(min(f.after, maxRetry).Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(f.status)
	_, err := w.Write(body)
	return err
}
