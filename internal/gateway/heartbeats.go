package gateway

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/engines"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

const (
	// heartbeatPeriod is the interval between heartbeats to a gateway that owns a queue: a
	// little less than a third of roster.HeartbeatTimeout, after which it counts as lost.
	heartbeatPeriod = 220 * time.Millisecond
	// heartbeatCallTimeout bounds the call of one heartbeat.
	heartbeatCallTimeout = 600 * time.Millisecond
	// fetchTimeout bounds the transfer of what another gateway knows. The largest configuration
	// takes 0.9 s over a link of 10 Mbit/s that nothing else uses.
	fetchTimeout = 3 * time.Second
	// doubtfulPerPeriod bounds the heartbeats per period to gateways that were just listed or
	// lost and own no queue, if there are more than roster.HeardAtOnce. The first heartbeat also
	// opens a connection.
	doubtfulPerPeriod = 8
	// heartbeatsPerPeriod bounds the heartbeats per period to gateways that own no queue; a
	// larger number of them is polled round-robin. It keeps the control traffic of a gateway
	// independent of the size of the fleet.
	heartbeatsPerPeriod = 3
	// listingTime is the time between two rounds of heartbeats to gateways that were just listed.
	listingTime = 20 * time.Millisecond
	// maxTold bounds the gateways of which it is kept when they were told of measurements: more
	// than there are in the largest fleet.
	maxTold = 2048
	// maxMissedTurns is the number of turns without a reply after which a gateway that owns
	// no queue counts as lost. A turn is one round of heartbeats through all gateways.
	maxMissedTurns = 3
)

// CallFunc calls a method of another gateway.
type CallFunc func(ctx context.Context, address, method string, args, reply any) error

// Heartbeats sends heartbeats to the other gateways, and fetches snapshots from them while
// the store is lost.
type Heartbeats struct {
	roster  *roster.Roster
	stages  *Stages
	syncer  *CatalogSyncer
	catalog *catalog.Catalog
	crashes *Crashes
	table   *placement.Table
	logger  *log.Logger
	call    CallFunc

	// added gets a value after a gateway was added to the roster.
	added chan struct{}

	mu sync.Mutex
	// inProgress holds the names of gateways with a heartbeat in progress.
	inProgress map[string]bool
	// tried holds the names of gateways whose first heartbeat has ended.
	tried map[string]bool
}

// NewHeartbeats returns heartbeats that are sent by call.
func NewHeartbeats(gateways *roster.Roster, stages *Stages, syncer *CatalogSyncer, cat *catalog.Catalog, crashes *Crashes, table *placement.Table, call CallFunc, logger *log.Logger) *Heartbeats {
	h := &Heartbeats{roster: gateways, stages: stages, syncer: syncer, catalog: cat, crashes: crashes, table: table, call: call, logger: logger, added: make(chan struct{}, 1), inProgress: make(map[string]bool), tried: make(map[string]bool)}
	gateways.Subscribe(func() {
		select {
		case h.added <- struct{}{}:
		default:
		}
	})
	return h
}

// HeartbeatRequest identifies the sender of a heartbeat.
type HeartbeatRequest struct {
	Name        string
	Incarnation string
	// Rollouts are the sender's reports on roll-outs.
	Rollouts []rollout.Report
}

