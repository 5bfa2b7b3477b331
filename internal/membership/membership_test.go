package membership

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/internal/rapidtest"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 0) }

func instance(role fleet.Role, name, address, incarnation string) fleet.InstanceRecord {
	return fleet.InstanceRecord{Name: name, Role: role, FailureDomain: "a", Address: address, Phase: fleet.PhaseLive, Incarnation: incarnation}
}

func newTable(name string) *Table {
	return NewTable(instance(fleet.RoleEntry, name, "10.0.0.1:"+name, "i-"+name), 1000, tally.NoopScope)
}

func phase(t *Table, name string) fleet.Phase {
	i, _ := t.Get(name)
	return i.Phase
}

// Guards against a lagging list that brings back an instance that reported that it is
// leaving, and against "leaving" that carries over to the next process of the name. It
// uses several incarnations so that the order of hashes cannot decide the result.
func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	for i := range 8 {
		checkLeaving(t, fmt.Sprintf("first-%d", i))
	}
}

func checkLeaving(t *testing.T, incarnation string) {
	t.Helper()
	table := newTable("e")
	s := instance(fleet.RoleSidecar, "s", "10.0.0.2:1", incarnation)
	table.Replace(5, []ListedInstance{{Version: 5, Instance: s}})
	table.Merge([]Record{{Name: "s", Self: SelfState{Epoch: 7, Instance: s}}})
	table.MarkLeaving("s", "another")
	if phase(table, "s") != fleet.PhaseLive {
		t.Fatal("the announcement of another incarnation was applied")
	}
	table.MarkLeaving("s", incarnation)
	for version := uint64(4); version < 8; version++ {
		table.Replace(version, []ListedInstance{{Version: version, Instance: s}})
		table.Merge([]Record{{Name: "s", Self: SelfState{Epoch: 7, Instance: s}}})
		if phase(table, "s") != fleet.PhaseLeaving || len(table.Live(fleet.RoleSidecar)) != 0 {
			t.Fatalf("the list at version %d brought back a leaving instance", version)
		}
	}
	next := s
	next.Incarnation = "second"
	table.Merge([]Record{{Name: "s", Self: SelfState{Epoch: 8, Instance: next}}})
	if phase(table, "s") != fleet.PhaseLive {
		t.Fatal("the next incarnation is leaving")
	}
}

// Guards against a removed instance that stays or comes back, and against a lagging
// list that removes a newer one.
func TestRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, other := newTable("e"), newTable("o")
		s := instance(fleet.RoleSidecar, "s", "10.0.0.2:1", "first")
		reported := Record{Name: "s", Self: SelfState{Epoch: 7, Instance: s}}
		table.Merge([]Record{reported})
		table.Replace(10, nil)
		if _, ok := table.Get("s"); !ok {
			t.Fatal("a lagging list removed an instance that has just reported itself")
		}
		table.Replace(20, []ListedInstance{{Version: 20, Instance: s}})
		table.Replace(19, nil)
		if _, ok := table.Get("s"); !ok {
			t.Fatal("a list older than the instance removed it")
		}
		repair(t, table, other)
		table.Replace(21, nil)
		repair(t, other, table)
		other.Merge([]Record{reported})
		for _, x := range []*Table{table, other} {
			if _, ok := x.Get("s"); ok {
				t.Fatal("a removed instance is still in the table")
			}
		}
		table.Apply(ListedInstance{Version: 22, Instance: s})
		if _, ok := table.Get("s"); !ok {
			t.Fatal("an instance that was listed again is not in the table")
		}
		table.Remove("s", 23)
		time.Sleep(tombstoneTTL + time.Second)
		table.ExpireTombstones()
		if _, _, ok := table.Record("s"); ok {
			t.Fatal("a tombstone never expires")
		}
	})
}

