package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
)

// Reasons of the responses that the gateway generates itself, and of IsReady.
const (
	reasonNoConfiguration = "noConfiguration"
	reasonUnknownRoute    = "unknownRoute"
	reasonUnauthenticated = "unauthenticated"
	reasonUnconfirmed     = "configurationUnconfirmed"
	reasonHeaderTooLarge  = "headerTooLarge"
	reasonBodyTooLarge    = "bodyTooLarge"
	reasonBodyBroken      = "bodyBroken"
	reasonBodyTimeout     = "bodyTimeout"
	reasonBodyStalled     = "bodyStalled"
	reasonMemory          = "memorySpent"
	reasonInvalidRequest  = "invalidRequest"
	reasonNoUpstream      = "noUpstream"
	reasonOverloaded      = "overloaded"
	reasonUpstreamFull    = "upstreamFull"
	reasonStageFailed     = "stageFailed"
	reasonDeadline        = "deadline"
	reasonUpstreamFailed  = "upstreamFailed"
	reasonQuarantined     = "promptQuarantined"
	reasonInternal        = "internal"
	reasonLeaving         = "leaving"
	reasonUpstreamsQuiet  = "upstreamsQuiet"
	reasonUpstreamsLeave  = "upstreamsLeaving"
	reasonUpstreamsLimit  = "upstreamsLimited"
)

// Outcomes of requests in logs and metrics.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeBrokenOff  = "brokenOff"
	outcomeCallerGone = "callerGone"
)

// errorResponse is an error response that the gateway generates itself.
type errorResponse struct {
	status int
	reason string
	detail string
	// execution reports whether the request ran.
	execution fleet.Execution
	// retryAfter is the Retry-After value; 0 omits it.
	retryAfter time.Duration
}

// callerDisconnected ends a request whose caller disconnected; nothing is written, also not
// its reason.
var callerDisconnected = &errorResponse{reason: outcomeCallerGone}

// notExecuted returns a response which states that the request has not run and never will.
func notExecuted(reason, detail string, retryAfter time.Duration) *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, reason: reason, detail: detail, execution: fleet.NotStarted, retryAfter: min(retryAfter, maxRetryAfter)}
}

// notExecutedFor is notExecuted for a service that takes no requests for a time that its
// upstreams stated. The Retry-After value is that time, and up to a quarter more at random, so
// that callers that were refused together don't return together.
func notExecutedFor(reason, detail string, closedFor time.Duration) *errorResponse {
	wait := max(closedFor, minRetryAfter)
	response := notExecuted(reason, detail, 0)
	response.retryAfter = wait + rand.N(wait/returnSpreadDivisor)
	return response
}

// spentRetryAfter returns the Retry-After value of a gateway without memory. It varies, so that callers
// that were refused together don't return together.
func spentRetryAfter() time.Duration { return minRetryAfter + rand.N(minRetryAfter) }

// mayHaveRun returns a response which leaves open whether the request ran.
func mayHaveRun(status int, reason, detail string) *errorResponse {
	return &errorResponse{status: status, reason: reason, detail: detail, execution: fleet.Unknown}
}

// invalid returns a response to a request that must be changed before it is sent again.
func invalid(status int, reason, detail string) *errorResponse {
	return &errorResponse{status: status, reason: reason, detail: detail, execution: fleet.NotStarted}
}

func (e *errorResponse) write(w http.ResponseWriter, id string) error {
	p := problem.New(e.status, e.reason, e.detail)
	p.Execution, p.RequestID, p.RetryAfterMs = e.execution, id, e.retryAfter.Milliseconds()
	body := p.JSON()
	h := w.Header()
	h.Set("Content-Type", problem.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(e.status)
	_, err := w.Write(body)
	return err
}
