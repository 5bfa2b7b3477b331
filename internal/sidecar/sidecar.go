package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/limits"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Identity identifies a sidecar process and the upstream that it serves.
type Identity struct {
	Name          string
	Upstream      string
	Stage         string
	FailureDomain string
	// Incarnation identifies this start of the process.
	Incarnation string
}

// Dependencies are the components that a sidecar uses.
type Dependencies struct {
	Holder  *configuration.Holder
	Limiter *limits.Limiter
	Queue   *admission.Queue
	// Attempts and Tickets belong to the incarnation of the identity.
	Attempts *booking.Attempts
	Tickets  *booking.Tickets
	Engine   *engine.Client
	Logger   *log.Logger
	Scope    tally.Scope
}

// Sidecar serves one upstream. It is safe for concurrent use.
type Sidecar struct {
	id Identity
	Dependencies
	reservations *reservations
	// active counts attempts from their arrival to their reply or, if later, the end of
	// their cancellation at the engine.
	active    atomic.Int64
	coldTimes coldTimes
	// cold is set if the upstream was not warm at the last change of the limiter.
	cold atomic.Bool
	// cancelSlots holds a token for each cancellation that is being sent.
	cancelSlots chan struct{}

	mu      sync.Mutex
	running map[string]context.CancelFunc
	leaving bool
	// identity is the identity last reported by the upstream; it changes with a restart.
	identity string
	// capabilities are those last reported by the upstream.
	capabilities []engine.Capability
	// fencing is the highest fencing token of an order to the upstream.
	fencing uint64
}

// New returns a sidecar that accepts work once its holder has a configuration.
func New(id Identity, deps Dependencies) *Sidecar {
	s := &Sidecar{id: id, Dependencies: deps, running: make(map[string]context.CancelFunc), cancelSlots: make(chan struct{}, maxConcurrentCancels)}
	s.reservations = newReservations(deps.Tickets)
	s.Limiter.Subscribe(s.Queue.Recheck)
	s.Limiter.Subscribe(s.updateCold)
	s.Holder.Subscribe(s.configure)
	return s
}

// NewQueue returns a queue for the slots of the limiter. maxQueued bounds the waiting
// calls.
func NewQueue(l *limits.Limiter, maxQueued int, scope tally.Scope) *admission.Queue {
	return admission.NewQueue(admission.QueueConfig{MaxQueued: maxQueued, Take: l.TryAcquire, Give: l.Return}, scope)
}

// Identity returns the identity passed to New.
func (s *Sidecar) Identity() Identity { return s.id }

// configure applies the limits of a new configuration.
func (s *Sidecar) configure(cfg *fleet.Configuration) {
	stage, ok := cfg.Stage(s.id.Stage)
	if !ok {
		s.Logger.Warn().Uint64(instance.KeyGeneration, cfg.Generation()).Str(instance.KeyStage, s.id.Stage).
			Msg("configuration does not contain the stage of this sidecar")
		return
	}
	capacity := cfg.Capacity(s.id.Upstream, s.id.Stage)
	s.Limiter.SetConfig(limits.Config{
		Capacity:     capacity,
		ColdCapacity: min(stage.ColdCapacity, capacity),
		WarmUp:       stage.WarmUp(),
	})
	s.Logger.Info().Uint64(instance.KeyGeneration, cfg.Generation()).Int("capacity", capacity).
		Msg("configuration in force")
}

// updateCold refuses waiting calls that can run elsewhere once the upstream is no longer
// warm.
func (s *Sidecar) updateCold() {
	cold := s.Limiter.State() != limits.StateWarm
	if s.cold.Swap(cold) != cold && cold {
		s.Queue.RefuseReroutable()
	}
}

// refusalFor returns why the sidecar refuses new work of the request, or ReasonNone.
func (s *Sidecar) refusalFor(r *peer.RunRequest, cfg *fleet.Configuration) peer.Reason {
	switch {
	case cfg == nil:
		return peer.ReasonNoConfiguration
	case r.Generation > cfg.Generation():
		return peer.ReasonGenerationBehind
	case r.Stage != s.id.Stage:
		return peer.ReasonWrongStage
	case s.IsLeaving():
		return peer.ReasonLeaving
	case !cfg.IsInService(s.id.Upstream, s.id.FailureDomain):
		return peer.ReasonOutOfService
	}
	return peer.ReasonNone
}

// load returns the load reported in replies.
func (s *Sidecar) load(service, wait time.Duration) peer.Load {
	snapshot := s.Limiter.Snapshot()
	load := peer.Load{
		Incarnation: s.id.Incarnation,
		Generation:  s.Holder.Generation(),
		InFlight:    snapshot.InFlight,
		Queued:      s.Queue.Queued(),
		Limit:       snapshot.Limit,
		Leaving:     s.IsLeaving(),
		Warming:     snapshot.State != limits.StateWarm,
		ColdService: s.coldTimes.mean(snapshot.State),
		Service:     service,
		Wait:        wait,
	}
	if load.Warming {
		load.WarmingReason = string(snapshot.Reason)
	}
	return load
}

// IsLeaving reports whether Leave was called.
func (s *Sidecar) IsLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}
