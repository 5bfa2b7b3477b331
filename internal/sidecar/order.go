package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

// orderTimeout bounds the acceptance of an order; loading itself takes longer.
const orderTimeout = 5 * time.Second

const (
	// drainTimeout bounds the wait for calls in flight before an order to load a model.
	// The holder of the lease gives the whole order 2 s.
	drainTimeout = time.Second
	drainPoll    = 5 * time.Millisecond
)

// engineService is the rpc service "Engine", by which the reconciler sees and steers
// the upstream.
type engineService struct{ s *Sidecar }

// State tells what the upstream reports of itself.
func (v *engineService) State(_ *peer.Empty, reply *peer.EngineState) error {
	*reply = v.s.engineState()
	return nil
}

// Order passes an order on to the upstream.
func (v *engineService) Order(r *peer.EngineOrder, reply *peer.EngineOrderReply) error {
	return v.s.order(r, reply)
}

func (s *Sidecar) engineState() peer.EngineState {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	description, ok, err := s.Engine.Describe(ctx)
	return peer.EngineState{
		Model:         description.Model,
		Role:          description.Role,
		CanLoadModel:  ok && description.Has(engine.CapabilityLoadModel),
		CanChangeRole: ok && description.Has(engine.CapabilityChangeRole),
		Unavailable:   err != nil || s.IsLeaving(),
	}
}

// order refuses an old fencing number before the upstream sees it, because some
// engines ignore the number.
func (s *Sidecar) order(r *peer.EngineOrder, reply *peer.EngineOrderReply) error {
	if reply.Highest = s.raiseFencing(r.Fencing); reply.Highest > r.Fencing {
		reply.Stale = true
		s.Logger.Warn().Uint64("fencing", r.Fencing).Uint64("highest", reply.Highest).Msg("order with an old fencing number refused")
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	supported, err := s.sendOrder(ctx, r)
	var stale *engine.StaleFencingError
	if errors.As(err, &stale) {
		reply.Stale, reply.Highest = true, stale.Highest
		return nil
	}
	reply.Unsupported = err == nil && !supported
	s.Logger.Info().Err(err).Str(instance.KeyUpstream, s.id.Upstream).Str("model", r.Model).Str("engineRole", r.Role).
		Uint64("fencing", r.Fencing).Msg("order to the upstream")
	return err
}

func (s *Sidecar) sendOrder(ctx context.Context, r *peer.EngineOrder) (bool, error) {
	if r.Model != "" {
		return s.loadModel(ctx, engine.ModelOrder{Model: r.Model, Fencing: r.Fencing})
	}
	return s.Engine.ChangeRole(ctx, engine.RoleOrder{Role: r.Role, Fencing: r.Fencing})
}

// loadModel gives the order once the upstream has no more calls than it bears cold,
// because an upstream that loads a model is cold afterwards. The limiter would otherwise
// find that out from slow calls, while the upstream gets more than it bears.
func (s *Sidecar) loadModel(ctx context.Context, order engine.ModelOrder) (bool, error) {
	s.Limiter.RestartDetected()
	s.awaitColdLoad(ctx)
	supported, err := s.Engine.LoadModel(ctx, order)
	// The time until the order was no warm-up.
	s.Limiter.RestartDetected()
	s.coldTimes.forget()
	return supported, err
}

// awaitColdLoad waits until no more calls are in flight than the limit, for drainTimeout
// at most.
func (s *Sidecar) awaitColdLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for ctx.Err() == nil && s.Limiter.InFlight() > s.Limiter.Limit() {
		instance.Pause(ctx, drainPoll)
	}
}

// raiseFencing remembers the highest fencing number and returns it.
func (s *Sidecar) raiseFencing(n uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fencing = max(s.fencing, n)
	return s.fencing
}
