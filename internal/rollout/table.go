package rollout

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Fleet is what the decisions need to know of the gateways.
type Fleet struct {
	Self string
	// Owner returns the gateway that owns a key.
	Owner func(key string) string
	// Rank returns the place of this gateway in the order in which the live ones own a key; 0 is
	// the owner's.
	Rank func(key string) int
	// Live are the other live gateways, and HasLost is set while others are listed or were heard
	// a moment ago and aren't live.
	Live    []string
	HasLost bool
	// Count is the number of gateways by which the slack is split.
	Count int
}

// Version is a version of the upstreams of a service.
type Version struct {
	Service string
	Version string
}

// Change is a step of a roll-out, for the log.
type Change struct {
	Order  Order
	Age    time.Duration
	Stage  Stage
	State  State
	Reason string
	// New and Old are the answers of both versions at all gateways that reported.
	New, Old Counts
}

// versionInfo is what is known of the registered upstreams of a version.
type versionInfo struct {
	firstAt time.Time
	count   int
}

// goneVersion is what is remembered of a version whose last registration went.
type goneVersion struct {
	firstAt time.Time
	at      time.Time
}

// invalidOrder is an order that can't be followed.
type invalidOrder struct {
	order Order
	// dueAt is since when its status is due.
	dueAt time.Time
}

// removal is what is remembered of an order that was removed.
type removal struct {
	// revision is that up to which the object was removed.
	revision catalog.Revision
	at       time.Time
}

// Table has the roll-outs of a gateway. It is safe for concurrent use, and a nil table has none.
type Table struct {
	bounds Bounds
	// self names this start of the gateway in statuses.
	self      string
	startedAt time.Time
	// isActive is set while some service may not be sent to without a look at its versions.
	isActive atomic.Bool

	mu       sync.Mutex
	rollouts map[string]*rollout
	// invalid are orders that can't be followed, by name.
	invalid  map[string]*invalidOrder
	versions map[string]map[string]*versionInfo
	// gone are versions without a registration that no verdict has stopped: registrations that are
	// lost with the store return in any order.
	gone map[Version]goneVersion
	// removed are orders that were removed, by name: other gateways may report them for a while.
	removed map[string]removal
	// read is the revision of the store up to which this gateway knows which orders there are.
	read catalog.Revision
	// held are versions that nobody has ordered yet, until the times.
	held map[Version]time.Time
	// slackCount is by how many gateways the slack is split.
	slackCount int
	// serial is that of the last reports.
	serial  uint64
	changes []Change
}

// New returns a table without roll-outs. self names this start of the gateway.
func New(now time.Time, bounds Bounds, self string) *Table {
	return &Table{
		bounds: bounds, self: self, startedAt: now, rollouts: make(map[string]*rollout), invalid: make(map[string]*invalidOrder),
		versions: make(map[string]map[string]*versionInfo), held: make(map[Version]time.Time), removed: make(map[string]removal), gone: make(map[Version]goneVersion), slackCount: 1,
	}
}

// Bounds returns the bounds.
func (t *Table) Bounds() Bounds { return t.bounds }

// SetOrder adds an order as it was read from the store, or the newer state of one.
// It reports false if there are too many orders to follow it.
func (t *Table) SetOrder(now time.Time, o Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.refresh()
	if t.isRemoved(&o) && o.Revision.Epoch == t.removed[o.Name].revision.Epoch {
		return true
	}
	delete(t.invalid, o.Name)
	if o.Invalid != "" {
		t.withdraw(now, o.Name)
		if len(t.invalid) < maxOrders {
			t.invalid[o.Name] = &invalidOrder{order: o, dueAt: now}
		}
		return true
	}
	r := t.rollouts[o.Service]
	if r == nil && len(t.rollouts) >= maxOrders {
		return false
	}
	if r != nil && r.order.Revision.After(o.Revision) {
		return true
	}
	if r == nil || !t.continues(r, o) {
		t.begin(now, r, o)
		return true
	}
	state := o.state()
	r.order, r.isWithdrawn = o, false
	if state == r.verdict {
		r.verdictEpoch = max(r.verdictEpoch, o.Revision.Epoch)
	}
	if state.isFinal() && state != r.verdict && (r.verdict == None || o.Revision.Epoch <= r.verdictEpoch) {
		r.setVerdict(now, state, o.Revision.Epoch)
		t.note(now, r)
	}
	return true
}