// Guards against a replaced instance whose old address or incarnation stays in use,
// and against a process that stays overridden by a predecessor with a faster clock.
func TestReplacement(t *testing.T) {
	table := newTable("e")
	s := instance(fleet.RoleSidecar, "s", "10.0.0.2:1", "first")
	table.Replace(5, []ListedInstance{{Version: 5, Instance: s}})
	table.Merge([]Record{{Name: "s", Self: SelfState{Epoch: 7, Instance: s}}})
	moved := s
	moved.Address, moved.Incarnation = "10.0.0.3:1", ""
	table.Apply(ListedInstance{Version: 6, Instance: moved})
	if i, _ := table.Get("s"); i.Address != moved.Address || i.Incarnation != "" {
		t.Fatalf("got %+v, want the new address without incarnation", i)
	}
	next := NewTable(instance(fleet.RoleSidecar, "s", "10.0.0.3:1", "second"), 3, tally.NoopScope)
	record, _, _ := table.Record("s")
	next.Merge([]Record{record})
	table.Merge([]Record{{Name: "s", Self: next.SelfState()}})
	if i, _ := table.Get("s"); i.Incarnation != "second" {
		t.Fatalf("got %+v, want the process that runs at the listed address", i)
	}
}

// repair makes both tables equal as a repair between peers does.
func repair(t interface {
	Helper()
	Fatal(args ...any)
}, a, b *Table) {
	t.Helper()
	for range 100 {
		differing, summaries, err := b.Compare(a.Buckets())
		if err != nil {
			t.Fatal(err)
		}
		want, records, err := a.PlanSync(differing, summaries)
		if err != nil {
			t.Fatal(err)
		}
		if len(want)+len(records) == 0 {
			return
		}
		newer := b.Merge(records)
		a.Merge(append(newer, b.Records(want)...))
	}
}

func drawRecord(t *rapid.T) Record {
	name := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "name"))
	address := func() string { return fmt.Sprintf("10.0.0.%d:1", rapid.IntRange(0, 2).Draw(t, "address")) }
	r := Record{Name: name}
	if version := rapid.Uint64Range(0, 3).Draw(t, "version"); version > 0 {
		r.Platform = PlatformState{Version: version, Removed: rapid.Bool().Draw(t, "removed"), SupersededEpoch: rapid.Uint64Range(0, 3).Draw(t, "superseded")}
		if !r.Platform.Removed {
			r.Platform.Instance = instance(fleet.RoleSidecar, name, address(), "")
		}
	}
	if epoch := rapid.Uint64Range(0, 3).Draw(t, "epoch"); epoch > 0 {
		r.Self = SelfState{Epoch: epoch, Instance: instance(fleet.RoleSidecar, name, address(), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "incarnation"))}
		r.Self.Beat = rapid.Uint64Range(0, 2).Draw(t, "beat")
		if rapid.Bool().Draw(t, "leaving") {
			r.Self.Instance.Phase = fleet.PhaseLeaving
		}
	}
	if rapid.Bool().Draw(t, "suspected") {
		r.Doubt = Suspicion{Epoch: rapid.Uint64Range(0, 3).Draw(t, "suspicionEpoch"), Beat: rapid.Uint64Range(1, 3).Draw(t, "suspicionBeat")}
	}
	return r
}

// Guards against tables that never converge because messages arrive in different orders.
func TestJoinIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		b.Name, c.Name = a.Name, a.Name
		empty := Record{Name: a.Name}
		a, b, c = join(a, empty), join(b, empty), join(c, empty)
		if join(a, a) != a || join(a, b) != join(b, a) || join(join(a, b), c) != join(a, join(b, c)) {
			t.Fatalf("join depends on the order of\n%+v\n%+v\n%+v", a, b, c)
		}
	})
}