// HeartbeatReply is the reply of a live gateway.
type HeartbeatReply struct {
	Name        string
	Incarnation string
	// Leaving gateways own no queues.
	Leaving bool
	// Waits are the estimates of the queues that the gateway owns, by service.
	Waits map[string]pieces.Estimate
	// Quarantined are the sets of prompt parts that the gateway keeps away from upstreams.
	Quarantined []quarantine.Notice
	// Engines is what the gateway measured of engines since its last reply to the sender: about
	// 40 bytes each, and at most 16 of them.
	Engines []engines.Measurement
	// Version is the version of the gateway's configuration, or 0.
	Version int64
	// ConfirmedAgo is how long ago that was known to be the newest version, if IsConfirmed.
	ConfirmedAgo time.Duration
	IsConfirmed  bool
	// Doubts is set while the gateway holds something that the store lacks since its return to an
	// earlier state.
	Doubts bool
	// Rollouts are the gateway's reports on roll-outs.
	Rollouts []rollout.Report
	// Limits are the limits of upstreams that the gateway knows, and their ends.
	Limits []availability.LimitNotice
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeats) Run(ctx context.Context) {
	last, lastDoubtful := "", h.roster.Self().Name
	ownedSince := make(ownerTimes)
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.added:
			// A fleet that starts at once agrees on the owners of queues as soon as its gateways
			// have heard each other, so these heartbeats don't wait for their turn.
			var due []roster.Gateway
			due, lastDoubtful = dueDoubtful(h.roster.Doubtful(time.Now()), h.stages.owners(), lastDoubtful)
			h.begin(ctx, due)
			// A fleet is listed one by one.
			if !instance.Pause(ctx, listingTime) {
				return
			}
			continue
		case <-ticker.C:
		}
		h.stages.handOver(time.Now())
		others := h.roster.Others()
		owners := h.stages.owners()
		for _, gateway := range h.roster.Expire(time.Now(), lossTimeout(len(others), ownedSince.update(owners, time.Now()))) {
			h.logger.Warn().Str("gateway", gateway.Name).Msg("gateway lost")
		}
		var due []roster.Gateway
		due, last = dueHeartbeats(others, owners, last, heartbeatsPerPeriod)
		h.begin(ctx, due)
		due, lastDoubtful = dueDoubtful(h.roster.Doubtful(time.Now()), owners, lastDoubtful)
		h.begin(ctx, due)
	}
}

// begin sends heartbeats to the gateways that have none in progress.
func (h *Heartbeats) begin(ctx context.Context, due []roster.Gateway) {
	for _, gateway := range due {
		if h.tryBegin(gateway.Name) {
			go instance.GuardLogged(h.logger, "heartbeat", func() { h.heartbeat(ctx, gateway) })
		}
	}
}

// dueHeartbeats returns the gateways that get a heartbeat in this period, and the name of the
// last one whose turn it was. Owners of queues get one in each period, the others, which are
// sorted by name, round-robin, so many at a time. The turn continues after the last name, so that
// gateways that come and go don't make it pass over others.
func dueHeartbeats(others []roster.Gateway, owners map[string]bool, last string, perPeriod int) ([]roster.Gateway, string) {
	var due []roster.Gateway
	for _, g := range others {
		if owners[g.Name] {
			due = append(due, g)
		}
	}
	next := sort.Search(len(others), func(i int) bool { return others[i].Name > last })
	sent := 0
	for i := range others {
		g := others[(next+i)%len(others)]
		if owners[g.Name] {
			continue
		}
		if sent == perPeriod {
			break
		}
		sent++
		last = g.Name
		due = append(due, g)
	}
	return due, last
}

// dueDoubtful returns the doubtful gateways that get a heartbeat in this period, and the name of
// the last one whose turn it was. In a large fleet, only the owners of queues and a few others
// do: gateways must agree on who lives only as far as it decides on the owners.
func dueDoubtful(doubtful []roster.Gateway, owners map[string]bool, last string) ([]roster.Gateway, string) {
	if len(doubtful) <= roster.HeardAtOnce {
		return doubtful, last
	}
	return dueHeartbeats(doubtful, owners, last, doubtfulPerPeriod)
}

// lossTimeout returns the time without a reply after which a gateway counts as lost. It is
// longer for gateways that own no queue, or have only begun to, and are polled round-robin.
func lossTimeout(others int, owners map[string]bool) func(name string) time.Duration {
	periods := (others + heartbeatsPerPeriod - 1) / heartbeatsPerPeriod
	missedTurnsTime := maxMissedTurns * time.Duration(periods) * heartbeatPeriod
	return func(name string) time.Duration {
		if owners[name] {
			return roster.HeartbeatTimeout
		}
		return max(roster.HeartbeatTimeout, missedTurnsTime)
	}
}

