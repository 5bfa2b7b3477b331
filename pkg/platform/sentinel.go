package platform

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxSentinelWait bounds how long watches of other kinds wait for a response to the sentinel
// after a failure, before they try by themselves.
const maxSentinelWait = 2 * time.Second

// sentinel makes the long polls in progress be sent again once the store responds to the
// sentinel kind after a failure. Polls that wait through an outage, or on a connection that
// became silent, would otherwise be found out only at their own time-outs, each of which would
// have to be as short as that of the sentinel.
type sentinel struct {
	mu        sync.Mutex
	disturbed bool
	// again is done when the polls in progress are to be sent again; end ends it.
	again context.Context
	end   context.CancelFunc
}

func newSentinel() *sentinel {
	s := &sentinel{}
	s.again, s.end = context.WithCancel(context.Background())
	return s
}

// current returns a context that ends when polls that begin now are to be sent again.
func (s *sentinel) current() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.again
}

// wait waits, at most for maxSentinelWait, until the store responds to the sentinel, if it hasn't
// after a failure, or until the epoch is over: each kind is then listed at once.
func (s *sentinel) wait(ctx, over context.Context) {
	again, disturbed := s.state()
	if !disturbed {
		return
	}
	timer := time.NewTimer(maxSentinelWait)
	defer timer.Stop()
	select {
	case <-again.Done():
	case <-over.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *sentinel) state() (again context.Context, disturbed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.again, s.disturbed
}

// isServed reports whether the store has served a call that ended with the error.
func isServed(err error) bool {
	var status *StatusError
	return err == nil || errors.As(err, &status) && !IsAmbiguous(err) && !status.isBusy()
}

// record records the end of a poll or a list of the sentinel kind.
func (s *sentinel) record(isServed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isServed && s.disturbed {
		s.end()
		s.again, s.end = context.WithCancel(context.Background())
	}
	s.disturbed = !isServed
}
