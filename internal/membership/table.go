package membership

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Table contains the instances of the fleet that this process knows. It is safe for
// concurrent use.
type Table struct {
	scope tally.Scope

	mu            sync.Mutex
	name          string
	self          SelfState
	recordsByName map[string]*tableRecord
	buckets       [BucketCount]uint64
	digest        uint64
	// live caches the results of Live by role. updateView sets it to nil when an instance
	// changes, by which change recognises that it must call the subscribers. Live and
	// change replace nil by an empty cache.
	live map[fleet.Role][]fleet.InstanceRecord
	// reachable caches the result of Reachable, which is Live(fleet.RoleEntry) without
	// suspected entries. It is nil when it must be computed again.
	reachable         []fleet.InstanceRecord
	revision          uint64
	platformContactAt time.Time
	subscribers       []func()
	// rumours are the changes that are still being sent to peers, by name.
	rumours map[string]*rumour
	budget  *rate.Limiter
	// isBulk is set while Merge adds records of a peer, such as those of a repair, and
	// while Replace applies the first list to a table that has not synchronised yet. No
	// rumours of the levels appearance and refresh are recorded then.
	isBulk bool
	// firstBucket modulo BucketCount is the bucket at which the last comparison started.
	firstBucket int
	// hasSynced is set once the table has been equal to a peer's or to the platform's list.
	hasSynced bool
}

// tableRecord is a record of the table with what is derived from it.
type tableRecord struct {
	record    Record
	key       uint32
	hash      uint64
	instance  fleet.InstanceRecord
	visible   bool
	suspected bool
	firstSeen time.Time
	// removedAt is when the record became a tombstone in this table.
	removedAt time.Time
}

// NewTable returns a table that contains the record of this process. epoch is the Unix
// time of the process's start in milliseconds. self.Incarnation must be set.
func NewTable(self fleet.InstanceRecord, epoch uint64, scope tally.Scope) *Table {
	self.Phase = fleet.PhaseLive
	t := &Table{
		scope:         scope,
		name:          self.Name,
		self:          SelfState{Epoch: max(1, epoch), Instance: self},
		recordsByName: make(map[string]*tableRecord),
		live:          make(map[fleet.Role][]fleet.InstanceRecord),
		rumours:       make(map[string]*rumour),
		budget:        newBudget(),
	}
	t.merge(Record{Name: t.name, Self: t.self})
	return t
}

// Subscribe registers fn, which is called after each change of the results of Live or
// Get. A suspicion does not change them. fn must not block.
func (t *Table) Subscribe(fn func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, fn)
}

// Merge joins records of a peer into the table and returns the resulting records that
// differ from those of the peer. It ignores malformed records and those above
// MaxTableRecords.
func (t *Table) Merge(records []Record) []Record {
	var newer []Record
	t.change(func() {
		t.isBulk = true
		defer func() { t.isBulk = false }()
		for _, r := range records {
			if err := r.Check(); err != nil {
				t.scope.Counter("membershipRecordRefused").Inc(1)
				continue
			}
			t.merge(r)
			if e, ok := t.recordsByName[r.Name]; ok && e.hash != r.hash() {
				newer = append(newer, e.record)
			}
		}
	})
	return newer
}

// ListedInstance is an instance in the platform's list.
type ListedInstance struct {
	// Version is the resource version of the instance's object.
	Version  uint64
	Instance fleet.InstanceRecord
}

// Replace applies a complete list of the platform at the version. An instance that is
// not on the list is removed, unless the table knows it from a later version, or only
// from its self-reported state and for less than the time by which the list may lag.
func (t *Table) Replace(version uint64, list []ListedInstance) {
	t.change(func() {
		// The first list of a process contains only instances that its peers know.
		t.isBulk, t.hasSynced = !t.hasSynced, true
		defer func() { t.isBulk = false }()
		listed := make(map[string]bool, len(list))
		for _, l := range list {
			listed[l.Instance.Name] = true
			t.applyListed(l)
		}
		for name, e := range t.recordsByName {
			if !listed[name] && t.isRemovedAt(e, version) {
				t.remove(name, version)
			}
		}
		t.platformContactAt = time.Now()
	})
}

