package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func gateway(n int) Gateway {
	return Gateway{Name: fmt.Sprint("g", n), Address: fmt.Sprintf("10.0.0.%d:70", n), Incarnation: "one"}
}

func heartbeatTimeout(string) time.Duration { return HeartbeatTimeout }

// fleet returns the rosters of n gateways that all have each other's heartbeat.
func fleet(n int, now time.Time) []*Roster {
	rosters := make([]*Roster, n)
	for i := range rosters {
		rosters[i] = New(gateway(i))
		for j := range n {
			rosters[i].Put(gateway(j), now)
			rosters[i].RecordHeartbeat(gateway(j).Name, "one", false, now)
		}
	}
	return rosters
}

// Guards against gateways that disagree on the owner of a queue although they agree on the
// live gateways, and against a lost owner.
func TestLiveGatewaysAgreeOnOwners(t *testing.T) {
	now := time.Unix(100, 0)
	rosters := fleet(4, now)
	owned := make(map[string]int)
	for q := range 40 {
		key := fmt.Sprint("queue", q)
		owner := rosters[0].Owner(key).Name
		owned[owner]++
		for _, r := range rosters {
			if got := r.Owner(key).Name; got != owner {
				t.Fatalf("by %s, %s owns %s; by g0, %s does", r.Self().Name, got, key, owner)
			}
		}
	}
	if len(owned) != 4 {
		t.Errorf("the queues are owned by %v, want 4 owners", owned)
	}
	later := now.Add(HeartbeatTimeout + time.Millisecond)
	for _, r := range rosters[:3] {
		for i := range 3 {
			r.RecordHeartbeat(gateway(i).Name, "one", false, later)
		}
		lost := rosters[0].Lost("g3")
		if expired := r.Expire(later, heartbeatTimeout); len(expired) != 1 || expired[0].Name != "g3" {
			t.Fatalf("%s expired %v, want g3", r.Self().Name, expired)
		}
		if r == rosters[0] {
			select {
			case <-lost:
			default:
				t.Error("waiters for the lost gateway aren't notified")
			}
		}
		for q := range 40 {
			if r.Owner(fmt.Sprint("queue", q)).Name == "g3" {
				t.Fatal("a lost gateway owns a queue")
			}
		}
	}
}

// Guards against queues that stay with a gateway while it shuts down.
func TestLeavingGatewayOwnsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	rosters := fleet(2, now)
	rosters[0].Leave()
	rosters[1].RecordHeartbeat("g0", "one", true, now)
	for q := range 20 {
		for _, r := range rosters {
			if owner := r.Owner(fmt.Sprint("queue", q)).Name; owner != "g1" {
				t.Fatalf("by %s, %s owns a queue", r.Self().Name, owner)
			}
		}
	}
	if alone := New(gateway(9)); alone.Owner("queue").Name != "g9" {
		t.Error("a single gateway does not own its queues")
	}
}

// Guards against a late reply of an earlier incarnation that keeps a failed gateway live: it
// must not extend the time for which the new incarnation is presumed to be live.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	now := time.Unix(100, 0)
	r := New(gateway(0))
	restarted := gateway(1)
	restarted.Incarnation = "two"
	r.Put(gateway(1), now)
	r.RecordHeartbeat("g1", "one", false, now)
	r.Put(restarted, now)
	later := now.Add(HeartbeatTimeout + time.Millisecond)
	if r.RecordHeartbeat("g1", "one", false, now.Add(-time.Millisecond)) {
		t.Error("the reply of the earlier incarnation counts")
	}
	if r.Expire(later, func(string) time.Duration { return time.Hour }); len(r.Live()) != 0 {
		t.Error("the earlier incarnation counts as live")
	}
	if !r.RecordHeartbeat("g1", "two", false, later) || len(r.Live()) != 1 {
		t.Error("the new incarnation isn't live")
	}
}

// Guards against a restarted gateway that never counts as live because the store turns this
// one away, so that it sees only the listing of the earlier incarnation.
func TestIncarnationIsAdoptedFromAReply(t *testing.T) {
	now := time.Unix(100, 0)
	r := New(gateway(0))
	r.Put(gateway(1), now)
	r.RecordHeartbeat("g1", "one", false, now)
	lost := r.Lost("g1")
	if !r.RecordHeartbeat("g1", "two", false, now.Add(time.Second)) || len(r.Live()) != 1 {
		t.Error("the new incarnation isn't live")
	}
	select {
	case <-lost:
	default:
		t.Error("waiters for the earlier incarnation aren't notified")
	}
	if r.RecordHeartbeat("g1", "one", false, now.Add(time.Second)) || r.Live()[0].Incarnation != "two" {
		t.Error("a late reply of the earlier incarnation counts")
	}
}

