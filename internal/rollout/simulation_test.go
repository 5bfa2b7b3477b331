package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

const (
	simService   = "s"
	simPeriod    = 220 * time.Millisecond
	simStoreLag  = 50 * time.Millisecond
	simOld       = "v1"
	simNew       = "v2"
	simLateLimit = time.Second
)

// answer is how an upstream answers a request.
type answer struct {
	result Result
	time   time.Duration
}

// load is a load pattern and how the versions behave under it.
type load struct {
	name string
	// perSecond is the rate of requests at an age of the order.
	perSecond func(age time.Duration) float64
	// answer returns the answer of an upstream; index counts the upstreams of its version, and
	// share is the part of the requests that go to the new version.
	answer   func(rng *rand.Rand, isNew bool, index int, route string, age time.Duration, share float64) answer
	want     State
	duration time.Duration
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// usual is an answer of a sound upstream: half a percent fail on one route and an eighth on the
// other, and times are log-normal.
func usual(rng *rand.Rand, route string) answer {
	failures := 0.005
	if route == "rare" {
		failures = 0.125
	}
	if rng.Float64() < failures {
		return answer{result: Failed, time: 20 * time.Millisecond}
	}
	return answer{time: time.Duration(40 * math.Exp(0.7*rng.NormFloat64()) * float64(time.Millisecond))}
}

// event is something that happens at a time of a simulation.
type event struct {
	at time.Time
	do func(now time.Time)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a fleet of gateways without a network.
type simulation struct {
	load     load
	rng      *rand.Rand
	events   events
	start    time.Time
	tables   []*Table
	down     []bool
	running  []int
	view     *catalog.View
	order    Order
	storeOff func(age time.Duration) bool

	requests, exposed int
	lastExposed       time.Duration
	finalAt           time.Duration
	cut               int
}

func newSimulation(l load, gateways int, seed uint64) *simulation {
	s := &simulation{load: l, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), running: make([]int, gateways), down: make([]bool, gateways), storeOff: func(time.Duration) bool { return false }}
	c := catalog.New()
	for i := range 6 {
		c.SetUpstream(catalog.Upstream{ID: fmt.Sprint("old-", i), Service: simService, Version: simOld}, catalog.Revision{})
	}
	before := c.View()
	for i := range 4 {
		c.SetUpstream(catalog.Upstream{ID: fmt.Sprint("new-", i), Service: simService, Version: simNew}, catalog.Revision{})
	}
	s.view = c.View()
	s.order = Order{Service: simService, Name: simService, To: simNew, Duration: l.duration, Revision: catalog.Revision{Number: 5}}
	for g := range gateways {
		t := New(s.start.Add(-time.Minute), Bounds{Share: 0.1, Slack: 50}, name(g))
		t.Update(s.start.Add(-time.Minute), before)
		t.Tick(s.start.Add(-time.Second), s.fleet(g))
		s.tables = append(s.tables, t)
		s.at(s.start.Add(simStoreLag), func(now time.Time) { t.SetOrder(now, s.order) })
		s.at(s.start.Add(300*time.Millisecond), func(now time.Time) { t.Update(now, s.view) })
		s.every(time.Duration(g)*7*time.Millisecond, 200*time.Millisecond, func(now time.Time) { s.tick(g, now) })
		s.every(time.Duration(g)*11*time.Millisecond, simPeriod, func(now time.Time) { s.heartbeat(g, now) })
	}
	return s
}

func name(g int) string { return fmt.Sprint("gateway-", g) }

func (s *simulation) at(t time.Time, do func(time.Time)) { heap.Push(&s.events, event{at: t, do: do}) }

func (s *simulation) every(offset, period time.Duration, do func(time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		do(now)
		s.at(now.Add(period), again)
	}
	s.at(s.start.Add(offset), again)
}

// fleet returns the fleet as gateway g sees it: the first one that is up decides.
func (s *simulation) fleet(g int) Fleet {
	rank := 0
	f := Fleet{Self: name(g), Count: len(s.running), Rank: func(string) int { return rank }}
	for i := range s.running {
		if s.down[i] {
			f.HasLost = true
			continue
		}
		if f.Owner == nil {
			f.Owner = func(string) string { return name(i) }
		}
		if i < g {
			rank++
		}
		if i != g {
			f.Live = append(f.Live, name(i))
		}
	}
	return f
}

func (s *simulation) tick(g int, now time.Time) {
	t := s.tables[g]
	if s.down[g] {
		return
	}
	for _, v := range t.Seal() {
		t.SetLeft(v, s.running[g])
	}
	for _, w := range t.Tick(now, s.fleet(g)) {
		if s.storeOff(now.Sub(s.start)) || s.order.Revision != w.Order.Revision {
			continue
		}
		s.order.Revision.Number++
		s.order.Status = w.Status
		if w.Status.State.isFinal() && s.finalAt == 0 {
			s.finalAt = now.Sub(s.start)
			if w.Status.State == Completed {
				for _, n := range s.running {
					s.cut += n
				}
			}
		}
		o := s.order
		for _, other := range s.tables {
			s.at(now.Add(simStoreLag), func(now time.Time) { other.SetOrder(now, o) })
		}
	}
}

func (s *simulation) heartbeat(g int, now time.Time) {
	if s.down[g] {
		return
	}
	owner := s.fleet(g).Owner("")
	for i, t := range s.tables {
		if i == g || s.down[i] || name(i) != owner && s.rng.Float64() > 3/float64(len(s.tables)) {
			continue
		}
		t.Adopt(now, name(g), "one", s.tables[g].Reports(now))
		s.tables[g].Adopt(now, name(i), "one", t.Reports(now))
	}
}

// arrive serves one request and schedules the next one.
func (s *simulation) arrive(now time.Time) {
	age := now.Sub(s.start)
	s.at(now.Add(time.Duration(s.rng.ExpFloat64()/s.load.perSecond(age)*float64(time.Second))), s.arrive)
	g := s.rng.IntN(len(s.tables))
	if s.down[g] {
		return
	}
	if age <= s.load.duration {
		s.requests++
	}
	first, _ := s.tables[g].Split(now, simService, s.view.Upstreams(simService))
	if len(first) == 0 {
		return
	}
	i := s.rng.IntN(len(first))
	m := first[i]
	route := "main"
	if s.rng.Float64() < 0.1 {
		route = "rare"
	}
	s.tables[g].Place(m, 1)
	send := s.tables[g].Begin(now, m, route)
	isNew := m.Version == simNew
	if isNew {
		if age <= s.load.duration {
			s.exposed++
		}
		s.lastExposed = age
	} else {
		s.running[g]++
	}
	a := s.load.answer(s.rng, isNew, i, route, age, float64(s.exposed)/float64(s.requests))
	if a.time > simLateLimit {
		a = answer{result: Late, time: simLateLimit}
	}
	s.at(now.Add(a.time), func(now time.Time) {
		if !isNew {
			s.running[g]--
		}
		send.End(now, Outcome{Result: a.result, Time: a.time})
	})
}

// run plays the load for a while beyond the order's time.
func (s *simulation) run() {
	s.at(s.start, s.arrive)
	end := s.start.Add(s.load.duration + 5*time.Second)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.After(end) {
			return
		}
		e.do(e.at)
	}
}

// check fails the test unless the order ended as it should, within its bounds.
func (s *simulation) check(t *testing.T) {
	t.Helper()
	r := s.tables[0].rollouts[simService]
	if s.order.Status.State != s.load.want {
		t.Errorf("the order ended as %q, want %q: %s; %+v", s.order.Status.State, s.load.want, r.reason, r.found)
		return
	}
	if s.finalAt > s.load.duration {
		t.Errorf("the verdict came after %v of %v", s.finalAt, s.load.duration)
	}
	if s.cut > 0 {
		t.Errorf("%d requests were left on the old version when it was stopped", s.cut)
	}
	if allowed := int(0.1*float64(s.requests)) + 50; s.load.want == RolledBack && s.exposed > allowed {
		t.Errorf("the bad version got %d of %d requests, allowed are %d", s.exposed, s.requests, allowed)
	}
	if s.load.want == RolledBack && s.lastExposed > s.finalAt+time.Second {
		t.Errorf("the bad version got a request %v after its verdict", s.lastExposed-s.finalAt)
	}
	t.Logf("%s after %v, %d of %d requests exposed: %s", s.order.Status.State, s.finalAt, s.exposed, s.requests, r.reason)
}
