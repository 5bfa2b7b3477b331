package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against a mass failure that uses up the budget and so delays the rumour that
// an instance must get no more work, and against one that exceeds the budget itself.
func TestUrgentRumoursGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("e")
		var known []Record
		for i := range 400 {
			name := fmt.Sprint("entry-", i)
			known = append(known, Record{Name: name, Self: SelfState{Epoch: 1, Instance: instance(fleet.RoleEntry, name, "10.0.0.1:1", "x")}})
		}
		table.Merge(known)
		for table.HasRumours() {
			table.NextGossip(Gossip{})
			time.Sleep(time.Minute)
		}
		for _, r := range known {
			table.Suspect(r.Name)
		}
		table.ConsumeBytes(GossipBurstBytes)
		table.MarkLeaving("entry-399", "x")
		first := table.NextGossip(Gossip{}).Records
		if len(first) != 1 || first[0].Self.Instance.Phase != fleet.PhaseLeaving {
			t.Fatalf("without budget the table sends %v", first)
		}
		bytes := 0
		for range 20 {
			time.Sleep(time.Second)
			gossip := table.NextGossip(Gossip{})
			bytes += SizeOf(gossip.Records) + len(gossip.Doubts)
		}
		if limit := 20 * GossipBytesPerSecond; bytes == 0 || bytes > limit {
			t.Fatalf("in 20 s the table sends %d bytes, want 1 to %d", bytes, limit)
		}
	})
}

// Guards against a rumour after which the receiver has another record than the sender.
func TestRumoursContainTheWholeChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTable("a"), newTable("b")
		s := instance(fleet.RoleSidecar, "s", "10.0.0.2:1", "x")
		changes := []func(){
			func() { a.Apply(ListedInstance{Version: 5, Instance: s}) },
			func() { a.ApplyGossip(Gossip{Records: []Record{{Name: "s", Self: SelfState{Epoch: 7, Instance: s}}}}) },
			func() { a.Suspect("b") },
			func() { a.Suspect("s") },
			func() { a.MarkLeaving("s", "x") },
			func() { a.Remove("s", 9) },
		}
		for i, change := range changes {
			change()
			b.ApplyGossip(a.NextGossip(Gossip{}))
			a.ApplyGossip(b.NextGossip(Gossip{}))
			if a.Digest() != b.Digest() {
				t.Fatalf("after change %d the tables differ:\n%+v\n%+v", i, a.All(), b.All())
			}
			time.Sleep(time.Minute)
		}
	})
}
