package gateway

import "time"

const (
	// maxUnreachable is how many upstreams are tried that take no connection, for one
	// request: it was not sent to any of them.
	maxUnreachable = 3
	// silenceShare of the objective, and at least minSilence, is how long an upstream may
	// be silent before a request that may be repeated goes to another one.
	silenceShare = 0.6
	minSilence   = 150 * time.Millisecond
	// plainAnswerBytes is the size up to which an answer is read whole before it is
	// passed on, so that a broken one can be told from a whole one in its status.
	plainAnswerBytes = 256 << 10
	// streamBuffer is the size of one read of a long answer.
	streamBuffer = 16 << 10
	// unsafeIdle is how long a connection may have been idle for a request that must not
	// be repeated: an upstream that closes an idle connection at the moment of a send
	// leaves it unknown whether the request ran.
	unsafeIdle = time.Second
	// safeIdle is the same for a request that may be repeated.
	safeIdle = 10 * time.Second
	// defaultTimeout bounds a request whose route and caller state no time.
	defaultTimeout = 30 * time.Second
	// shortRetry is the time after which a caller may return that met a short lack of
	// upstreams or of configuration.
	shortRetry = 300 * time.Millisecond
	// maxRetry bounds the advice to come back later.
	maxRetry = 3 * time.Second
	// lateShare is the part of a service that is expected to be left to late work by work
	// in time, which goes first.
	lateShare = 1.0 / 3
	// honouredShare is the part of a caller's time up to which it honours the advice to come
	// back later, by the platform's protocol: a third.
	honouredShare = 3
	// adviceTransit is what may pass of the caller's time until it reads the advice.
	adviceTransit = 10 * time.Millisecond
	// waitShare and laterWaitShare of the time until a caller must have its first byte are
	// what a request waits at most for its first and for its later stages once it can't be
	// on time. A caller that is refused then can still come back.
	waitShare      = 0.6
	laterWaitShare = 0.75
	// minPatience, objectivePatience and gapPatience are how long callers wait for the
	// first event of a stream by the platform's protocol: the longest of a time, a multiple
	// of the objective and a multiple of the longest pause that is on time.
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// maxPieces bounds the pieces of one stage of a request, and with them the memory that
	// one request can take.
	maxPieces = 1024
	// maxRemakes is how often the stages before one are made again when their results are
	// gone: makers that crash one after the other are rare within a request's time.
	maxRemakes = 2
	// largeResult is the number of bytes to be moved from which pieces should be made in a
	// certain failure domain: fewer cost less to move than to wait for.
	largeResult = 100_000
	// engineTime is what a request is expected to need from the end of its stages to the
	// first event of its answer when nothing waits.
	engineTime = 150 * time.Millisecond
	// defaultHeaderBytes is the limit of a request's header before a configuration
	// states one.
	defaultHeaderBytes = 16 << 10
	// urgencyStep spreads the ranks of routes over the engine's scale of 0 to 9.
	urgencyStep = 2
	maxUrgency  = 9
)
