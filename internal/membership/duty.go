package membership

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// platformKey is the key of the rendezvous order of watchers.
const platformKey = "platform"

// Rank returns how many live entries come before this process in the order of
// watchers, which is a rendezvous hash of the names.
func (t *Table) Rank() int {
	self, key := t.Self().Name, xxhash.Sum64String(platformKey)
	mine := rendezvous(xxhash.Sum64String(self), key)
	rank := 0
	for _, i := range t.Live(fleet.RoleEntry) {
		if i.Name != self && rendezvous(xxhash.Sum64String(i.Name), key) > mine {
			rank++
		}
	}
	return rank
}

// Owned returns the sidecars, live or leaving, for which this entry is among the
// first n live entries in the sidecar's rendezvous order.
func (t *Table) Owned(n int) []fleet.InstanceRecord {
	self := t.Self().Name
	mine := xxhash.Sum64String(self)
	var others []uint64
	for _, e := range t.Live(fleet.RoleEntry) {
		if e.Name != self {
			others = append(others, xxhash.Sum64String(e.Name))
		}
	}
	var owned []fleet.InstanceRecord
	for _, i := range t.All() {
		if i.Role == fleet.RoleSidecar && isAmongFirst(mine, others, xxhash.Sum64String(i.Name), n) {
			owned = append(owned, i)
		}
	}
	return owned
}

func isAmongFirst(mine uint64, others []uint64, key uint64, n int) bool {
	score := rendezvous(mine, key)
	for _, other := range others {
		if rendezvous(other, key) <= score {
			continue
		}
		if n--; n == 0 {
			return false
		}
	}
	return true
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
	doublings := min(int(t.Age()/dutyPatience), 16)
	return t.Rank() < WatcherCount<<doublings
}

// Duty runs the watch of the platform while the process should be a watcher.
type Duty struct {
	table     *Table
	watch     func(ctx context.Context)
	confirmed func() time.Time
}

// NewDuty returns a duty. watch watches the platform until its context ends.
// confirmed returns when the watch last heard of the platform, or the zero time.
func NewDuty(table *Table, watch func(ctx context.Context), confirmed func() time.Time) *Duty {
	return &Duty{table: table, watch: watch, confirmed: confirmed}
}

// Run checks the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
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
			d.table.Confirm(0)
		}
		d.table.Forget()
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
func (d *Duty) start(ctx context.Context) func() {
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
