package engine

import "time"

// Bounds of the protocol.
const (
	// MaxReplyBytes is the largest reply of a call, streamed or not.
	MaxReplyBytes = 4 << 20
	// MaxEventBytes is the largest single event of a stream.
	MaxEventBytes = 1 << 20
	// MaxHeaderBytes is the largest header of a reply.
	MaxHeaderBytes = 64 << 10
	// MaxMessageBytes is how much of an error reply is kept for messages.
	MaxMessageBytes = 512
	// MaxErrorBytes is how much of the body of a failed reply is read.
	MaxErrorBytes = 16 << 10
	// DefaultDialTimeout bounds connecting to the upstream.
	DefaultDialTimeout = time.Second
	// DefaultMaxIdleConnections is the number of idle connections kept to the upstream.
	DefaultMaxIdleConnections = 256
	// IdleTimeout is how long an idle connection is kept. It is shorter than the
	// idle timeout of common engines (5 s), so that the engine rarely closes a
	// connection just as a call is sent on it, which would leave the call unknown.
	IdleTimeout = 4 * time.Second
	// drainTimeout is how long the end of a stream is awaited after its last event.
	drainTimeout = 100 * time.Millisecond
)

// Headers of calls and replies.
const (
	// AttemptHeader carries the attempt id of a call.
	AttemptHeader = "Bergamotrudder-Attempt"
	// ExecutionHeader is set to notStarted by an upstream that rejects a call without running it.
	ExecutionHeader = "Bergamotrudder-Execution"
	// PriorityHeader carries the name of the priority of a json call.
	PriorityHeader = "Bergamotrudder-Priority"
)

// Paths of the OpenAI-compatible protocol.
const (
	ChatPath       = "/v1/chat/completions"
	EmbeddingsPath = "/v1/embeddings"
)

// Paths of the extras. An engine that lacks one answers 404, 405 or 501 there.
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
