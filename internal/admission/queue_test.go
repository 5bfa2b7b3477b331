package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against a grant after the latest start and against slots that are leaked or
// released twice.
func TestDeadlineAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{MaxQueued: 4, Limit: 1}, tally.NoopScope)
		release, refusal := q.Acquire(context.Background(), Request{})
		if refusal != nil {
			t.Fatal(refusal)
		}
		_, refusal = q.Acquire(context.Background(), Request{Deadline: time.Now().Add(time.Second), Expected: 600 * time.Millisecond})
		if refusal == nil || refusal.Reason != ReasonDeadline {
			t.Fatalf("refusal is %v, want deadline", refusal)
		}
		release()
		release()
		if q.InFlight() != 0 || q.Queued() != 0 {
			t.Fatalf("%d in flight, %d queued", q.InFlight(), q.Queued())
		}
	})
}

// Guards against a request that is refused while the queue holds requests of a lower
// priority.
func TestEvictsLowestPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{MaxQueued: 2, Limit: 1}, tally.NoopScope)
		release, _ := q.Acquire(context.Background(), Request{})
		results := make(chan *Refusal, 3)
		acquire := func(p fleet.Priority) {
			r, refusal := q.Acquire(context.Background(), Request{Priority: p})
			if refusal == nil {
				defer r()
			}
			results <- refusal
		}
		go acquire(fleet.PriorityBatch)
		synctest.Wait()
		go acquire(fleet.PriorityBatch)
		synctest.Wait()
		go acquire(fleet.PriorityCritical)
		synctest.Wait()
		if refusal := <-results; refusal == nil || refusal.Reason != ReasonQueueFull {
			t.Fatalf("refusal is %v, want queueFull for the batch request", refusal)
		}
		release()
		synctest.Wait()
		if a, b := <-results, <-results; a != nil || b != nil {
			t.Fatalf("refusals are %v and %v, want grants", a, b)
		}
	})
}

// Guards against a request that starts after its deadline because the process was
// paused between the grant and the waiter's wake-up, and against a leak of its slot.
func TestLateGrantIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{MaxQueued: 2, Limit: 1}, tally.NoopScope)
		for _, ctx := range []context.Context{context.Background(), cancelled()} {
			w := newWaiter(Request{Deadline: time.Now().Add(time.Second)})
			if refusal := q.admit(w); refusal != nil {
				t.Fatal(refusal)
			}
			want := ReasonCancelled
			if ctx.Err() == nil {
				time.Sleep(time.Second)
				want = ReasonDeadline
			}
			if refusal := q.wait(ctx, w); refusal == nil || refusal.Reason != want {
				t.Fatalf("refusal is %v, want %s", refusal, want)
			}
			if n := q.InFlight(); n != 0 {
				t.Fatalf("%d slots in use", n)
			}
		}
	})
}

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against a slot granted to a waiter that can no longer meet its deadline.
func TestDispatchSkipsLateWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{MaxQueued: 2}, tally.NoopScope)
		w := newWaiter(Request{Deadline: time.Now().Add(time.Millisecond)})
		q.push(w)
		time.Sleep(time.Millisecond)
		q.SetLimit(1)
		if refusal := <-w.done; refusal == nil || refusal.Reason != ReasonDeadline || q.InFlight() != 0 {
			t.Fatalf("refusal is %v with %d slots in use", refusal, q.InFlight())
		}
	})
}

// Guards against the eviction of a higher priority, and of the last request of a lower
// one, which would starve that priority.
func TestEvictionBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{MaxQueued: 3}, tally.NoopScope)
		admit := func(p fleet.Priority) (*waiter, *Refusal) {
			w := newWaiter(Request{Priority: p})
			return w, q.admit(w)
		}
		batch, _ := admit(fleet.PriorityBatch)
		oldest, _ := admit(fleet.PriorityCritical)
		if _, refusal := admit(fleet.PriorityCritical); refusal != nil {
			t.Fatal(refusal)
		}
		if _, refusal := admit(fleet.PriorityCritical); refusal != nil {
			t.Fatal(refusal)
		}
		if len(batch.done) != 0 || len(oldest.done) != 1 {
			t.Fatal("want the oldest critical request evicted and the only batch request kept")
		}
		q.deliver(batch, nil)
		if _, refusal := admit(fleet.PriorityCritical); refusal != nil {
			t.Fatal(refusal)
		}
		if _, refusal := admit(fleet.PriorityBatch); refusal == nil || refusal.Reason != ReasonQueueFull {
			t.Fatalf("refusal of a batch request is %v, want queueFull", refusal)
		}
	})
}

// Guards against a new organisation that is granted every slot until it has had as many
// grants as the organisations served before.
func TestNewOrganisationStartsAtCurrentShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{MaxQueued: 200}, tally.NoopScope)
		admit := func(name string, n int) {
			for range n {
				if refusal := q.admit(newWaiter(Request{Organisation: name})); refusal != nil {
					t.Fatal(refusal)
				}
			}
		}
		admit("old", 90)
		q.SetLimit(40)
		admit("new", 50)
		q.SetLimit(60)
		if n := q.levels[0].organisations["new"].waiters.Len(); n < 38 || n > 42 {
			t.Fatalf("the new organisation got %d of 20 slots, want about 10", 50-n)
		}
	})
}

// Guards against an estimate from an overload that still refuses requests after it.
func TestEstimatorRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewEstimator(tally.NoopScope)
		stages := []string{"a", "b"}
		for range 20 {
			e.Observe("p", "a", 2*time.Second)
			e.Observe("p", "b", time.Second)
		}
		if d := e.ExpectedDuration("p", stages); d < 3*time.Second || d > 4*time.Second {
			t.Fatalf("expected time %s, want about 3 s", d)
		}
		admitted := 0
		for range 100 {
			if e.Feasible("p", stages, time.Second) {
				admitted++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted < 5 || admitted > 11 {
			t.Fatalf("%d probes in 1 s, want 10", admitted)
		}
		time.Sleep(estimatorSubWindow * estimatorSubWindows)
		for range 2 {
			if !e.Feasible("p", stages, time.Millisecond) {
				t.Fatal("requests are still refused by an expired estimate")
			}
		}
	})
}
