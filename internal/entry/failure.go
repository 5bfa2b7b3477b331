package entry

import (
	"fmt"
	"net/http"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
)

// Reasons of an entry's own refusals.
const (
	reasonUnauthenticated  peer.Reason = "unauthenticated"
	reasonForbidden        peer.Reason = "forbidden"
	reasonUnknownPipeline  peer.Reason = "unknownPipeline"
	reasonInvalidRequest   peer.Reason = "invalidRequest"
	reasonBodyTooLarge     peer.Reason = "bodyTooLarge"
	reasonOverloaded       peer.Reason = "overloaded"
	reasonInfeasible       peer.Reason = "infeasible"
	reasonNoUpstream       peer.Reason = "noUpstream"
	reasonRetryBudget      peer.Reason = "retryBudget"
	reasonNotStreamable    peer.Reason = "notStreamable"
	reasonInternal         peer.Reason = "internal"
	reasonInProgress       peer.Reason = "inProgress"
	reasonRecorded         peer.Reason = "recordedUnknown"
	reasonStoreUnavailable peer.Reason = "storeUnavailable"
	reasonTicketLost       peer.Reason = "ticketLost"
)

// RequestError says why a request has no answer.
type RequestError struct {
	Status     int
	Reason     peer.Reason
	Execution  fleet.Execution
	Detail     string
	RetryAfter time.Duration
	// Stage is the stage that failed, if one did.
	Stage string
	// atRisk is set once an attempt at a stage that may not be repeated may have run.
	atRisk bool
	// pending is that attempt while its outcome is not known.
	pending *pendingRun
}

// Error gives the reason and the detail.
func (f *RequestError) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.Execution, f.Detail)
}

// problem returns the failure as a problem document.
func (f *RequestError) problem(requestID, path string, generation uint64) *problem.Problem {
	p := problem.New(f.Status, string(f.Reason), f.Detail)
	p.Execution = f.Execution
	p.RequestID = requestID
	p.Instance = path
	p.Generation = generation
	p.RetryAfterMs = f.RetryAfter.Milliseconds()
	return p
}

// mayHaveRunBefore reports whether an earlier attempt with the same key may have run
// although this one did not. Requests that are refused for their content don't count,
// because an earlier attempt with that content was refused as well. req is nil when
// the request was refused before it was read.
func mayHaveRunBefore(f *RequestError, header http.Header, req *request) bool {
	switch {
	case f.Execution != fleet.NotStarted, f.Status < http.StatusInternalServerError:
		return false
	case header.Get(HeaderIdempotencyKey) == "", header.Get(HeaderAttempt) == "1":
		return false
	case req == nil:
		return true
	default:
		return !req.keyGranted && !req.cfg.IsIdempotent(req.pipeline)
	}
}

func refused(status int, reason peer.Reason, format string, args ...any) *RequestError {
	return &RequestError{Status: status, Reason: reason, Execution: fleet.NotStarted, Detail: fmt.Sprintf(format, args...)}
}

// stageFailure is the failure of a request whose stage ended without a result.
func stageFailure(stage string, execution fleet.Execution, reason peer.Reason, detail string) *RequestError {
	f := &RequestError{Status: http.StatusServiceUnavailable, Reason: reason, Execution: execution, Detail: detail, Stage: stage}
	switch reason {
	case peer.ReasonDeadline:
		f.Status = http.StatusGatewayTimeout
	case peer.ReasonRejected:
		f.Status = http.StatusUnprocessableEntity
	case peer.ReasonUpstreamFailed, peer.ReasonConnectionLost, peer.ReasonStreamCut:
		f.Status = http.StatusBadGateway
	case peer.ReasonQueueFull:
		f.RetryAfter = queueRetryAfter
	}
	return f
}

// queueRetryAfter is the advice to a caller whose stage had no room.
const queueRetryAfter = 250 * time.Millisecond
