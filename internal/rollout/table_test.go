package rollout

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// single is one gateway with upstreams of one service.
type single struct {
	t       *testing.T
	table   *Table
	now     time.Time
	catalog *catalog.Catalog
	order   Order
	sent    map[string]int
}

func newSingle(t *testing.T, versions ...string) *single {
	s := &single{t: t, now: time.Unix(1000, 0), catalog: catalog.New(), sent: make(map[string]int)}
	s.table = New(s.now, Bounds{Share: 0.1, Slack: 50}, "self")
	for _, v := range versions {
		s.register(v, 2)
	}
	s.pass(10 * time.Second)
	return s
}

func (s *single) register(version string, n int) {
	for i := range n {
		s.catalog.SetUpstream(catalog.Upstream{ID: fmt.Sprint(version, "-", i), Service: simService, Version: version}, catalog.Revision{})
	}
	s.table.Update(s.now, s.catalog.View())
}

func (s *single) remove(version string) {
	for i := range 2 {
		s.catalog.RemoveUpstream(fmt.Sprint(version, "-", i), catalog.Revision{})
	}
	s.table.Update(s.now, s.catalog.View())
}

// write sets the order as the operator does.
func (s *single) write(o Order) {
	o.Service, o.Name, o.Duration = simService, simService, 10*time.Second
	o.Revision = catalog.Revision{Epoch: s.order.Revision.Epoch, Number: s.order.Revision.Number + 1}
	s.order = o
	s.table.SetOrder(s.now, o)
}

func (s *single) fleet() Fleet {
	return Fleet{Self: "self", Count: 1, Owner: func(string) string { return "self" }, Rank: func(string) int { return 0 }}
}

// pass lets time pass with a request each 10 ms. Writes reach the store at once.
func (s *single) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(10 * time.Millisecond) {
		s.send()
		if s.now.UnixMilli()%200 != 0 {
			continue
		}
		for _, v := range s.table.Seal() {
			s.table.SetLeft(v, 0)
		}
		for _, w := range s.table.Tick(s.now, s.fleet()) {
			if w.Order.Revision == s.order.Revision {
				s.order.Status = w.Status
				s.order.Revision.Number++
				s.table.SetOrder(s.now, s.order)
			}
		}
	}
}

func (s *single) send() {
	first, _ := s.table.Split(s.now, simService, s.catalog.View().Upstreams(simService))
	if len(first) == 0 {
		s.sent["none"]++
		return
	}
	m := first[int(s.now.UnixMilli()/10)%len(first)]
	s.sent[m.Version]++
	s.table.Place(m, 1)
	s.table.Begin(s.now, m, "route").End(s.now, Outcome{Time: 10 * time.Millisecond})
}

// sentIn returns how many requests the versions got in the time.
func (s *single) sentIn(d time.Duration) map[string]int {
	s.sent = make(map[string]int)
	s.pass(d)
	return s.sent
}

func (s *single) check(state State, to string) {
	s.t.Helper()
	if got := s.order.Status; got.State != state || got.To != to {
		s.t.Errorf("the status is %+v, want %s to %s", got, state, to)
	}
}

