package membership

import (
	"cmp"
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Live returns the instances of the role that take new work, sorted by name. The slice
// must not be changed.
func (t *Table) Live(role fleet.Role) []fleet.InstanceRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live = nonNil(t.live)
	if list, ok := t.live[role]; ok {
		return list
	}
	list := []fleet.InstanceRecord{}
	for _, e := range t.recordsByName {
		if e.visible && e.instance.Role == role && e.instance.Phase != fleet.PhaseLeaving {
			list = append(list, e.instance)
		}
	}
	sortByName(list)
	t.live[role] = list
	return list
}

// Reachable returns the live entries that are not suspected, sorted by name. It
// includes this process while it is live. The slice must not be changed.
func (t *Table) Reachable() []fleet.InstanceRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reachable != nil {
		return t.reachable
	}
	t.reachable = []fleet.InstanceRecord{}
	for _, e := range t.recordsByName {
		if e.visible && !e.suspected && e.instance.Role == fleet.RoleEntry && e.instance.Phase != fleet.PhaseLeaving {
			t.reachable = append(t.reachable, e.instance)
		}
	}
	sortByName(t.reachable)
	return t.reachable
}

// HasSynced reports whether the table has been equal to a peer's or to the platform's list.
func (t *Table) HasSynced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasSynced
}

// Revision returns a number that changes whenever an instance changes, becomes
// suspected or is no longer suspected.
func (t *Table) Revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// All returns all instances, live or leaving, sorted by name.
func (t *Table) All() []fleet.InstanceRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []fleet.InstanceRecord
	for _, e := range t.recordsByName {
		if e.visible {
			list = append(list, e.instance)
		}
	}
	sortByName(list)
	return list
}

// sidecars returns the sidecars, live or leaving, in no particular order.
func (t *Table) sidecars() []fleet.InstanceRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]fleet.InstanceRecord, 0, len(t.recordsByName))
	for _, e := range t.recordsByName {
		if e.visible && e.instance.Role == fleet.RoleSidecar {
			list = append(list, e.instance)
		}
	}
	return list
}

// Get returns the instance with the name.
func (t *Table) Get(name string) (fleet.InstanceRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.recordsByName[name]
	if !ok || !e.visible {
		return fleet.InstanceRecord{}, false
	}
	return e.instance, true
}

// Record returns the record with the name, which may be a tombstone, and its hash.
func (t *Table) Record(name string) (Record, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.recordsByName[name]
	if !ok {
		return Record{}, 0, false
	}
	return e.record, e.hash, true
}

// Self returns the instance of this process.
func (t *Table) Self() fleet.InstanceRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Instance
}

// SelfState returns the state that this process reports.
func (t *Table) SelfState() SelfState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// PlatformAge returns the time since this process or a peer last had contact with the platform.
func (t *Table) PlatformAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.platformContactAt)
}

func sortByName(list []fleet.InstanceRecord) {
	slices.SortFunc(list, func(a, b fleet.InstanceRecord) int { return cmp.Compare(a.Name, b.Name) })
}