// Apply applies one change of the platform's list.
func (t *Table) Apply(l ListedInstance) {
	t.change(func() {
		t.applyListed(l)
		t.platformContactAt = time.Now()
	})
}

// Remove applies the removal of an instance from the platform's list at the version.
func (t *Table) Remove(name string, version uint64) {
	t.change(func() {
		if e, ok := t.recordsByName[name]; ok && e.record.Platform.Version <= version {
			t.remove(name, version)
		}
		t.platformContactAt = time.Now()
	})
}

// Leave sets the phase of this process to leaving.
func (t *Table) Leave() {
	t.change(func() {
		t.self.Instance.Phase = fleet.PhaseLeaving
		t.merge(Record{Name: t.name, Self: t.self})
	})
}

// MarkLeaving records that the incarnation reported that it is leaving, such as in the
// reply to a call. It ignores another incarnation than the known one.
func (t *Table) MarkLeaving(name, incarnation string) {
	t.change(func() {
		e, ok := t.recordsByName[name]
		if !ok || !e.visible {
			return
		}
		self := e.record.Self
		switch {
		case self.Epoch == 0:
			self = SelfState{Epoch: e.record.Platform.SupersededEpoch + 1, Instance: e.record.Platform.Instance}
			self.Instance.Incarnation = incarnation
		case self.Instance.Incarnation != incarnation:
			return
		}
		self.Instance.Phase = fleet.PhaseLeaving
		t.merge(Record{Name: name, Self: self})
	})
}

// Suspect records that the instance could not be reached, which its process can refute.
func (t *Table) Suspect(name string) {
	t.change(func() {
		if e, ok := t.recordsByName[name]; ok && e.visible && name != t.name {
			self := e.record.Self
			t.merge(Record{Name: name, Doubt: Suspicion{Epoch: self.Epoch, Beat: self.Beat + 1}})
		}
	})
}

// MarkSynced records that the table was equal to a peer's.
func (t *Table) MarkSynced() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasSynced = true
}

// RecordPlatformContact records that this process or a peer had contact with the
// platform the given time ago.
func (t *Table) RecordPlatformContact(age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := time.Now().Add(-age); at.After(t.platformContactAt) {
		t.platformContactAt = at
	}
}

// ExpireTombstones drops tombstones older than tombstoneTTL. It must be called periodically.
func (t *Table) ExpireTombstones() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.recordsByName {
		if !e.visible && time.Since(e.removedAt) > tombstoneTTL {
			delete(t.recordsByName, name)
			delete(t.rumours, name)
		}
	}
}

// change runs fn under the lock and then calls the subscribers if an instance changed,
// in which case updateView has set live to nil.
func (t *Table) change(fn func()) {
	t.mu.Lock()
	t.live = nonNil(t.live)
	fn()
	t.reassertSelf()
	changed := t.live == nil
	subscribers := t.subscribers
	t.mu.Unlock()
	if !changed {
		return
	}
	for _, fn := range subscribers {
		fn()
	}
}

// nonNil returns m, or an empty map if m is nil.
func nonNil(m map[fleet.Role][]fleet.InstanceRecord) map[fleet.Role][]fleet.InstanceRecord {
	if m == nil {
		return make(map[fleet.Role][]fleet.InstanceRecord)
	}
	return m
}