// continues reports whether the order is the one of the roll-out. One that was removed is another
// when it is back, unless the store has returned from a copy that had it. A status that is gone in
// the same epoch belonged to an order that was removed.
func (t *Table) continues(r *rollout, o Order) bool {
	if !r.order.isSame(&o) || r.isWithdrawn && (r.verdict == None || o.Revision.Epoch <= r.verdictEpoch) {
		return false
	}
	return !r.order.state().isFinal() || o.state() != None || o.Revision.Epoch != r.order.Revision.Epoch
}

// begin starts the roll-out of an order, after another one of the service or nil. The caller
// holds mu.
func (t *Table) begin(now time.Time, last *rollout, o Order) {
	r := newRollout(now, t.bounds, o)
	state := o.state()
	r.isFresh = state == None && now.Sub(t.startedAt) > freshTime
	r.isHint = state != None
	if since := o.Status.Since; r.isHint && !since.IsZero() && since.Before(now) && now.Sub(since) < maxOrderAge {
		r.startedAt = now.Add(-min(now.Sub(since), time.Duration((1-maxReserve)*float64(o.Duration))))
	}
	if r.isFresh {
		r.credit.slack = slackFraction * t.bounds.Slack / float64(max(1, t.slackCount))
	}
	if last != nil {
		for name := range last.rejected {
			if _, isGone := t.gone[Version{Service: o.Service, Version: name}]; isGone || t.versions[o.Service][name] != nil {
				r.rejected[name] = true
			}
		}
		if !last.isAlone() && last.verdict != Completed {
			r.rejected[last.order.To] = true
			t.expect(now, Version{Service: o.Service, Version: last.order.To})
		}
	}
	r.isTrusted = r.isFresh && !r.rejected[o.To] && t.serves(now, last, o)
	delete(r.rejected, o.To)
	t.rollouts[o.Service] = r
	t.noteVersions(o.Service, r)
	if state.isFinal() {
		r.setVerdict(now, state, o.Revision.Epoch)
	}
	t.note(now, r)
}

// expect remembers a version that may register only after its order was replaced. The caller holds
// mu.
func (t *Table) expect(now time.Time, v Version) {
	if _, isGone := t.gone[v]; !isGone && t.versions[v.Service][v.Version] == nil {
		t.gone[v] = goneVersion{firstAt: now, at: now}
	}
}

// serves reports whether the version of the order is the one that has served until now: the others
// came after it. The upstreams of a new version may register before its order. The caller holds mu.
func (t *Table) serves(now time.Time, last *rollout, o Order) bool {
	if last != nil && last.verdict != Completed && last.others[o.To] {
		return true
	}
	v := t.versions[o.Service][o.To]
	if v == nil || now.Sub(v.firstAt) <= trustTime {
		return false
	}
	for name, other := range t.versions[o.Service] {
		if name != o.To && !other.firstAt.After(v.firstAt) {
			return false
		}
	}
	return true
}

// noteVersions records the registered versions of the service. The caller holds mu.
func (t *Table) noteVersions(service string, r *rollout) {
	for name := range t.versions[service] {
		switch {
		case name == r.order.To:
			r.hasUpstream = true
		case !r.rejected[name] && r.verdict == None:
			r.others[name] = true
		}
	}
}

// RemoveOrder removes the order of the object, which the store hasn't had since the revision. What
// its verdict closed, or its version if it had none, stays closed until only one of the versions
// is registered.
func (t *Table) RemoveOrder(now time.Time, name string, revision catalog.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.refresh()
	delete(t.invalid, name)
	for _, r := range t.rollouts {
		if r.order.Name == name && r.order.Revision.After(revision) {
			revision = r.order.Revision
		}
	}
	t.noteRemoval(now, name, revision)
	t.withdraw(now, name)
}

// noteRemoval records that the object was removed. The caller holds mu.
func (t *Table) noteRemoval(now time.Time, name string, revision catalog.Revision) {
	last, isKnown := t.removed[name]
	if !isKnown && len(t.removed) >= maxOrders {
		return
	}
	if last.revision.After(revision) {
		revision = last.revision
	}
	t.removed[name] = removal{revision: revision, at: now}
}

// isRemoved reports whether the order is one that was removed a while ago. The caller holds mu.
func (t *Table) isRemoved(o *Order) bool {
	last, ok := t.removed[o.Name]
	return ok && !o.Revision.After(last.revision)
}

// SetRead tells the table that it has all orders that the store had at the revision.
func (t *Table) SetRead(revision catalog.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision.After(t.read) {
		t.read = revision
	}
}