func (h *Heartbeats) tryBegin(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inProgress[name] {
		return false
	}
	h.inProgress[name] = true
	return true
}

func (h *Heartbeats) heartbeat(ctx context.Context, gateway roster.Gateway) {
	isFetching := false
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.inProgress, gateway.Name)
		h.tried[gateway.Name] = h.tried[gateway.Name] || !isFetching
	}()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatCallTimeout)
	defer cancel()
	self := h.roster.Self()
	reply := &HeartbeatReply{}
	sent := time.Now()
	if err := h.call(callCtx, gateway.Address, "Gateway.Heartbeat", &HeartbeatRequest{Name: self.Name, Incarnation: self.Incarnation, Rollouts: h.stages.rollouts.reports()}, reply); err != nil {
		h.logger.Debug().Err(err).Str("gateway", gateway.Name).Msg("heartbeat failed")
		h.roster.RejectPresumed(gateway.Name, gateway.Incarnation, time.Now())
		return
	}
	// The reply proves only that the other gateway was live after the request was sent.
	if h.roster.RecordHeartbeat(reply.Name, reply.Incarnation, reply.Leaving, sent) {
		h.logger.Info().Str("gateway", gateway.Name).Str("address", gateway.Address).Msg("gateway responds to heartbeats")
	}
	h.stages.setEstimates(gateway.Name, reply.Waits)
	h.crashes.adopt(reply.Quarantined)
	h.stages.judge.AdoptLimits(gateway.Name, reply.Limits, sent)
	h.stages.rollouts.adopt(reply.Name, reply.Incarnation, reply.Rollouts)
	h.table.AdoptMeasurements(time.Now(), reply.Engines)
	if reply.IsConfirmed {
		h.syncer.hearVersion(reply.Version, sent.Add(-max(reply.ConfirmedAgo, 0)))
	}
	if isFetching = h.syncer.beginFetch(reply.Version, reply.Doubts, time.Now()); isFetching {
		go instance.GuardLogged(h.logger, "fetch", func() { h.fetch(ctx, gateway) })
	}
}

// HasTriedAll reports whether the first heartbeat to each gateway has ended.
func (h *Heartbeats) HasTriedAll() bool {
	others := h.roster.Others()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, g := range others {
		if !h.tried[g.Name] {
			return false
		}
	}
	return true
}

// fetch fetches what a gateway knows, after beginFetch. It takes longer than a heartbeat may: over a
// slow link, or where a processor is starved.
func (h *Heartbeats) fetch(ctx context.Context, gateway roster.Gateway) {
	defer func() {
		h.syncer.endFetch()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.tried[gateway.Name] = true
	}()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	h.fetchKnowledge(ctx, gateway)
	if h.syncer.IsStoreLost() {
		h.fetchSnapshot(ctx, gateway)
	}
}

// fetchKnowledge fetches what a gateway knows and the store may lack.
func (h *Heartbeats) fetchKnowledge(ctx context.Context, gateway roster.Gateway) {
	snapshot := &Snapshot{}
	args := &SnapshotRequest{Known: h.catalog.Revisions(), KnowledgeOnly: true, KnownVersion: h.syncer.Version()}
	if err := h.call(ctx, gateway.Address, "Gateway.Snapshot", args, snapshot); err != nil {
		h.logger.Warn().Err(err).Str("gateway", gateway.Name).Msg("fetching what another gateway knows failed")
		return
	}
	h.syncer.adoptKnowledge(gateway.Name, *snapshot)
}

// fetchSnapshot fetches what the other gateway has read from the store, while the store is
// lost for this one.
func (h *Heartbeats) fetchSnapshot(ctx context.Context, gateway roster.Gateway) {
	snapshot := &Snapshot{}
	if err := h.call(ctx, gateway.Address, "Gateway.Snapshot", &SnapshotRequest{Known: h.catalog.Revisions()}, snapshot); err != nil {
		h.logger.Warn().Err(err).Str("gateway", gateway.Name).Msg("fetching the snapshot of another gateway failed")
		return
	}
	h.syncer.Apply(gateway.Name, *snapshot)
}

