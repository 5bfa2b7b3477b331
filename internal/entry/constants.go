package entry

import "time"

// Headers of the caller API.
const (
	// HeaderPriority carries the name of the requested priority.
	HeaderPriority = "Priority"
	// HeaderDeadline carries the time limit of the request in milliseconds.
	HeaderDeadline = "Deadline-Ms"
	// HeaderIdempotencyKey identifies a request across its retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt carries 1 for the caller's first try with the key. The caller adds 1
	// after each try that did not end with the response notStarted.
	HeaderAttempt = "Idempotency-Attempt"
	// HeaderRequestID carries the id of the request in the logs.
	HeaderRequestID = "Request-Id"
)

// Limits and time-outs of requests.
const (
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 256
	// MaxTokens is the largest number of generated tokens that a caller may request.
	MaxTokens = 1 << 20
	// MinAttemptTime is the minimum time before the deadline for another attempt.
	MinAttemptTime = 2 * time.Millisecond
	// MaxAttempts is the maximum number of attempts per stage of a request.
	MaxAttempts = 4
	// MaxUncountedPushes is the maximum number of pushes of the configuration to sidecars,
	// per stage of a request, that each allow an attempt beyond MaxAttempts. The first
	// refusal by a warming upstream allows one more.
	MaxUncountedPushes = 16
	// streamBytes is the memory for a request on a connection of HTTP/2: its goroutine, which ends only
	// with it, and the pipe of its body.
	streamBytes = 16 << 10
	// bodyReadTimeout is the time limit for receiving the body of a request.
	bodyReadTimeout = 10 * time.Second
	// writeTimeout is the time limit for each write to a caller. It keeps a slow reader
	// from blocking a stream for ever.
	writeTimeout = 10 * time.Second
	// cancelTimeout is the time limit for the call that cancels an attempt.
	cancelTimeout = 500 * time.Millisecond
	// replyGrace is the time after the deadline in which a sidecar may still reply, so
	// that its own deadline error arrives before the call times out.
	replyGrace = 20 * time.Millisecond
	// resolveTimeout is the time limit for one query for the outcome of an attempt.
	resolveTimeout = 2 * time.Second
	// resolveRetryInterval is the pause between two such queries.
	resolveRetryInterval = 50 * time.Millisecond
	// pendingTimeout is the time limit for querying the outcome of an attempt after its
	// caller got a response. It exceeds the time for which a sidecar lets such a run continue.
	pendingTimeout = 45 * time.Second
	// recordTimeout is the longest time that a response waits for its outcome to be
	// recorded. If the store is unavailable for longer, the record is written later.
	recordTimeout = 250 * time.Millisecond
	// reserveTimeout is the time limit for issuing, reserving and releasing a ticket.
	reserveTimeout = time.Second
	// ownerPollInterval is the pause between two queries to the claim owner of a running request.
	ownerPollInterval = 25 * time.Millisecond
	// maxClaimReads is how often one request reads a claim that another request has.
	maxClaimReads = 3
	// claimMargin is the time before the deadline that a claim leaves for the stages.
	claimMargin = 10 * time.Millisecond
	// affinityPrefixBytes is the length of the input prefix from which the affinity key is
	// computed.
	affinityPrefixBytes = 256
)