// reassertSelf refutes a suspicion of this process, and raises the process's epoch above
// a state that overrides its own, such as that of a predecessor on an instance with a
// faster clock. A process that is leaving, or that the platform lists at another
// address, has a successor and stays overridden.
func (t *Table) reassertSelf() {
	e, ok := t.recordsByName[t.name]
	if !ok {
		return
	}
	if e.record.Self.Instance.Incarnation == t.self.Instance.Incarnation {
		if e.suspected {
			t.self.Beat = e.record.Doubt.Beat
			t.merge(Record{Name: t.name, Self: t.self})
		}
		return
	}
	p := e.record.Platform
	moved := p.Version > 0 && p.Instance.Address != t.self.Instance.Address
	if moved || t.self.Instance.Phase == fleet.PhaseLeaving {
		return
	}
	t.self.Epoch = max(e.record.Self.Epoch, p.SupersededEpoch) + 1
	t.merge(Record{Name: t.name, Self: t.self})
}

// applyListed merges the platform's state of a listed instance. A change of the address
// that the process did not report itself means that the process was replaced.
func (t *Table) applyListed(l ListedInstance) {
	r := Record{Name: l.Instance.Name, Platform: PlatformState{Version: l.Version, Instance: l.Instance}}
	if r.Check() != nil || l.Version == 0 {
		t.scope.Counter("membershipRecordRefused").Inc(1)
		return
	}
	if e, ok := t.recordsByName[r.Name]; ok && isReplaced(e.record, l) {
		r.Platform.SupersededEpoch = e.record.Self.Epoch
	}
	t.merge(r)
}

func isReplaced(known Record, l ListedInstance) bool {
	if l.Version <= known.Platform.Version || known.Platform.Version == 0 || known.Platform.Removed {
		return false
	}
	return l.Instance.Address != known.Platform.Instance.Address && l.Instance.Address != known.Self.Instance.Address
}

// isRemovedAt reports whether an instance that is missing in the list at the version
// was removed.
func (t *Table) isRemovedAt(e *tableRecord, version uint64) bool {
	if !e.visible || e.record.Name == t.name {
		return false
	}
	if p := e.record.Platform; p.Version > 0 && !p.Removed {
		return p.Version <= version
	}
	return time.Since(e.firstSeen) > unlistedGrace
}

func (t *Table) remove(name string, version uint64) {
	known := t.recordsByName[name].record
	t.merge(Record{Name: name, Platform: PlatformState{
		Version:         max(version, known.Platform.Version),
		Removed:         true,
		SupersededEpoch: max(known.Self.Epoch, known.Platform.SupersededEpoch),
	}})
}

// merge joins the record into the table. The caller holds mu.
func (t *Table) merge(r Record) {
	e, ok := t.recordsByName[r.Name]
	if !ok {
		if len(t.recordsByName) >= MaxTableRecords {
			t.scope.Counter("membershipRecordRefused").Inc(1)
			return
		}
		e = &tableRecord{record: Record{Name: r.Name}, key: keyOf(r.Name), firstSeen: time.Now()}
		t.recordsByName[r.Name] = e
	}
	joined := join(e.record, r)
	if joined == e.record {
		return
	}
	before := *e
	t.toggleHash(e)
	e.record = joined
	e.hash = joined.hash()
	t.updateView(e)
	t.toggleHash(e)
	t.recordRumour(before, e)
}

// updateView updates the instance that the queries return for the record.
func (t *Table) updateView(e *tableRecord) {
	instance, visible := e.record.view()
	suspected := e.record.isSuspected()
	if instance != e.instance || visible != e.visible {
		t.live, t.reachable = nil, nil
		t.revision++
	}
	if suspected != e.suspected {
		t.reachable = nil
		t.revision++
	}
	if e.visible && !visible {
		e.removedAt = time.Now()
	}
	if !visible {
		instance = fleet.InstanceRecord{}
		if e.removedAt.IsZero() {
			e.removedAt = time.Now()
		}
	}
	e.instance, e.visible, e.suspected = instance, visible, suspected
}

// toggleHash adds a visible record to the hashes or removes it from them.
func (t *Table) toggleHash(e *tableRecord) {
	if !e.visible {
		return
	}
	t.buckets[e.key%BucketCount] ^= e.hash
	t.digest ^= e.hash
}

func keyOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
