package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

// Guards against the loss of the queue of a large fleet each time its owner leaves: the next
// owner was polled round-robin until then, so that its last reply may be older than the
// timeout of owners, and it counted as lost at once.
func TestNextOwnerOfALargeFleetIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 30
		network, peers := &pipe.Network{}, newPeerServices()
		fleet := make([]*fixture, gateways)
		for i := range fleet {
			fleet[i] = newNamedFixture(t, fmt.Sprint("gateway-", i), fmt.Sprintf("10.0.0.%d:80", i+1), network, peers)
			defer fleet[i].close()
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, f := range fleet {
			for _, other := range fleet {
				f.roster.Put(other.roster.Self(), time.Now())
			}
			f.cat.SetConfiguration(testConfiguration(), at(1))
			go NewHeartbeats(f.roster, f.stages, &CatalogSyncer{}, f.cat, f.crashes, f.table, f.callPeer, f.logger).Run(ctx)
		}
		for range 5 {
			time.Sleep(4 * time.Second)
			name := fleet[0].roster.Owner(stageService).Name
			for _, f := range fleet {
				if f.roster.Self().Name == name {
					f.Leave(time.Now().Add(time.Hour))
				}
			}
		}
		time.Sleep(4 * time.Second)
		lost := 0
		for _, f := range fleet {
			lost += strings.Count(f.logs.String(), "gateway lost")
		}
		if lost > 0 {
			t.Errorf("live gateways counted as lost %d times while five owners left", lost)
		}
	})
}

// Guards against gateways that get no heartbeat for many turns, and count as lost, because
// others restart: their registrations come and go, which shifted the turn.
func TestTurnPassesOverNoGatewayWhileOthersRestart(t *testing.T) {
	const gateways = 41
	turn := (gateways + heartbeatsPerPeriod - 1) / heartbeatsPerPeriod
	// A gateway restarts in each so many periods, one after the other, and is away for some.
	for _, c := range []struct{ every, away int }{{every: 7, away: 3}, {every: 14, away: 5}, {every: 14, away: 7}, {every: 18, away: 5}} {
		polled := make([]int, gateways)
		last := ""
		for period := range 600 {
			var others []roster.Gateway
			for i := range gateways {
				if i == period/c.every%gateways && period%c.every < c.away {
					polled[i] = period
				} else {
					others = append(others, roster.Gateway{Name: fmt.Sprintf("g%03d", i)})
				}
			}
			var due []roster.Gateway
			due, last = dueHeartbeats(others, nil, last)
			for _, g := range due {
				var i int
				_, _ = fmt.Sscanf(g.Name, "g%d", &i)
				polled[i] = period
			}
			for i, at := range polled {
				if gap := period - at; gap > turn {
					t.Fatalf("a restart in each %d periods: g%03d got no heartbeat for %d, a turn has %d", c.every, i, gap, turn)
				}
			}
		}
	}
}

// Guards against a frozen gateway that becomes the owner of a queue and keeps it.
func TestNextOwnerIsCheckedAfterItsGrace(t *testing.T) {
	owned := make(ownerTimes)
	now := time.Unix(0, 0)
	timeout := func(owners ...string) time.Duration {
		set := make(map[string]bool)
		for _, name := range owners {
			set[name] = true
		}
		return lossTimeout(41, owned.update(set, now))("g")
	}
	long := timeout()
	if got := timeout("g"); got != long {
		t.Errorf("a new owner counts as lost after %v, want %v", got, long)
	}
	now = now.Add(2 * heartbeatPeriod)
	if got := timeout("g"); got != roster.HeartbeatTimeout {
		t.Errorf("an owner counts as lost after %v, want %v", got, roster.HeartbeatTimeout)
	}
	timeout("h")
	if got := timeout("g", "h"); got != long {
		t.Errorf("a gateway that owns a queue again counts as lost after %v, want %v", got, long)
	}
}
