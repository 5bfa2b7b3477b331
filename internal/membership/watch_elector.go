package membership

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// platformKey is the key by which watchers are ranked.
const platformKey = "platform"

// Rank returns how many reachable entries rank before this process as watchers, by
// rendezvous hash of the names.
func (t *Table) Rank() int {
	self, key := t.Self().Name, xxhash.Sum64String(platformKey)
	ownScore := rendezvous(xxhash.Sum64String(self), key)
	rank := 0
	for _, i := range t.Reachable() {
		if i.Name != self && rendezvous(xxhash.Sum64String(i.Name), key) > ownScore {
			rank++
		}
	}
	return rank
}

// Owned returns the sidecars, live or leaving, of which this entry is the primary and
// the standby owner. The primary owner of a sidecar is the reachable entry that ranks
// first by rendezvous hash for the sidecar. The standby owner is the first one of
// another failure domain, so that the failure of a domain leaves one of them.
func (t *Table) Owned() (primary, standby []fleet.InstanceRecord) {
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
		switch primaryIndex, standbyIndex := owners(candidates, xxhash.Sum64String(i.Name)); 0 {
		case primaryIndex:
			primary = append(primary, i)
		case standbyIndex:
			standby = append(standby, i)
		}
	}
	return primary, standby
}

type candidate struct {
	hash   uint64
	domain int
}

// owners returns the indexes of the two owners of the key among the candidates, or -1
// where there is none. In a single failure domain the standby owner is the candidate
// that ranks second.
func owners(candidates []candidate, key uint64) (primary, standby int) {
	const none = -1
	primary, standby = none, none
	otherDomain := none
	var primaryScore, standbyScore, otherDomainScore uint64
	for i, c := range candidates {
		score := rendezvous(c.hash, key)
		switch {
		case primary == none || score > primaryScore:
			standby, standbyScore = primary, primaryScore
			if primary != none && candidates[primary].domain != c.domain {
				otherDomain, otherDomainScore = primary, primaryScore
			}
			primary, primaryScore = i, score
			continue
		case standby == none || score > standbyScore:
			standby, standbyScore = i, score
		}
		if c.domain != candidates[primary].domain && (otherDomain == none || score > otherDomainScore) {
			otherDomain, otherDomainScore = i, score
		}
	}
	if otherDomain != none {
		standby = otherDomain
	}
	return primary, standby
}

// rendezvous mixes two hashes with the finaliser of SplitMix64.
func rendezvous(name, key uint64) uint64 {
	z := name ^ (key * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// IsWatcher reports whether this process should watch the platform. The number of
// watchers doubles for each watcherDoublingInterval without contact with the platform.
func (t *Table) IsWatcher() bool {
	if t.Self().Role != fleet.RoleEntry {
		return false
	}
	doublings := min(int(t.PlatformAge()/watcherDoublingInterval), 16)
	return t.Rank() < WatcherCount<<doublings
}

// WatchElector runs the watch of the platform while this process should be a watcher.
type WatchElector struct {
	table         *Table
	watch         func(ctx context.Context)
	lastConfirmed func() time.Time
}

// NewWatchElector returns an elector. watch watches the platform until its context
// ends. lastConfirmed returns when the watch last received an event from the platform,
// or the zero time.
func NewWatchElector(table *Table, watch func(ctx context.Context), lastConfirmed func() time.Time) *WatchElector {
	return &WatchElector{table: table, watch: watch, lastConfirmed: lastConfirmed}
}

// Run starts and stops the watch as IsWatcher requires, until ctx ends. It also
// expires tombstones.
func (w *WatchElector) Run(ctx context.Context) {
	tick := time.NewTicker(electionPeriod)
	defer tick.Stop()
	var stop func()
	var electedAt time.Time
	for ctx.Err() == nil {
		if w.table.IsWatcher() {
			electedAt = time.Now()
			if stop == nil {
				stop = w.startWatch(ctx)
			}
		}
		if stop != nil && time.Since(electedAt) > watchReleaseDelay {
			stop()
			stop = nil
		}
		if stop != nil && time.Since(w.lastConfirmed()) < watchStaleAfter {
			w.table.RecordPlatformContact(0)
		}
		w.table.ExpireTombstones()
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	if stop != nil {
		stop()
	}
}

// startWatch starts the watch and returns a function that stops it and waits for its end.
func (w *WatchElector) startWatch(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.watch(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}