// isMissing reports whether the store no longer had the order when this gateway read it, if the
// table doesn't have it. The caller holds mu.
func (t *Table) isMissing(o *Order) bool {
	return o.Revision.Epoch == t.read.Epoch && !o.Revision.After(t.read)
}

// withdraw ends the roll-out of the object. The caller holds mu.
func (t *Table) withdraw(now time.Time, name string) {
	for service, r := range t.rollouts {
		switch {
		case r.order.Name != name || r.isWithdrawn:
		case r.isAlone():
			delete(t.rollouts, service)
		default:
			r.isWithdrawn = true
			if r.awaitsStore {
				r.awaitsStore, r.isSealed = false, false
			}
			r.setStage(now, stageBad, "the order was removed")
			t.note(now, r)
		}
	}
}

// Orders returns the names of the orders that weren't removed.
func (t *Table) Orders() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Collect(maps.Keys(t.invalid))
	for _, r := range t.rollouts {
		if !r.isWithdrawn {
			names = append(names, r.order.Name)
		}
	}
	return names
}

// Update tells the table of the registered upstreams.
func (t *Table) Update(now time.Time, v *catalog.View) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.refresh()
	maps.DeleteFunc(t.gone, func(_ Version, last goneVersion) bool { return now.Sub(last.at) > goneRetention })
	for _, versions := range t.versions {
		for _, info := range versions {
			info.count = 0
		}
	}
	for m := range v.All() {
		t.versionOf(now, m).count++
	}
	for service, versions := range t.versions {
		r := t.rollouts[service]
		for name, info := range versions {
			if info.count > 0 {
				continue
			}
			delete(versions, name)
			if r == nil || !r.hasStopped(name) {
				t.gone[Version{Service: service, Version: name}] = goneVersion{firstAt: info.firstAt, at: now}
			}
		}
		if r == nil {
			continue
		}
		t.noteVersions(service, r)
		if r.verdict == Completed {
			// One that registers again later has been started anew.
			maps.DeleteFunc(r.others, func(name string, _ bool) bool { return versions[name] == nil })
		}
		if r.isWithdrawn && (versions[r.order.To] == nil || len(versions) == 1) {
			t.noteRemoval(now, r.order.Name, r.order.Revision)
			delete(t.rollouts, service)
		}
	}
}

// versionOf returns what is known of the member's version. The caller holds mu.
func (t *Table) versionOf(now time.Time, m *catalog.Member) *versionInfo {
	versions := t.versions[m.Service]
	if versions == nil {
		versions = make(map[string]*versionInfo)
		t.versions[m.Service] = versions
	}
	info := versions[m.Version]
	if info == nil {
		info = &versionInfo{firstAt: now}
		versions[m.Version] = info
		for _, other := range versions {
			if other.firstAt.Before(now) && t.rollouts[m.Service] == nil {
				t.held[Version{Service: m.Service, Version: m.Version}] = now.Add(noveltyTime)
			}
		}
		if last, ok := t.gone[Version{Service: m.Service, Version: m.Version}]; ok {
			info.firstAt = last.firstAt
			delete(t.gone, Version{Service: m.Service, Version: m.Version})
		}
	}
	return info
}

// refresh records whether there is anything to look at. The caller holds mu.
func (t *Table) refresh() { t.isActive.Store(len(t.rollouts)+len(t.held) > 0) }

// isHeld reports whether the version may get nothing because its order may not have been read
// yet. The caller holds mu.
func (t *Table) isHeld(now time.Time, m *catalog.Member) bool {
	return now.Before(t.held[Version{Service: m.Service, Version: m.Version}])
}

// Split returns the members that a request should be placed on, and those that it may be placed
// on if none of these can take it.
func (t *Table) Split(now time.Time, service string, members []*catalog.Member) (first, rest []*catalog.Member) {
	if t == nil || !t.isActive.Load() {
		return members, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rollouts[service]
	if r == nil {
		return t.withoutHeld(now, members), nil
	}
	var updated, old []*catalog.Member
	for _, m := range members {
		switch {
		case m.Version == r.order.To:
			updated = append(updated, m)
		case !r.rejected[m.Version] && !r.hasStopped(m.Version):
			old = append(old, m)
		}
	}
	switch {
	case r.isShut():
		return old, nil
	case r.isOnTrial():
		r.dripSlack(now)
		if len(updated) > 0 && r.credit.allowance() > 0 {
			return updated, old
		}
		return old, nil
	case r.hasMoved():
		if r.isSealed {
			return updated, nil
		}
		return updated, old
	}
	return slices.Concat(updated, old), nil
}

func (t *Table) withoutHeld(now time.Time, members []*catalog.Member) []*catalog.Member {
	isHeld := func(m *catalog.Member) bool { return t.isHeld(now, m) }
	if len(t.held) == 0 || !slices.ContainsFunc(members, isHeld) {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), isHeld)
}

