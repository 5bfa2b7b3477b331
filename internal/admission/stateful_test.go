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

// bench drives a queue and counts what its callers see.
type bench struct {
	q *Queue
	// ownSlots is set when the queue takes slots from the bench.
	ownSlots bool

	mu       sync.Mutex
	limit    int
	taken    int
	started  int
	answered int
	running  []*job
	waiting  map[int]context.CancelFunc
	fault    string
}

type job struct{ release func() }

func (b *bench) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken >= b.limit {
		return false
	}
	b.taken++
	return true
}

func (b *bench) give() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken--
}

func (b *bench) start(r Request) {
	b.started++
	id := b.started
	ctx, cancel := context.WithCancel(context.Background())
	b.mu.Lock()
	b.waiting[id] = cancel
	b.mu.Unlock()
	go func() {
		release, refusal := b.q.Acquire(ctx, r)
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.waiting, id)
		cancel()
		b.answered++
		switch {
		case refusal == nil && !r.Deadline.IsZero() && !time.Now().Before(r.Deadline.Add(-r.Expected)):
			b.fault = "granted after the latest start"
		case refusal != nil && refusal.Reason == ReasonDeadline && time.Now().Before(r.Deadline.Add(-r.Expected)):
			b.fault = "refused for the deadline too early"
		}
		if refusal == nil {
			b.running = append(b.running, &job{release: release})
		}
	}()
}

func (b *bench) finish(i int) {
	b.mu.Lock()
	j := b.running[i]
	b.running = append(b.running[:i:i], b.running[i+1:]...)
	b.mu.Unlock()
	if b.ownSlots {
		b.give()
	}
	j.release()
	j.release()
}

func (b *bench) check() string {
	synctest.Wait()
	s := b.q.Snapshot()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.fault != "":
		return b.fault
	case s.InFlight != len(b.running):
		return fmt.Sprintf("%d in flight, want %d", s.InFlight, len(b.running))
	case b.ownSlots && b.taken != len(b.running):
		return fmt.Sprintf("%d slots taken, want %d", b.taken, len(b.running))
	case s.Queued != len(b.waiting) || b.started != b.answered+len(b.waiting):
		return fmt.Sprintf("%d queued, want %d; %d of %d answered", s.Queued, len(b.waiting), b.answered, b.started)
	case s.Queued > 0 && s.InFlight < b.limit:
		return fmt.Sprintf("%d wait with %d of %d slots in use", s.Queued, s.InFlight, b.limit)
	case s.Queued > b.q.cfg.MaxQueued:
		return fmt.Sprintf("%d queued, allowed are %d", s.Queued, b.q.cfg.MaxQueued)
	}
	return ""
}

// step is one event; its numbers are drawn before the test's clock is faked,
// because rapid ends a case by a panic on its own goroutine.
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

// Guards against grants after the deadline, above the limit, and against lost or
// doubled slots and answers, over cancellations, limit changes and closing.
func TestQueueStateful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &bench{ownSlots: rapid.Bool().Draw(rt, "ownSlots"), waiting: make(map[int]context.CancelFunc)}
		maxQueued := rapid.IntRange(1, 8).Draw(rt, "maxQueued")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		var fault string
		synctest.Test(t, func(*testing.T) { fault = b.exercise(maxQueued, steps) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

func (b *bench) exercise(maxQueued int, steps []step) string {
	cfg := QueueConfig{MaxQueued: maxQueued}
	if b.ownSlots {
		cfg.Take, cfg.Give = b.take, b.give
	}
	b.q = NewQueue(cfg, tally.NoopScope)
	for i, s := range steps {
		b.step(s)
		if fault := b.check(); fault != "" {
			b.drain()
			return fmt.Sprintf("step %d: %s", i, fault)
		}
	}
	return b.drain()
}

func (b *bench) step(s step) {
	switch {
	case s.op <= 4:
		if s.deadline < 25*10*time.Millisecond {
			s.request.Deadline = time.Now().Add(s.deadline)
		}
		b.start(s.request)
	case s.op == 5 && len(b.running) > 0:
		b.finish(s.n % len(b.running))
	case s.op == 6:
		for id := range b.started + 1 {
			if cancel, ok := b.waiting[id]; ok {
				cancel()
				break
			}
		}
	case s.op == 7:
		b.setLimit(s.n)
	case s.op >= 8:
		// Slots and deadlines that come at the same moment race for the waiter.
		time.Sleep(s.pause)
		if len(b.running) > 0 {
			b.finish(0)
		}
	}
}

func (b *bench) setLimit(n int) {
	b.mu.Lock()
	b.limit = n
	b.mu.Unlock()
	if b.ownSlots {
		b.q.Recheck()
		return
	}
	b.q.SetLimit(n)
}

func (b *bench) drain() string {
	b.q.Close()
	synctest.Wait()
	for len(b.running) > 0 {
		b.finish(0)
	}
	synctest.Wait()
	if s := b.q.Snapshot(); s.Queued != 0 || s.InFlight != 0 || s.Organisations != 0 || b.taken != 0 || b.answered != b.started {
		return fmt.Sprintf("after closing: %+v, %d slots taken, %d of %d answered", s, b.taken, b.answered, b.started)
	}
	if _, refusal := b.q.Acquire(context.Background(), Request{}); refusal == nil || refusal.Reason != ReasonClosed {
		return "a closed queue does not refuse with closed"
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
	// A slot is given back only after the limit is 0 again; before that, the queue
	// would hand it on and grant more than one request in a step.
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

// Guards against one organisation that crowds out another by number, and against
// weights that don't count.
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

// Guards against a lower priority that starves, and against one that gets more
// than its bound.
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

// Guards against a queue that a flood of one organisation keeps full for others.
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

// Guards against an overloaded queue that serves the oldest first, which then
// misses its deadline, and against unfairness while it is not overloaded.
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
