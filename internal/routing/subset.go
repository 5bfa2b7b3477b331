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

// chooseSubset returns the subset of the instance: the upstreams that rank highest by
// rendezvous hash, taken round-robin from the failure domains. A fraction is reserved for
// other regions, so that upstreams remain if the local region is lost.
func chooseSubset(cfg Config, upstreams map[string]*upstream) []*upstream {
	var local, remote []*upstream
	for _, u := range upstreams {
		if u.candidate.IsRemote {
			remote = append(remote, u)
		} else {
			local = append(local, u)
		}
	}
	size := min(cfg.SubsetSize, len(upstreams))
	remoteCount := min(countAvailable(remote), max(int(float64(size)*remoteFraction), size-countAvailable(local)))
	remoteCount = max(remoteCount, size-len(local))
	instance := hash(cfg.Instance)
	local, remote = rankByDomain(local, instance), rankByDomain(remote, instance)
	return append(local[:size-remoteCount:size-remoteCount], remote[:remoteCount]...)
}

// rankByDomain sorts upstreams by rank, taking them round-robin from the failure domains.
// Those that can't take calls rank last in their domain, so that they don't reduce the
// usable size of a subset.
func rankByDomain(upstreams []*upstream, instance uint64) []*upstream {
	byDomain := make(map[string][]*upstream)
	for _, u := range upstreams {
		byDomain[u.domain] = append(byDomain[u.domain], u)
	}
	domains := make([]string, 0, len(byDomain))
	for d, list := range byDomain {
		domains = append(domains, d)
		slices.SortFunc(list, func(a, b *upstream) int {
			if a.isAvailable() != b.isAvailable() {
				return cmp.Compare(b.availability(), a.availability())
			}
			return cmp.Or(cmp.Compare(mix(b.hash^instance), mix(a.hash^instance)), cmp.Compare(a.name, b.name))
		})
	}
	slices.SortFunc(domains, func(a, b string) int {
		return cmp.Or(cmp.Compare(mix(hash(b)^instance), mix(hash(a)^instance)), cmp.Compare(a, b))
	})
	ranked := make([]*upstream, 0, len(upstreams))
	for rank := 0; len(ranked) < len(upstreams); rank++ {
		for _, d := range domains {
			if rank < len(byDomain[d]) {
				ranked = append(ranked, byDomain[d][rank])
			}
		}
	}
	return ranked
}

func countAvailable(upstreams []*upstream) int {
	n := 0
	for _, u := range upstreams {
		n += u.availability()
	}
	return n
}

func (u *upstream) isAvailable() bool { return u.candidate.InService && !u.candidate.Leaving }

func (u *upstream) availability() int {
	if u.isAvailable() {
		return 1
	}
	return 0
}
