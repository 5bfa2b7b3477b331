package membership

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// platformKey is the key of the rendezvous order of watchers.
const platformKey = "platform"

// Rank returns how many reachable entries come before this process in the order of
// watchers, which is a rendezvous hash of the names.
func (t *Table) Rank() int {
	self, key := t.Self().Name, xxhash.Sum64String(platformKey)
	mine := rendezvous(xxhash.Sum64String(self), key)
	rank := 0
	for _, i := range t.Reachable() {
		if i.Name != self && rendezvous(xxhash.Sum64String(i.Name), key) > mine {
			rank++
		}
	}
	return rank
}

// Owned returns the sidecars, live or leaving, that this entry owns as first and as
// second owner. The first owner of a sidecar is the reachable entry that comes first
// in the sidecar's rendezvous order, the second is the first one of another failure
// domain, so that the death of a domain leaves one of them.
func (t *Table) Owned() (first, second []fleet.InstanceRecord) {
	entries := t.Reachable()
	self := t.Self()
	candidates := make([]candidate, 0, len(entries)+1)
	domains := make(map[string]int)
	for _, e := range append([]fleet.InstanceRecord{self}, entries...) {
		if len(candidates) > 0 && e.Name == self.Name {
			continue
		}
		if _, ok := domains[e.FailureDomain]; !ok {
			domains[e.FailureDomain] = len(domains)
		}
		candidates = append(candidates, candidate{hash: xxhash.Sum64String(e.Name), domain: domains[e.FailureDomain]})
	}
	for _, i := range t.sidecars() {
		switch one, two := owners(candidates, xxhash.Sum64String(i.Name)); 0 {
		case one:
			first = append(first, i)
		case two:
			second = append(second, i)
		}
	}
	return first, second
}

type candidate struct {
	hash   uint64
	domain int
}

// owners returns the indexes of the two owners of the key among the candidates, -1 if
// there is none. In a single failure domain the second owner is the second of the order.
func owners(candidates []candidate, key uint64) (first, second int) {
	const none = -1
	first, second = none, none
	elsewhere := none
	var firstScore, secondScore, elsewhereScore uint64
	for i, c := range candidates {
		score := rendezvous(c.hash, key)
		switch {
		case first == none || score > firstScore:
			second, secondScore = first, firstScore
			if first != none && candidates[first].domain != c.domain {
				elsewhere, elsewhereScore = first, firstScore
			}
			first, firstScore = i, score
			continue
		case second == none || score > secondScore:
			second, secondScore = i, score
		}
		if c.domain != candidates[first].domain && (elsewhere == none || score > elsewhereScore) {
			elsewhere, elsewhereScore = i, score
		}
	}
	if elsewhere != none {
		second = elsewhere
	}
	return first, second
}

// rendezvous mixes two hashes with the finaliser of SplitMix64.
func rendezvous(name, key uint64) uint64 {
	z := name ^ (key * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// IsWatcher reports whether this process should watch the platform. The number of
// watchers doubles each dutyPatience for which nobody has heard of the platform.
func (t *Table) IsWatcher() bool {
	if t.Self().Role != fleet.RoleEntry {
		return false
	}
	doublings := min(int(t.PlatformAge()/dutyPatience), 16)
	return t.Rank() < WatcherCount<<doublings
}

// WatchElector runs the watch of the platform while the process should be a watcher.
type WatchElector struct {
	table     *Table
	watch     func(ctx context.Context)
	confirmed func() time.Time
}

// NewWatchElector returns a duty. watch watches the platform until its context ends.
// confirmed returns when the watch last heard of the platform, or the zero time.
func NewWatchElector(table *Table, watch func(ctx context.Context), confirmed func() time.Time) *WatchElector {
	return &WatchElector{table: table, watch: watch, confirmed: confirmed}
}

// Run checks the duty until ctx ends.
func (d *WatchElector) Run(ctx context.Context) {
	tick := time.NewTicker(dutyPeriod)
	defer tick.Stop()
	var stop func()
	var last time.Time
	for ctx.Err() == nil {
		if d.table.IsWatcher() {
			last = time.Now()
			if stop == nil {
				stop = d.start(ctx)
			}
		}
		if stop != nil && time.Since(last) > dutyRelease {
			stop()
			stop = nil
		}
		if stop != nil && time.Since(d.confirmed()) < watchTrust {
			d.table.RecordPlatformContact(0)
		}
		d.table.ExpireTombstones()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	if stop != nil {
		stop()
	}
}

// start begins to watch and returns a function that ends the watch and waits for it.
func (d *WatchElector) start(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.watch(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}
