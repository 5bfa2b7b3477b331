package problem

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Reasons of the callers' API that no sidecar gives. The others are those of
// package peer and have the same words here.
const (
	ReasonWrongKey         = "wrongKey"
	ReasonNotAllowed       = "notAllowed"
	ReasonUnknownPipeline  = "unknownPipeline"
	ReasonMalformed        = "malformed"
	ReasonTooLarge         = "tooLarge"
	ReasonStoreUnavailable = "storeUnavailable"
	ReasonClaimsFull       = "claimsFull"
	ReasonKeyExpired       = "keyExpired"
	ReasonHolderLost       = "holderLost"
	ReasonAnswerNotHeld    = "answerNotHeld"
	ReasonAnswerIncomplete = "answerIncomplete"
	ReasonInternal         = "internal"
	reasonDeadline         = "deadline"
	reasonRunning          = "running"
	reasonIncarnationEnded = "incarnationEnded"
	reasonQueueFull        = "queueFull"
	reasonNoConfiguration  = "noConfiguration"
	reasonGenerationBehind = "generationBehind"
	reasonLeaving          = "leaving"
	reasonOutOfService     = "outOfService"
	reasonUpstreamRefused  = "upstreamRefused"
	reasonUpstreamFailed   = "upstreamFailed"
	reasonConnectionLost   = "connectionLost"
	reasonInvalidTicket    = "invalidTicket"
	reasonTicketExpired    = "ticketExpired"
	reasonRevoked          = "revoked"
	reasonRejected         = "rejected"
	reasonCancelled        = "cancelled"
)

// StatusClientClosedRequest is the status that is logged and counted for a request
// whose caller closed the connection. No status is registered for it with IANA.
const StatusClientClosedRequest = 499

// Meaning explains one reason of the callers' API.
type Meaning struct {
	Reason string
	// Status is the HTTP status of the answer.
	Status int
	// Executions are the values that the member execution may have.
	Executions []fleet.Execution
	// Text says what happened.
	Text string
}

var (
	never   = []fleet.Execution{fleet.NotStarted}
	perhaps = []fleet.Execution{fleet.Unknown}
	either  = []fleet.Execution{fleet.NotStarted, fleet.Unknown}
	ended   = []fleet.Execution{fleet.Completed}
)

var meanings = []Meaning{
	{ReasonMalformed, http.StatusBadRequest, never, "the body, a header or a parameter is malformed; the detail names it"},
	{reasonInvalidTicket, http.StatusBadRequest, never, "the `Idempotency-Key` starts like a ticket, but was not issued by this system or not for this pipeline"},
	{ReasonWrongKey, http.StatusUnauthorized, never, "the bearer key is missing or unknown"},
	{ReasonNotAllowed, http.StatusForbidden, never, "no rule lets the organisation call the pipeline with this priority"},
	{ReasonUnknownPipeline, http.StatusNotFound, never, "there is no pipeline of this name"},
	{reasonRunning, http.StatusConflict, perhaps, "a request with the same key is still running"},
	{reasonTicketExpired, http.StatusGone, never, "the ticket was not used within its time; ask for a new one"},
	{ReasonKeyExpired, http.StatusGone, perhaps, "the key is older than the 24 h for which outcomes are kept"},
	{ReasonAnswerNotHeld, http.StatusGone, ended, "the request with this key completed, but its answer is no longer held"},
	{ReasonTooLarge, http.StatusRequestEntityTooLarge, never, "the body is larger than the limit, at most 1 MB"},
	{reasonRejected, http.StatusUnprocessableEntity, never, "a stage rejected its input without running it"},
	{reasonCancelled, StatusClientClosedRequest, either, "the caller closed the connection"},
	{ReasonInternal, http.StatusInternalServerError, either, "the entry failed"},
	{reasonUpstreamRefused, http.StatusBadGateway, never, "every upstream that was tried refused before it ran anything"},
	{reasonUpstreamFailed, http.StatusBadGateway, perhaps, "an upstream failed after it was contacted"},
	{reasonConnectionLost, http.StatusBadGateway, perhaps, "the connection to a process of the system was lost"},
	{reasonIncarnationEnded, http.StatusBadGateway, perhaps, "the process that issued the ticket has ended"},
	{ReasonHolderLost, http.StatusBadGateway, perhaps, "the entry that ran the request with this key has ended before it recorded an outcome"},
	{ReasonAnswerIncomplete, http.StatusBadGateway, perhaps, "the answer broke off; what was streamed must be discarded"},
	{reasonQueueFull, http.StatusServiceUnavailable, never, "the queue is full of requests that go first"},
	{reasonLeaving, http.StatusServiceUnavailable, never, "the process is shutting down"},
	{reasonOutOfService, http.StatusServiceUnavailable, never, "no upstream of a stage is in service"},
	{reasonNoConfiguration, http.StatusServiceUnavailable, never, "the process has no configuration yet"},
	{reasonGenerationBehind, http.StatusServiceUnavailable, never, "a sidecar has not yet taken the configuration in force"},
	{reasonRevoked, http.StatusServiceUnavailable, never, "the attempt was revoked before it began"},
	{ReasonStoreUnavailable, http.StatusServiceUnavailable, never, "the right to run could not be recorded; a ticket needs no store"},
	{ReasonClaimsFull, http.StatusServiceUnavailable, never, "no more keys can be recorded at the moment"},
	{reasonDeadline, http.StatusGatewayTimeout, either, "the deadline passed, or the time left is shorter than the stages recently took"},
}

// Meanings returns every reason of the callers' API, ordered by status.
func Meanings() []Meaning { return append([]Meaning(nil), meanings...) }

// Refusal returns the problem of a request of the callers' API that gave no answer.
// The status follows from the reason; a reason without a meaning gives 503 when the
// request was not started and 502 otherwise.
func Refusal(reason string, execution fleet.Execution, detail string) *Problem {
	status := http.StatusBadGateway
	if execution == fleet.NotStarted {
		status = http.StatusServiceUnavailable
	}
	for _, m := range meanings {
		if m.Reason == reason {
			status = m.Status
		}
	}
	p := New(status, reason, detail)
	p.Execution = execution
	if p.Title == "" {
		p.Title = "Client Closed Request"
	}
	return p
}

// WriteMeanings writes every reason of the callers' API as a Markdown table.
func WriteMeanings(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| Status | Reason | Execution | What happened |\n|---|---|---|---|\n")
	for _, m := range meanings {
		words := make([]string, 0, len(m.Executions))
		for _, e := range m.Executions {
			words = append(words, "`"+string(e)+"`")
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", m.Status, m.Reason, strings.Join(words, " or "), m.Text)
	}
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}
