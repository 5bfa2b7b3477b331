package routing

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

func candidates(n, domains int) []Candidate {
	out := make([]Candidate, 0, n)
	for i := range n {
		out = append(out, Candidate{
			Name:          fmt.Sprintf("u-%d", i),
			Address:       fmt.Sprintf("10.0.0.%d:7100", i),
			FailureDomain: fmt.Sprintf("fd-%d", i%domains),
			Capacity:      10,
			ColdCapacity:  2,
			InService:     true,
		})
	}
	return out
}

func newTable(cfg Config) *Table {
	return New(cfg, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
}

// Guards against an upstream that fails fast and attracts calls, because few of its calls
// are in flight.
func TestFailingUpstreamIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(Config{Instance: "e", Seed: 1})
		table.Update("s", candidates(8, 4))
		failed := 0
		for range 1000 {
			c, err := table.Pick(PickRequest{Stage: "s", Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if c.Name() == "u-3" {
				failed++
				c.Done(Result{Outcome: Failed, Duration: time.Millisecond})
				continue
			}
			time.Sleep(time.Millisecond)
			c.Done(Result{Outcome: Succeeded, Duration: 5 * time.Millisecond})
		}
		if failed > 15 {
			t.Fatalf("%d of 1000 calls went to the failing upstream", failed)
		}
	})
}

// Guards against a call that counts as in flight for ever because Done is never called.
func TestChoiceExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(Config{Instance: "e", Seed: 1})
		table.Update("s", candidates(1, 1))
		c, err := table.Pick(PickRequest{Stage: "s", Timeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second + choiceGrace + time.Millisecond)
		if n := table.Status()[0].InFlight; n != 0 {
			t.Fatalf("%d in flight", n)
		}
		c.Done(Result{})
		if n := table.Status()[0].InFlight; n != 0 {
			t.Fatalf("%d in flight after a late Done", n)
		}
	})
}

// warmTable returns a table of n warm upstreams with equal service times.
func warmTable(t *testing.T, cfg Config, n, domains int) *Table {
	t.Helper()
	table := newTable(cfg)
	table.Update("s", candidates(n, domains))
	for _, u := range table.stages["s"].subset {
		u.limit, u.warming, u.serviceTime = 10, false, 0.1
	}
	return table
}

func pick(t *testing.T, table *Table, r PickRequest) *Choice {
	t.Helper()
	r.Stage, r.Timeout = "s", time.Second
	c, err := table.Pick(r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// fail records n failed calls of the upstream.
func fail(table *Table, name string, n int) {
	s := table.stages["s"]
	for range n {
		s.recordResult(s.upstreams[name], Result{Outcome: Failed}, time.Now())
	}
}

func countState(table *Table, state State) int {
	n := 0
	for _, s := range table.Status() {
		if s.State == state {
			n++
		}
	}
	return n
}

// Guards against ejections of more than the maximum fraction of a failure domain, and
// against a failed domain that is not ejected as a whole.
func TestEjectionCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := warmTable(t, Config{Instance: "e"}, 12, 4)
		healthy := table.stages["s"].upstreams["u-8"]
		for _, name := range []string{"u-0", "u-4"} {
			fail(table, name, ejectFailures)
			table.stages["s"].recordResult(healthy, Result{Outcome: Succeeded, Duration: 100 * time.Millisecond}, time.Now())
		}
		if n := countState(table, StateEjected); n != 1 {
			t.Fatalf("%d of 3 upstreams of a domain are ejected, want 1", n)
		}
		fail(table, "u-8", 1)
		fail(table, "u-4", ejectDomainFailures-1)
		if n := countState(table, StateEjected); n != 3 {
			t.Fatalf("%d upstreams of a failed domain are ejected, want 3", n)
		}
		for _, s := range table.Status() {
			if s.State == StateEjected && (s.Reason == "" || s.EjectedForMs == 0) {
				t.Fatalf("no reason or ejection time in %+v", s)
			}
		}
	})
}

