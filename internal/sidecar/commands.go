package sidecar

import (
	"context"

	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// register adds an attempt in progress; it returns false for an id that is already in
// progress. An attempt that is not cancellable runs to its end.
func (s *Sidecar) register(attempt string, cancel context.CancelFunc, cancellable bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[attempt]; ok {
		return false
	}
	if !cancellable {
		cancel = func() {}
	}
	s.running[attempt] = cancel
	return true
}

func (s *Sidecar) unregister(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, attempt)
}

// cancel stops an attempt in progress.
func (s *Sidecar) cancel(attempt string) {
	s.mu.Lock()
	stop := s.running[attempt]
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// Leave makes the sidecar refuse new work as not started. Work in progress continues.
func (s *Sidecar) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Drain waits until no work is in progress or ctx ends.
func (s *Sidecar) Drain(ctx context.Context) error {
	return instance.WaitUntil(ctx, func() bool { return s.active.Load() == 0 })
}
