package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

// Stages runs pieces of stages in batched calls to their services.
type Stages struct {
	judge   *availability.Judge
	pool    *forward.Pool
	dialect *dialect.Dialect
	roster  *roster.Roster
	call    CallFunc
	logger  *log.Logger
	scope   tally.Scope
	// rollouts is nil if there are none.
	rollouts *Rollouts
	// memory is what pieces are taken from; nil if they aren't bounded.
	memory *intake.Budget

	// view is the newest view. updating is held while its upstreams are assigned, which happens
	// again when the version of the roster is another one than assignedVersion.
	view            atomic.Pointer[catalog.View]
	updating        sync.Mutex
	assignedVersion atomic.Uint64
	// parts are the parts of this gateway by service, guarded by updating.
	parts map[string]part

	mu          sync.Mutex
	dispatchers map[string]*pieces.Dispatcher
	// peerRuns cancel the pieces that run here for other gateways, by token.
	peerRuns map[string]context.CancelFunc
	// peerEstimates are the estimates of the queues of other gateways, by gateway and service.
	peerEstimates map[string]map[string]pieces.Estimate
	// movedAt is since when another gateway owns the queue of a service that has a dispatcher
	// here.
	movedAt map[string]time.Time
}

// errOwnerLost is returned when the owner of a queue stopped responding to heartbeats.
var errOwnerLost = errors.New("the gateway that owns the queue is lost")

// NewStages returns stages without dispatchers.
func NewStages(judge *availability.Judge, pool *forward.Pool, d *dialect.Dialect, r *roster.Roster, call CallFunc, logger *log.Logger, scope tally.Scope) *Stages {
	return &Stages{
		judge:         judge,
		pool:          pool,
		dialect:       d,
		roster:        r,
		call:          call,
		logger:        logger,
		scope:         scope,
		parts:         make(map[string]part),
		dispatchers:   make(map[string]*pieces.Dispatcher),
		peerRuns:      make(map[string]context.CancelFunc),
		peerEstimates: make(map[string]map[string]pieces.Estimate),
		movedAt:       make(map[string]time.Time),
	}
}

// useRollouts sets the roll-outs that calls follow. It must be called before the first piece.
func (s *Stages) useRollouts(r *Rollouts) { s.rollouts = r }

// useMemory sets the budget for pieces. It must be called before the first piece.
func (s *Stages) useMemory(b *intake.Budget) { s.memory = b }

// held returns the number of calls at upstreams of the service that have another version, and of
// results that they hold for the queue of this gateway.
func (s *Stages) held(service, exceptVersion string) int {
	if d := s.allDispatchers()[service]; d != nil {
		return d.Held(exceptVersion)
	}
	return 0
}

// wake makes the dispatchers look for calls that may be sent now.
func (s *Stages) wake() {
	for _, d := range s.allDispatchers() {
		d.Wake()
	}
}

// Update passes the upstreams of the view to the dispatchers.
func (s *Stages) Update(v *catalog.View) {
	s.updating.Lock()
	defer s.updating.Unlock()
	s.view.Store(v)
	services := v.Services()
	for i := range services {
		if services[i].Batch != nil {
			s.assign(v, &services[i])
		}
	}
}

// handOver returns the queued pieces of services whose queues have had another owner for
// handOverDelay to the requests and gateways that sent them, which send them to that owner.
// Two owners of a queue compete for the same upstreams, and neither knows what results the
// other one keeps there.
func (s *Stages) handOver(now time.Time) {
	s.reassign()
	for service, d := range s.allDispatchers() {
		s.trackOwner(service, now)
		if !s.hasMoved(service, now) {
			continue
		}
		if n := d.HandOver(); n > 0 {
			s.logger.Info().Str("service", service).Str("gateway", s.ownersOf(service)[0].Name).Int("pieces", n).Msg("queued pieces handed over to the owner of their queue")
		}
	}
}

// trackOwner records since when another gateway owns the queue of the service.
func (s *Stages) trackOwner(service string, now time.Time) {
	isOwner := s.isOwner(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if isOwner {
		delete(s.movedAt, service)
	} else if _, ok := s.movedAt[service]; !ok {
		s.movedAt[service] = now
	}
}

// hasMoved reports whether another gateway has owned the queue of the service for
// handOverDelay.
func (s *Stages) hasMoved(service string, now time.Time) bool {
	if s.isOwner(service) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.movedAt[service]
	return ok && now.Sub(at) >= handOverDelay
}

// allDispatchers returns the dispatchers by service.
func (s *Stages) allDispatchers() map[string]*pieces.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.dispatchers)
}

func (s *Stages) dispatcher(service string) *pieces.Dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dispatchers[service]
	if d == nil {
		d = pieces.NewDispatcher(service, s.judge, s.pool, s.dialect, s.logger, s.scope)
		d.UseRollouts(s.rollouts.decisions())
		s.dispatchers[service] = d
	}
	return d
}
