package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// resumeGrace is how long a stalled stream may still deliver an event after its time-out: a
// process that was paused finds the time-out expired and the events of the pause unread.
const resumeGrace = 200 * time.Millisecond

// errNoEvent is the cause of a stream that was ended because its upstream sent no complete
// event for the time that callers wait for one.
var errNoEvent = errors.New("no complete event from the upstream within the time that callers wait for one")

// stallTimer ends a stream whose upstream sends no complete event for the time-out. Only the
// time in which the gateway waits for the upstream counts, not that in which a slow caller
// takes what was read. Bytes that complete no event don't extend the time.
type stallTimer struct {
	timeout time.Duration
	cancel  context.CancelCauseFunc
	// waited is the time waited for the upstream since the last event.
	waited  time.Duration
	started time.Time

	mu    sync.Mutex
	timer *time.Timer
}

// newStallTimer returns a timer that ends the stream by cancel, and never if the time-out is 0.
func newStallTimer(timeout time.Duration, cancel context.CancelCauseFunc) *stallTimer {
	return &stallTimer{timeout: timeout, cancel: cancel}
}

// begin is called before the gateway waits for the upstream.
func (s *stallTimer) begin() {
	if s.timeout <= 0 {
		return
	}
	s.started = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(max(s.timeout-s.waited, 0), s.expired)
}

func (s *stallTimer) expired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer = time.AfterFunc(resumeGrace, func() { s.cancel(errNoEvent) })
	}
}

func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
	s.timer = nil
}

// end is called after a read, with whether it completed an event.
func (s *stallTimer) end(completedEvent bool) {
	if s.timeout <= 0 {
		return
	}
	s.stop()
	s.waited += time.Since(s.started)
	switch {
	case completedEvent:
		s.waited = 0
	case s.waited >= s.timeout+resumeGrace:
		s.cancel(errNoEvent)
	}
}
