package pieces

import (
	"time"

	"github.com/phuslu/log"
)

// load is the state of a queue and of its upstreams, for the log.
type load struct {
	// normal, deferred and background are the numbers of queued pieces by rank.
	normal, deferred, background int
	// busy is the number of upstreams that run as many calls as they may. Of the others,
	// unavailable are in back-off, full have no room for results, and idle could get a call.
	busy, unavailable, full, idle int
	// heldBytes is the size of the results that the upstreams hold or produce for this queue,
	// and capacityBytes is what they can hold.
	heldBytes, capacityBytes int64
}

// MarshalObject writes the fields of the load.
func (l load) MarshalObject(e *log.Entry) {
	e.Int("normal", l.normal).Int("deferred", l.deferred).Int("background", l.background).
		Int("busy", l.busy).Int("unavailable", l.unavailable).Int("full", l.full).Int("idle", l.idle).
		Int64("heldBytes", l.heldBytes).Int64("capacityBytes", l.capacityBytes)
}

// load returns the present load.
func (b *Batcher) load(now time.Time) load {
	var l load
	l.normal = b.firstOfRank(rankDeferred)
	l.deferred = b.firstOfRank(rankBackground) - l.normal
	l.background = len(b.queue) - l.normal - l.deferred
	for _, u := range b.upstreams {
		l.heldBytes += u.heldBytes
		l.capacityBytes += b.batch.ResultCapacityBytes
		switch {
		case u.calls >= max(1, b.batch.Slots):
			l.busy++
		case u.removed || !u.record.Check(now).IsOpen():
			l.unavailable++
		case u.heldBytes > 0 && b.batch.ResultCapacityBytes > 0 && u.freeBytes(b.batch, now) <= 0:
			l.full++
		default:
			l.idle++
		}
	}
	return l
}