// Guards against a second order for a service that is followed as if the version it goes back to
// were a new one, or that sends to a version which an order has left.
func TestSecondOrder(t *testing.T) {
	t.Run("back to the old version", func(t *testing.T) {
		s := newSingle(t, "v1")
		s.write(Order{To: "v2"})
		s.register("v2", 2)
		s.pass(3 * time.Second)
		s.write(Order{To: "v1", Status: s.order.Status})
		if sent := s.sentIn(time.Second); sent["v2"] > 0 {
			t.Errorf("the requests went to %v", sent)
		}
		s.check(Completed, "v1")
	})
	t.Run("on to a third version", func(t *testing.T) {
		s := newSingle(t, "v1")
		s.write(Order{To: "v2"})
		s.register("v2", 2)
		s.pass(3 * time.Second)
		s.write(Order{To: "v3", Status: s.order.Status})
		s.register("v3", 2)
		if sent := s.sentIn(5 * time.Second); sent["v2"] > 0 || sent["v3"] == 0 || sent["v3"] > 60 {
			t.Errorf("the requests went to %v", sent)
		}
		s.pass(5 * time.Second)
		s.check(Completed, "v3")
	})
	t.Run("a version that registers after two more orders", func(t *testing.T) {
		s := newSingle(t, "v1")
		for _, version := range []string{"v2", "v3", "v4"} {
			s.write(Order{To: version, Status: s.order.Status})
			s.pass(time.Second)
		}
		s.register("v2", 2)
		if sent := s.sentIn(2 * time.Second); sent["v2"] > 0 {
			t.Errorf("the requests went to %v", sent)
		}
	})
	t.Run("the same version again after it was removed", func(t *testing.T) {
		s := newSingle(t, "v1")
		s.write(Order{To: "v2"})
		s.pass(10 * time.Second)
		s.check(RolledBack, "v2")
		s.table.RemoveOrder(s.now, simService, s.order.Revision)
		s.pass(time.Second)
		s.write(Order{To: "v2"})
		s.register("v2", 2)
		s.pass(10 * time.Second)
		s.check(Completed, "v2")
	})
}

// Guards against an order that can't be followed and harms the service, or has no status that says
// so.
func TestOrderThatCannotBeFollowed(t *testing.T) {
	t.Run("unknown version", func(t *testing.T) {
		s := newSingle(t, "v1")
		s.write(Order{To: "v9"})
		if sent := s.sentIn(10 * time.Second); sent["v1"] != 1000 {
			t.Errorf("the requests went to %v", sent)
		}
		s.check(RolledBack, "v9")
	})
	t.Run("malformed", func(t *testing.T) {
		s := newSingle(t, "v1", "v2")
		s.write(Order{To: "v2", Invalid: "malformed"})
		if sent := s.sentIn(time.Second); sent["none"] > 0 || sent["v2"] == 0 {
			t.Errorf("the requests went to %v", sent)
		}
		s.check(RolledBack, "v2")
	})
	t.Run("the only version", func(t *testing.T) {
		s := newSingle(t, "v1")
		s.write(Order{To: "v1"})
		if sent := s.sentIn(10 * time.Second); sent["v1"] != 1000 {
			t.Errorf("the requests went to %v", sent)
		}
		s.check(Completed, "v1")
	})
	t.Run("upstreams long before the order", func(t *testing.T) {
		s := newSingle(t, "v1")
		s.register("v2", 8)
		s.pass(5 * time.Second)
		s.write(Order{To: "v2"})
		if sent := s.sentIn(5 * time.Second); sent["v2"] > 50 {
			t.Errorf("the requests went to %v", sent)
		}
		s.pass(5 * time.Second)
		s.check(Completed, "v2")
	})
	t.Run("removed", func(t *testing.T) {
		s := newSingle(t, "v1")
		s.write(Order{To: "v2"})
		s.register("v2", 2)
		s.pass(3 * time.Second)
		s.table.RemoveOrder(s.now, simService, s.order.Revision)
		if sent := s.sentIn(time.Second); sent["v2"] > 0 {
			t.Errorf("the requests went to %v", sent)
		}
		s.remove("v1")
		if sent := s.sentIn(time.Second); sent["v2"] != 100 {
			t.Errorf("without another version, the requests went to %v", sent)
		}
	})
}

// Guards against an order that is removed after its verdict, and with it what the verdict closed:
// old upstreams that have stopped are registered for some seconds more.
func TestVerdictOutlivesItsOrder(t *testing.T) {
	s := newSingle(t, "v1")
	s.write(Order{To: "v2"})
	s.register("v2", 2)
	s.pass(10 * time.Second)
	s.check(Completed, "v2")
	s.table.RemoveOrder(s.now, simService, s.order.Revision)
	if sent := s.sentIn(time.Second); sent["v1"] > 0 {
		t.Errorf("the requests went to %v", sent)
	}
	other := newSingle(t, "v1", "v2")
	other.table.Adopt(other.now, "self", "one", s.table.Reports(s.now))
	if sent := other.sentIn(time.Second); sent["v1"] > 0 {
		t.Errorf("a gateway that has not read the order sends to %v", sent)
	}
	s.remove("v1")
	s.register("v1", 2)
	s.pass(noveltyTime)
	if sent := s.sentIn(time.Second); sent["v1"] == 0 {
		t.Errorf("started anew, the old version gets nothing: %v", sent)
	}
}

