package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

// pair is two gateways in front of the same upstreams. The queue of the stages is at owner.
type pair struct {
	owner, other *fixture
	stage        *stageUpstream
	engine       *counted
}

// playPair runs a test with two gateways that know each other.
func playPair(t *testing.T, test func(t *testing.T, p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		network, others := &pipe.Network{}, newServices()
		one := newNamedFixture(t, "gateway-1", "10.0.0.1:80", network, others)
		two := newNamedFixture(t, "gateway-2", "10.0.0.2:80", network, others)
		defer one.close()
		defer two.close()
		one.roster.Put(two.roster.Self(), time.Now())
		two.roster.Put(one.roster.Self(), time.Now())
		p := &pair{owner: one, other: two, stage: &stageUpstream{delay: 100 * time.Millisecond}, engine: &counted{}}
		for _, f := range []*fixture{one, two} {
			f.cat.SetConfiguration(testConfiguration(), 1)
			ctx, cancel := context.WithCancel(t.Context())
			f.stops = append(f.stops, cancel)
			go NewHeartbeats(f.roster, f.stages, &CatalogSyncer{}, f.cat, f.callOther, f.logger).Run(ctx)
		}
		time.Sleep(time.Second)
		if one.roster.Owner(stageService).Name != "gateway-1" {
			p.owner, p.other = two, one
		}
		for range 2 {
			for _, u := range []catalog.Upstream{one.upstream(stageService, p.stage), one.upstream(engineService, p.engine)} {
				two.cat.SetUpstream(u, 0)
			}
		}
		// The next heartbeat tells what the owner's queue expects with its upstreams.
		time.Sleep(time.Second)
		test(t, p)
		time.Sleep(time.Second)
	})
}

var stagedHeader = http.Header{testPieces: {"1 1 1"}, testPieceKey: {"k"}}

// Guards against gateways that each fill calls for themselves: the pieces of requests at
// different gateways share calls.
func TestPiecesOfTwoGatewaysShareCalls(t *testing.T) {
	playPair(t, func(t *testing.T, p *pair) {
		var wg sync.WaitGroup
		for i := range 12 {
			f := []*fixture{p.owner, p.other}[i%2]
			wg.Go(func() {
				if resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: fmt.Sprint("r", i), header: stagedHeader}); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("request %d got %v, %v", i, resp, err)
				}
			})
		}
		wg.Wait()
		shared := 0
		for _, call := range p.stage.made() {
			ids := make(map[string]bool)
			for _, piece := range call {
				ids[piece.ID] = true
			}
			if len(ids) > 1 {
				shared++
			}
		}
		if len(p.stage.made()) > 16 || shared < 6 {
			t.Errorf("%d calls for 36 pieces, %d of them with pieces of several requests", len(p.stage.made()), shared)
		}
		time.Sleep(time.Second)
		if freed := p.stage.freed(); len(freed) != 36 {
			t.Errorf("%d of 36 results were released", len(freed))
		}
	})
}

// Guards against requests that wait until their deadline for the queue of a gateway that
// is frozen or dead.
func TestPiecesMoveOnWhenTheOwnerIsLost(t *testing.T) {
	playPair(t, func(t *testing.T, p *pair) {
		p.owner.others.put(p.owner.roster.Self().Address, nil)
		started := time.Now()
		resp, _, err := p.other.send(t.Context(), caller{path: "/staged/x", id: "r1", header: stagedHeader})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		if took := time.Since(started); took > 1500*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
	})
}

// Guards against queues that stay at a gateway that shuts down: its pieces were cut off
// when it ended.
func TestLeavingGatewayHandsItsQueueOver(t *testing.T) {
	playPair(t, func(t *testing.T, p *pair) {
		p.owner.Leave()
		time.Sleep(time.Second)
		for _, f := range []*fixture{p.owner, p.other} {
			if got := f.roster.Owner(stageService).Name; got != p.other.roster.Self().Name {
				t.Errorf("%s says that %s owns the queue", f.roster.Self().Name, got)
			}
			resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: f.roster.Self().Name, header: stagedHeader})
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("got %v, %v", resp, err)
			}
		}
	})
}

// Guards against pieces that are made for callers that left, at the owner of the queue.
func TestPiecesAreGivenUpAtTheirOwner(t *testing.T) {
	playPair(t, func(t *testing.T, p *pair) {
		busy := pieces.Job{Piece: dialect.Piece{ID: "busy"}, Due: time.Now().Add(time.Second), Deadline: time.Now().Add(2 * time.Second)}
		go func() { _, _ = p.owner.stages.run(t.Context(), stageService, busy, 8) }()
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		if _, _, err := p.other.send(ctx, caller{path: "/staged/x", id: "r1", header: stagedHeader}); err == nil {
			t.Fatal("the caller did not leave")
		}
		time.Sleep(time.Second)
		for _, call := range p.stage.made() {
			for _, piece := range call {
				if piece.ID == "r1" {
					t.Error("a piece was made for the caller that left")
				}
			}
		}
	})
}

// Guards against heartbeats that grow with the fleet, against a gateway that is never
// asked, and against one that counts as lost because its turn did not come.
func TestHeartbeatsTakeTurnsInALargeFleet(t *testing.T) {
	for _, n := range []int{1, 7, 12, 13, 100, 609} {
		others := make([]roster.Gateway, n)
		for i := range others {
			others[i].Name = fmt.Sprint("g", i)
		}
		owners := map[string]bool{"g0": true, "self": true}
		silence := silenceOf(n, owners)
		last := make(map[string]int)
		turn := 0
		for period := 1; period <= 400; period++ {
			var due []roster.Gateway
			due, turn = dueHeartbeats(others, owners, turn)
			if len(due) > heartbeatsPerPeriod+1 {
				t.Fatalf("%d heartbeats in a period to %d gateways", len(due), n)
			}
			for _, g := range due {
				if gap := time.Duration(period-last[g.Name]) * heartbeatPeriod; 2*gap > silence(g.Name) && last[g.Name] > 0 {
					t.Fatalf("%d gateways: %s is asked after %v and counts as lost after %v", n, g.Name, gap, silence(g.Name))
				}
				last[g.Name] = period
			}
		}
		for _, g := range others {
			if last[g.Name] == 0 {
				t.Errorf("%d gateways: %s is never asked", n, g.Name)
			}
		}
	}
}
