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

// pair is two gateways with the same upstreams. The owner owns the queue of the stages.
type pair struct {
	owner, other *fixture
	stage        *stageUpstream
	engine       *countingUpstream
}

// withGatewayPair runs a test with two gateways that exchange heartbeats.
func withGatewayPair(t *testing.T, test func(t *testing.T, p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		network, peers := &pipe.Network{}, newPeerServices()
		first := newNamedFixture(t, "gateway-1", "10.0.0.1:80", network, peers)
		second := newNamedFixture(t, "gateway-2", "10.0.0.2:80", network, peers)
		defer first.close()
		defer second.close()
		first.roster.Put(second.roster.Self(), time.Now())
		second.roster.Put(first.roster.Self(), time.Now())
		p := &pair{owner: first, other: second, stage: &stageUpstream{delay: 100 * time.Millisecond}, engine: &countingUpstream{}}
		for _, f := range []*fixture{first, second} {
			f.cat.SetConfiguration(testConfiguration(), at(1))
			ctx, cancel := context.WithCancel(t.Context())
			f.cleanups = append(f.cleanups, cancel)
			go NewHeartbeats(f.roster, f.stages, &CatalogSyncer{}, f.cat, f.crashes, f.table, f.callPeer, f.logger).Run(ctx)
		}
		time.Sleep(time.Second)
		if first.roster.Owner(stageService).Name != "gateway-1" {
			p.owner, p.other = second, first
		}
		for range 2 {
			for _, u := range []catalog.Upstream{first.upstream(stageService, p.stage), first.upstream(engineService, p.engine)} {
				second.cat.SetUpstream(u, at(0))
			}
		}
		// The next heartbeat carries the estimate of the owner's queue with its upstreams.
		time.Sleep(time.Second)
		test(t, p)
		time.Sleep(time.Second)
	})
}

var stagedHeader = http.Header{testPieces: {"1 1 1"}, testPieceKey: {"k"}}

// Guards against calls that hold pieces from one gateway only. Requests arrive at the two
// gateways in turn, and the test counts the calls with pieces of several requests; it doesn't
// check that the requests of a call are of different gateways.
func TestPiecesOfTwoGatewaysShareCalls(t *testing.T) {
	withGatewayPair(t, func(t *testing.T, p *pair) {
		var wg sync.WaitGroup
		for i := range 12 {
			f := []*fixture{p.owner, p.other}[i%2]
			wg.Go(func() {
				if resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: fmt.Sprint("r", i), header: stagedHeader}); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("request %d got %v, %v", i, resp, err)
				}
			})
		}
		wg.Wait()
		shared := 0
		for _, call := range p.stage.batches() {
			ids := make(map[string]bool)
			for _, piece := range call {
				ids[piece.ID] = true
			}
			if len(ids) > 1 {
				shared++
			}
		}
		if len(p.stage.batches()) > 16 || shared < 6 {
			t.Errorf("%d calls for 36 pieces, %d of them with pieces of several requests", len(p.stage.batches()), shared)
		}
		time.Sleep(time.Second)
		if releasedHandles := p.stage.releasedHandles(); len(releasedHandles) != 36 {
			t.Errorf("%d of 36 results were released", len(releasedHandles))
		}
	})
}

// Guards against requests that wait until their deadline for the queue of a gateway that is
// frozen or has crashed.
func TestPiecesMoveToNextOwnerWhenOwnerIsLost(t *testing.T) {
	withGatewayPair(t, func(t *testing.T, p *pair) {
		p.owner.peers.put(p.owner.roster.Self().Address, nil)
		started := time.Now()
		resp, _, err := p.other.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", header: stagedHeader})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		if took := time.Since(started); took > 1500*time.Millisecond {
			t.Errorf("responded after %v", took)
		}
	})
}

// Guards against queues that stay at a gateway that shuts down: its pieces were interrupted
// when the process exited.
func TestLeavingGatewayHandsOverItsQueue(t *testing.T) {
	withGatewayPair(t, func(t *testing.T, p *pair) {
		p.owner.Leave(time.Now().Add(8 * time.Second))
		time.Sleep(time.Second)
		for _, f := range []*fixture{p.owner, p.other} {
			if got := f.roster.Owner(stageService).Name; got != p.other.roster.Self().Name {
				t.Errorf("%s reports %s as the owner of the queue", f.roster.Self().Name, got)
			}
			resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: f.roster.Self().Name, header: stagedHeader})
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("got %v, %v", resp, err)
			}
		}
	})
}

