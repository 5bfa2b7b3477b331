package entry

import "time"

// Headers of the callers' interface.
const (
	// HeaderPriority names the wanted priority.
	HeaderPriority = "Priority"
	// HeaderDeadline is the time that the caller gives the request, in milliseconds.
	HeaderDeadline = "Deadline-Ms"
	// HeaderIdempotencyKey identifies a request across its retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is 1 plus the number of the caller's earlier attempts under the key
	// that were not answered with notStarted.
	HeaderAttempt = "Idempotency-Attempt"
	// HeaderRequestID carries the id under which the request is logged.
	HeaderRequestID = "Request-Id"
)

// Bounds of requests.
const (
	// MaxKeyBytes is the longest idempotency key.
	MaxKeyBytes = 256
	// MaxTokens is the largest number of generated tokens that a caller may ask for.
	MaxTokens = 1 << 20
	// MinAttemptTime is the least time left for which another attempt is sent.
	MinAttemptTime = 2 * time.Millisecond
	// MaxAttempts bounds the attempts at one stage of one request.
	MaxAttempts = 4
	// MaxUncountedAttempts bounds the sidecars that one stage of one request brings the
	// configuration to, beyond MaxAttempts.
	MaxUncountedAttempts = 16
	// bodyReadTimeout bounds how long a caller may take to send the body.
	bodyReadTimeout = 10 * time.Second
	// writeTimeout bounds each write to a caller, so that a slow reader can't hold
	// a stream for ever.
	writeTimeout = 10 * time.Second
	// cancelTimeout bounds the message that stops an attempt.
	cancelTimeout = 500 * time.Millisecond
	// replyGrace is how much longer than the deadline a sidecar may take to reply,
	// so that its own deadline error arrives before the call is given up.
	replyGrace = 20 * time.Millisecond
	// resolveTimeout bounds one question for the outcome of an attempt.
	resolveTimeout = 2 * time.Second
	// resolveRetry is the pause between questions that were not answered.
	resolveRetry = 50 * time.Millisecond
	// followTimeout bounds how long the outcome of an attempt is asked for after its
	// caller got its answer. It is longer than a sidecar lets such a run go on.
	followTimeout = 45 * time.Second
	// recordTimeout bounds how long an answer waits for its outcome to be recorded.
	// The record is written later where the store is down for longer.
	recordTimeout = 250 * time.Millisecond
	// reserveTimeout bounds the messages about a ticket's right to run.
	reserveTimeout = time.Second
	// holderPoll is the pause between questions to the holder of a running request.
	holderPoll = 25 * time.Millisecond
	// maxClaimReads bounds how often one request reads a claim that another holds.
	maxClaimReads = 3
	// claimMargin is the part of a deadline that a claim leaves to the stages.
	claimMargin = 10 * time.Millisecond
	// prefixBytes is the part of an input that chooses the upstream with the cached prefix.
	prefixBytes = 256
)
