package booking

import (
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// OutcomeServiceName is the name to register an OutcomeService under; its method is
// peer.MethodOutcome.
const OutcomeServiceName = "Booking"

// OutcomeService answers other entries that found a claim of this entry without an
// outcome in the store.
type OutcomeService struct {
	claims *Claims
}

// NewOutcomeService returns the rpc service of the claims.
func NewOutcomeService(claims *Claims) *OutcomeService { return &OutcomeService{claims: claims} }

// Outcome says what became of the claim with the Key.String of the request. Held is
// false for another incarnation and for a claim that the entry doesn't hold, or holds
// no more because its outcome is in the store; the caller then reads the claim again.
func (s *OutcomeService) Outcome(r *peer.OutcomeRequest, reply *peer.OutcomeReply) error {
	if r.Incarnation != s.claims.holder.Incarnation {
		return nil
	}
	held, ok := s.claims.Lookup(r.Key)
	if !ok {
		return nil
	}
	reply.Held = true
	if reply.Running = held.Running; held.Running {
		reply.Execution = fleet.Unknown
		return nil
	}
	reply.Execution = held.Outcome.Execution
	reply.Reason = peer.Reason(held.Outcome.Reason)
	reply.Answer = held.Outcome.Answer
	reply.Dropped = held.Outcome.Dropped
	return nil
}
