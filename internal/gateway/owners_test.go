package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

// stagesFleet returns the stages of n gateways that know each other and the same upstreams.
func stagesFleet(n, upstreams int) []*Stages {
	now := time.Now()
	cat := catalog.New()
	cat.SetConfiguration(catalog.Configuration{Version: 1, Services: []catalog.Service{{Name: "service", Batch: &catalog.Batch{Slots: 1, Size: 8}}}}, at(1))
	cat.ReplaceUpstreams(fleetUpstreamList(upstreams), at(2))
	gateways := make([]roster.Gateway, n)
	for i := range gateways {
		gateways[i] = roster.Gateway{Name: fmt.Sprint("gateway-", i), Address: fmt.Sprint("10.0.0.1:", i), Incarnation: "a", Capacity: []float64{0.8, 0.25, 0.1}[i%3]}
	}
	fleet := make([]*Stages, n)
	for i := range fleet {
		r := roster.New(gateways[i])
		for _, g := range gateways {
			r.Put(g, now)
			r.RecordHeartbeat(g.Name, "a", false, now)
		}
		fleet[i] = NewStages(availability.New(&log.Logger{}, tally.NoopScope), nil, testDialect(), r, nil, &log.Logger{}, tally.NoopScope)
		fleet[i].Update(cat.View())
	}
	return fleet
}

// Guards against one owner of a queue that serves the whole fleet, against owners whose parts of
// the upstreams overlap, and against heartbeats to every owner from every gateway. The load
// pattern is a service whose upstreams grow with the fleet.
func TestQueueIsSplitAmongOwners(t *testing.T) {
	for _, tc := range []struct{ gateways, upstreams, owners int }{{6, 30, 1}, {24, 49, 1}, {42, 69, 2}, {90, 240, 9}, {180, 480, 19}} {
		fleet := stagesFleet(tc.gateways, tc.upstreams)
		sources, parts, asked := make(map[string]int), 0, 0
		owners := fleet[0].ownersOf("service")
		if len(owners) != tc.owners {
			t.Fatalf("%d owners of %d upstreams, want %d", len(owners), tc.upstreams, tc.owners)
		}
		for _, s := range fleet {
			self := s.roster.Self()
			for _, g := range s.candidates("service") {
				sources[g.Name]++
				if !containsGateway(owners, g.Name) {
					t.Errorf("%s sends pieces to %s, which is no owner", self.Name, g.Name)
				}
			}
			calls := s.dispatcher("service").Estimate().Calls
			if s.isOwner("service") {
				parts += int(calls)
			} else if int(calls) != tc.upstreams {
				t.Errorf("%s, which owns no queue, has %g upstreams", self.Name, calls)
			}
			asked = max(asked, len(s.owners()))
			if self.Capacity == 0.1 && s.isOwner("service") {
				t.Errorf("%s is an owner although it is small", self.Name)
			}
		}
		if parts != tc.upstreams {
			t.Errorf("the parts of the owners have %d upstreams, want %d", parts, tc.upstreams)
		}
		if asked > 2 {
			t.Errorf("a gateway of %d sends %d of them a heartbeat in each period", tc.gateways, asked)
		}
		for name, n := range sources {
			if most := 4 * tc.gateways / tc.owners; tc.owners > 1 && n > most {
				t.Errorf("%s is asked by %d of %d gateways, want at most %d", name, n, tc.gateways, most)
			}
		}
	}
}

