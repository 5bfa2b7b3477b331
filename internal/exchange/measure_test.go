package exchange

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

var measure = flag.Bool("measure", false, "measure convergence and bytes at all sizes")

// fleetSizes are numbers of entries and sidecars: the current fleet, two intermediate
// sizes, and the target.
var fleetSizes = []struct{ entries, sidecars int }{{6, 34}, {55, 245}, {184, 816}, {610, 2700}}

const (
	changesPerSecond = 2200.0 / 86400
	idleTime         = 20 * time.Second
	// headerBytesPerCall is the size of the headers of TCP and IP in the three packets of a call.
	headerBytesPerCall = 3 * 52
)

// usage is the traffic per process in bytes per second.
type usage struct{ mean, highest, meanOnWire, highestOnWire float64 }

func (c *cluster) usage(all []*process, role fleet.Role, d time.Duration) usage {
	c.meter.mu.Lock()
	defer c.meter.mu.Unlock()
	var u usage
	n := 0.0
	for _, p := range all {
		if p.instance.Role != role {
			continue
		}
		n++
		rate := float64(c.meter.bytes[p]) / d.Seconds()
		u.mean += rate
		onWire := rate + float64(c.meter.callsByProcess[p]*headerBytesPerCall)/d.Seconds()
		u.meanOnWire += onWire
		u.highest, u.highestOnWire = max(u.highest, rate), max(u.highestOnWire, onWire)
	}
	u.mean, u.meanOnWire = u.mean/n, u.meanOnWire/n
	return u
}

// breakdown returns the calls and the payload per entry and second by method.
func (c *cluster) breakdown(entries int, d time.Duration) string {
	c.meter.mu.Lock()
	defer c.meter.mu.Unlock()
	var b strings.Builder
	per := float64(entries) * d.Seconds()
	for _, method := range slices.Sorted(maps.Keys(c.meter.methods)) {
		v := c.meter.methods[method]
		fmt.Fprintf(&b, "; %s %.2f calls/s %.0f B/s", method, float64(v.calls)/per, float64(v.bytes)/per)
	}
	return b.String()
}

// TestMeasureConvergence prints the convergence time and the traffic of the exchange on a
// fake clock with calls of 1 ms. Guards against a change that takes longer than the target
// of 3 s, or an entry over 2 KB/s with headers at 2,200 changes per day. It runs with the
// flag -measure.
func TestMeasureConvergence(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.entries+size.sidecars), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureFleet(t, size.entries, size.sidecars) })
		})
	}
}

func measureFleet(t *testing.T, entries, sidecars int) {
	c := newCluster()
	c.delay = time.Millisecond
	all := c.startFleet(entries, sidecars)
	doc := testDocument(128)
	mustCommit(t, all[0], 0, doc)
	for _, p := range all {
		p.run(t)
	}
	defer stopAll(all)
	first := timeToConverge(all, 1, time.Minute)
	time.Sleep(5 * time.Second)
	c.meter.reset()
	time.Sleep(idleTime)
	t.Logf("idle%s", c.breakdown(entries, idleTime))
	idle, sidecarIdle := c.usage(all, fleet.RoleEntry, idleTime), c.usage(all, fleet.RoleSidecar, idleTime)
	c.meter.reset()
	doc.Organisations[0].Weight++
	mustCommit(t, all[0], 1, doc)
	change := timeToConverge(all, 2, time.Minute)
	time.Sleep(idleTime - change)
	t.Logf("change%s", c.breakdown(entries, idleTime))
	busy := c.usage(all, fleet.RoleEntry, idleTime)
	perChange := (busy.mean - idle.mean) * idleTime.Seconds()
	perChangeOnWire := (busy.meanOnWire - idle.meanOnWire) * idleTime.Seconds()
	onWire := idle.meanOnWire + perChangeOnWire*changesPerSecond
	t.Logf("entry with TCP/IP headers: idle %.0f B/s mean, %.0f highest; one change %.0f B; at 2200 changes a day %.0f B/s mean, %.0f highest", idle.meanOnWire, idle.highestOnWire, perChangeOnWire, onWire, idle.highestOnWire+perChangeOnWire*changesPerSecond)
	t.Logf("%d entries, %d sidecars: whole configuration everywhere after %v, one row after %v", entries, sidecars, first, change)
	t.Logf("entry: idle %.0f B/s mean, %.0f highest; one change %.0f B; at 2200 changes a day %.0f B/s", idle.mean, idle.highest, perChange, idle.mean+perChange*changesPerSecond)
	t.Logf("sidecar: idle %.0f B/s mean, %.0f highest, %.0f mean with TCP/IP headers", sidecarIdle.mean, sidecarIdle.highest, sidecarIdle.meanOnWire)
	if change > 3*time.Second || onWire > 2000 {
		t.Errorf("a change took %v and an entry %.0f B/s", change, onWire)
	}
	for _, p := range all {
		if !p.fresh.IsFresh() {
			t.Fatalf("%s is not fresh", p.instance.Name)
		}
	}
	live := measureFailedDomain(t, c, all, 3)
	time.Sleep(10 * time.Second)
	measureFailedDomain(t, c, live, 4)
}