// Guards against calls to an ejected upstream, against more than one probe at a time, and
// against an upstream that never becomes active again.
func TestProbing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := warmTable(t, Config{Instance: "e"}, 4, 1)
		fail(table, "u-0", ejectFailures)
		exclude := []string{"u-1", "u-2", "u-3"}
		if _, err := table.Pick(PickRequest{Stage: "s", Exclude: exclude}); err == nil {
			t.Fatal("an ejected upstream was picked")
		}
		for range probeSuccesses {
			time.Sleep(ejectBase)
			c := pick(t, table, PickRequest{Exclude: exclude})
			if !c.IsProbe() {
				t.Fatal("the call is not marked as a probe")
			}
			if _, err := table.Pick(PickRequest{Stage: "s", Exclude: exclude}); err == nil {
				t.Fatal("a second probe was sent")
			}
			c.Done(Result{Outcome: Succeeded, Duration: 100 * time.Millisecond})
		}
		if n := countState(table, StateEjected) + countState(table, StateProbing); n != 0 {
			t.Fatal("the upstream did not become active again")
		}
	})
}

// Guards against ejections that leave no upstream when all look unhealthy.
func TestAllUnhealthy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := warmTable(t, Config{Instance: "e"}, 8, 2)
		for i := range 8 {
			fail(table, fmt.Sprintf("u-%d", i), 2*ejectFailures)
		}
		used := make(map[string]bool)
		for range 64 {
			c := pick(t, table, PickRequest{})
			if c.IsProbe() {
				t.Fatal("a call that ignores ejections must count in the retry budget")
			}
			used[c.Name()] = true
		}
		if len(used) != 8 {
			t.Fatalf("calls went to %d of 8 upstreams", len(used))
		}
	})
}

// Guards against calls to upstreams that fail, are slow or busy, are leaving, out of service
// or excluded, while others are idle.
func TestPickAvoids(t *testing.T) {
	cases := map[string]func(table *Table, u *upstream, r *PickRequest){
		"one failure": func(table *Table, u *upstream, _ *PickRequest) { fail(table, u.name, 1) },
		"slow":        func(_ *Table, u *upstream, _ *PickRequest) { u.serviceTime, u.serviceTimeAt = 1, time.Now() },
		"busy": func(table *Table, u *upstream, _ *PickRequest) {
			table.stages["s"].recordResult(u, Result{Outcome: Refused}, time.Now())
		},
		"leaving":         func(_ *Table, u *upstream, _ *PickRequest) { u.candidate.Leaving = true },
		"reports leaving": func(_ *Table, u *upstream, _ *PickRequest) { u.leaving = true },
		"no service":      func(_ *Table, u *upstream, _ *PickRequest) { u.candidate.InService = false },
		"excluded":        func(_ *Table, u *upstream, r *PickRequest) { r.Exclude = []string{u.name} },
		"other domain":    func(table *Table, u *upstream, _ *PickRequest) { table.cfg.FailureDomain = "fd-0"; u.domain = "fd-9" },
		"others' calls":   func(_ *Table, u *upstream, _ *PickRequest) { u.otherCalls, u.reportedAt = 5, time.Now() },
	}
	for name, change := range cases {
		synctest.Test(t, func(t *testing.T) {
			table := warmTable(t, Config{Instance: "e"}, 3, 1)
			r := PickRequest{}
			change(table, table.stages["s"].upstreams["u-1"], &r)
			for range 3 {
				if c := pick(t, table, r); c.Name() == "u-1" {
					t.Errorf("%s: the upstream was picked", name)
				}
			}
		})
	}
}

// Guards against a local failure domain that is overloaded while others are idle.
func TestLocalDomainIsNotOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := warmTable(t, Config{Instance: "e", FailureDomain: "fd-0"}, 2, 2)
		local := 0
		for range 10 {
			if pick(t, table, PickRequest{}).FailureDomain() == "fd-0" {
				local++
			}
		}
		if local < 6 || local > 9 {
			t.Fatalf("%d of 10 calls are local, want most but not all", local)
		}
	})
}

// Guards against calls that never end and keep an upstream from being picked.
func TestStuckCallsExpireForPicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := warmTable(t, Config{Instance: "e"}, 2, 1)
		for range 8 {
			pick(t, table, PickRequest{Exclude: []string{"u-1"}})
		}
		time.Sleep(time.Second + choiceGrace + time.Millisecond)
		for range 2 {
			pick(t, table, PickRequest{})
		}
		for _, s := range table.Status() {
			if s.InFlight != 1 {
				t.Fatalf("%s has %d in flight, want 1", s.Upstream, s.InFlight)
			}
		}
	})
}

