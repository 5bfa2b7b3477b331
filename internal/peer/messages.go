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

// Reason says why a call ended as it did; it is a metric tag and a log field.
type Reason string

// Reasons of a sidecar.
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
	// whose upstream warms up then refuses at once what it has no slot for.
	Elsewhere bool
	// Incarnation is the sidecar incarnation that the request is meant for, or empty.
	// Runs that may not be repeated name it, so that a restart can't hide one.
	Incarnation string
	// Ticket and Reservation are set for a request that runs under a ticket of this sidecar.
	Ticket      string
	Reservation string
	// MaxTokens bounds generated tokens; 0 leaves it to the engine.
	MaxTokens int
	// Input is a JSON value.
	Input []byte
}

// RunReply is the end of an attempt.
type RunReply struct {
	Attempt   string
	Execution fleet.Execution
	Reason    Reason
	// Message explains a failure in words.
	Message string
	// Output is a JSON value; it is set only when Execution is Completed and Reason is empty.
	Output []byte
	Load   Load
}

// Succeeded reports whether the attempt ended with its whole output.
func (r *RunReply) Succeeded() bool {
	return r.Execution == fleet.Completed && r.Reason == ReasonNone
}

// Load is what a sidecar says of itself on every reply.
type Load struct {
	Incarnation string
	Generation  uint64
	// InFlight, Queued and Limit are in calls.
	InFlight int
	Queued   int
	Limit    int
	Leaving  bool
	// Warming is set while the limit is below the capacity after a start or a cold turn.
	Warming bool
	// WarmingReason says why it returned to the cold capacity; it is set with Warming.
	WarmingReason string
	// ColdService is the recent mean service time since then, or 0. It is 0 for a warm upstream.
	ColdService time.Duration
	// Service is the time that the upstream took for this call.
	Service time.Duration
	// Wait is the time that this call spent in the sidecar's queue.
	Wait time.Duration
}

// CancelRequest asks a sidecar to stop an attempt whose result is no longer wanted.
type CancelRequest struct {
	Attempt string
}

// ResolveRequest asks what became of an attempt. An attempt that the sidecar has
// not seen is revoked, so that it can never start later.
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

// IssueReply carries a ticket or the reason why none is issued.
type IssueReply struct {
	Ticket string
	// ExpiresIn is the time in which the ticket must first be used.
	ExpiresIn time.Duration
	Reason    Reason
	Load      Load
}

// ReserveRequest takes the right to run under a ticket for one request.
type ReserveRequest struct {
	Ticket string
	// Reservation identifies the request; only a run that names it may use the ticket.
	Reservation string
}

// ReserveReply says whether the right was taken, or what became of the ticket.
type ReserveReply struct {
	// Reserved is set when the request may run.
	Reserved  bool
	Execution fleet.Execution
	Reason    Reason
	// Output is the output of the stage when the ticket's request had completed.
	Output []byte
}

// ReleaseRequest gives the right back after the request certainly did not start.
type ReleaseRequest struct {
	Ticket      string
	Reservation string
}

// OutcomeRequest asks the holder of a claim for the outcome of its request.
type OutcomeRequest struct {
	// Incarnation is the entry incarnation that holds the claim.
	Incarnation string
	// Key identifies the claim.
	Key string
}

// OutcomeReply is the holder's answer.
type OutcomeReply struct {
	// Held is false when the process is another incarnation or doesn't know the key.
	Held      bool
	Running   bool
	Execution fleet.Execution
	Reason    Reason
	// Answer is the JSON answer of a completed request.
	Answer []byte
	// Dropped is set when the request completed and its answer was too large to keep.
	Dropped bool
}

// DumpRequest asks a process for its state.
type DumpRequest struct{}

// DumpReply carries the state as JSON, without secrets.
type DumpReply struct {
	State []byte
}

// EngineState is what an upstream reports of itself to the reconciler.
type EngineState struct {
	Model string
	Role  string
	// CanLoadModel and CanChangeRole are its stated capabilities.
	CanLoadModel  bool
	CanChangeRole bool
	// Unavailable is set while the sidecar is leaving or the upstream doesn't answer.
	Unavailable bool
}

// EngineOrder tells an upstream the model to load or the role to take. It states the
// wanted end and may be repeated.
type EngineOrder struct {
	// Model and Role are empty when the order doesn't concern them.
	Model string
	Role  string
	// Fencing is the number of the lease under which the order is given. The sidecar
	// refuses a lower one than it has seen, also for engines that ignore the number.
	Fencing uint64
}

// EngineOrderReply says whether the order was refused for its fencing number.
type EngineOrderReply struct {
	Stale bool
	// Highest is the highest fencing number seen.
	Highest uint64
	// Unsupported is set when the engine takes no such orders.
	Unsupported bool
}

// GenerationReply tells the generation in force in a process.
type GenerationReply struct {
	Generation uint64
}

// Empty is a message without content.
type Empty struct{}