// SnapshotRequest requests the state that is newer than the known revisions.
type SnapshotRequest struct {
	Known catalog.Revisions
	// KnowledgeOnly requests what the store may lack: the configuration if its version is above
	// KnownVersion, whatever its revision, and what is held since the store returned.
	KnowledgeOnly bool
	KnownVersion  int64
}

// Service is the rpc service "Gateway", which other gateways call.
type Service struct {
	roster  *roster.Roster
	stages  *Stages
	syncer  *CatalogSyncer
	crashes *Crashes
	table   *placement.Table

	mu sync.Mutex
	// told is when each gateway was last told of measurements, by name.
	told map[string]time.Time
}

// NewService returns the rpc service of this gateway.
func NewService(r *roster.Roster, stages *Stages, syncer *CatalogSyncer, crashes *Crashes, table *placement.Table) *Service {
	return &Service{roster: r, stages: stages, syncer: syncer, crashes: crashes, table: table, told: make(map[string]time.Time)}
}

// Snapshot returns what this gateway has read from the store.
func (s *Service) Snapshot(args *SnapshotRequest, reply *Snapshot) error {
	return instance.Guard(func() {
		if args.KnowledgeOnly {
			*reply = s.syncer.knowledge(args.KnownVersion)
			return
		}
		*reply = s.syncer.Snapshot(args.Known)
	})
}

// Heartbeat returns the state of this gateway and the estimates of its queues.
func (s *Service) Heartbeat(args *HeartbeatRequest, reply *HeartbeatReply) error {
	self := s.roster.Self()
	reply.Name, reply.Incarnation, reply.Leaving = self.Name, self.Incarnation, s.roster.IsLeaving()
	// The version is read after the time: a newer one may come in between.
	if confirmed := s.syncer.Confirmed(); !confirmed.IsZero() {
		reply.ConfirmedAgo, reply.IsConfirmed = time.Since(confirmed), true
	}
	reply.Version, reply.Doubts = s.syncer.Version(), s.syncer.HasDoubts()
	return instance.Guard(func() {
		s.stages.rollouts.adopt(args.Name, args.Incarnation, args.Rollouts)
		reply.Waits, reply.Quarantined, reply.Rollouts = s.stages.Estimates(), s.crashes.notices(), s.stages.rollouts.reports()
		now := time.Now()
		reply.Engines = s.table.Measurements(now, s.lastTold(args.Name, now))
		reply.Limits = s.stages.judge.LimitNotices(now)
	})
}

// lastTold returns when the gateway was last told of measurements, and records that it is now. A
// reply that is lost takes the measurements in it along.
func (s *Service) lastTold(name string, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.told) >= maxTold {
		clear(s.told)
	}
	last := s.told[name]
	s.told[name] = now
	return last
}

// ReportCrash records a crash that another gateway has found.
func (s *Service) ReportCrash(args *CrashReport, reply *SoundParts) error {
	return instance.Guard(func() { reply.Parts = s.crashes.reportCrash(args) })
}

// FindSound returns prompt parts that were in whole responses.
func (s *Service) FindSound(args *SoundQuery, reply *SoundParts) error {
	return instance.Guard(func() { reply.Parts = s.crashes.findSound(args) })
}

// MakePieces runs pieces in the queue that this gateway owns.
func (s *Service) MakePieces(args *MakeRequest, reply *MakeReply) error {
	return instance.Guard(func() { *reply = s.stages.runForPeer(args) })
}

// CancelPieces cancels pieces whose request has ended.
func (s *Service) CancelPieces(args *CancelRequest, _ *peer.Empty) error {
	return instance.Guard(func() { s.stages.cancel(args.Token) })
}

// ReleasePieces releases results at the upstreams that hold them.
func (s *Service) ReleasePieces(args *ReleaseRequest, _ *peer.Empty) error {
	return instance.Guard(func() { s.stages.dispatcher(args.Service).Release(args.Results) })
}