// Guards against upstreams that no owner has, or two have, and against callers that send pieces to
// a gateway that owns nothing, after gateways were lost, came back or left in any order without a
// change of the upstreams.
func TestOwnersAgreeThroughLossesAndReturns(t *testing.T) {
	const gateways, upstreams = 9, 120
	rapid.Check(t, func(t *rapid.T) {
		fleet := stagesFleet(gateways, upstreams)
		now := time.Now()
		isLive := make([]bool, gateways)
		for i := range isLive {
			isLive[i] = true
		}
		pick := rapid.IntRange(0, gateways-2)
		each := func(fn func(r *roster.Roster)) {
			for _, s := range fleet {
				fn(s.roster)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"lose": func(t *rapid.T) {
				i := pick.Draw(t, "gateway")
				isLive[i] = false
				each(func(r *roster.Roster) { r.MarkLost(fleet[i].roster.Self().Name, now) })
			},
			"hear": func(t *rapid.T) {
				i, isLeaving := pick.Draw(t, "gateway"), rapid.Bool().Draw(t, "leaving")
				isLive[i] = !isLeaving
				each(func(r *roster.Roster) { r.RecordHeartbeat(fleet[i].roster.Self().Name, "a", isLeaving, now) })
			},
			"": func(t *rapid.T) {
				owned := make(map[string]string)
				for i, s := range fleet {
					if s.handOver(now); !isLive[i] {
						continue
					}
					owners, self := s.ownersOf("service"), s.roster.Self().Name
					for _, g := range s.candidates("service") {
						if !containsGateway(owners, g.Name) {
							t.Fatalf("%s sends pieces to %s, which is no owner", self, g.Name)
						}
					}
					if !s.isOwner("service") {
						continue
					}
					part := 0
					for _, u := range s.view.Load().Upstreams("service") {
						if upstreamOwner(owners, u.ID).Name != self {
							continue
						}
						if other := owned[u.ID]; other != "" {
							t.Fatalf("%s and %s own %s", self, other, u.ID)
						}
						owned[u.ID], part = self, part+1
					}
					if calls := int(s.dispatcher("service").Estimate().Calls); calls != part {
						t.Fatalf("%s has %d upstreams, want %d", self, calls, part)
					}
				}
				if len(owned) != upstreams {
					t.Fatalf("%d of %d upstreams have an owner", len(owned), upstreams)
				}
			},
		})
	})
}

// Guards against results that stay at their upstreams because the owner that made them isn't the
// one that the request asked last, and against requests that fail beside a second owner.
func TestTwoOwnersServeRequestsOfBoth(t *testing.T) {
	withGatewayPair(t, func(t *testing.T, p *pair) {
		for range 2 * upstreamsPerOwner {
			p.other.cat.SetUpstream(p.owner.upstream(stageService, p.stage), at(0))
		}
		time.Sleep(time.Second)
		if n := len(p.owner.stages.ownersOf(stageService)); n != 2 {
			t.Fatalf("%d owners", n)
		}
		var wg sync.WaitGroup
		for i := range 40 {
			f := []*fixture{p.owner, p.other}[i%2]
			wg.Go(func() {
				if resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: fmt.Sprint("r", i), header: stagedHeader}); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("request %d got %v, %v", i, resp, err)
				}
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
		if n := len(p.stage.releasedHandles()); n != 120 {
			t.Errorf("%d of 120 results were released", n)
		}
	})
}

// Guards against an owner that refuses its callers because no upstream in its part can get calls,
// while there are some in the part of another owner.
func TestOwnerWithoutUpstreamsSendsPiecesToAnother(t *testing.T) {
	fleet := stagesFleet(42, 69)
	owners := fleet[0].ownersOf("service")
	if len(owners) != 2 {
		t.Fatalf("%d owners, want 2", len(owners))
	}
	var self *Stages
	for _, s := range fleet {
		if s.roster.Self().Name == owners[0].Name {
			self = s
		}
	}
	other := owners[1].Name
	self.setEstimates(other, map[string]pieces.Estimate{"service": {Calls: 5, Size: 8}})
	if g, _ := self.owner("service", 1); g.Name != owners[0].Name {
		t.Errorf("pieces go to %s while upstreams in the own part are free", g.Name)
	}
	self.dispatcher("service").SetUpstreams(catalog.Batch{Slots: 1, Size: 8}, nil)
	if g, e := self.owner("service", 1); g.Name != other || e.Calls != 5 {
		t.Errorf("pieces go to %s with an estimate of %v calls, want %s", g.Name, e.Calls, other)
	}
}
