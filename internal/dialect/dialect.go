// Package dialect describes, in the product's own words, what a gateway reads from and
// writes to the wire of callers, upstreams and the platform's object API.
//
// A Dialect is a set of functions that an adapter fills in. It translates names and
// formats and decides nothing: what a request may do, where it goes and when it is
// refused is up to the gateway.
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
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// Dialect translates between a deployment's wire and the product. All fields are required.
type Dialect struct {
	// Store is the format of the object API.
	Store platform.Wire
	// ConfigurationName is the name of the object that holds the configuration.
	ConfigurationName string
	// Configuration decodes the operators' configuration.
	Configuration func(spec []byte) (catalog.Configuration, error)
	// Upstream decodes the entry of an upstream. The error says that the entry names no
	// upstream that may be used.
	Upstream func(id string, spec []byte) (catalog.Upstream, error)

	// ReadinessPath is what the balancer asks for.
	ReadinessPath string
	// ReadRequest reads what a caller says of its request.
	ReadRequest func(http.Header) Request
	// Forward returns the header for an upstream: the caller's without what concerns one
	// connection and without what only the system sets, and with the outgoing values.
	Forward func(http.Header, Outgoing) http.Header
	// ReadResponseInfo reads what an upstream says of its answer.
	ReadResponseInfo func(http.Header) ResponseInfo

	// BatchPath takes a batch of pieces, ReleasePath the handles of results to drop.
	BatchPath   string
	ReleasePath string
	// EncodeBatch and EncodeRelease return the bodies of these calls.
	EncodeBatch   func([]Piece) ([]byte, error)
	EncodeRelease func(handles []string) ([]byte, error)
	// DecodeBatch reads the reply to a batch, in the order of its pieces.
	DecodeBatch func([]byte) ([]Result, error)
	// BatchHeader returns the header of a call to the upstream with the id.
	BatchHeader func(instance string) http.Header
}

// Request is what a caller says of its request.
type Request struct {
	// ID is the id of this attempt of the caller.
	ID string
	// Remaining is how long the caller waits; 0 if it doesn't say.
	Remaining time.Duration
	// Key identifies the organisation; empty if there is none.
	Key string
	// PromptTokens is the size of the prompt; 0 if not stated.
	PromptTokens int
	// OutputTokens is how many tokens the answer may have at most; 0 if not stated.
	OutputTokens int
	// Parts are the parts of the prompt in order. The last one is the request's own or
	// its session's.
	Parts []PromptPart
	// Pieces is the number of pieces of each stage, and PieceKey what they are made from.
	Pieces   []int
	PieceKey string
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Outgoing is what the system says to an upstream about a request.
type Outgoing struct {
	// Remaining is what is left of the time.
	Remaining time.Duration
	// Instance is the id of the upstream that the request is meant for.
	Instance string
	// Organisation is the holder of the caller's key, if there is one.
	Organisation string
	// Urgency ranks the request at an engine, 0 being first; negative leaves it out.
	Urgency int
	// Inputs are the handles of the results that the request needs.
	Inputs []string
}

// ResponseInfo is what an upstream says of its answer.
type ResponseInfo struct {
	// ID is the attempt that the answer belongs to; empty if it isn't stated.
	ID string
	// Signed says that the answer carries the upstream's signature.
	Signed bool
	// NotExecuted says that the request has not run and never will.
	NotExecuted bool
	// ColdFor is how much longer the upstream is cold.
	ColdFor time.Duration
	// RetryAfter is when to come back, or 0.
	RetryAfter time.Duration
}

// Piece is one piece of a request's stage.
type Piece struct {
	// ID is the id of the caller's attempt.
	ID    string
	Stage int
	// Index numbers the pieces of a stage from 0.
	Index     int
	Remaining time.Duration
	// Key is set for a stage without inputs.
	Key string
	// Inputs are the handles of all results that the stage needs.
	Inputs []string
}

// Failure says why a piece has no result.
type Failure string

// Failures of pieces.
const (
	// FailureNone is set with a handle.
	FailureNone Failure = ""
	// FailureExpired says that the piece's time had passed.
	FailureExpired Failure = "late"
	// FailureInputMissing says that an input is gone.
	FailureInputMissing Failure = "input"
	// FailureNoCapacity says that the upstream had no room for the result.
	FailureNoCapacity Failure = "room"
	// FailureExecution says that the work failed.
	FailureExecution Failure = "work"
)

// Result is what became of a piece.
type Result struct {
	// Handle names the result at its maker.
	Handle  string
	Failure Failure
}