// Guards against a verdict that is lost with a store that returns from an older copy, and against
// an old version that is used again then.
func TestVerdictOutlivesAStoreThatReturnsOlder(t *testing.T) {
	s := newSingle(t, "v1")
	s.write(Order{To: "v2"})
	s.register("v2", 2)
	s.pass(2 * time.Second)
	copied := s.order
	s.pass(9 * time.Second)
	s.check(Completed, "v2")
	copied.Revision.Epoch++
	s.order = copied
	s.table.SetOrder(s.now, copied)
	if sent := s.sentIn(3 * time.Second); sent["v1"] > 0 {
		t.Errorf("the requests went to %v", sent)
	}
	s.check(Completed, "v2")
	// The copy may also have an order that was removed meanwhile.
	s.table.RemoveOrder(s.now, simService, s.order.Revision)
	copied.Revision.Epoch++
	copied.Status = Status{}
	s.order = copied
	s.table.SetOrder(s.now, copied)
	s.pass(3 * time.Second)
	s.check(Completed, "v2")
}

// Guards against gateways that get the slack of an order again by restarting, and against those
// that send all to a version whose order they have not read yet.
func TestRestartedGatewayGetsNoSlack(t *testing.T) {
	s := newSingle(t, "v1")
	s.write(Order{To: "v2"})
	s.register("v2", 2)
	s.pass(2 * time.Second)
	exposed := 0
	for range 20 {
		s.table = New(s.now, Bounds{Share: 0.1, Slack: 50}, "self")
		s.table.SetOrder(s.now, s.order)
		s.table.Update(s.now, s.catalog.View())
		exposed += s.sentIn(200 * time.Millisecond)["v2"]
	}
	if exposed > 40 {
		t.Errorf("a gateway that restarts sent %d of 400 requests to the version on trial", exposed)
	}
	fresh := newSingle(t, "v1")
	fresh.register("v2", 2)
	if sent := fresh.sentIn(time.Second); sent["v2"] > 0 {
		t.Errorf("without an order, the requests went to %v", sent)
	}
	fresh.table.Adopt(fresh.now, "other", "one", s.table.Reports(s.now))
	if sent := fresh.sentIn(time.Second); sent["v2"] > 10 {
		t.Errorf("with the order of another gateway, the requests went to %v", sent)
	}
}