// Guards against gateways that each own all queues after a start of the whole fleet, until
// they have heard each other: by their lists alone they must agree on each owner, and one that
// doesn't reply must lose its queues within HeartbeatTimeout. The load pattern is the restart
// of 42 gateways after all were killed.
func TestGatewaysAgreeOnOwnersBeforeTheFirstHeartbeat(t *testing.T) {
	now := time.Unix(100, 0)
	const gateways = 42
	rosters := make([]*Roster, gateways)
	for i := range rosters {
		rosters[i] = New(gateway(i))
		for j := range gateways {
			rosters[i].Put(gateway(j), now)
		}
	}
	for q := range 5 {
		key := fmt.Sprint("queue", q)
		owner := rosters[0].Owner(key)
		for _, r := range rosters {
			if got := r.Owner(key).Name; got != owner.Name {
				t.Fatalf("by %s, %s owns %s; by g0, %s does", r.Self().Name, got, key, owner.Name)
			}
			if r.Self().Name != owner.Name {
				select {
				case <-r.Lost(owner.Name):
					t.Fatalf("by %s, the owner is lost", r.Self().Name)
				default:
				}
			}
		}
	}
	r := rosters[0]
	if n := len(r.Doubtful(now)); n != gateways-1 {
		t.Errorf("%d gateways are doubtful", n)
	}
	r.RecordHeartbeat("g1", "one", false, now)
	r.Expire(now.Add(HeartbeatTimeout+time.Millisecond), func(string) time.Duration { return time.Hour })
	if live := r.Live(); len(live) != 1 || live[0].Name != "g1" {
		t.Errorf("%v are live, want g1, which has replied", live)
	}
}

// Guards against shared limits that are exceeded because the number of gateways decreases
// at once when some are unreachable.
func TestShareCountShrinksSlowly(t *testing.T) {
	now := time.Unix(100, 0)
	r := fleet(4, now)[0]
	r.Expire(now.Add(2*time.Second), heartbeatTimeout)
	if n := r.ShareCount(now.Add(2 * time.Second)); n != 4 {
		t.Errorf("limits are split by %d, want 4", n)
	}
	if n := r.ShareCount(now.Add(shareRetention + time.Second)); n != 1 {
		t.Errorf("limits are split by %d long after the others were lost, want 1", n)
	}
}

// Guards against panics and waiters that aren't notified, in any order of events.
func TestStatefulRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(gateway(0))
		now := time.Unix(100, 0)
		pick := rapid.IntRange(1, 3)
		t.Repeat(map[string]func(*rapid.T){
			"put":       func(t *rapid.T) { r.Put(gateway(pick.Draw(t, "g")), now) },
			"remove":    func(t *rapid.T) { r.Remove(gateway(pick.Draw(t, "g")).Name) },
			"markLost":  func(t *rapid.T) { r.MarkLost(gateway(pick.Draw(t, "g")).Name, now) },
			"heartbeat": func(t *rapid.T) { r.RecordHeartbeat(gateway(pick.Draw(t, "g")).Name, "one", false, now) },
			"leaving":   func(t *rapid.T) { r.RecordHeartbeat(gateway(pick.Draw(t, "g")).Name, "one", true, now) },
			"wait":      func(*rapid.T) { now = now.Add(300 * time.Millisecond); r.Expire(now, heartbeatTimeout) },
			"": func(t *rapid.T) {
				live := make(map[string]bool)
				for _, g := range r.Live() {
					live[g.Name] = true
				}
				for i := 1; i <= 3; i++ {
					name := gateway(i).Name
					select {
					case <-r.Lost(name):
						if live[name] {
							t.Fatalf("%s is live and lost", name)
						}
					default:
						if !live[name] {
							t.Fatalf("waiters aren't notified that %s is lost", name)
						}
					}
				}
				if got, want := r.Owner("queue").Name, r.chooseOwners(ownerKey{key: "queue", count: 1})[0].Name; got != want {
					t.Fatalf("%s owns a queue, want %s", got, want)
				}
				index, count := r.Share(now)
				others := slices.Clone(r.Others())
				r.changed()
				if wantIndex, wantCount := r.Share(now); index != wantIndex || count != wantCount || !slices.Equal(others, r.Others()) {
					t.Fatalf("the share is %d of %d, want %d of %d; the others are %v, want %v", index, count, wantIndex, wantCount, others, r.Others())
				}
				if owner := r.Owner("queue").Name; owner != "g0" && !live[owner] {
					t.Fatalf("%s owns a queue and isn't live", owner)
				}
			},
		})
	})
}

