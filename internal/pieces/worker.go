package pieces

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// worker is one upstream of the service.
type worker struct {
	member *catalog.Member
	calls  int
	// pace is the time of recent calls relative to the stated one.
	pace float64
	// failures counts failed calls in a row.
	failures int
	// resting is until when the upstream gets no call.
	resting time.Time
	// held are the bytes of results that the upstream is known to hold.
	held int64
	// unknown are bytes that the upstream holds by its own word for others, until expires.
	unknown int64
	expires time.Time
	gone    bool
}

// room returns the bytes that are left for results.
func (w *worker) room(batch catalog.Batch, now time.Time) int64 {
	left := batch.ResultCapacityBytes - w.held
	if now.Before(w.expires) {
		left -= w.unknown
	}
	return left
}

func (w *worker) betterThan(other *worker) bool {
	if slow, otherSlow := w.pace > slowPace, other.pace > slowPace; slow != otherSlow {
		return otherSlow
	}
	if w.failures != other.failures {
		return w.failures < other.failures
	}
	if w.held != other.held {
		return w.held < other.held
	}
	return w.member.ID < other.member.ID
}