// Guards against a report that grows with the service: a fleet sends many.
func TestReportIsSmall(t *testing.T) {
	s := newSingle(t, "v1")
	s.write(Order{To: "v2"})
	s.register("v2", 44)
	for i := range 10_000 {
		for _, m := range s.catalog.View().Upstreams(simService) {
			if i%100 == 0 {
				s.table.Begin(s.now, m, fmt.Sprint("route-", i%600/100)).End(s.now, Outcome{Time: time.Duration(i+1) * time.Millisecond})
			}
		}
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(s.table.Reports(s.now)); err != nil {
		t.Fatal(err)
	}
	if b.Len() > 4096 {
		t.Errorf("the report of six routes and 46 upstreams has %d bytes", b.Len())
	}
	t.Logf("the report has %d bytes", b.Len())
}

// Guards against a removed order that lives on among gateways: one that removed it and one whose
// watch is late pass it to each other, and write its status for ever.
func TestRemovedOrderIsNotAdoptedAgain(t *testing.T) {
	s := newSingle(t, "v1")
	s.write(Order{To: "v2"})
	s.register("v2", 2)
	s.pass(10 * time.Second)
	s.check(Completed, "v2")
	reports := s.table.Reports(s.now)
	restarted := newSingle(t, "v2")
	restarted.table.SetRead(catalog.Revision{Number: s.order.Revision.Number + 1})
	s.remove("v1")
	s.table.RemoveOrder(s.now, simService, s.order.Revision)
	for who, other := range map[string]*single{"one that removed it": s, "one that started after it": restarted} {
		writes := 0
		for range 50 {
			other.table.Adopt(other.now, "other", "one", reports)
			writes += len(other.table.Tick(other.now, other.fleet()))
			other.now = other.now.Add(200 * time.Millisecond)
		}
		if names := other.table.Orders(); writes > 0 || len(names) > 0 {
			t.Errorf("a gateway, %s, has the orders %v and wants %d writes", who, names, writes)
		}
	}
	// The version is closed no longer.
	s.register("v1", 2)
	s.pass(noveltyTime)
	if sent := s.sentIn(time.Second); sent["v1"] == 0 {
		t.Errorf("the requests went to %v", sent)
	}
	// The operator may write the same order again.
	reports[0].Revision, reports[0].Verdict = s.order.Revision.Number+2, None
	s.table.Adopt(s.now, "other", "one", reports)
	if len(s.table.Orders()) == 0 {
		t.Error("a later order isn't adopted")
	}
}

// Guards against gateways that all write when the owner's write doesn't come through: they take
// turns.
func TestGatewaysTakeTurnsToWrite(t *testing.T) {
	for rank, want := range []time.Duration{0, takeOverTime, 2 * takeOverTime} {
		s := newSingle(t, "v1")
		s.write(Order{To: "v2"})
		fleet := Fleet{Self: "self", Count: 3, Owner: func(string) string { return "owner" }, Rank: func(string) int { return rank }}
		ordered := s.now
		for len(s.table.Tick(s.now, fleet)) == 0 && s.now.Sub(ordered) < time.Minute {
			s.now = s.now.Add(100 * time.Millisecond)
		}
		if got := s.now.Sub(ordered); got != want {
			t.Errorf("the gateway of rank %d writes after %v, want %v", rank, got, want)
		}
	}
}

// Guards against requests that are placed on old upstreams while the verdict that stops them is
// under way: a gateway said that it has nothing left there, and then the new version turns bad.
func TestPromiseHoldsUntilTheStoreIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		state State
		want  string
	}{
		"the store has stopped the old version": {state: Completed, want: "v2"},
		"the store has rolled back":             {state: RolledBack, want: "v1"},
		"the store is silent":                   {state: None, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSingle(t, "v1")
			s.write(Order{To: "v2"})
			s.register("v2", 2)
			for s.table.States(s.now, s.fleet())[0].Stage != stageFull.String() {
				s.pass(100 * time.Millisecond)
			}
			s.pass(200 * time.Millisecond)
			if reports := s.table.Reports(s.now); len(reports) != 1 || !reports[0].IsClean {
				t.Fatalf("the reports are %+v, want a clean one", reports)
			}
			upstreams := s.catalog.View().Upstreams(simService)
			for _, m := range upstreams {
				for range 60 {
					if m.Version == "v2" {
						s.table.Begin(s.now, m, "route").End(s.now, Outcome{Result: Failed})
					}
				}
			}
			writes := s.table.Tick(s.now, s.fleet())
			if len(writes) != 1 || writes[0].Status.State != RolledBack {
				t.Fatalf("the writes are %+v, want one that rolls back", writes)
			}
			s.sent = make(map[string]int)
			s.send()
			if s.sent["v2"] != 1 || s.table.Closed()[Version{Service: simService, Version: "v2"}] {
				t.Errorf("before the store is read, the request went to %v", s.sent)
			}
			if allowance := s.table.Allowance(s.now, upstreams[0]); allowance > 0 {
				t.Errorf("before the store is read, the old version may have %d pieces", allowance)
			}
			if c.state == None {
				s.now = s.now.Add(awaitTime)
				s.table.Tick(s.now, s.fleet())
			} else {
				s.order.Status = writes[0].Status
				s.order.Status.State = c.state
				s.order.Revision.Number++
				s.table.SetOrder(s.now, s.order)
			}
			s.sent = make(map[string]int)
			s.send()
			if s.sent[c.want] != 1 {
				t.Errorf("the request went to %v, want %s", s.sent, c.want)
			}
		})
	}
}

