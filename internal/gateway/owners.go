package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

const (
	// upstreamsPerOwner is the number of upstreams at which a queue gets one more owner. Each
	// owner has its own part of the upstreams, which must be large enough that calls fill and
	// one slow upstream delays little.
	upstreamsPerOwner = 25
	// shorterWaitFraction is by how much of a call the wait at a second owner must be shorter to
	// send pieces there: estimates are as old as the last heartbeat, and all gateways that have
	// the same one follow it.
	shorterWaitFraction = 0.5
)

// ownerCount returns the number of owners of the queue of a service with so many upstreams.
func ownerCount(upstreams int) int { return max(1, upstreams/upstreamsPerOwner) }

// ownersOf returns the gateways that own the queue of the service together, each for its own part
// of the upstreams.
func (s *Stages) ownersOf(service string) []roster.Gateway {
	view := s.view.Load()
	if view == nil {
		return s.roster.Owners(service, 1)
	}
	return s.roster.Owners(service, ownerCount(view.RegisteredCount(service)))
}

// isOwner reports whether this gateway is an owner of the queue of the service.
func (s *Stages) isOwner(service string) bool {
	return containsGateway(s.ownersOf(service), s.roster.Self().Name)
}

func containsGateway(gateways []roster.Gateway, name string) bool {
	return slices.ContainsFunc(gateways, func(g roster.Gateway) bool { return g.Name == name })
}

// upstreamOwner returns the owner that has the upstream in its part.
func upstreamOwner(owners []roster.Gateway, id string) roster.Gateway {
	best, most := owners[0], 0.0
	if len(owners) == 1 {
		return best
	}
	for _, g := range owners {
		if score := g.Score(id); score > most {
			best, most = g, score
		}
	}
	return best
}

// candidates returns the owners to which this gateway sends pieces of the service: itself, or two
// by rendezvous hashing, so that each owner serves its part of the gateways.
func (s *Stages) candidates(service string) []roster.Gateway {
	owners, self := s.ownersOf(service), s.roster.Self()
	if len(owners) == 1 {
		return owners
	}
	first, second := 0, -1
	firstHash, secondHash := uint64(0), uint64(0)
	for i, g := range owners {
		if g.Name == self.Name {
			return owners[i : i+1]
		}
		switch hash := xxhash.Sum64String(self.Name + "\x00" + g.Name); {
		case i == 0 || hash > firstHash:
			if i > 0 {
				second, secondHash = first, firstHash
			}
			first, firstHash = i, hash
		case second < 0 || hash > secondHash:
			second, secondHash = i, hash
		}
	}
	return []roster.Gateway{owners[first], owners[second]}
}

// owner returns the owner to which so many pieces of the service are sent, with the estimate of
// its queue.
func (s *Stages) owner(service string, count int) (roster.Gateway, pieces.Estimate) {
	candidates := s.candidates(service)
	if first := candidates[0]; first.Name == s.roster.Self().Name {
		return s.ownerBeside(first, service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best, estimate := candidates[0], s.peerEstimates[candidates[0].Name][service]
	for _, g := range candidates[1:] {
		other := s.peerEstimates[g.Name][service]
		margin := time.Duration(shorterWaitFraction * float64(estimate.UnloadedTime(count)))
		if estimate.Size > 0 && other.Size > 0 && other.Wait(count)+margin < estimate.Wait(count) {
			best, estimate = g, other
		}
	}
	return best, estimate
}

// ownerBeside returns this gateway, which is an owner, or another owner if no upstream in the part
// of this one can get calls and one in the part of the other can.
func (s *Stages) ownerBeside(self roster.Gateway, service string) (roster.Gateway, pieces.Estimate) {
	own := s.dispatcher(service).Estimate()
	if own.Calls > 0 {
		return self, own
	}
	owners := s.ownersOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range owners {
		if e := s.peerEstimates[g.Name][service]; g.Name != self.Name && e.Calls > 0 {
			return g, e
		}
	}
	return self, own
}

// LimitShare returns the part of the limit of an upstream that belongs to this gateway. Calls of
// stages come from the owner of the upstream's part of the queue, so all of the limit belongs to it;
// a gateway that runs pieces because their owner failed has the part of any other one.
func (s *Stages) LimitShare(service, id string) ratelimit.Share {
	if view := s.view.Load(); view != nil {
		if c := view.Service(service); c != nil && c.Batch != nil && upstreamOwner(s.ownersOf(service), id).Name == s.roster.Self().Name {
			return ratelimit.Share{Count: 1}
		}
	}
	index, count := s.roster.Share(time.Now())
	return ratelimit.Share{Index: index, Count: count}
}

// part is which upstreams are in the part of this gateway, by id, while the owners are the same.
type part struct {
	owners []roster.Gateway
	isOwn  map[string]bool
}

// ownPart returns the members that are in the part of this gateway, which is an owner. The caller
// holds updating.
func (s *Stages) ownPart(service string, owners []roster.Gateway, members []*catalog.Member) []*catalog.Member {
	before, next := s.parts[service].isOwn, make(map[string]bool, len(members))
	if !slices.Equal(s.parts[service].owners, owners) {
		before = nil
	}
	own := make([]*catalog.Member, 0, 2*len(members)/len(owners))
	for _, m := range members {
		isOwn, known := before[m.ID]
		if !known {
			isOwn = upstreamOwner(owners, m.ID).Name == s.roster.Self().Name
		}
		if next[m.ID] = isOwn; isOwn {
			own = append(own, m)
		}
	}
	s.parts[service] = part{owners: owners, isOwn: next}
	return own
}

// assign passes the upstreams of the view to the queue of the service: to one of several owners
// its own part, to any other gateway all. A gateway that owns no queue may have to run pieces
// whose owners fail. The caller holds updating.
func (s *Stages) assign(v *catalog.View, service *catalog.Service) {
	members := v.Upstreams(service.Name)
	owners, self := s.ownersOf(service.Name), s.roster.Self().Name
	if len(owners) > 1 && containsGateway(owners, self) {
		members = s.ownPart(service.Name, owners, members)
	}
	s.dispatcher(service.Name).SetUpstreams(*service.Batch, members)
}

// reassign assigns the upstreams again after a change of the owners of queues that have several.
func (s *Stages) reassign() {
	version := s.roster.Version()
	if s.assignedVersion.Swap(version) == version {
		return
	}
	s.updating.Lock()
	defer s.updating.Unlock()
	view := s.view.Load()
	if view == nil {
		return
	}
	services := view.Services()
	for i := range services {
		if service := &services[i]; service.Batch != nil && ownerCount(view.RegisteredCount(service.Name)) > 1 {
			s.assign(view, service)
		}
	}
}
