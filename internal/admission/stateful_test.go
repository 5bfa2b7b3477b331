package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// harness drives a queue and counts the results of its callers.
type harness struct {
	q *Queue
	// externalSlots is set when the queue takes its slots from the harness.
	externalSlots bool

	mu        sync.Mutex
	limit     int
	taken     int
	started   int
	answered  int
	running   []*job
	waiting   map[int]context.CancelFunc
	violation string
}

type job struct{ release func() }

func (h *harness) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taken >= h.limit {
		return false
	}
	h.taken++
	return true
}

func (h *harness) give() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken--
}

func (h *harness) start(r Request) {
	h.started++
	id := h.started
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.waiting[id] = cancel
	h.mu.Unlock()
	go func() {
		release, refusal := h.q.Acquire(ctx, r)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.waiting, id)
		cancel()
		h.answered++
		switch {
		case refusal == nil && !r.Deadline.IsZero() && !time.Now().Before(r.Deadline.Add(-r.Expected)):
			h.violation = "granted after the latest start"
		case refusal != nil && refusal.Reason == ReasonDeadline && time.Now().Before(r.Deadline.Add(-r.Expected)):
			h.violation = "refused for the deadline too early"
		}
		if refusal == nil {
			h.running = append(h.running, &job{release: release})
		}
	}()
}

func (h *harness) finish(i int) {
	h.mu.Lock()
	j := h.running[i]
	h.running = append(h.running[:i:i], h.running[i+1:]...)
	h.mu.Unlock()
	if h.externalSlots {
		h.give()
	}
	j.release()
	j.release()
}

func (h *harness) check() string {
	synctest.Wait()
	s := h.q.Snapshot()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.violation != "":
		return h.violation
	case s.InFlight != len(h.running):
		return fmt.Sprintf("%d in flight, want %d", s.InFlight, len(h.running))
	case h.externalSlots && h.taken != len(h.running):
		return fmt.Sprintf("%d slots taken, want %d", h.taken, len(h.running))
	case s.Queued != len(h.waiting) || h.started != h.answered+len(h.waiting):
		return fmt.Sprintf("%d queued, want %d; %d of %d answered", s.Queued, len(h.waiting), h.answered, h.started)
	case s.Queued > 0 && s.InFlight < h.limit:
		return fmt.Sprintf("%d queued with %d of %d slots in use", s.Queued, s.InFlight, h.limit)
	case s.Queued > h.q.cfg.MaxQueued:
		return fmt.Sprintf("%d queued, want at most %d", s.Queued, h.q.cfg.MaxQueued)
	}
	return ""
}

// step is one event. Its values are drawn before the test's clock is faked, because
// rapid ends a case by a panic on its own goroutine.
type step struct {
	op       int
	request  Request
	deadline time.Duration
	n        int
	pause    time.Duration
}

func drawStep(rt *rapid.T) step {
	return step{
		op: rapid.IntRange(0, 9).Draw(rt, "op"),
		request: Request{
			Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "organisation"),
			Weight:       rapid.IntRange(0, 3).Draw(rt, "weight"),
			Priority:     fleet.Priority(rapid.IntRange(0, fleet.PriorityCount-1).Draw(rt, "priority")),
			Expected:     time.Duration(rapid.IntRange(0, 5).Draw(rt, "expected")) * 10 * time.Millisecond,
		},
		deadline: time.Duration(rapid.IntRange(-1, 30).Draw(rt, "deadline")) * 10 * time.Millisecond,
		n:        rapid.IntRange(0, 5).Draw(rt, "n"),
		pause:    time.Duration(rapid.IntRange(0, 10).Draw(rt, "pause")) * 10 * time.Millisecond,
	}
}

