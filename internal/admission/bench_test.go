package admission

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/memtest"
)

// BenchmarkQueueIdle measures a grant and a release without waiting requests.
func BenchmarkQueueIdle(b *testing.B) {
	q := NewQueue(QueueConfig{MaxQueued: 100, Limit: 10}, tally.NoopScope)
	r := Request{Organisation: "o", Weight: 1, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		release, refusal := q.Acquire(context.Background(), r)
		if refusal != nil {
			b.Fatal(refusal)
		}
		release()
	}
}

// BenchmarkQueueContended measures two arrivals at a queue filled with four waiting
// requests per organisation, with an eviction or a refusal when it is full, and one
// grant.
func BenchmarkQueueContended(b *testing.B) {
	for _, n := range []int{5, 100, 1800} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = "organisation-" + strconv.Itoa(i)
			}
			fill := func() any {
				q := NewQueue(QueueConfig{MaxQueued: 4 * n}, tally.NoopScope)
				for i := range 4 * n {
					q.push(newWaiter(Request{Organisation: names[i%n], Weight: 1 + i%3}))
				}
				return q
			}
			q := fill().(*Queue)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				for range 2 {
					w := newWaiter(Request{Organisation: names[i%n], Weight: 1 + i%3})
					if refusal := q.admit(w); refusal != nil && refusal.Reason != ReasonQueueFull {
						b.Fatal(refusal)
					}
					i++
				}
				w := q.next()
				q.charge(w)
				q.deliver(w, nil)
			}
			b.ReportMetric(memtest.Growth(fill)/float64(4*n), "heldB/waiting")
		})
	}
}

// BenchmarkEstimatorFeasible measures an observation and the check of a pipeline of six
// stages.
func BenchmarkEstimatorFeasible(b *testing.B) {
	for _, n := range []int{1, 9, 100} {
		b.Run(fmt.Sprintf("pipelines=%d", n), func(b *testing.B) {
			stages := []string{"a", "b", "c", "d", "e", "f"}
			fill := func() any {
				e := NewEstimator(tally.NoopScope)
				for p := range n {
					for i := range 100 {
						e.Observe(strconv.Itoa(p), stages[i%6], time.Millisecond)
					}
				}
				return e
			}
			e := fill().(*Estimator)
			b.ReportAllocs()
			for b.Loop() {
				e.Observe("0", "a", time.Millisecond)
				if !e.Feasible("0", stages, time.Second) {
					b.Fatal("not feasible")
				}
			}
			b.ReportMetric(memtest.Growth(fill)/float64(n*6), "heldB/stage")
		})
	}
}
