package gateway

import "time"

const (
	// maxConnectFailures bounds the upstreams tried for one request that accept no
	// connection. The request was not sent to any of them.
	maxConnectFailures = 3
	// maxResendsAfterRefusal bounds how often a request is sent to another upstream after a
	// refusal that states that nothing ran. Each refusal takes a round trip, and upstreams that
	// are full are often full together.
	maxResendsAfterRefusal = 3
	// responseTimeoutFraction of the objective, and at least minResponseTimeout, is the time
	// after which an idempotent request without a response is retried at another upstream.
	responseTimeoutFraction = 0.6
	minResponseTimeout      = 150 * time.Millisecond
	// engineResponseTimeoutFraction is the same for engines. One that is late reads the prompt
	// behind others, and another one would have to read it from the start.
	engineResponseTimeoutFraction = 1.0
	// maxBufferedBytes is the stated length up to which a response is buffered before it is
	// forwarded, unless its route is streaming, so that a truncated response still turns into
	// an error status. Of a response with a status other than 2xx, the first maxBufferedBytes
	// are buffered and the rest is forwarded as it arrives.
	maxBufferedBytes = 256 << 10
	// streamBufferBytes is the size of one read of a streamed response.
	streamBufferBytes = 16 << 10
	// writePartBytes is the size of one write of a buffered response.
	writePartBytes = 64 << 10
	// maxIdleNonIdempotent is the longest idle time of a connection that is reused for a
	// request that is not idempotent: if the upstream closes an idle connection during a
	// send, it is unknown whether the request ran.
	maxIdleNonIdempotent = time.Second
	// maxIdleIdempotent is the same for an idempotent request.
	maxIdleIdempotent = 10 * time.Second
	// defaultTimeout stands in for the remaining time that a caller doesn't state. A route's
	// timeout can shorten it, but not extend it.
	defaultTimeout = 30 * time.Second
	// minRetryAfter is the Retry-After value for a short lack of upstreams or of
	// configuration, and the least value otherwise.
	minRetryAfter = 300 * time.Millisecond
	// leavingRetryAfter is the Retry-After value of a gateway that shuts down: others can take
	// the request at once.
	leavingRetryAfter = 20 * time.Millisecond
	// maxRetryAfter bounds the Retry-After value, unless upstreams stated a longer time.
	maxRetryAfter = 3 * time.Second
	// returnSpreadDivisor defines the random part of a Retry-After value for a service whose
	// upstreams want quiet or leave: up to a quarter of the time.
	returnSpreadDivisor = 4
	// backgroundServiceFraction is the fraction of a service's capacity that is expected to
	// be left for background work, as work that can meet its objective runs first.
	backgroundServiceFraction = 1.0 / 3
	// retryAfterDivisor is 3 because callers honour a Retry-After value of up to a third of
	// their time, by the platform's protocol.
	retryAfterDivisor = 3
	// responseTransit allows for the time until the caller has read the Retry-After value.
	responseTransit = 10 * time.Millisecond
	// firstStageWaitFraction and laterStageWaitFraction bound how long background pieces of
	// first and of later stages queue, as fractions of the time from the arrival of the
	// request until its first-byte deadline. A caller that is refused then can still retry.
	firstStageWaitFraction = 0.6
	laterStageWaitFraction = 0.75
	// minEventTimeout, eventObjectives and eventGaps define how long callers wait for the
	// first or the next event of a stream by the platform's protocol: the longest of a fixed
	// time, a multiple of the objective and a multiple of the gap objective, the longest
	// allowed pause between events.
	minEventTimeout = 2 * time.Second
	eventObjectives = 4
	eventGaps       = 8
	// defaultBodyBytes bounds a request's body, which is kept in memory until the request
	// ends, unless the configuration has a limit.
	defaultBodyBytes = 8 << 20
	// refusalLinesPerSecond is the number of log lines a second for requests that were refused for
	// their bodies; further ones are logged at the level debug.
	refusalLinesPerSecond = 10
	// maxLoggedParts bounds the parts of a prompt in one log line.
	maxLoggedParts = 16
	// refusedBodyWait is how long a request that is refused before its body is read has for the body
	// to arrive. If it does, the caller keeps its connection.
	refusedBodyWait = 250 * time.Millisecond
	// callerWriteGrace is how long after its deadline a response may still be written to a
	// caller that reads slowly.
	callerWriteGrace = time.Second
	// maxPiecesPerStage bounds the pieces of one stage of a request, and with them the
	// memory that one request can use.
	maxPiecesPerStage = 1024
	// stageBytes is the memory for running one stage, with its goroutines and its call to the owner of
	// the queue, and resultBytes that for a result, with its handle in the header for the engine.
	stageBytes  = 8 << 10
	resultBytes = 256
	// maxStageReruns is how often the stages before one are rerun when their results were
	// lost: successive crashes of upstreams that hold results are rare within the time of
	// one request.
	maxStageReruns = 2
	// minLocalityBytes is the number of bytes to transfer above which a failure domain is
	// preferred: transferring fewer takes less time than queueing for a certain domain.
	minLocalityBytes = 100_000
	// unloadedEngineTime is the expected time from the end of the stages to the first byte of
	// the response of a service without engines, and minEngineTime the least of one with
	// engines, which covers the way of the first event to the caller.
	unloadedEngineTime = 150 * time.Millisecond
	minEngineTime      = 50 * time.Millisecond
	// defaultHeaderBytes is the limit of a request's header unless the configuration sets a
	// higher one.
	defaultHeaderBytes = 16 << 10
	// urgencyStep spreads the priorities of routes and organisations over the engine's scale
	// of 0 to 9, where 0 is the most urgent and lastUrgency the least.
	urgencyStep = 2
	lastUrgency = 9
)
