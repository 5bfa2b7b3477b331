package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

// orderTimeout bounds the wait for calls in flight and the engine's acceptance of an order;
// loading itself takes longer. The reconciler stops waiting for the reply after 2 s, but
// that does not end the order.
const orderTimeout = 5 * time.Second

const (
	// drainTimeout bounds the wait for calls in flight before an order to load a model.
	// It leaves the engine time to accept the order within the 2 s that the reconciler
	// waits for the reply.
	drainTimeout      = time.Second
	drainPollInterval = 5 * time.Millisecond
)

// engineService is the rpc service "Engine", through which the reconciler observes and
// controls the upstream.
type engineService struct{ s *Sidecar }

// State returns the state that the upstream reports.
func (v *engineService) State(_ *peer.Empty, reply *peer.EngineState) error {
	*reply = v.s.describeEngine()
	return nil
}

// Order forwards an order to the upstream.
func (v *engineService) Order(r *peer.EngineOrder, reply *peer.EngineOrderReply) error {
	return v.s.order(r, reply)
}

func (s *Sidecar) describeEngine() peer.EngineState {
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

// order refuses an outdated fencing token before it reaches the upstream, because some
// engines ignore the token.
func (s *Sidecar) order(r *peer.EngineOrder, reply *peer.EngineOrderReply) error {
	if reply.Highest = s.raiseFencingToken(r.Fencing); reply.Highest > r.Fencing {
		reply.Stale = true
		s.Logger.Warn().Uint64("fencing", r.Fencing).Uint64("highest", reply.Highest).Msg("order with an outdated fencing token refused")
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

// loadModel sends the order once the upstream has no more calls in flight than it can
// handle cold, because it is cold after loading a model. Otherwise the limiter would
// detect that only from slow calls, after the upstream had received more of them than it
// can handle.
func (s *Sidecar) loadModel(ctx context.Context, order engine.ModelOrder) (bool, error) {
	s.Limiter.RestartDetected()
	s.waitForColdLimit(ctx)
	supported, err := s.Engine.LoadModel(ctx, order)
	// The time before the order does not count as warm-up.
	s.Limiter.RestartDetected()
	s.coldTimes.reset()
	return supported, err
}

// waitForColdLimit waits until no more calls are in flight than the limit, for at most
// drainTimeout.
func (s *Sidecar) waitForColdLimit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for ctx.Err() == nil && s.Limiter.InFlight() > s.Limiter.Limit() {
		instance.Pause(ctx, drainPollInterval)
	}
}

// raiseFencingToken records the token if it is the highest so far and returns the highest.
func (s *Sidecar) raiseFencingToken(token uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fencing = max(s.fencing, token)
	return s.fencing
}
