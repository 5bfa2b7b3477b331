package sidecar

import "sync/atomic"

// activity is one attempt in the count of attempts in progress. The run of the attempt and
// the cancellation that may outlast it both hold the activity, which counts once.
type activity struct {
	count   *atomic.Int64
	holders atomic.Int32
}

// newActivity counts an attempt; the caller holds it.
func newActivity(count *atomic.Int64) *activity {
	count.Add(1)
	a := &activity{count: count}
	a.holders.Store(1)
	return a
}

// hold adds a holder. Only a holder may add another one.
func (a *activity) hold() { a.holders.Add(1) }

// release removes a holder. The attempt leaves the count with its last one.
func (a *activity) release() {
	if a.holders.Add(-1) == 0 {
		a.count.Add(-1)
	}
}
