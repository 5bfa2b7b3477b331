package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatTimeout is how long a gateway may leave heartbeats unanswered before it counts as
	// lost. A live one answers within milliseconds; a frozen or dead one holds pieces up
	// for this long.
	HeartbeatTimeout = 700 * time.Millisecond
	// shareMemory is how long a lost gateway still counts where limits are split: it may
	// be cut off from this gateway only, and still send.
	shareMemory = 10 * time.Second
)

// Gateway is one gateway of the deployment.
type Gateway struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	// Address is the IP address and port for other gateways.
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

type member struct {
	Gateway
	listedAt time.Time
	heardAt  time.Time
	live     bool
	// leaving gateways live but own nothing.
	leaving bool
	// lost is closed when the gateway counts as lost.
	lost chan struct{}
}

// Roster is safe for concurrent use.
type Roster struct {
	self Gateway

	mu      sync.Mutex
	members map[string]*member
	leaving bool
}

// New returns a roster that knows only this gateway.
func New(self Gateway) *Roster {
	return &Roster{self: self, members: make(map[string]*member)}
}

// Self returns this gateway.
func (r *Roster) Self() Gateway { return r.self }

// Put adds or replaces a listed gateway.
func (r *Roster) Put(g Gateway, now time.Time) {
	if g.Name == r.self.Name || g.Address == r.self.Address {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.members[g.Name]
	if old != nil && old.Gateway == g {
		return
	}
	if old != nil {
		old.lose()
	}
	r.members[g.Name] = &member{Gateway: g, listedAt: now}
}

// Remove forgets a gateway.
func (r *Roster) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[name]; m != nil {
		m.lose()
		delete(r.members, name)
	}
}

// Retain forgets every gateway that keep returns false for.
func (r *Roster) Retain(keep func(name string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, m := range r.members {
		if !keep(name) {
			m.lose()
			delete(r.members, name)
		}
	}
}

func (m *member) lose() {
	if m.live {
		m.live = false
		close(m.lost)
	}
}

// Leave makes this gateway own nothing while others live.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// IsLeaving reports whether Leave was called.
func (r *Roster) IsLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// MarkLost takes the gateway for lost until it is heard again.
func (r *Roster) MarkLost(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[name]; m != nil {
		m.lose()
	}
}

// RecordHeartbeat notes that the gateway lived at the time, and whether it is leaving. It reports
// whether it was not live before.
func (r *Roster) RecordHeartbeat(name, incarnation string, leaving bool, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[name]
	if m == nil || m.Incarnation != incarnation {
		return false
	}
	m.heardAt, m.leaving = at, leaving
	if m.live {
		return false
	}
	m.live, m.lost = true, make(chan struct{})
	return true
}

// Expire marks gateways as lost that were silent for longer than silence says for their
// name, and returns them.
func (r *Roster) Expire(now time.Time, silence func(name string) time.Duration) []Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []Gateway
	for _, m := range r.members {
		if m.live && now.Sub(m.heardAt) > silence(m.Name) {
			m.lose()
			lost = append(lost, m.Gateway)
		}
	}
	return lost
}

// Others returns all other gateways, the lost ones included, by name.
func (r *Roster) Others() []Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Gateway, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m.Gateway)
	}
	slices.SortFunc(list, func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Live returns the other live gateways.
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

// ShareCount returns by how many gateways shared limits are split: this one, the live ones,
// and those that were listed or heard within the last seconds.
func (r *Roster) ShareCount(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, m := range r.members {
		last := m.listedAt
		if m.heardAt.After(last) {
			last = m.heardAt
		}
		if m.live || now.Sub(last) < shareMemory {
			n++
		}
	}
	return n
}

// Owner returns the gateway that owns the key, which may be this one.
func (r *Roster) Owner(key string) Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, most := r.self, score(key, r.self.Name)
	if r.leaving {
		most = 0
	}
	for _, m := range r.members {
		if !m.live || m.leaving {
			continue
		}
		if s := score(key, m.Name); s > most || s == most && m.Name > best.Name {
			best, most = m.Gateway, s
		}
	}
	return best
}

func score(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// Lost returns a channel that is closed when the gateway counts as lost. For one that
// isn't live it is closed already.
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

// State is what the roster holds of one gateway, for the dump of the process's state.
type State struct {
	Gateway
	Live    bool `json:"live"`
	Leaving bool `json:"leaving"`
	// SilentMs is how long ago the gateway was last heard.
	SilentMs int64 `json:"silentMs"`
}

// States returns the state of all other gateways.
func (r *Roster) States(now time.Time) []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]State, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, State{Gateway: m.Gateway, Live: m.live, Leaving: m.leaving, SilentMs: now.Sub(m.heardAt).Milliseconds()})
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