// Guards against an owner of a queue that runs pieces for callers that disconnected.
func TestPiecesAreCancelledAtTheirOwner(t *testing.T) {
	withGatewayPair(t, func(t *testing.T, p *pair) {
		busy := pieces.Job{Piece: dialect.Piece{ID: "busy"}, Due: time.Now().Add(time.Second), Deadline: time.Now().Add(2 * time.Second)}
		go func() { _, _ = p.owner.stages.run(t.Context(), stageService, busy, 8) }()
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		if _, _, err := p.other.send(ctx, callerRequest{path: "/staged/x", id: "r1", header: stagedHeader}); err == nil {
			t.Fatal("the request ended before the caller disconnected")
		}
		time.Sleep(time.Second)
		for _, call := range p.stage.batches() {
			for _, piece := range call {
				if piece.ID == "r1" {
					t.Error("a piece was run for the caller that disconnected")
				}
			}
		}
	})
}

// Guards against heartbeat traffic that grows with the fleet, against a gateway that never
// gets a heartbeat, and against one that counts as lost because its turn comes too late.
func TestHeartbeatsAreRoundRobinInLargeFleet(t *testing.T) {
	for _, n := range []int{1, 7, 12, 13, 100, 609} {
		others := make([]roster.Gateway, n)
		for i := range others {
			others[i].Name = fmt.Sprintf("g%03d", i)
		}
		owners := map[string]bool{"g000": true, "self": true}
		timeout := lossTimeout(n, owners)
		last := make(map[string]int)
		next := ""
		for period := 1; period <= 400; period++ {
			var due []roster.Gateway
			due, next = dueHeartbeats(others, owners, next)
			if len(due) > heartbeatsPerPeriod+1 {
				t.Fatalf("%d heartbeats in a period to %d gateways", len(due), n)
			}
			for _, g := range due {
				if gap := time.Duration(period-last[g.Name]) * heartbeatPeriod; 2*gap > timeout(g.Name) && last[g.Name] > 0 {
					t.Fatalf("%d gateways: %s gets a heartbeat after %v and counts as lost after %v", n, g.Name, gap, timeout(g.Name))
				}
				last[g.Name] = period
			}
		}
		for _, g := range others {
			if last[g.Name] == 0 {
				t.Errorf("%d gateways: %s never gets a heartbeat", n, g.Name)
			}
		}
	}
}

// Guards against pieces that wait in the queue of a gateway that another one owns by now, such
// as one that restarted a little later than the others: two owners compete for the same
// upstreams. The pieces must go to the owner, and to the present one's queue if the owner
// sends them back again and again.
func TestQueueThatMovedIsHandedOver(t *testing.T) {
	withGatewayPair(t, func(t *testing.T, p *pair) {
		self := p.other.roster.Self()
		p.other.roster.MarkLost(p.owner.roster.Self().Name, time.Now())
		if got := p.other.roster.Owner(stageService).Name; got != self.Name {
			t.Fatalf("%s owns the queue", got)
		}
		busy := pieces.Job{Piece: dialect.Piece{ID: "busy"}, Due: time.Now().Add(time.Second), Deadline: time.Now().Add(9 * time.Second)}
		go func() { _, _ = p.other.stages.run(t.Context(), stageService, busy, 40) }()
		time.Sleep(time.Second)
		if got := p.other.roster.Owner(stageService).Name; got == self.Name {
			t.Fatal("the owner is still lost")
		}
		time.Sleep(handOverDelay)
		if n := p.other.stages.dispatcher(stageService).Estimate().Ahead; n != 0 {
			t.Errorf("%d pieces wait at a gateway that doesn't own their queue", n)
		}
		if results := p.other.stages.runForPeer(&MakeRequest{Service: stageService, Count: 2, EndsIn: time.Second}).Results; len(results) != 2 || results[0].Failure != pieces.FailureHandedOver {
			t.Errorf("pieces for a queue that moved got %+v", results)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against a piece that is sent back and forth for ever between two gateways that each
// believe that the other one owns its queue: a gateway that no longer owns a queue sends pieces
// back, but runs those that it was told to run, also after the next hand-over.
func TestForcedPiecesAreNotHandedOver(t *testing.T) {
	withGatewayPair(t, func(t *testing.T, p *pair) {
		p.owner.roster.Leave()
		time.Sleep(handOverDelay + 2*heartbeatPeriod)
		args := &MakeRequest{Service: stageService, Piece: dialect.Piece{ID: "p"}, Count: 20, DueIn: time.Second, GiveUpIn: 9 * time.Second, EndsIn: 9 * time.Second}
		if results := p.owner.stages.runForPeer(args).Results; !hasFailure(results, pieces.FailureHandedOver) {
			t.Errorf("got %+v, want all pieces back", results)
		}
		args.Force = true
		results := p.owner.stages.runForPeer(args).Results
		for _, r := range results {
			if r.Failure != dialect.FailureNone {
				t.Fatalf("got %+v, want the results", results)
			}
		}
		if len(results) != args.Count {
			t.Errorf("%d results for %d pieces", len(results), args.Count)
		}
	})
}
