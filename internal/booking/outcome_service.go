package booking

import (
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// OutcomeServiceName is the rpc name under which to register an OutcomeService; its method
// is peer.MethodOutcome.
const OutcomeServiceName = "Booking"

// OutcomeService serves other entries that found a claim of this entry without an outcome
// in the store.
type OutcomeService struct {
	claims *Claims
}

// NewOutcomeService returns the rpc service of the claims.
func NewOutcomeService(claims *Claims) *OutcomeService { return &OutcomeService{claims: claims} }

// Outcome returns the state of the claim whose Key.String is in the request. Held is false
// for another incarnation and for a claim that the entry doesn't own, or no longer owns
// because its outcome is in the store; the caller then reads the claim again.
func (s *OutcomeService) Outcome(r *peer.OutcomeRequest, reply *peer.OutcomeReply) error {
	if r.Incarnation != s.claims.owner.Incarnation {
		return nil
	}
	owned, ok := s.claims.Lookup(r.Key)
	if !ok {
		return nil
	}
	reply.Held = true
	if reply.Running = owned.Running; owned.Running {
		reply.Execution = fleet.Unknown
		return nil
	}
	reply.Execution = owned.Outcome.Execution
	reply.Reason = peer.Reason(owned.Outcome.Reason)
	reply.Answer = owned.Outcome.Answer
	reply.Dropped = owned.Outcome.Dropped
	return nil
}
