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

// timeToConverge advances the fake clock until all processes have the generation, or
// until limit.
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

// Guards against a configuration that does not reach every process within 3 s while the
// store is unavailable and the platform can't be watched.
func TestConvergesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.delay = time.Millisecond
		all := c.startFleet(6, 41)
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		mustCommit(t, all[0], 0, testDocument(100))
		c.store.down = true
		if d := timeToConverge(all, 1, time.Minute); d > 3*time.Second {
			t.Fatalf("47 processes converged in %v, want at most 3 s", d)
		}
		time.Sleep(time.Minute)
		for _, p := range all {
			if !p.fresh.IsFresh() {
				t.Fatalf("%s is not fresh although its peers are connected", p.instance.Name)
			}
		}
	})
}

// Guards against an isolated process that counts as fresh, and against an entry that
// reaches only a sidecar and keeps a lower generation.
func TestIsolatedProcessIsStaleAndPullsFromASidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.startFleet(3, 2)
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		mustCommit(t, all[0], 0, testDocument(3))
		time.Sleep(5 * time.Second)
		isolated := all[2]
		var linkUp atomic.Bool
		c.mu.Lock()
		c.reachable = func(from, to string) bool {
			if from != isolated.instance.Address && to != isolated.instance.Address {
				return true
			}
			return linkUp.Load() && to == all[3].instance.Address
		}
		c.mu.Unlock()
		time.Sleep(FreshnessTimeout + time.Second)
		if isolated.fresh.IsFresh() || !all[0].fresh.IsFresh() {
			t.Fatal("the isolated process is fresh, or a connected process is not")
		}
		down := func(context.Context) (uint64, error) { return 0, errUnavailable }
		if err := isolated.node.Refresh(t.Context(), down); err == nil {
			t.Fatal("a refresh that reached neither the store nor a peer succeeded")
		}
		mustCommit(t, all[0], 1, testDocument(4))
		time.Sleep(5 * time.Second)
		linkUp.Store(true)
		for _, p := range all[:2] {
			isolated.table.Remove(p.instance.Name, 1000)
		}
		if err := isolated.node.Refresh(t.Context(), down); err != nil || isolated.holder.Generation() != 2 || !isolated.fresh.IsFresh() {
			t.Fatalf("generation %d after a refresh from the sidecar, error %v, want 2 and fresh", isolated.holder.Generation(), err)
		}
	})
}

// Guards against counting as fresh after a peer reported a higher generation that it then
// did not deliver.
func TestUndeliveredGenerationDoesNotConfirm(t *testing.T) {
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

// Guards against a restarted process that serves a lower generation than its peers.
func TestBootstrapTakesTheHighest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.roundTrip = true
		all := c.startFleet(4, 0)
		mustCommit(t, all[0], 0, testDocument(200))
		old := c.store.objects[configurationHead]
		mustCommit(t, all[0], 1, testDocument(201))
		c.store.objects[configurationHead] = old
		if err := all[1].node.Bootstrap(t.Context(), all[1].loader.Load); err != nil || all[1].holder.Generation() != 2 {
			t.Fatalf("started with generation %d, error %v, want 2", all[1].holder.Generation(), err)
		}
	})
}

const configurationHead = "configurations/active"

// Guards against a changed instance that some entry does not receive, and against a
// restarted sidecar whose record stays superseded by that of its previous incarnation.
func TestMembershipChangesReachAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.startFleet(5, 10)
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
				t.Fatalf("%s has %+v instead of the restarted sidecar", e.instance.Name, i)
			}
		}
	})
}

// Guards against a leaving instance that still gets new work after 3 s, because the
// updates after a mass failure have exhausted the budget for gossip.
func TestLeavingSpreadsWithExhaustedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.startFleet(30, 60)
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

// Guards against a sidecar that stays possibly stale because its primary owner starts no
// calls but replies to others and is therefore not suspected.
func TestStandbyOwnerTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.startFleet(2, 20)
		mustCommit(t, all[0], 0, testDocument(3))
		all[1].run(t)
		defer stopAll(all[1:2])
		time.Sleep(15 * time.Second)
		for range 250 {
			time.Sleep(100 * time.Millisecond)
			for _, p := range all[2:] {
				if !p.fresh.IsFresh() {
					t.Fatalf("%s has had no confirmation for %v", p.instance.Name, p.fresh.Age())
				}
			}
		}
	})
}

// Guards against sidecars without a confirmation while both owners have failed and are
// still listed, and against entries that stay suspected after they are reachable again.
func TestSuspectedOwnersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.startFleet(12, 40)
		for _, p := range all {
			p.run(t)
		}
		defer stopAll(all)
		mustCommit(t, all[0], 0, testDocument(3))
		time.Sleep(5 * time.Second)
		var live []*process
		isolated := make(map[string]bool)
		for i, p := range all {
			if i >= 6 && i < 12 {
				isolated[p.instance.Address] = true
				continue
			}
			live = append(live, p)
		}
		c.mu.Lock()
		c.reachable = func(from, to string) bool { return isolated[from] == isolated[to] }
		c.mu.Unlock()
		time.Sleep(10 * time.Second)
		mustCommit(t, all[0], 1, testDocument(4))
		if d := timeToConverge(live, 2, time.Minute); d > 3*time.Second {
			t.Fatalf("with half of the entries isolated, a change took %v", d)
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

// Guards against a busy sidecar that never gets a digest because it replies to other
// calls, so that its restart is not detected.
func TestBusySidecarStillGetsDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		all := c.startFleet(2, 1)
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

// Guards against digests over the limit of 200 bytes per exchange of two equal tables, as
// net/rpc encodes it on a connection in use. The limit excludes the headers of TCP and IP.
// DigestExchangeBytes, 250, includes 156 bytes of them and leaves 94 for the messages; this
// test doesn't check it.
func TestEqualDigestsTakeUnder200Bytes(t *testing.T) {
	c := newCluster()
	all := c.startFleet(40, 0)
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
	// The first calls also carry rumours of the new process.
	for range 10 {
		before = counted.n.Load()
		req := &DigestRequest{Digest: localDigest(all[1].holder, all[1].table), Known: all[0].table.SelfState().Hash()}
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
