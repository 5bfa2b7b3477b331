package roster

import (
	"cmp"
	"slices"
	"time"
)

// maxCachedOwners bounds the keys whose owners are kept until the next change of the members.
const maxCachedOwners = 1024

// derived is what follows from the members. It is computed once after a change of the members
// and not for each request: a fleet has many members, and they change rarely.
type derived struct {
	// owners are the owners by key and number.
	owners map[ownerKey][]Gateway
	// candidates are the gateways that may own something, or nil if not computed.
	candidates []Gateway
	// others are all other gateways by name, or nil if not computed.
	others []Gateway
	// index and count are the share of this gateway until shareUntil, when a lost gateway ceases
	// to count; the zero time means that they aren't computed.
	index, count int
	shareUntil   time.Time
}

// farFuture is when a share ends that only a change of the members can end.
const farFuture = 24 * time.Hour

// ownerKey is a key that so many gateways own together.
type ownerKey struct {
	key   string
	count int
}

// changed discards what follows from the members. The caller holds mu and calls it after each
// change of the members, of who is live or leaves.
func (r *Roster) changed() {
	r.derived = derived{}
	r.version++
}

// owners returns the owners of the key. The caller holds mu.
func (r *Roster) owners(key ownerKey) []Gateway {
	if list, ok := r.derived.owners[key]; ok {
		return list
	}
	if r.derived.owners == nil || len(r.derived.owners) >= maxCachedOwners {
		r.derived.owners = make(map[ownerKey][]Gateway)
	}
	list := r.chooseOwners(key)
	r.derived.owners[key] = list
	return list
}

// sortedOthers returns the other gateways by name, which must not be changed. The caller holds
// mu.
func (r *Roster) sortedOthers() []Gateway {
	if r.derived.others != nil {
		return r.derived.others
	}
	list := make([]Gateway, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m.Gateway)
	}
	slices.SortFunc(list, func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	r.derived.others = list
	return list
}

// share returns the share of this gateway. The caller holds mu.
func (r *Roster) share(now time.Time) (index, count int) {
	d := &r.derived
	if now.Before(d.shareUntil) {
		return d.index, d.count
	}
	d.index, d.count, d.shareUntil = 0, 1, now.Add(farFuture)
	for _, m := range r.members {
		if !m.live {
			end := m.lastKnown().Add(shareRetention)
			if !now.Before(end) {
				continue
			}
			if end.Before(d.shareUntil) {
				d.shareUntil = end
			}
		}
		d.count++
		if m.Name < r.self.Name {
			d.index++
		}
	}
	return d.index, d.count
}

// lastKnown returns when the gateway was listed or last known to be live.
func (m *member) lastKnown() time.Time {
	if m.heartbeatAt.After(m.listedAt) {
		return m.heartbeatAt
	}
	return m.listedAt
}
