package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// HeartbeatTimeout is the time without a reply to heartbeats after which a gateway
	// counts as lost. A live one replies within milliseconds; a frozen or stopped one delays
	// pieces for this long. The caller of Expire gives a longer timeout to gateways that it
	// polls less often because they own no queue.
	HeartbeatTimeout = 700 * time.Millisecond
	// doubtTime is how long a gateway that was listed or lost is doubtful: it allows for a
	// restart.
	doubtTime = 5 * time.Second
	// HeardAtOnce is the number of other gateways up to which each is heard at once after it was
	// listed. In a larger fleet, one that owns nothing may be presumed to be live until its turn.
	HeardAtOnce = 48
	// shareRetention is how long a lost gateway still counts when limits are split: it may
	// be unreachable from this gateway only, and still send requests.
	shareRetention = 10 * time.Second
)

// Gateway is one gateway of the deployment.
type Gateway struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Address is the IP address and port for other gateways.
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	// Capacity is what the gateway's instance can carry, in cores; 0 if unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

type member struct {
	Gateway
	listedAt time.Time
	// heartbeatAt is when the gateway was last known to be live; for a presumed one, when it
	// was listed.
	heartbeatAt time.Time
	live        bool
	// presumed is set for a live gateway that has not replied to a heartbeat yet.
	presumed bool
	// doubtfulAt is when the gateway was listed or lost, if it has not replied since.
	doubtfulAt time.Time
	// unlisted is set for a gateway that replies to heartbeats although the store's list lacks it.
	unlisted bool
	// leaving is set while the gateway shuts down: it is live but owns no queues.
	leaving bool
	// lost is closed when the gateway counts as lost.
	lost chan struct{}
}

// Roster tracks the gateways of the deployment. It is safe for concurrent use.
type Roster struct {
	self Gateway

	mu      sync.Mutex
	members map[string]*member
	leaving bool
	derived derived
	// version rises with each change of the members.
	version uint64
	// subscribers are called after a gateway was added or has restarted.
	subscribers []func()
}

// New returns a roster that has only this gateway.
func New(self Gateway) *Roster {
	return &Roster{self: self, members: make(map[string]*member)}
}

// Self returns this gateway.
func (r *Roster) Self() Gateway { return r.self }

// Subscribe calls fn after each Put that adds a gateway or reports its restart. It must be
// called before the first Put.
func (r *Roster) Subscribe(fn func()) { r.subscribers = append(r.subscribers, fn) }

// Put adds or replaces a listed gateway. A gateway that is new, or has restarted, is presumed
// to be live for HeartbeatTimeout: if each gateway of a fleet that starts at once counted only
// those that it has heard, each would own all queues until it has heard all others.
func (r *Roster) Put(g Gateway, now time.Time) {
	if g.Name == r.self.Name || g.Address == r.self.Address || !r.put(g, now) {
		return
	}
	for _, fn := range r.subscribers {
		fn()
	}
}

// PutUnconfirmed adds a gateway that an outdated list has. It counts as live once it replies to a
// heartbeat. A gateway that replies to heartbeats is kept as it is.
func (r *Roster) PutUnconfirmed(g Gateway, now time.Time) {
	if g.Name == r.self.Name || g.Address == r.self.Address || !r.putUnconfirmed(g, now) {
		return
	}
	for _, fn := range r.subscribers {
		fn()
	}
}

func (r *Roster) putUnconfirmed(g Gateway, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.members[g.Name]
	switch {
	case old == nil:
	case old.isConfirmed() || old.Gateway == g:
		old.unlisted = false
		return false
	default:
		old.markLost(now)
	}
	defer r.changed()
	lost := make(chan struct{})
	close(lost)
	r.members[g.Name] = &member{Gateway: g, listedAt: now, heartbeatAt: now, doubtfulAt: now, lost: lost}
	return true
}

// isConfirmed reports whether the gateway is live and has replied to a heartbeat.
func (m *member) isConfirmed() bool { return m.live && !m.presumed }

func (r *Roster) put(g Gateway, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.members[g.Name]
	if old != nil && old.Gateway == g {
		old.unlisted = false
		return false
	}
	if old != nil {
		old.markLost(now)
	}
	defer r.changed()
	r.members[g.Name] = &member{Gateway: g, listedAt: now, heartbeatAt: now, live: true, presumed: true, doubtfulAt: now, lost: make(chan struct{})}
	return true
}

// Remove removes a gateway, and returns its incarnation or "".
func (r *Roster) Remove(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[name]
	if m == nil {
		return ""
	}
	defer r.changed()
	m.markLost(time.Time{})
	delete(r.members, name)
	return m.Incarnation
}

// Retain removes every gateway for which keep returns false, unless it replies to heartbeats:
// the store may have returned to a state before its registration. Such a gateway is removed
// once it has been lost for shareRetention.
func (r *Roster) Retain(keep func(name string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.changed()
	for name, m := range r.members {
		m.unlisted = !keep(name)
		if m.unlisted && !m.isConfirmed() {
			m.markLost(time.Time{})
			delete(r.members, name)
		}
	}
}

func (m *member) markLost(now time.Time) {
	if m.live {
		m.live, m.presumed, m.doubtfulAt = false, false, now
		close(m.lost)
	}
}

// Leave gives the queues of this gateway to the other live ones, if there are any.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.changed()
	r.leaving = true
}

