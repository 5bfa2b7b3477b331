package peer

import (
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Method names of the rpc services.
const (
	MethodRun      = "Stage.Run"
	MethodCancel   = "Stage.Cancel"
	MethodResolve  = "Stage.Resolve"
	MethodDescribe = "Stage.Describe"
	MethodIssue    = "Ticket.Issue"
	MethodReserve  = "Ticket.Reserve"
	MethodRelease  = "Ticket.Release"
	MethodOutcome  = "Booking.Outcome"
	MethodDump     = "State.Dump"

	MethodGeneration = "State.Generation"

	MethodEngineState = "Engine.State"
	MethodEngineOrder = "Engine.Order"
)

// Reason is the cause of a call's result. It is used as a metric tag and a log field.
type Reason string

// Reasons in the replies of sidecars.
const (
	ReasonNone             Reason = ""
	ReasonQueueFull        Reason = "queueFull"
	ReasonDeadline         Reason = "deadline"
	ReasonLeaving          Reason = "leaving"
	ReasonOutOfService     Reason = "outOfService"
	ReasonGenerationBehind Reason = "generationBehind"
	ReasonNoConfiguration  Reason = "noConfiguration"
	ReasonUpstreamRefused  Reason = "upstreamRefused"
	ReasonUpstreamFailed   Reason = "upstreamFailed"
	ReasonConnectionLost   Reason = "connectionLost"
	ReasonCancelled        Reason = "cancelled"
	ReasonInvalidTicket    Reason = "invalidTicket"
	ReasonTicketExpired    Reason = "ticketExpired"
	ReasonIncarnationEnded Reason = "incarnationEnded"
	ReasonRunning          Reason = "running"
	ReasonRevoked          Reason = "revoked"
	ReasonRejected         Reason = "rejected"
	ReasonWrongStage       Reason = "wrongStage"
	ReasonStreamTruncated  Reason = "streamCut"
	ReasonTicketEvicted    Reason = "ticketForgotten"
	ReasonMemoryFull       Reason = "memoryFull"
	ReasonOutputNotKept    Reason = "answerNotHeld"
	ReasonWarming          Reason = "warming"
)

// RunRequest asks a sidecar to run one stage once.
type RunRequest struct {
	// Attempt is unique among all attempts of all processes.
	Attempt      string
	Request      string
	Organisation string
	// Weight is the organisation's weight in contended queues.
	Weight   int
	Pipeline string
	Stage    string
	Priority fleet.Priority
	// Remaining is the time left for the whole request. It is relative because
	// the clocks of instances differ.
	Remaining time.Duration
	// Generation is the sender's configuration generation.
	Generation uint64
	// Elsewhere is set when the sender knows another upstream that is warm. A sidecar
	// with a warming upstream then rejects the request at once if no slot is free.
	Elsewhere bool
	// Incarnation is the sidecar incarnation that the request is meant for, or empty.
	// It is set for runs that are not idempotent, so that a run that was started before
	// a restart of the sidecar is not started again.
	Incarnation string
	// Ticket and Reservation are set for a request that runs under a ticket of this sidecar.
	Ticket      string
	Reservation string
	// MaxTokens limits the generated tokens; 0 means the engine's default.
	MaxTokens int
	// Input is a JSON value.
	Input []byte
}

// RunReply is the result of an attempt.
type RunReply struct {
	Attempt   string
	Execution fleet.Execution
	Reason    Reason
	// Message describes a failure for people.
	Message string
	// Output is a JSON value; it is set only when Execution is Completed and Reason is empty.
	Output []byte
	Load   Load
}

// Succeeded reports whether the attempt completed with its complete output.
func (r *RunReply) Succeeded() bool {
	return r.Execution == fleet.Completed && r.Reason == ReasonNone
}

// Load is the load that a sidecar reports in every reply.
type Load struct {
	Incarnation string
	Generation  uint64
	// InFlight, Queued and Limit are in calls.
	InFlight int
	Queued   int
	Limit    int
	Leaving  bool
	// Warming is set while the limit is below the capacity after a start or a cold
	// transition.
	Warming bool
	// WarmingReason is why the limit was reset to the cold capacity; it is set with
	// Warming.
	WarmingReason string
	// ColdService is the recent mean service time since that reset, or 0. It is 0 for a
	// warm upstream.
	ColdService time.Duration
	// Service is the time that the upstream took for this call.
	Service time.Duration
	// Wait is the time that this call spent in the sidecar's queue.
	Wait time.Duration
}

// CancelRequest asks a sidecar to stop an attempt whose result is no longer needed.
type CancelRequest struct {
	Attempt string
}

// ResolveRequest asks for the result of an attempt. An attempt that the sidecar has
// not received is revoked, so that it can't start later.
type ResolveRequest struct {
	Attempt string
	// Incarnation is the sidecar incarnation that the attempt was sent to.
	Incarnation string
	// Wait is how long to wait for the end of an attempt that is running.
	Wait time.Duration
}

// IssueRequest asks for a ticket for one request of a stage.
type IssueRequest struct {
	Organisation string
	Pipeline     string
	Stage        string
	Generation   uint64
}

// IssueReply contains a ticket or the reason why none was issued.
type IssueReply struct {
	Ticket string
	// ExpiresIn is the time within which the ticket must first be used.
	ExpiresIn time.Duration
	Reason    Reason
	Load      Load
}

// ReserveRequest reserves a ticket for one request.
type ReserveRequest struct {
	Ticket string
	// Reservation identifies the request; only a run that names it may use the ticket.
	Reservation string
}

// ReserveReply reports whether the ticket was reserved, or else its state.
type ReserveReply struct {
	// Reserved is set when the request may run.
	Reserved  bool
	Execution fleet.Execution
	Reason    Reason
	// Output is the output of the stage if the ticket's request has already completed.
	Output []byte
}

// ReleaseRequest releases a reservation whose request is known not to have started.
type ReleaseRequest struct {
	Ticket      string
	Reservation string
}

// OutcomeRequest asks the owner of a claim for the outcome of its request.
type OutcomeRequest struct {
	// Incarnation is the entry incarnation that owns the claim.
	Incarnation string
	// Key identifies the claim.
	Key string
}

// OutcomeReply is the reply of the claim owner.
type OutcomeReply struct {
	// Held is false when the process is another incarnation or doesn't know the key.
	Held      bool
	Running   bool
	Execution fleet.Execution
	Reason    Reason
	// Answer is the JSON response of a completed request.
	Answer []byte
	// Dropped is set when the request completed and its response was too large to keep.
	Dropped bool
}

// DumpRequest asks a process for its state.
type DumpRequest struct{}

// DumpReply contains the state as JSON, without secrets.
type DumpReply struct {
	State []byte
}

// EngineState is the state of an upstream's engine, as reported to the reconciler.
type EngineState struct {
	Model string
	Role  string
	// CanLoadModel and CanChangeRole are the capabilities that the engine reports.
	CanLoadModel  bool
	CanChangeRole bool
	// Unavailable is set while the sidecar is leaving or the upstream is not responding.
	Unavailable bool
}

// EngineOrder tells an upstream the model to load or the role to take. It states the
// desired state and is idempotent.
type EngineOrder struct {
	// Model and Role are empty when the order doesn't change them.
	Model string
	Role  string
	// Fencing is the fencing token of the lease under which the order is sent. The
	// sidecar rejects a token lower than the highest one it has received, also for
	// engines that ignore tokens.
	Fencing uint64
}

// EngineOrderReply reports whether the order was rejected for its fencing token.
type EngineOrderReply struct {
	Stale bool
	// Highest is the highest fencing token received.
	Highest uint64
	// Unsupported is set when the engine doesn't support orders.
	Unsupported bool
}

// GenerationReply contains the generation in force in a process.
type GenerationReply struct {
	Generation uint64
}

// Empty is a message without content.
type Empty struct{}
