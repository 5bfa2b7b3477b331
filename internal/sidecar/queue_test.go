package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/limits"
)

// Guards against a deadlock between queue and limiter: the queue gives back the slot
// of a request whose caller went away as it was granted, and the limiter tells its
// subscribers of free slots.
func TestCancelledRequestGivesItsSlotBack(t *testing.T) {
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
			_, refusal := q.Acquire(ctx, admission.Request{Organisation: "a"})
			ended <- refusal
		}()
		synctest.Wait()
		release()
		l.Release(limits.Observation{Duration: time.Second})
		cancel()
		if refusal := <-ended; refusal == nil || refusal.Reason != admission.ReasonCancelled {
			t.Fatalf("got %v, want a refusal for the cancellation", refusal)
		}
		if n := l.InFlight(); n != 0 {
			t.Fatalf("%d slots are in flight", n)
		}
	})
}

func newQueue(l *limits.Limiter) *admission.Queue {
	q := NewQueue(l, 4, tally.NoopScope)
	l.Subscribe(q.Recheck)
	return q
}