// IsLeaving reports whether Leave was called.
func (r *Roster) IsLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// MarkLost counts the gateway as lost until its next heartbeat.
func (r *Roster) MarkLost(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[name]; m != nil && m.live {
		defer r.changed()
		m.markLost(now)
	}
}

// RejectPresumed counts a gateway as lost that is only presumed to be live and did not reply
// to its first heartbeat.
func (r *Roster) RejectPresumed(name, incarnation string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[name]; m != nil && m.presumed && m.Incarnation == incarnation {
		defer r.changed()
		m.markLost(now)
	}
}

// RecordHeartbeat records that the gateway was live at the time, and whether it is leaving.
// Another incarnation than the listed one is adopted if it was live after the listing: a
// gateway that the store turns away doesn't see the listings of those that restart meanwhile.
// It reports whether the gateway was not live before, or only presumed to be.
func (r *Roster) RecordHeartbeat(name, incarnation string, leaving bool, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[name]
	if m == nil || m.Incarnation != incarnation && !at.After(m.listedAt) {
		return false
	}
	if m.Incarnation != incarnation || !m.live || m.leaving != leaving {
		defer r.changed()
	}
	if m.Incarnation != incarnation {
		m.markLost(at)
		m.Incarnation, m.listedAt = incarnation, at
	}
	m.heartbeatAt, m.leaving, m.doubtfulAt = at, leaving, time.Time{}
	if m.live {
		first := m.presumed
		m.presumed = false
		return first
	}
	m.live, m.lost = true, make(chan struct{})
	return true
}

// Expire marks the gateways as lost whose last heartbeat is older than the timeout that
// the function returns for them, and, unless there are more than HeardAtOnce, those that were
// presumed to be live for HeartbeatTimeout. It returns these gateways.
func (r *Roster) Expire(now time.Time, timeout func(name string) time.Duration) []Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []Gateway
	for _, m := range r.members {
		limit := HeartbeatTimeout
		if !m.presumed || len(r.members) > HeardAtOnce {
			limit = timeout(m.Name)
		}
		if m.live && now.Sub(m.heartbeatAt) > limit {
			m.markLost(now)
			lost = append(lost, m.Gateway)
			r.changed()
		}
		if m.unlisted && !m.live && now.Sub(m.heartbeatAt) > shareRetention {
			delete(r.members, m.Name)
			r.changed()
		}
	}
	return lost
}

// Others returns all other gateways, including lost ones, sorted by name. The caller must not
// change the list.
func (r *Roster) Others() []Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sortedOthers()
}

// Doubtful returns the gateways that were listed or lost within doubtTime and have not replied
// to a heartbeat since, sorted by name. Until their state is known, gateways may disagree on
// the owners of queues.
func (r *Roster) Doubtful(now time.Time) []Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Gateway
	for _, m := range r.members {
		if !m.doubtfulAt.IsZero() && now.Sub(m.doubtfulAt) < doubtTime {
			list = append(list, m.Gateway)
		}
	}
	slices.SortFunc(list, func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Live returns the other live gateways, with those presumed to be.
func (r *Roster) Live() []Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Gateway
	for _, m := range r.members {
		if m.live {
			list = append(list, m.Gateway)
		}
	}
	return list
}

// ShareCount returns the number of gateways by which shared limits are split: this one, the
// live ones, and those that were listed or sent a heartbeat within shareRetention.
func (r *Roster) ShareCount(now time.Time) int {
	_, count := r.Share(now)
	return count
}

// Share returns the position of this gateway among those that ShareCount counts, by name, and
// their number.
func (r *Roster) Share(now time.Time) (index, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.share(now)
}

// Owner returns the gateway that owns the key. It may be this one.
func (r *Roster) Owner(key string) Gateway { return r.Owners(key, 1)[0] }

// Owners returns the gateways that own the key together, at most n of them and at least one, the
// first one first. They are chosen by rendezvous hashing, weighted by the capacity of their
// instances; of fewer owners, each is also among more of them. This gateway may be one. The
// caller must not change the list.
func (r *Roster) Owners(key string, n int) []Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owners(ownerKey{key: key, count: max(n, 1)})
}

// Version returns a number that rises with each change of the members.
func (r *Roster) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Lost returns a channel that is closed when the gateway counts as lost. It is already
// closed for a gateway that isn't live, and for this gateway itself.
func (r *Roster) Lost(name string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[name]; m != nil && m.live {
		return m.lost
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// State is the roster's state of one gateway, for the dump of the process's state.
type State struct {
	Gateway
	Live    bool `json:"live"`
	Leaving bool `json:"leaving"`
	// SilentMs is the time since the gateway's last heartbeat.
	SilentMs int64 `json:"silentMs"`
}

// States returns the state of all other gateways.
func (r *Roster) States(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]State, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, State{Gateway: m.Gateway, Live: m.live, Leaving: m.leaving, SilentMs: now.Sub(m.heartbeatAt).Milliseconds()})
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
