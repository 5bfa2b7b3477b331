package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/limits"
	"bergamotrudder.example/bergamotrudder/internal/peer"
)

// Guards against a deadlock between queue and limiter: the queue releases the slot of a
// request that is cancelled just as the slot is granted, and the limiter notifies its
// subscribers of free slots. The request may take its slot before the cancellation, so the
// test repeats until a cancellation came first.
func TestCancelledRequestReleasesItsSlot(t *testing.T) {
	const rounds = 50
	for range rounds {
		if cancelAsGranted(t) {
			return
		}
	}
	t.Fatalf("no request was cancelled in %d rounds", rounds)
}

// cancelAsGranted cancels a waiting request as it gets its slot, and reports whether it
// was refused because of that.
func cancelAsGranted(t *testing.T) bool {
	t.Helper()
	refused := false
	synctest.Test(t, func(t *testing.T) {
		l := limits.New(limits.Config{Capacity: 1, ColdCapacity: 1}, &log.Logger{Level: log.ErrorLevel}, tally.NoopScope)
		q := newQueue(l)
		release, refusal := q.Acquire(context.Background(), admission.Request{Organisation: "a"})
		if refusal != nil {
			t.Fatal(refusal)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan *admission.Refusal)
		go func() {
			release, refusal := q.Acquire(ctx, admission.Request{Organisation: "a"})
			if refusal == nil {
				release()
				l.Release(limits.Observation{Duration: time.Second})
			}
			ended <- refusal
		}()
		synctest.Wait()
		release()
		l.Release(limits.Observation{Duration: time.Second})
		cancel()
		refusal = <-ended
		if refusal != nil && refusal.Reason != admission.ReasonCancelled {
			t.Fatalf("got %v, want a refusal for the cancellation", refusal)
		}
		refused = refusal != nil
		if n := l.InFlight(); n != 0 {
			t.Fatalf("%d slots are in flight", n)
		}
	})
	return refused
}

func newQueue(l *limits.Limiter) *admission.Queue {
	q := NewQueue(l, 4, tally.NoopScope)
	l.Subscribe(q.Recheck)
	return q
}

func newSidecar(cfg limits.Config) *Sidecar {
	logger := &log.Logger{Level: log.ErrorLevel}
	l := limits.New(cfg, logger, tally.NoopScope)
	return New(Identity{}, Dependencies{
		Holder:  configuration.NewHolder(logger, tally.NoopScope),
		Limiter: l,
		Queue:   NewQueue(l, 4, tally.NoopScope),
		Logger:  logger,
		Scope:   tally.NoopScope,
	})
}

// acquire requests a slot as a run does and returns the refusal, if any, with the wait.
func acquire(s *Sidecar, elsewhere bool) (*admission.Refusal, time.Duration) {
	started := time.Now()
	_, refusal := s.Queue.Acquire(context.Background(), s.queueRequest(&peer.RunRequest{Elsewhere: elsewhere}, started.Add(time.Second)))
	return refusal, time.Since(started)
}

// Guards against calls that miss their deadline in the queue of a cold upstream although a
// warm one has free slots, and against a refusal where there is no other upstream.
func TestColdUpstreamQueuesOnlyWithoutAlternative(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSidecar(limits.Config{Capacity: 4, ColdCapacity: 1, WarmUp: time.Minute})
		if refusal, _ := acquire(s, true); refusal != nil {
			t.Fatalf("a free slot was refused: %v", refusal)
		}
		refusal, wait := acquire(s, true)
		if refusal == nil || reasonOf(refusal) != peer.ReasonWarming || wait != 0 {
			t.Fatalf("got %v after %s, want a refusal at once", refusal, wait)
		}
		refusal, wait = acquire(s, false)
		if refusal == nil || refusal.Reason != admission.ReasonDeadline || wait != time.Second {
			t.Fatalf("got %v after %s, want a wait until the deadline", refusal, wait)
		}
	})
}

// Guards against calls that stay in the queue of an upstream that has become cold, and
// against an order to load a model while more calls are in flight than the upstream can
// handle cold.
func TestModelLoadDrainsQueueAndUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSidecar(limits.Config{Capacity: 2, ColdCapacity: 1, WarmUp: 100 * time.Millisecond})
		for s.Limiter.State() != limits.StateWarm {
			s.Limiter.TryAcquire()
			time.Sleep(10 * time.Millisecond)
			s.Limiter.Release(limits.Observation{Duration: 10 * time.Millisecond})
		}
		for range 2 {
			if refusal, _ := acquire(s, true); refusal != nil {
				t.Fatal(refusal)
			}
		}
		waiting := make(chan *admission.Refusal)
		go func() {
			refusal, _ := acquire(s, true)
			waiting <- refusal
		}()
		synctest.Wait()
		time.AfterFunc(100*time.Millisecond, func() { s.Limiter.Cancel() })
		started := time.Now()
		s.Limiter.RestartDetected()
		s.waitForColdLimit(t.Context())
		if took := time.Since(started); took < 100*time.Millisecond || took > 100*time.Millisecond+drainPollInterval {
			t.Fatalf("the order was sent after %s, want 100 ms", took)
		}
		if refusal := <-waiting; refusal == nil || reasonOf(refusal) != peer.ReasonWarming {
			t.Fatalf("the waiting call got %v", refusal)
		}
	})
}

// Guards against a service time from the end of the last warm-up being reported for a cold
// upstream.
func TestColdTimesResetWhenWarm(t *testing.T) {
	var c coldTimes
	c.record(limits.StateWarming, time.Second)
	c.record(limits.StateWarm, time.Millisecond)
	if d := c.mean(limits.StateCold); d != 0 {
		t.Fatalf("the mean is %s, want none", d)
	}
}