// measureFailedDomain makes one more of four failure domains unresponsive, which the
// platform still lists, and commits the generation immediately. It returns the live
// processes.
func measureFailedDomain(t *testing.T, c *cluster, all []*process, generation uint64) []*process {
	var live []*process
	c.mu.Lock()
	if c.unresponsive == nil {
		c.unresponsive = make(map[string]bool)
	}
	for _, p := range all {
		if p.instance.FailureDomain == all[1].instance.FailureDomain {
			c.unresponsive[p.instance.Address] = true
			p.stop()
			continue
		}
		live = append(live, p)
	}
	c.mu.Unlock()
	doc := testDocument(128)
	doc.Organisations[1].Weight = int(generation)
	mustCommit(t, live[0], generation-1, doc)
	d := timeToConverge(live, generation, time.Minute)
	t.Logf("%d of %d processes failed: one row everywhere after %v", len(all)-len(live), len(all), d)
	if d > 3*time.Second {
		t.Errorf("a change took %v", d)
	}
	c.meter.reset()
	time.Sleep(idleTime)
	t.Logf("failed domain%s", c.breakdown(len(live[0].table.Live(fleet.RoleEntry)), idleTime))
	u := c.usage(live, fleet.RoleEntry, idleTime)
	if limit := 2000 + membership.GossipBurstBytes/idleTime.Seconds(); u.meanOnWire > limit {
		t.Errorf("an entry uses %.0f B/s after a domain failure, want at most %.0f", u.meanOnWire, limit)
	}
	stale := 0
	for _, p := range live {
		if !p.fresh.IsFresh() {
			stale++
		}
	}
	t.Logf("entry after that: %.0f B/s mean, %.0f highest, with TCP/IP headers %.0f and %.0f; %d of %d processes not fresh; %d of %d entries suspected", u.mean, u.highest, u.meanOnWire, u.highestOnWire, stale, len(live), len(live[0].table.Live(fleet.RoleEntry))-len(live[0].table.Reachable()), len(live[0].table.Live(fleet.RoleEntry)))
	return live
}

// BenchmarkExchangeConvergence counts the rounds and bytes until all processes have a
// change of one row, with direct calls. In a round every entry calls its targets once.
func BenchmarkExchangeConvergence(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("processes=%d", size.entries+size.sidecars), func(b *testing.B) {
			c := newCluster()
			all := c.startFleet(size.entries, size.sidecars)
			doc := testDocument(128)
			mustCommit(b, all[0], 0, doc)
			converge(b, all[:size.entries], all, 1)
			c.meter.reset()
			rounds := 0
			generation := uint64(1)
			for b.Loop() {
				doc.Organisations[0].Weight++
				mustCommit(b, all[0], generation, doc)
				generation++
				rounds += converge(b, all[:size.entries], all, generation)
			}
			b.ReportMetric(float64(rounds)/float64(b.N), "rounds/op")
			b.ReportMetric(float64(2*c.meter.total)/float64(b.N*len(all)), "bytes/process/op")
		})
	}
}

func converge(b *testing.B, entries, all []*process, generation uint64) int {
	for round := 1; round < 1000; round++ {
		for _, p := range entries {
			for _, target := range p.node.Targets() {
				if err := p.node.Exchange(b.Context(), target); err != nil {
					b.Fatal(err)
				}
			}
		}
		if isConverged(all, generation) {
			return round
		}
	}
	b.Fatal("no convergence in 1000 rounds")
	return 0
}

// BenchmarkExchangeDigest measures one exchange of equal digests.
func BenchmarkExchangeDigest(b *testing.B) {
	for _, n := range []int{40, 300, 1000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			c := newCluster()
			all := c.startFleet(n, 0)
			mustCommit(b, all[0], 0, testDocument(128))
			if err := all[1].node.Exchange(b.Context(), all[0].instance); err != nil {
				b.Fatal(err)
			}
			c.meter.reset()
			b.ReportAllocs()
			for b.Loop() {
				if err := all[1].node.Exchange(b.Context(), all[0].instance); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(c.meter.total)/float64(b.N), "bytes/op")
		})
	}
}
