package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// mix spreads the bits of x with the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// choose returns the subset of the instance: the upstreams that rank highest by
// rendezvous hash, taken from the failure domains in turn. Those that can't take
// work rank last, so that they don't make the subset smaller.
func choose(cfg Config, upstreams map[string]*upstream) []*upstream {
	byDomain := make(map[string][]*upstream)
	for _, u := range upstreams {
		byDomain[u.domain] = append(byDomain[u.domain], u)
	}
	instance := hash(cfg.Instance)
	domains := make([]string, 0, len(byDomain))
	for d, list := range byDomain {
		domains = append(domains, d)
		slices.SortFunc(list, func(a, b *upstream) int {
			if a.isOffered() != b.isOffered() {
				return cmp.Compare(b.offered(), a.offered())
			}
			return cmp.Or(cmp.Compare(mix(b.hash^instance), mix(a.hash^instance)), cmp.Compare(a.name, b.name))
		})
	}
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(mix(hash(b)^instance), mix(hash(a)^instance)), cmp.Compare(a, b))
	})
	subset := make([]*upstream, 0, min(cfg.SubsetSize, len(upstreams)))
	for rank := 0; len(subset) < min(cfg.SubsetSize, len(upstreams)); rank++ {
		for _, d := range domains {
			if rank < len(byDomain[d]) && len(subset) < cfg.SubsetSize {
				subset = append(subset, byDomain[d][rank])
			}
		}
	}
	return subset
}

func (u *upstream) isOffered() bool { return u.candidate.InService && !u.candidate.Leaving }

func (u *upstream) offered() int {
	if u.isOffered() {
		return 1
	}
	return 0
}
