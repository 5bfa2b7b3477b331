package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// Job is one piece to run.
type Job struct {
	Piece dialect.Piece
	// Bytes is the approximate size of the result.
	Bytes int64
	// Due is when the piece must be done for its request to meet its objective.
	Due time.Time
	// GiveUp is when the piece ends if it is still queued in the background: early enough
	// for its caller to retry.
	GiveUp time.Time
	// Deadline is the deadline of its request.
	Deadline time.Time
	// Domain is the failure domain where the result is needed; empty for any.
	Domain string
	// Deferred pieces are queued behind normal ones, because their request has a low value
	// and is expected to meet its objective by less than the reserve (pipeline.Reserve). It
	// may still meet the objective behind them.
	Deferred bool
	// Background pieces are queued behind all others: their requests can't meet their
	// objective.
	Background bool

	// Pinned pieces stay in this queue when it is handed over.
	Pinned bool
	// InputsRead may be nil. Dispatcher.Run calls it once, in a goroutine of its own, when all
	// its pieces are in calls that have had the time to read their inputs.
	InputsRead func()

	// tries is the number of calls that the piece was sent in.
	tries int
	// running is the number of calls in progress that contain the piece.
	running int
	// avoid is the id of the upstream that must not get the piece again while there are others.
	avoid  string
	done   bool
	queued bool
	finish func(Result)
	// inputsRead may be nil. The batcher calls it when a call with the piece has had the time
	// to read the inputs, at most once.
	inputsRead func()
}

// Memory that a gateway holds for the pieces of one stage of a request.
const (
	// runBytes is for the goroutine and the messages of a run.
	runBytes = 8 << 10
	// pieceBytes is for a queued job with its result and what the batcher remembers of it.
	pieceBytes = 640
	// handleBytes is for the handle of an input, and encodedHandleBytes for the same in the body of
	// a call, which has the inputs of each of its pieces.
	handleBytes        = 64
	encodedHandleBytes = 40
)

// Memory returns the memory for n copies of the job, of which up to atOnce are in calls at a time.
func (j *Job) Memory(n, atOnce int) int64 {
	inputs := int64(len(j.Piece.Inputs))
	return runBytes + int64(n)*pieceBytes + inputs*handleBytes + int64(min(n, atOnce))*inputs*encodedHandleBytes
}

// Copies returns n copies of the job, with piece indices that count up from its own.
func (j Job) Copies(n int) []*Job {
	jobs := make([]*Job, n)
	for i := range jobs {
		c := j
		c.Piece.Index += i
		jobs[i] = &c
	}
	return jobs
}

// FailureHandedOver is the failure of a piece that has not run because another gateway owns
// its queue now.
const FailureHandedOver dialect.Failure = "handedOver"

// FailureNoUpstream is the failure of a piece that has not run because each upstream leaves or
// wants quiet for longer than the piece may wait.
const FailureNoUpstream dialect.Failure = "noUpstream"

// FailureNoMemory is the failure of a piece that has not run because the gateway that owns its queue
// has no memory for it.
const FailureNoMemory dialect.Failure = "noMemory"

// Result is the outcome of a job.
type Result struct {
	Handle string
	// Maker is the id of the upstream that holds the result.
	Maker         string
	FailureDomain string
	Failure       dialect.Failure
}

// Ranks of queued pieces; lower ones run first.
const (
	rankNormal = iota
	rankDeferred
	rankBackground
)

func (j *Job) rank() int {
	switch {
	case j.Background:
		return rankBackground
	case j.Deferred:
		return rankDeferred
	}
	return rankNormal
}

// before orders the queue by rank, then by due time.
func (j *Job) before(other *Job) bool {
	if rank, otherRank := j.rank(), other.rank(); rank != otherRank {
		return rank < otherRank
	}
	return j.Due.Before(other.Due)
}