// Guards against a live gateway that is dropped because the store's list is outdated, and against
// one that stays for good although it is neither listed nor live.
func TestLiveGatewaysOutliveAnOutdatedList(t *testing.T) {
	now := time.Now()
	r := New(Gateway{Name: "self", Address: "self:1"})
	heard, presumed := Gateway{Name: "heard", Address: "heard:1", Incarnation: "two"}, Gateway{Name: "presumed", Address: "presumed:1"}
	r.Put(heard, now)
	r.RecordHeartbeat("heard", "two", false, now)
	r.Put(presumed, now)
	r.Retain(func(string) bool { return false })
	if others := r.Others(); len(others) != 1 || others[0] != heard {
		t.Fatalf("the others are %+v", others)
	}
	before := heard
	before.Incarnation = "one"
	r.PutUnconfirmed(before, now)
	r.PutUnconfirmed(Gateway{Name: "ended", Address: "ended:1"}, now)
	if live := r.Live(); len(live) != 1 || live[0] != heard {
		t.Errorf("live are %+v", live)
	}
	if doubtful := r.Doubtful(now); len(doubtful) != 1 || doubtful[0].Name != "ended" {
		t.Errorf("doubtful are %+v", doubtful)
	}
	r.Retain(func(name string) bool { return name == "ended" })
	now = now.Add(time.Second)
	r.Expire(now, heartbeatTimeout)
	if n := len(r.Others()); n != 2 {
		t.Errorf("%d others while the unlisted one is lost for a second", n)
	}
	now = now.Add(shareRetention)
	r.Expire(now, heartbeatTimeout)
	if others := r.Others(); len(others) != 1 || others[0].Name != "ended" {
		t.Errorf("the others are %+v", others)
	}
}

// Guards against work over all gateways for each request: what follows from the members must
// outlast requests and heartbeats that change nothing. The load pattern is 300 gateways that
// reply to heartbeats while requests ask for the owner of a queue and for their share.
func TestOwnersAndSharesOutlastHeartbeats(t *testing.T) {
	now := time.Unix(100, 0)
	const gateways = 300
	r := New(gateway(0))
	for i := range gateways {
		r.Put(gateway(i), now)
		r.RecordHeartbeat(gateway(i).Name, "one", false, now)
	}
	owner := r.Owner("queue").Name
	r.Share(now)
	before, others := r.derived, r.Others()
	for i := 1; i < gateways; i++ {
		now = now.Add(time.Millisecond)
		r.RecordHeartbeat(gateway(i).Name, "one", false, now)
		r.Expire(now, heartbeatTimeout)
		r.Owner("queue")
		r.Share(now)
	}
	if r.derived.shareUntil != before.shareUntil || len(r.derived.owners) != 1 || &r.Others()[0] != &others[0] {
		t.Error("owners and shares were computed again although no gateway came or went")
	}
	if r.MarkLost(owner, now); r.Owner("queue").Name == owner {
		t.Error("a lost gateway still owns the queue")
	}
}

// Guards against owners on instances that the work for the fleet alone keeps busy, against
// gateways that disagree on the owners, and against owners that all change with their number.
// The load pattern is 24 gateways of which 13 have a seventh of the others' processor.
func TestOwnersAreLargeInstances(t *testing.T) {
	now := time.Unix(100, 0)
	gateways := make([]Gateway, 24)
	for i := range gateways {
		gateways[i] = gateway(i)
		gateways[i].Capacity = 0.8
		if i >= 11 {
			gateways[i].Capacity = 0.1
		}
	}
	rosters := make([]*Roster, len(gateways))
	for i, self := range gateways {
		rosters[i] = New(self)
		for _, g := range gateways {
			rosters[i].Put(g, now)
		}
	}
	for q := range 50 {
		key := fmt.Sprint("queue", q)
		owners := rosters[0].Owners(key, 4)
		for _, r := range rosters {
			if !slices.Equal(r.Owners(key, 4), owners) || !slices.Equal(r.Owners(key, 3), owners[:3]) {
				t.Fatalf("by %s, %v own %s; by g0, %v do", r.Self().Name, r.Owners(key, 4), key, owners)
			}
		}
		for _, g := range owners {
			if g.Capacity < 0.8 {
				t.Errorf("%s owns %s with a capacity of %g", g.Name, key, g.Capacity)
			}
		}
	}
	last := rosters[23]
	for _, g := range gateways[:11] {
		last.MarkLost(g.Name, now)
	}
	if owner := last.Owner("queue"); owner.Capacity != 0.1 {
		t.Errorf("%s owns a queue and is lost", owner.Name)
	}
	if n := len(last.Owners("queue", 50)); n != 13 {
		t.Errorf("%d of 13 live gateways are owners", n)
	}
}

// Guards against gateways that have one place in the order of a key's owners, or none: they take
// turns by it, small ones too.
func TestRanksDiffer(t *testing.T) {
	now := time.Unix(100, 0)
	const count = 6
	rosters := make([]*Roster, count)
	for i := range rosters {
		members := make([]Gateway, count)
		for j := range members {
			members[j] = gateway(j)
			members[j].Capacity = float64(1 + 7*(j%2))
		}
		rosters[i] = New(members[i])
		for _, g := range members {
			rosters[i].Put(g, now)
			rosters[i].RecordHeartbeat(g.Name, "one", false, now)
		}
	}
	for q := range 20 {
		key := fmt.Sprint("queue", q)
		byRank := make(map[int]string)
		for _, r := range rosters {
			byRank[r.Rank(key)] = r.Self().Name
		}
		for rank := range count {
			if byRank[rank] == "" {
				t.Errorf("no gateway has the rank %d for %s: %v", rank, key, byRank)
			}
		}
		if owner := rosters[0].Owner(key).Name; byRank[0] != owner {
			t.Errorf("%s has the rank 0 for %s, and %s owns it", byRank[0], key, owner)
		}
	}
}
