package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against a grant after the latest start and against lost slots.
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

// Guards against a higher priority that is refused while a lower one waits.
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