// Guards against affinity that is ignored, and against affinity that overloads the
// preferred upstream.
func TestAffinityBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := warmTable(t, Config{Instance: "e"}, 4, 1)
		first := pick(t, table, PickRequest{AffinityKey: "k"})
		counts := map[string]int{first.Name(): 1}
		for range 15 {
			counts[pick(t, table, PickRequest{AffinityKey: "k"}).Name()]++
		}
		if n := counts[first.Name()]; n < 7 || n > 8 || len(counts) != 4 {
			t.Fatalf("16 calls with one key went to %v", counts)
		}
	})
}

// Guards against subsets that are too large, lack a failure domain, are the same for every
// instance, or change mostly when one upstream is added.
func TestSubset(t *testing.T) {
	all := candidates(200, 4)
	subset := func(instance string, n int) map[string]bool {
		table := newTable(Config{Instance: instance, SubsetSize: 18})
		table.Update("s", all[:n])
		names, domains := make(map[string]bool), make(map[string]int)
		for _, u := range table.stages["s"].subset {
			names[u.name] = true
			domains[u.domain]++
		}
		if len(names) != 18 || len(domains) != 4 || domains["fd-0"] < 4 || domains["fd-0"] > 5 {
			t.Fatalf("subset of %d in domains %v", len(names), domains)
		}
		return names
	}
	same := func(a, b map[string]bool) int {
		n := 0
		for name := range a {
			if b[name] {
				n++
			}
		}
		return n
	}
	a := subset("a", 199)
	if n := same(a, subset("b", 199)); n > 9 {
		t.Errorf("two instances share %d of 18 upstreams", n)
	}
	if n := same(a, subset("a", 200)); n < 17 {
		t.Errorf("%d of 18 upstreams stay when one is added", n)
	}
}

// Guards against requests that miss their deadline on a warming upstream while a warm one
// has free slots, and against a warming one that never gets any calls.
func TestWarmingUpstreamGetsCallsWithSlack(t *testing.T) {
	cases := []struct {
		name     string
		request  PickRequest
		full     bool
		reported time.Duration
		skipped  time.Duration
		cold     bool
	}{
		{name: "enough for the expected time", request: PickRequest{Slack: 700 * time.Millisecond}, cold: true},
		{name: "too little for the expected time", request: PickRequest{Slack: 500 * time.Millisecond}},
		{name: "enough for the reported time", request: PickRequest{Slack: 350 * time.Millisecond}, reported: 200 * time.Millisecond, cold: true},
		{name: "too little for the reported time", request: PickRequest{Slack: 700 * time.Millisecond}, reported: 500 * time.Millisecond},
		{name: "just enough after a while", request: PickRequest{Slack: 500 * time.Millisecond}, skipped: 5 * time.Second, cold: true},
		{name: "too little after a while", request: PickRequest{Slack: 400 * time.Millisecond}, skipped: time.Hour},
		{name: "after a refusal", request: PickRequest{AvoidWarming: true}},
		{name: "warm ones full", request: PickRequest{Slack: 500 * time.Millisecond, AvoidWarming: true}, full: true, cold: true},
		{name: "unknown", request: PickRequest{}, cold: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := warmTable(t, Config{Instance: "e", Seed: 1}, 4, 2)
			for _, u := range table.stages["s"].subset {
				if u.name == "u-1" {
					u.warming, u.limit, u.serviceTime, u.coldServiceTime = true, 2, 0, tc.reported.Seconds()
					if tc.skipped > 0 {
						u.skippedSince = time.Now().Add(-tc.skipped)
					}
				} else if tc.full {
					u.inFlight = 10
				}
			}
			tc.request.Stage = "s"
			c := pick(t, table, tc.request)
			if (c.Name() == "u-1") != tc.cold || c.HasWarmAlternative() == tc.full {
				t.Fatalf("%s was picked, a warm alternative is %v", c.Name(), c.HasWarmAlternative())
			}
		})
	}
}