// Guards against repairs that end while the tables still differ.
func TestRepairMakesTablesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTable("a"), newTable("b")
		for range rapid.IntRange(0, 20).Draw(t, "records") {
			rapid.SampledFrom([]*Table{a, b}).Draw(t, "table").Merge([]Record{drawRecord(t)})
		}
		repair(t, a, b)
		if a.Digest() != b.Digest() || fmt.Sprint(a.All()) != fmt.Sprint(b.All()) {
			t.Fatalf("the tables differ:\n%+v\n%+v", a.All(), b.All())
		}
	})
}

// Guards against a sidecar whose two owners are in one failure domain, or that has
// another number of owners.
func TestOwners(t *testing.T) {
	for _, domains := range []int{1, 2, 3} {
		var tables []*Table
		for i := range 12 {
			e := instance(fleet.RoleEntry, fmt.Sprintf("e%d", i), fmt.Sprintf("10.0.0.1:%d", i), fmt.Sprint(i))
			e.FailureDomain = fmt.Sprint(i % domains)
			tables = append(tables, NewTable(e, 1, tally.NoopScope))
		}
		for _, table := range tables {
			for _, other := range tables {
				table.Merge([]Record{{Name: other.Self().Name, Self: other.SelfState()}})
			}
			for i := range 40 {
				table.Apply(ListedInstance{Version: 1, Instance: instance(fleet.RoleSidecar, fmt.Sprintf("s%d", i), "10.0.0.2:1", "")})
			}
		}
		owners := make(map[string]map[string]int)
		for _, table := range tables {
			first, second := table.Owned()
			for _, s := range append(first, second...) {
				if owners[s.Name] == nil {
					owners[s.Name] = make(map[string]int)
				}
				owners[s.Name][table.Self().FailureDomain]++
			}
		}
		for i := range 40 {
			by := owners[fmt.Sprintf("s%d", i)]
			if n := len(by); n != min(domains, 2) || (domains == 1 && by["0"] != 2) {
				t.Fatalf("with %d domains, s%d has owners in %v", domains, i, by)
			}
		}
	}
}

// Guards against too many watchers, and against none after all of them have stopped.
func TestWatchElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tables []*Table
		for i := range 40 {
			tables = append(tables, newTable(fmt.Sprintf("e%d", i)))
		}
		watching := make([]atomic.Bool, len(tables))
		stopped := make([]bool, len(tables))
		for i, table := range tables {
			for _, other := range tables {
				table.Merge([]Record{{Name: other.Self().Name, Self: other.SelfState()}})
			}
			table.RecordPlatformContact(0)
			watch := func(ctx context.Context) {
				watching[i].Store(true)
				<-ctx.Done()
				watching[i].Store(false)
			}
			go NewWatchElector(table, watch, time.Now).Run(t.Context())
		}
		count := func(d time.Duration) int {
			for range d / time.Second {
				time.Sleep(time.Second)
				for i := range tables {
					for j := range tables {
						if !stopped[i] && !stopped[j] && watching[i].Load() {
							tables[j].RecordPlatformContact(0)
						}
					}
				}
			}
			n := 0
			for i := range watching {
				if watching[i].Load() && !stopped[i] {
					n++
				}
			}
			return n
		}
		if n := count(20 * time.Second); n != WatcherCount {
			t.Fatalf("%d entries watch, want %d", n, WatcherCount)
		}
		for i := range stopped {
			stopped[i] = watching[i].Load()
		}
		if n := count(2 * watcherDoublingInterval); n == 0 {
			t.Fatal("no entry watches after all watchers have stopped")
		}
	})
}

func FuzzCompareAndPlan(f *testing.F) {
	f.Add(make([]byte, BucketCount*bucketHashBytes), []byte{1}, make([]byte, summaryBytes))
	f.Fuzz(func(t *testing.T, buckets, differing, summaries []byte) {
		table := newTable("e")
		_, _, _ = table.Compare(buckets)
		want, send, err := table.PlanSync(differing, summaries)
		if err == nil && (len(want) > MaxRecords || len(send) > MaxRecords) {
			t.Fatalf("%d keys and %d records in one message", len(want), len(send))
		}
	})
}