// Guards against traffic that moves at once because the clock of the machine that wrote the status
// differs from that of a gateway that starts.
func TestAgeByAnotherClockMovesNoTraffic(t *testing.T) {
	start := func(behind time.Duration) *single {
		s := newSingle(t, "v1", "v2")
		s.table = New(s.now, Bounds{Share: 0.1, Slack: 50}, "self")
		s.table.Update(s.now, s.catalog.View())
		s.write(Order{To: "v2", Status: Status{State: Running, To: "v2", Duration: 10 * time.Second, Holder: "other", Since: s.now.Add(-behind)}})
		return s
	}
	t.Run("alone", func(t *testing.T) {
		s := start(time.Hour)
		if sent := s.sentIn(joinTime); sent["v2"] > 20 {
			t.Errorf("the requests went to %v", sent)
		}
		s.pass(8 * time.Second)
		s.check(Completed, "v2")
	})
	for name, c := range map[string]struct {
		isHint bool
		// age is the reported one, and want the one that is adopted.
		age, want time.Duration
	}{
		"with a gateway that has measured it":  {age: time.Second, want: time.Second},
		"with a gateway that has seen it long": {age: 8 * time.Second, want: 8 * time.Second},
		"with a younger hint":                  {isHint: true, age: time.Second, want: time.Second},
		"with an older hint":                   {isHint: true, age: 8 * time.Second, want: 3 * time.Second},
		"with the same hint, late":             {isHint: true, age: 2500 * time.Millisecond, want: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(3 * time.Second)
			rep := s.table.Reports(s.now)[0]
			rep.Age, rep.IsHint = c.age, c.isHint
			s.table.Adopt(s.now, "other", "one", []Report{rep})
			if got := s.table.States(s.now, s.fleet())[0].AgeMs; got != c.want.Milliseconds() {
				t.Errorf("the age is %d ms, want %v", got, c.want)
			}
		})
	}
}

// Guards against traffic that moves to a version of which hardly anything is known but that most of
// its answers were bad: its upstreams are too few to leave out the worst.
func TestFewAnswers(t *testing.T) {
	for _, c := range []struct {
		good, bad, oldGood, oldBad int
		want                       State
	}{
		{good: 1, bad: 2, oldGood: 107, want: RolledBack},
		{good: 1, bad: 1, oldGood: 107, want: RolledBack},
		{good: 2, bad: 1, oldGood: 107, want: Completed},
		{good: 3, oldGood: 107, want: Completed},
		{oldGood: 107, want: Completed},
		{good: 1, bad: 2, oldGood: 60, oldBad: 60, want: Completed},
	} {
		t.Run(fmt.Sprintf("%d of %d bad, old %d of %d", c.bad, c.good+c.bad, c.oldBad, c.oldGood+c.oldBad), func(t *testing.T) {
			s := newSingle(t, "v1")
			s.write(Order{To: "v2"})
			s.register("v2", 2)
			upstreams := s.catalog.View().Upstreams(simService)
			answer := func(version string, skipped, n int, result Result) {
				for i, m := range upstreams {
					if m.Version != version || i%2 == skipped {
						continue
					}
					for range n {
						s.table.Place(m, 1)
						s.table.Begin(s.now, m, "route").End(s.now, Outcome{Result: result, Time: 10 * time.Millisecond})
					}
				}
			}
			answer("v1", 0, c.oldGood, Good)
			answer("v1", 0, c.oldBad, Failed)
			// The bad answers are of another upstream than the good ones.
			answer("v2", 0, c.good, Good)
			answer("v2", 1, c.bad, Failed)
			for end := s.now.Add(10 * time.Second); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
				for _, v := range s.table.Seal() {
					s.table.SetLeft(v, 0)
				}
				for _, w := range s.table.Tick(s.now, s.fleet()) {
					if w.Order.Revision == s.order.Revision {
						s.order.Status = w.Status
						s.order.Revision.Number++
						s.table.SetOrder(s.now, s.order)
					}
				}
			}
			s.check(c.want, "v2")
		})
	}
}

