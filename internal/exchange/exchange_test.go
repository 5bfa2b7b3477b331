package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func isConverged(all []*process, generation uint64) bool {
	for _, p := range all {
		if p.holder.Generation() != generation {
			return false
		}
	}
	return true
}

// timeToConverge advances the paused clock until all processes have the generation.
func timeToConverge(all []*process, generation uint64, limit time.Duration) time.Duration {
	started := time.Now()
	for time.Since(started) < limit && !isConverged(all, generation) {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

func mustCommit(t testing.TB, p *process, base uint64, doc fleet.Document) {
	t.Helper()
	if _, err := p.publisher.Commit(context.Background(), base, doc); err != nil {
		t.Fatal(err)
	}
}

// Guards against a configuration that some process does not get in time, while the
// store is down and the platform can't be watched.
func TestConvergesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.delay = time.Millisecond
		all := c.fill(6, 41)
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		mustCommit(t, all[0], 0, testDocument(100))
		c.store.down = true
		if d := timeToConverge(all, 1, time.Minute); d > 3*time.Second {
			t.Fatalf("47 processes converge in %v, want at most 3 s", d)
		}
		time.Sleep(time.Minute)
		for _, p := range all {
			if !p.fresh.IsFresh() {
				t.Fatalf("%s has connected peers and is not fresh", p.instance.Name)
			}
		}
	})
}

// Guards against a process that is cut off and still counts as fresh, and against
// an entry that reaches only a sidecar and stays behind.
func TestCutOffProcessIsStaleAndLearnsFromASidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.fill(3, 2)
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		mustCommit(t, all[0], 0, testDocument(3))
		time.Sleep(5 * time.Second)
		cut := all[2]
		var open atomic.Bool
		c.mu.Lock()
		c.reachable = func(from, to string) bool {
			if from != cut.instance.Address && to != cut.instance.Address {
				return true
			}
			return open.Load() && to == all[3].instance.Address
		}
		c.mu.Unlock()
		time.Sleep(FreshnessTimeout + time.Second)
		if cut.fresh.IsFresh() || !all[0].fresh.IsFresh() {
			t.Fatal("freshness does not follow the confirmations")
		}
		down := func(context.Context) (uint64, error) { return 0, errDown }
		if err := cut.node.Refresh(t.Context(), down); err == nil {
			t.Fatal("a refresh that reached nobody succeeded")
		}
		mustCommit(t, all[0], 1, testDocument(4))
		time.Sleep(5 * time.Second)
		open.Store(true)
		for _, p := range all[:2] {
			cut.table.Remove(p.instance.Name, 1000)
		}
		if err := cut.node.Refresh(t.Context(), down); err != nil || cut.holder.Generation() != 2 || !cut.fresh.IsFresh() {
			t.Fatalf("the sidecar did not bring generation 2: %d, %v", cut.holder.Generation(), err)
		}
	})
}

// Guards against counting as fresh after a peer showed a higher generation and did
// not deliver it.
func TestUndeliveredGenerationConfirmsNothing(t *testing.T) {
	c := newCluster()
	p := c.start(fleet.RoleEntry, "a", 1)
	p.node.call = func(_ context.Context, _, method string, _, reply any) error {
		if method == MethodDigest {
			reply.(*DigestReply).Digest = Digest{Generation: 5, Membership: p.table.Digest()}
		}
		return nil
	}
	if err := p.node.Exchange(t.Context(), fleet.InstanceRecord{Name: "b", Role: fleet.RoleEntry, Address: "b"}); err != nil || p.fresh.IsFresh() {
		t.Fatalf("error %v, fresh %v", err, p.fresh.IsFresh())
	}
}

// Guards against a restarted process that serves on less than its peers have.
func TestBootstrapTakesTheHighest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.roundTrip = true
		all := c.fill(4, 0)
		mustCommit(t, all[0], 0, testDocument(200))
		old := c.store.objects[configurationHead]
		mustCommit(t, all[0], 1, testDocument(201))
		c.store.objects[configurationHead] = old
		if err := all[1].node.Bootstrap(t.Context(), all[1].loader.Load); err != nil || all[1].holder.Generation() != 2 {
			t.Fatalf("started on generation %d, error %v, want 2", all[1].holder.Generation(), err)
		}
	})
}

const configurationHead = "configurations/active"

// Guards against news of an instance that does not reach every entry, and against a
// restarted sidecar that stays hidden behind its predecessor.
func TestMembershipSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.fill(5, 10)
		entries := all[:5]
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		time.Sleep(5 * time.Second)
		leaving := all[7]
		leaving.table.Leave()
		time.Sleep(3 * time.Second)
		for _, e := range entries {
			if i, _ := e.table.Get(leaving.instance.Name); i.Phase != fleet.PhaseLeaving {
				t.Fatalf("%s does not know that %s is leaving", e.instance.Name, leaving.instance.Name)
			}
		}
		next := c.start(fleet.RoleSidecar, leaving.instance.Name, 5)
		time.Sleep(7 * time.Second)
		for _, e := range entries {
			i, _ := e.table.Get(leaving.instance.Name)
			if i.Phase != fleet.PhaseLive || i.Incarnation != next.instance.Incarnation {
				t.Fatalf("%s has %+v in place of the restarted sidecar", e.instance.Name, i)
			}
		}
	})
}

