package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// Job is one piece to be made.
type Job struct {
	Piece dialect.Piece
	// Bytes is the approximate size of the result.
	Bytes int64
	// Due is when the piece must be done for its request to be on time.
	Due time.Time
	// GiveUp is when the piece ends if it still waits in the background: early enough for
	// its caller to come back.
	GiveUp time.Time
	// Deadline is when its request ends.
	Deadline time.Time
	// Domain is the failure domain where the result is needed; empty if it doesn't matter.
	Domain string
	// Deferred is set for a piece that waits behind those in time, though it may be in time
	// itself: its request is worth less than others.
	Deferred bool
	// Background pieces wait behind all others: their requests can't be on time.
	Background bool

	// tries is the number of calls that the piece was in.
	tries int
	// running is the number of calls in progress with the piece.
	running int
	// avoid is the upstream that the piece must not go to again while there are others.
	avoid  string
	done   bool
	queued bool
	finish func(Result)
}

// Copies returns so many jobs like this one, numbered from its index.
func (j Job) Copies(n int) []*Job {
	jobs := make([]*Job, n)
	for i := range jobs {
		c := j
		c.Piece.Index += i
		jobs[i] = &c
	}
	return jobs
}

// Result is what became of a job.
type Result struct {
	Handle string
	// Maker is the id of the upstream that holds the result.
	Maker         string
	FailureDomain string
	Failure       dialect.Failure
}

// Ranks of waiting pieces; lower ones go first.
const (
	rankInTime = iota
	rankYields
	rankLate
)

func (j *Job) rank() int {
	switch {
	case j.Background:
		return rankLate
	case j.Deferred:
		return rankYields
	}
	return rankInTime
}

// before orders the queue: by rank, then the one that is due first.
func (j *Job) before(other *Job) bool {
	if rank, otherRank := j.rank(), other.rank(); rank != otherRank {
		return rank < otherRank
	}
	return j.Due.Before(other.Due)
}
