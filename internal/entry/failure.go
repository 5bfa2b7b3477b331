package entry

import (
	"fmt"
	"net/http"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
)

// Reasons that the entry gives in addition to those of sidecars. claimsFull, keyExpired
// and ticketNotNeeded are written out where they are used.
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

// RequestError describes a failed request.
type RequestError struct {
	Status     int
	Reason     peer.Reason
	Execution  fleet.Execution
	Detail     string
	RetryAfter time.Duration
	// Stage is the name of the stage that failed, if any.
	Stage string
	// mayHaveRun is set if an attempt at a non-idempotent stage may have run.
	mayHaveRun bool
	// pending is that attempt if its outcome is not known yet.
	pending *pendingAttempt
}

// Error returns the reason, the execution and the detail.
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

// mayHaveRunBefore reports whether an earlier try of the caller with the same key may have
// run although this one did not. Requests that are refused for their content are excluded,
// because an earlier try with the same content was refused as well. req is nil if
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

// stageFailure returns the error of a request whose stage ended without a result.
func stageFailure(stage string, execution fleet.Execution, reason peer.Reason, detail string) *RequestError {
	f := &RequestError{Status: http.StatusServiceUnavailable, Reason: reason, Execution: execution, Detail: detail, Stage: stage}
	switch reason {
	case peer.ReasonDeadline:
		f.Status = http.StatusGatewayTimeout
	case peer.ReasonRejected:
		f.Status = http.StatusUnprocessableEntity
	case peer.ReasonUpstreamFailed, peer.ReasonConnectionLost, peer.ReasonStreamTruncated:
		f.Status = http.StatusBadGateway
	case peer.ReasonQueueFull:
		f.RetryAfter = queueRetryAfter
	}
	return f
}

// queueRetryAfter is the Retry-After time of refusals for lack of capacity.
const queueRetryAfter = 250 * time.Millisecond