// Guards against totals that fall, and windows with negative counts, because a heartbeat's reply
// overtook an earlier request.
func TestOvertakenReportIsDropped(t *testing.T) {
	s, other := newSingle(t, "v1"), newSingle(t, "v1")
	s.write(Order{To: "v2"})
	other.write(Order{To: "v2"})
	earlier := other.table.Reports(other.now)
	other.pass(time.Second)
	later := other.table.Reports(other.now)
	s.table.Adopt(s.now, "other", "one", later)
	known := s.table.States(s.now, s.fleet())[0].Old.Answers
	s.table.Adopt(s.now, "other", "one", earlier)
	if got := s.table.States(s.now, s.fleet())[0].Old.Answers; got != known || known == 0 {
		t.Errorf("%d answers are known after an overtaken report, %d before", got, known)
	}
	s.table.Adopt(s.now, "other", "two", earlier)
	if got := s.table.States(s.now, s.fleet())[0].Old.Answers; got != known {
		t.Errorf("%d answers are known after the other gateway's restart, %d before", got, known)
	}
}

// Guards against a new version that is taken for the one in service, and gets all traffic at its
// order, because its registrations returned before those of the old one after a store outage.
func TestRegistrationsReturnInAnyOrder(t *testing.T) {
	s := newSingle(t, "v1")
	s.register("v2", 2)
	s.pass(5 * time.Second)
	s.remove("v1")
	s.remove("v2")
	s.pass(time.Second)
	s.register("v2", 2)
	s.pass(5 * time.Second)
	s.register("v1", 2)
	s.pass(5 * time.Second)
	s.write(Order{To: "v2"})
	if sent := s.sentIn(time.Second); sent["v2"] > 20 {
		t.Errorf("the requests went to %v", sent)
	}
	s.pass(9 * time.Second)
	s.check(Completed, "v2")
	// A version that its verdict has stopped is on trial when it is back.
	s.remove("v1")
	s.pass(time.Second)
	s.register("v1", 2)
	s.pass(5 * time.Second)
	s.write(Order{To: "v1"})
	if sent := s.sentIn(time.Second); sent["v1"] > 20 {
		t.Errorf("after the verdict, the requests went to %v", sent)
	}
}

// Guards against an order that other gateways never hear of because there are many at a time, and
// that can't be completed for that.
func TestEachOrderIsReported(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(now.Add(-time.Minute), Bounds{Share: 0.1, Slack: 50}, "self")
	const running, final = 3 * maxReports / 2, 3
	for i := range running + final {
		o := Order{Service: fmt.Sprint("s", i), Name: fmt.Sprint("s", i), To: "v2", Duration: time.Minute, Revision: catalog.Revision{Number: uint64(i + 1)}}
		if i >= running {
			o.Status = Status{State: Completed, To: "v2"}
		}
		table.SetOrder(now, o)
	}
	reported := make(map[string]bool)
	for range 50 {
		reports := table.Reports(now)
		if len(reports) != maxReports {
			t.Fatalf("there are %d reports, want %d", len(reports), maxReports)
		}
		for _, rep := range reports {
			reported[rep.Service] = true
			if rep.Verdict != None {
				t.Errorf("%s with a verdict is reported in place of one without", rep.Service)
			}
		}
	}
	if len(reported) != running {
		t.Errorf("%d of %d orders without a verdict are reported", len(reported), running)
	}
}

// Guards against versions of years that are remembered because each order passes on those that
// earlier ones have left.
func TestLeftVersionsAreForgotten(t *testing.T) {
	s := newSingle(t, "v1")
	for i := range 20 {
		version := fmt.Sprint("w", i)
		s.write(Order{To: version})
		s.register(version, 2)
		s.pass(time.Second)
		s.remove(version)
		s.now = s.now.Add(time.Minute)
	}
	if n := len(s.table.rollouts[simService].rejected); n == 0 || n > 7 {
		t.Errorf("%d versions are closed, want those of the last 5 minutes", n)
	}
}
