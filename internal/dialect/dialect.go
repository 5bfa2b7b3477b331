// Package dialect defines, in the product's own types, what a gateway reads from and
// writes to the wire of callers, upstreams and the platform's object API.
//
// A Dialect is a set of functions that an adapter for a platform provides. It translates
// names and formats and makes no decisions: whether a request may be rerun, where it is
// sent and when it is refused is up to the gateway.
//
// # Usage
//
//	req := d.ReadRequest(r.Header)
//	header := d.Forward(r.Header, dialect.Outgoing{Remaining: left, Instance: id})
//	info := d.ReadResponseInfo(resp.Header)
package dialect

import (
	"net/http"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// Dialect translates between a deployment's wire formats and the product's types. All
// fields are required.
type Dialect struct {
	// Store is the format of the object API.
	Store platform.Wire
	// ConfigurationName is the name of the object that holds the configuration.
	ConfigurationName string
	// Configuration decodes the operators' configuration.
	Configuration func(spec []byte) (catalog.Configuration, error)
	// ConfigurationPath translates a path into the decoded configuration, such as
	// routes[0].timeout, into the path of the field in the spec.
	ConfigurationPath func(path string) string
	// Upstream decodes the registration of an upstream. It returns an error if the
	// registration has no usable upstream.
	Upstream func(id string, spec []byte) (catalog.Upstream, error)
	// Rollout decodes the object with the name that orders a roll-out, and RolloutStatus encodes
	// its status.
	Rollout       func(name string, spec, status []byte) rollout.Order
	RolloutStatus func(rollout.Status) ([]byte, error)

	// ReadinessPath is the path of the load balancer's readiness check.
	ReadinessPath string
	// ReadRequest reads the protocol metadata of a caller's request.
	ReadRequest func(http.Header) Request
	// Forward returns the header for an upstream: the caller's without hop-by-hop fields
	// and without fields that only the system may set, and with the outgoing values.
	Forward func(http.Header, Outgoing) http.Header
	// ReadResponseInfo reads the protocol metadata of an upstream's response.
	ReadResponseInfo func(http.Header) ResponseInfo

	// BatchPath is the path of batched calls, ReleasePath that of calls that release results.
	BatchPath   string
	ReleasePath string
	// EncodeBatch and EncodeRelease return the bodies of these calls.
	EncodeBatch   func([]Piece) ([]byte, error)
	EncodeRelease func(handles []string) ([]byte, error)
	// DecodeBatch reads the response to a batched call, in the order of its pieces.
	DecodeBatch func([]byte) ([]Result, error)
	// BatchHeader returns the header of a batched call to the upstream with the id.
	BatchHeader func(instance string) http.Header
}

// Request is the protocol metadata of a caller's request.
type Request struct {
	// ID is the id of this attempt of the caller.
	ID string
	// Remaining is how long the caller waits; 0 if not stated.
	Remaining time.Duration
	// Key identifies the organisation; empty if there is none.
	Key string
	// PromptTokens is the size of the prompt; 0 if not stated.
	PromptTokens int
	// OutputTokens is the largest number of tokens in the response; 0 if not stated.
	OutputTokens int
	// Parts lists the parts of the prompt in order. The last one belongs to the request or
	// its session alone.
	Parts []PromptPart
	// Pieces is the number of pieces of each stage, and PieceKey identifies their input.
	Pieces   []int
	PieceKey string
}

// PromptPart is a part of a prompt. Requests may share leading parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// Outgoing is the protocol metadata of a request to an upstream.
type Outgoing struct {
	// Remaining is the remaining time of the request.
	Remaining time.Duration
	// Instance is the id of the upstream that the request is meant for.
	Instance string
	// Organisation is the name of the organisation that the caller's key belongs to, or empty.
	Organisation string
	// Urgency ranks the request on an engine, with 0 as the most urgent; a negative value is
	// not sent.
	Urgency int
	// Inputs lists the handles of the results that the request needs.
	Inputs []string
}

// ResponseInfo is the protocol metadata of an upstream's response.
type ResponseInfo struct {
	// ID is the attempt that the response belongs to; empty if not stated.
	ID string
	// Signed is set if the response has the upstream's signature.
	Signed bool
	// NotExecuted is set if the request has not run and never will.
	NotExecuted bool
	// ColdFor is the remaining cold time of the upstream.
	ColdFor time.Duration
	// RetryAfter is the time after which to retry, or 0. InvalidRetryAfter is its text if it
	// states no time, and empty otherwise.
	RetryAfter        time.Duration
	InvalidRetryAfter string
	// Load is the load that the upstream states; its zero value if it states none.
	Load Load
	// Leaving is set if the upstream shuts down and should get no new requests.
	Leaving bool
	// InvalidLeaving is the value that should state whether the upstream leaves, if it can't
	// be read, and empty otherwise.
	InvalidLeaving string
	// Limit is how many requests a second the upstream takes from all gateways together, if
	// HasLimit. InvalidLimit is its text if it is no such number, and empty otherwise.
	Limit        float64
	HasLimit     bool
	InvalidLimit string
}

// Load is the load of an upstream at the time of a response.
type Load struct {
	// Running and Waiting are numbers of requests, and Slots is how many run at once. Slots is
	// 0 if no load was stated.
	Running, Waiting, Slots int
	// WorkTime is the time that work takes relative to the usual time, because of others on the
	// machine of the upstream; 1 if not stated.
	WorkTime float64
}

// Piece is one piece of a stage of a request.
type Piece struct {
	// ID is the id of the caller's attempt.
	ID    string
	Stage int
	// Index is the number of the piece in its stage, from 0.
	Index     int
	Remaining time.Duration
	// Key is set for a stage without inputs.
	Key string
	// Inputs lists the handles of all results that the stage needs.
	Inputs []string
}

// Failure is the reason why a piece has no result.
type Failure string

// Failures of pieces.
const (
	// FailureNone is set if the piece has a result.
	FailureNone Failure = ""
	// FailureExpired means that the piece's time was over.
	FailureExpired Failure = "late"
	// FailureInputMissing means that an input no longer exists.
	FailureInputMissing Failure = "input"
	// FailureNoCapacity means that the upstream had no free capacity for the result.
	FailureNoCapacity Failure = "room"
	// FailureExecution means that the piece was run and failed.
	FailureExecution Failure = "work"
)

// Result is the outcome of a piece.
type Result struct {
	// Handle identifies the result on the upstream that holds it.
	Handle  string
	Failure Failure
}