// Guards against an instance that is leaving and still gets new work after 3 s, because
// a mass failure has used up the budget for the spread of changes.
func TestLeavingSpreadsOverTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.fill(30, 60)
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		mustCommit(t, all[0], 0, testDocument(3))
		time.Sleep(10 * time.Second)
		for _, p := range all[:30] {
			for i := range 200 {
				p.table.ApplyGossip(membership.Gossip{Records: []membership.Record{{Name: fmt.Sprint("dead-", i), Self: membership.SelfState{Epoch: 1, Instance: fleet.InstanceRecord{Name: fmt.Sprint("dead-", i), Role: fleet.RoleSidecar}}}}})
			}
			p.table.ConsumeBytes(membership.GossipBurstBytes)
		}
		leaving := all[40].instance
		all[0].table.MarkLeaving(leaving.Name, leaving.Incarnation)
		time.Sleep(3 * time.Second)
		for _, e := range all[:30] {
			if i, _ := e.table.Get(leaving.Name); i.Phase != fleet.PhaseLeaving {
				t.Fatalf("%s does not know that %s is leaving", e.instance.Name, leaving.Name)
			}
		}
	})
}

// Guards against a sidecar that stays possibly out of date because its first owner calls
// nobody, answers others and is therefore not doubted.
func TestSecondOwnerStandsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.fill(2, 20)
		mustCommit(t, all[0], 0, testDocument(3))
		all[1].run(t)
		defer stopAll(all[1:2])
		time.Sleep(15 * time.Second)
		for range 250 {
			time.Sleep(100 * time.Millisecond)
			for _, p := range all[2:] {
				if !p.fresh.IsFresh() {
					t.Fatalf("%s has heard of nobody for %v", p.instance.Name, p.fresh.Age())
				}
			}
		}
	})
}

// Guards against sidecars that nobody looks after while both owners are dead and
// still listed, and against entries that stay doubted after they are back.
func TestDoubtedOwnersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.fill(12, 40)
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		mustCommit(t, all[0], 0, testDocument(3))
		time.Sleep(5 * time.Second)
		var live []*process
		cut := make(map[string]bool)
		for i, p := range all {
			if i >= 6 && i < 12 {
				cut[p.instance.Address] = true
				continue
			}
			live = append(live, p)
		}
		c.mu.Lock()
		c.reachable = func(from, to string) bool { return cut[from] == cut[to] }
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		mustCommit(t, all[0], 1, testDocument(4))
		if d := timeToConverge(live, 2, time.Minute); d > 3*time.Second {
			t.Fatalf("with half of the entries cut off, a change took %v", d)
		}
		time.Sleep(10 * time.Second)
		for _, p := range live {
			if !p.fresh.IsFresh() {
				t.Fatalf("%s is not fresh", p.instance.Name)
			}
		}
		c.mu.Lock()
		c.reachable = func(string, string) bool { return true }
		c.mu.Unlock()
		time.Sleep(30 * time.Second)
		for _, p := range all[:12] {
			if n := len(p.table.Reachable()); n != 12 || p.holder.Generation() != 2 {
				t.Fatalf("%s reaches %d of 12 entries and is at generation %d", p.instance.Name, n, p.holder.Generation())
			}
		}
	})
}

// Guards against a busy sidecar that is never asked for its own statement, so that
// its restart stays unknown.
func TestBusySidecarIsStillAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.fill(2, 1)
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		mustCommit(t, all[0], 0, testDocument(3))
		time.Sleep(time.Second)
		next := c.start(fleet.RoleSidecar, all[2].instance.Name, 9000)
		for range 400 {
			all[0].node.RecordReply(next.instance.Name, 1)
			all[1].node.RecordReply(next.instance.Name, 1)
			time.Sleep(10 * time.Millisecond)
		}
		if i, _ := all[0].table.Get(next.instance.Name); i.Incarnation != next.instance.Incarnation || !next.fresh.IsFresh() {
			t.Fatalf("the table has %+v, the restarted sidecar is fresh: %v", i, next.fresh.IsFresh())
		}
	})
}

// Guards against a digest that outgrows its budget: 200 bytes for two equal tables,
// as net/rpc puts it on a connection in use.
func TestEqualTablesCostUnder200Bytes(t *testing.T) {
	c := newCluster()
	all := c.fill(40, 0)
	mustCommit(t, all[0], 0, testDocument(3))
	if err := all[1].node.Exchange(t.Context(), all[0].instance); err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, all[0].service); err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	counted := &countingConn{Conn: near}
	go server.ServeConn(far)
	client := rpc.NewClient(counted)
	defer func() { _ = client.Close() }()
	before := int64(0)
	// The first calls tell that the process is new.
	for range 10 {
		before = counted.n.Load()
		req := &DigestRequest{Digest: digest(all[1].holder, all[1].table), Known: all[0].table.SelfState().Hash()}
		reply := &DigestReply{}
		if err := client.Call(MethodDigest, req, reply); err != nil || reply.Digest.Membership != req.Digest.Membership {
			t.Fatalf("reply %+v, error %v", reply, err)
		}
	}
	if n := counted.n.Load() - before; n >= 200 {
		t.Fatalf("an exchange of equal digests takes %d bytes", n)
	}
}

type countingConn struct {
	net.Conn
	n atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

var _ io.ReadWriteCloser = (*countingConn)(nil)