// unlimited is the allowance of upstreams that aren't on trial.
const unlimited = int(^uint(0) >> 1)

// Allowance returns how many pieces a call to the upstream may have now.
func (t *Table) Allowance(now time.Time, m *catalog.Member) int {
	if t == nil || !t.isActive.Load() {
		return unlimited
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rollouts[m.Service]
	isNew := r != nil && m.Version == r.order.To
	switch {
	case r == nil && t.isHeld(now, m), isNew && r.isShut(), r != nil && (r.rejected[m.Version] || r.hasStopped(m.Version)):
		return 0
	case isNew && r.isOnTrial():
		r.dripSlack(now)
		return r.credit.allowance()
	case r != nil && !isNew && r.hasMoved():
		return 0
	}
	return unlimited
}

// Place counts a request, or a call with n pieces, that was placed on the upstream.
func (t *Table) Place(m *catalog.Member, n int) {
	if t == nil || !t.isActive.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rollouts[m.Service]
	if r == nil {
		return
	}
	r.sends += n
	isNew := m.Version == r.order.To
	if isNew {
		r.newSends += n
	}
	if !r.isOnTrial() {
		return
	}
	r.credit.earn(r.stage.share(t.bounds), n)
	if isNew {
		r.credit.spend(n)
	}
}

// Send is a request or a call at an upstream of a service with a roll-out. A nil one is of none.
type Send struct {
	table   *Table
	rollout *rollout
	cell    Cell
	started time.Time
}

// Begin records that a send begins. End must be called once.
func (t *Table) Begin(now time.Time, m *catalog.Member, route string) *Send {
	if t == nil || !t.isActive.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rollouts[m.Service]
	if r == nil || r.verdict != None || r.isWithdrawn {
		return nil
	}
	s := &Send{table: t, rollout: r, started: now, cell: Cell{Route: route}}
	if m.Version == r.order.To {
		s.cell.New, s.cell.Group = true, groupOf(m.ID)
	}
	return s
}

// End records the outcome.
func (s *Send) End(now time.Time, o Outcome) {
	if s == nil {
		return
	}
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	r := s.rollout
	if !s.cell.New {
		r.longest = max(r.longest, now.Sub(s.started))
	}
	r.own.record(s.cell, o)
	r.total.record(s.cell, o)
}

// Seal stops the placement on the old versions where the traffic is to move wholly, and returns
// the services with the versions that must be empty then. SetLeft must be called for each.
func (t *Table) Seal() []Version {
	if t == nil || !t.isActive.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var sealed []Version
	for service, r := range t.rollouts {
		if r.stage == stageFull && r.verdict == None && !r.isWithdrawn {
			r.isSealed = true
			sealed = append(sealed, Version{Service: service, Version: r.order.To})
		}
	}
	return sealed
}

// SetLeft tells how many requests, calls and results of this gateway are left on other versions
// than the one. While there are some, requests may go there that the new version can't take, unless
// this gateway has said before that there are none.
func (t *Table) SetLeft(v Version, left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rollouts[v.Service]; r != nil && r.order.To == v.Version && r.stage == stageFull {
		r.left, r.isSealed = left, left == 0 || r.hasPromised
	}
}

// Reports returns what other gateways should know.
func (t *Table) Reports(now time.Time) []Report {
	if t == nil || !t.isActive.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serial++
	var reports []Report
	for _, r := range t.rollouts {
		if r.verdict != None && now.Sub(r.verdictAt) > retention || r.isWithdrawn && r.verdict == None {
			continue
		}
		rep := r.report(now)
		rep.Serial = t.serial
		reports = append(reports, rep)
	}
	if len(reports) <= maxReports {
		return reports
	}
	// Those without a verdict come first, and each has its turn.
	rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	slices.SortStableFunc(reports, func(a, b Report) int { return cmp.Compare(rankOf(a), rankOf(b)) })
	return reports[:maxReports]
}

// rankOf returns the rank of a report among those of a gateway, the most urgent first.
func rankOf(rep Report) int {
	if rep.Verdict == None {
		return 0
	}
	return 1
}

// Adopt adds the reports of another gateway. Orders that this gateway has not read are adopted,
// as it may be cut off from the store.
func (t *Table) Adopt(now time.Time, gateway, incarnation string, reports []Report) {
	if t == nil || len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.refresh()
	for _, rep := range reports[:min(len(reports), maxReports)] {
		o := Order{Service: rep.Service, Name: rep.Name, To: rep.To, Duration: rep.Duration, Revision: catalog.Revision{Epoch: rep.Epoch, Number: rep.Revision}}
		r := t.rollouts[rep.Service]
		if (r == nil || !r.isWithdrawn) && t.isRemoved(&o) {
			continue
		}
		if r == nil && t.isMissing(&o) {
			rep.IsWithdrawn = true
		}
		// What was removed matters as long as several versions are registered.
		isWanted := !rep.IsWithdrawn || rep.Verdict != None && len(t.versions[rep.Service]) > 1
		if r == nil && len(t.rollouts) < maxOrders && isWanted || r != nil && !r.order.isSame(&o) && o.Revision.After(r.order.Revision) {
			t.begin(now, r, o)
			r = t.rollouts[rep.Service]
			// Its age is in the report.
			r.isFresh, r.isTrusted, r.credit.slack, r.isWithdrawn = false, false, 0, rep.IsWithdrawn
			r.startedAt, r.isHint = now.Add(-min(max(0, rep.Age), maxOrderAge)), rep.IsHint
		}
		if r != nil && r.order.isSame(&o) && r.adopt(now, gateway, incarnation, rep) {
			t.note(now, r)
		}
	}
}

// Tick judges the evidence, moves traffic on and returns the writes that are due.
func (t *Table) Tick(now time.Time, fleet Fleet) []Write {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.refresh()
	t.slackCount = max(1, fleet.Count)
	maps.DeleteFunc(t.removed, func(_ string, last removal) bool { return now.Sub(last.at) > removalRetention })
	maps.DeleteFunc(t.held, func(_ Version, until time.Time) bool { return !now.Before(until) })
	var writes []Write
	for _, r := range t.rollouts {
		r.stopAwaiting(now)
		if r.verdict == None && !r.isWithdrawn {
			r.takeSnapshot(now)
			r.examine()
			if r.found.suspicion == Convicted && !r.isTrusted && r.setStage(now, stageBad, r.found.reason) ||
				r.isOwned(fleet) && r.advance(now) {
				t.note(now, r)
			}
		}
		if w := r.dueWrite(now, fleet, t.self); w != nil {
			writes = append(writes, *w)
		}
	}
	for _, i := range t.invalid {
		if w := i.dueWrite(now, fleet, t.self); w != nil {
			writes = append(writes, *w)
		}
	}
	return writes
}

// dueWrite returns the write that says that the order isn't followed, or nil.
func (i *invalidOrder) dueWrite(now time.Time, fleet Fleet, holder string) *Write {
	if i.order.To == "" || i.order.state() == RolledBack {
		return nil
	}
	if now.Sub(i.dueAt) < turnAfter(fleet, i.order.Service) {
		return nil
	}
	status := Status{State: RolledBack, To: i.order.To, Duration: i.order.Duration, Holder: holder, Since: i.dueAt}
	return &Write{Order: i.order, Reason: i.order.Invalid, Status: status}
}

// Owners returns the gateways that own a roll-out without a verdict.
func (t *Table) Owners(owner func(key string) string) []string {
	if t == nil || !t.isActive.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var owners []string
	for service, r := range t.rollouts {
		if r.verdict == None && !r.isWithdrawn {
			owners = append(owners, owner(orderKey(service)))
		}
	}
	return owners
}

// Closed returns the versions that may get nothing, with whether that also holds for requests
// that were placed there before.
func (t *Table) Closed() map[Version]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	closed := make(map[Version]bool)
	for service, r := range t.rollouts {
		for version := range r.rejected {
			closed[Version{Service: service, Version: version}] = true
		}
		switch {
		case r.isShut():
			closed[Version{Service: service, Version: r.order.To}] = true
		case r.verdict == Completed:
			for version := range r.others {
				closed[Version{Service: service, Version: version}] = true
			}
		case r.isSealed:
			for version := range r.others {
				closed[Version{Service: service, Version: version}] = false
			}
		}
	}
	return closed
}

// note records a change for the log. The caller holds mu.
func (t *Table) note(now time.Time, r *rollout) {
	t.changes = append(t.changes, Change{
		Order: r.order, Age: r.age(now), Stage: r.stage, State: r.verdict, Reason: r.reason,
		New: r.total.total(true), Old: r.total.total(false),
	})
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.changes
	t.changes = nil
	return changes
}
