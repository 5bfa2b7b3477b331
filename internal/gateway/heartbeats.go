package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

const (
	// heartbeatPeriod is the time between two heartbeats to a gateway: a third of the silence
	// after which it counts as lost.
	heartbeatPeriod = 220 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat.
	heartbeatTimeout = 600 * time.Millisecond
	// heartbeatsPerPeriod bounds the heartbeats of one period to gateways that own no queue; with
	// more gateways these take turns. It keeps a large fleet's control traffic of a gateway
	// independent of its size.
	heartbeatsPerPeriod = 3
	// missedTurns is how many turns without an answer make a gateway lost.
	missedTurns = 3
)

// CallFunc calls a method of another gateway.
type CallFunc func(ctx context.Context, address, method string, args, reply any) error

// Heartbeats keeps in touch with the other gateways.
type Heartbeats struct {
	roster   *roster.Roster
	stages   *Stages
	follower *CatalogSyncer
	catalog  *catalog.Catalog
	logger   *log.Logger
	call     CallFunc

	mu sync.Mutex
	// beating are the gateways with a heartbeat in progress.
	beating map[string]bool
}

// NewHeartbeats returns peers that call through call.
func NewHeartbeats(r *roster.Roster, stages *Stages, follower *CatalogSyncer, cat *catalog.Catalog, call CallFunc, logger *log.Logger) *Heartbeats {
	return &Heartbeats{roster: r, stages: stages, follower: follower, catalog: cat, call: call, logger: logger, beating: make(map[string]bool)}
}

// HeartbeatRequest is a heartbeat.
type HeartbeatRequest struct {
	Name        string
	Incarnation string
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Name        string
	Incarnation string
	// Leaving gateways take no new queues.
	Leaving bool
	// Waits are what the queues that this gateway owns expect of new pieces.
	Waits map[string]pieces.Estimate
}

// Run sends heartbeats until ctx ends.
func (p *Heartbeats) Run(ctx context.Context) {
	turn := 0
	for instance.Pause(ctx, heartbeatPeriod) {
		others := p.roster.Others()
		owners := p.stages.owners()
		for _, g := range p.roster.Expire(time.Now(), silenceOf(len(others), owners)) {
			p.logger.Warn().Str("gateway", g.Name).Msg("gateway lost")
		}
		var due []roster.Gateway
		due, turn = dueHeartbeats(others, owners, turn)
		for _, g := range due {
			if p.begin(g.Name) {
				go p.heartbeat(ctx, g)
			}
		}
	}
}

// dueHeartbeats returns the gateways that get a heartbeat in this period, and where the next
// turn begins: the owners of queues always, of the others as many as the bound allows.
func dueHeartbeats(others []roster.Gateway, owners map[string]bool, turn int) ([]roster.Gateway, int) {
	var due []roster.Gateway
	for _, g := range others {
		if owners[g.Name] {
			due = append(due, g)
		}
	}
	sent := 0
	for range others {
		g := others[turn%len(others)]
		if !owners[g.Name] {
			if sent == heartbeatsPerPeriod {
				break
			}
			sent++
			due = append(due, g)
		}
		turn++
	}
	return due, turn
}

// silenceOf returns how long a gateway may leave heartbeats unanswered: longer where
// those that own no queue take turns.
func silenceOf(others int, owners map[string]bool) func(name string) time.Duration {
	periods := (others + heartbeatsPerPeriod - 1) / heartbeatsPerPeriod
	turns := missedTurns * time.Duration(periods) * heartbeatPeriod
	return func(name string) time.Duration {
		if owners[name] {
			return roster.HeartbeatTimeout
		}
		return max(roster.HeartbeatTimeout, turns)
	}
}

func (p *Heartbeats) begin(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.beating[name] {
		return false
	}
	p.beating[name] = true
	return true
}

func (p *Heartbeats) heartbeat(ctx context.Context, g roster.Gateway) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.beating, g.Name)
	}()
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	self := p.roster.Self()
	reply := &HeartbeatReply{}
	sent := time.Now()
	if err := p.call(ctx, g.Address, "Gateway.Heartbeat", &HeartbeatRequest{Name: self.Name, Incarnation: self.Incarnation}, reply); err != nil {
		p.logger.Debug().Err(err).Str("gateway", g.Name).Msg("heartbeat not answered")
		return
	}
	// The answer says that the other lived after the question was sent, not more.
	if p.roster.RecordHeartbeat(reply.Name, reply.Incarnation, reply.Leaving, sent) {
		p.logger.Info().Str("gateway", g.Name).Str("address", g.Address).Msg("gateway heard")
	}
	p.stages.setEstimates(g.Name, reply.Waits)
	if p.follower.IsStoreLost() {
		p.ask(ctx, g)
	}
}

// ask fetches what the other gateway read from the store, while the store is silent here.
func (p *Heartbeats) ask(ctx context.Context, g roster.Gateway) {
	snapshot := &Snapshot{}
	if err := p.call(ctx, g.Address, "Gateway.Snapshot", &SnapshotRequest{Known: p.catalog.Revisions()}, snapshot); err != nil {
		p.logger.Debug().Err(err).Str("gateway", g.Name).Msg("no snapshot from another gateway")
		return
	}
	p.follower.Apply(g.Name, *snapshot)
}

// SnapshotRequest asks for what the store said after the known revisions.
type SnapshotRequest struct{ Known catalog.Revisions }

// Service is the rpc service "Gateway" for other gateways.
type Service struct {
	roster   *roster.Roster
	stages   *Stages
	follower *CatalogSyncer
}

// NewService returns the service of this gateway.
func NewService(r *roster.Roster, stages *Stages, follower *CatalogSyncer) *Service {
	return &Service{roster: r, stages: stages, follower: follower}
}

// Snapshot returns what this gateway read from the store.
func (s *Service) Snapshot(args *SnapshotRequest, reply *Snapshot) error {
	*reply = s.follower.Snapshot(args.Known)
	return nil
}

// Heartbeat answers a heartbeat.
func (s *Service) Heartbeat(_ *HeartbeatRequest, reply *HeartbeatReply) error {
	self := s.roster.Self()
	reply.Name, reply.Incarnation, reply.Leaving = self.Name, self.Incarnation, s.roster.IsLeaving()
	reply.Waits = s.stages.Estimates()
	return nil
}

// MakePieces makes pieces in the queue that this gateway owns.
func (s *Service) MakePieces(args *MakeRequest, reply *MakeReply) error {
	reply.Results = s.stages.makeFor(args)
	return nil
}

// CancelPieces gives up pieces whose request has ended.
func (s *Service) CancelPieces(args *CancelRequest, _ *peer.Empty) error {
	s.stages.cancel(args.Token)
	return nil
}

// ReleasePieces drops results.
func (s *Service) ReleasePieces(args *ReleaseRequest, _ *peer.Empty) error {
	s.stages.dispatcher(args.Service).Release(args.Results)
	return nil
}