// Guards against grants after the deadline or above the limit, and against lost or
// duplicate slots and replies, over cancellations, limit changes and closing.
func TestQueueStateful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &harness{externalSlots: rapid.Bool().Draw(rt, "externalSlots"), waiting: make(map[int]context.CancelFunc)}
		maxQueued := rapid.IntRange(1, 8).Draw(rt, "maxQueued")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		var violation string
		synctest.Test(t, func(*testing.T) { violation = h.exercise(maxQueued, steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func (h *harness) exercise(maxQueued int, steps []step) string {
	cfg := QueueConfig{MaxQueued: maxQueued}
	if h.externalSlots {
		cfg.Take, cfg.Give = h.take, h.give
	}
	h.q = NewQueue(cfg, tally.NoopScope)
	for i, s := range steps {
		h.step(s)
		if violation := h.check(); violation != "" {
			h.drain()
			return fmt.Sprintf("step %d: %s", i, violation)
		}
	}
	return h.drain()
}

func (h *harness) step(s step) {
	switch {
	case s.op <= 4:
		if s.deadline < 25*10*time.Millisecond {
			s.request.Deadline = time.Now().Add(s.deadline)
		}
		h.start(s.request)
	case s.op == 5 && len(h.running) > 0:
		h.finish(s.n % len(h.running))
	case s.op == 6:
		for id := range h.started + 1 {
			if cancel, ok := h.waiting[id]; ok {
				cancel()
				break
			}
		}
	case s.op == 7:
		h.setLimit(s.n)
	case s.op >= 8:
		// A slot released at a waiter's deadline races with its time-out.
		time.Sleep(s.pause)
		if len(h.running) > 0 {
			h.finish(0)
		}
	}
}

func (h *harness) setLimit(n int) {
	h.mu.Lock()
	h.limit = n
	h.mu.Unlock()
	if h.externalSlots {
		h.q.Recheck()
		return
	}
	h.q.SetLimit(n)
}

func (h *harness) drain() string {
	h.q.Close()
	synctest.Wait()
	for len(h.running) > 0 {
		h.finish(0)
	}
	synctest.Wait()
	if s := h.q.Snapshot(); s.Queued != 0 || s.InFlight != 0 || s.Organisations != 0 || h.taken != 0 || h.answered != h.started {
		return fmt.Sprintf("after closing: %+v, %d slots taken, %d of %d answered", s, h.taken, h.answered, h.started)
	}
	if _, refusal := h.q.Acquire(context.Background(), Request{}); refusal == nil || refusal.Reason != ReasonClosed {
		return "a closed queue does not refuse with reason closed"
	}
	return ""
}

// serve queues the requests, then grants n slots one at a time and counts the
// grants for each organisation and priority.
func serve(t *testing.T, requests []Request, n int) map[string]int {
	t.Helper()
	q := NewQueue(QueueConfig{MaxQueued: len(requests)}, tally.NoopScope)
	var mu sync.Mutex
	grants := make(map[string]int)
	// A slot is released only after the limit is 0 again. Before that, the queue would
	// grant it again, and so more than one request in a step.
	step := make(chan struct{})
	for _, r := range requests {
		go func() {
			release, refusal := q.Acquire(context.Background(), r)
			if refusal != nil {
				return
			}
			<-step
			defer release()
			mu.Lock()
			defer mu.Unlock()
			grants[r.Organisation]++
			grants[r.Priority.String()]++
		}()
		synctest.Wait()
	}
	for range n {
		q.SetLimit(1)
		q.SetLimit(0)
		step <- struct{}{}
		synctest.Wait()
	}
	q.Close()
	synctest.Wait()
	return grants
}

func repeat(r Request, n int) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = r
	}
	return out
}

// Guards against one organisation that starves another by its number of requests, and
// against weights that are ignored.
func TestFairBetweenOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := repeat(Request{Organisation: "large", Weight: 1}, 300)
		requests = append(requests, repeat(Request{Organisation: "heavy", Weight: 3}, 100)...)
		requests = append(requests, repeat(Request{Organisation: "small", Weight: 1}, 20)...)
		grants := serve(t, requests, 100)
		for name, want := range map[string]int{"large": 20, "heavy": 60, "small": 20} {
			if n := grants[name]; n < want-1 || n > want+1 {
				t.Errorf("%s got %d of 100 grants, want %d", name, n, want)
			}
		}
	})
}

// Guards against a lower priority that starves, and against one that gets more grants
// than StarvationGrants allows.
func TestStarvationBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := repeat(Request{Organisation: "o", Priority: fleet.PriorityCritical}, 300)
		requests = append(requests, repeat(Request{Organisation: "o", Priority: fleet.PriorityBatch}, 50)...)
		grants := serve(t, requests, 3*StarvationGrants+3)
		if n := grants["batch"]; n != 3 {
			t.Fatalf("the lowest priority got %d of %d grants, want 3", n, 3*StarvationGrants+3)
		}
	})
}

// Guards against a flood of requests from one organisation that keeps the queue full for
// the others.
func TestFloodEvictsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{MaxQueued: 10}, tally.NoopScope)
		refused := make(map[string]int)
		var mu sync.Mutex
		acquire := func(name string) {
			if _, refusal := q.Acquire(context.Background(), Request{Organisation: name}); refusal != nil && refusal.Reason == ReasonQueueFull {
				mu.Lock()
				defer mu.Unlock()
				refused[name]++
			}
		}
		for range 50 {
			go acquire("flood")
		}
		synctest.Wait()
		for range 4 {
			go acquire("small")
		}
		synctest.Wait()
		if refused["small"] > 0 || refused["flood"] != 44 {
			t.Errorf("refused %v, want 44 of the flood", refused)
		}
		q.Close()
		synctest.Wait()
	})
}

// Guards against an overloaded queue that serves the oldest request first, which then
// misses its deadline, and against newest-first service without overload.
func TestNewestFirstWhenOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, overloaded := range []bool{false, true} {
			q := NewQueue(QueueConfig{MaxQueued: 10}, tally.NoopScope)
			first := make(chan int, 3)
			for i := range 3 {
				go func() {
					if release, refusal := q.Acquire(context.Background(), Request{}); refusal == nil {
						first <- i
						time.Sleep(time.Second)
						release()
					}
				}()
				synctest.Wait()
			}
			want := 0
			if overloaded {
				time.Sleep(overloadAfter + time.Millisecond)
				want = 2
			}
			q.SetLimit(1)
			if got := <-first; got != want {
				t.Errorf("overloaded %v: request %d was served first, want %d", overloaded, got, want)
			}
			q.Close()
			synctest.Wait()
			time.Sleep(time.Second)
		}
	})
}
