package engine

import "time"

// Limits and time-outs of the protocol.
const (
	// MaxReplyBytes is the largest response body of a call, streamed or not.
	MaxReplyBytes = 4 << 20
	// MaxEventBytes is the largest single event of a stream.
	MaxEventBytes = 1 << 20
	// MaxHeaderBytes is the largest response header.
	MaxHeaderBytes = 64 << 10
	// maxStatus is the largest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// MaxMessageBytes is the length to which the message of an error response is truncated.
	MaxMessageBytes = 512
	// MaxErrorBytes is how much of the body of an error response is read, and how much is
	// read after the last event of a stream.
	MaxErrorBytes = 16 << 10
	// DefaultDialTimeout is the time-out for connecting to the upstream.
	DefaultDialTimeout = time.Second
	// DefaultMaxIdleConnections is the number of idle connections kept to the upstream.
	DefaultMaxIdleConnections = 256
	// IdleTimeout is how long an idle connection is kept. It is shorter than the idle
	// timeout of common engines (5 s), so that an engine rarely closes a connection while
	// a call is being sent on it, which would make the call's execution unknown.
	IdleTimeout = 4 * time.Second
	// drainTimeout is how long to wait for the end of a stream after its last event.
	drainTimeout = 100 * time.Millisecond
)

// Headers of calls and responses.
const (
	// AttemptHeader contains the attempt id of a call.
	AttemptHeader = "Bergamotrudder-Attempt"
	// ExecutionHeader is set to notStarted by an upstream that rejects a call without running it.
	ExecutionHeader = "Bergamotrudder-Execution"
	// PriorityHeader contains the name of the priority of a json call.
	PriorityHeader = "Bergamotrudder-Priority"
)

// Paths of the OpenAI-compatible protocol.
const (
	ChatPath       = "/v1/chat/completions"
	EmbeddingsPath = "/v1/embeddings"
)

// Paths of the optional endpoints. An engine without an endpoint returns 404, 405 or 501.
const (
	DescriptionPath = "/v1/engine"
	LoadPath        = "/v1/engine/load"
	CacheEventsPath = "/v1/engine/cache/events"
	StreamsPath     = "/v1/engine/streams/"
	CancelPath      = "/v1/engine/cancel"
	ModelPath       = "/v1/engine/model"
	RolePath        = "/v1/engine/role"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
	doneEvent         = "[DONE]"
)
