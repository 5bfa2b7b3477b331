package roster

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minCapacityFraction is the least capacity of a gateway that owns something, as a fraction of
// that of the largest live one: an owner works for the whole fleet, and a small instance would be
// busy with that alone.
const minCapacityFraction = 0.25

// defaultCapacity is the capacity, in cores, of a gateway that states none.
const defaultCapacity = 1.0

func (g Gateway) capacity() float64 {
	if g.Capacity > 0 {
		return g.Capacity
	}
	return defaultCapacity
}

// chooseOwners chooses the owners of the key among the members. The caller holds mu.
func (r *Roster) chooseOwners(key ownerKey) []Gateway {
	type scored struct {
		Gateway
		score float64
	}
	candidates := r.ownerCandidates()
	list := make([]scored, 0, len(candidates))
	for _, g := range candidates {
		list = append(list, scored{Gateway: g, score: g.Score(key.key)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.Name, a.Name))
	})
	owners := make([]Gateway, min(key.count, len(list)))
	for i := range owners {
		owners[i] = list[i].Gateway
	}
	return owners
}

// Rank returns the place of this gateway in the order in which the live gateways own the key; 0 is
// the first owner's. Those that may own nothing come last.
func (r *Roster) Rank(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	owners := r.chooseOwners(ownerKey{key: key, count: len(r.members) + 1})
	if i := slices.IndexFunc(owners, func(g Gateway) bool { return g.Name == r.self.Name }); i >= 0 {
		return i
	}
	rank, score := len(owners), r.self.Score(key)
	for _, m := range r.members {
		isOwner := slices.ContainsFunc(owners, func(g Gateway) bool { return g.Name == m.Name })
		if m.live && !isOwner && m.Score(key) > score {
			rank++
		}
	}
	return rank
}

// ownerCandidates returns the live gateways that may own something: neither leaving nor much
// smaller than others. If there is none, it is this gateway. The caller holds mu.
func (r *Roster) ownerCandidates() []Gateway {
	if r.derived.candidates != nil {
		return r.derived.candidates
	}
	var list []Gateway
	if !r.leaving {
		list = append(list, r.self)
	}
	for _, m := range r.members {
		if m.live && !m.leaving {
			list = append(list, m.Gateway)
		}
	}
	if len(list) == 0 {
		list = append(list, r.self)
	}
	largest := 0.0
	for _, g := range list {
		largest = max(largest, g.capacity())
	}
	list = slices.DeleteFunc(list, func(g Gateway) bool { return g.capacity() < largest*minCapacityFraction })
	r.derived.candidates = list
	return list
}

// Score returns the score of the gateway for the key in rendezvous hashing weighted by capacity.
// Among gateways of one capacity, the order of the scores is that of the hashes.
func (g Gateway) Score(key string) float64 {
	const bits = 53
	hash := xxhash.Sum64String(key + "\x00" + g.Name)
	return -g.capacity() / math.Log((float64(hash>>(64-bits))+0.5)/(1<<bits))
}
