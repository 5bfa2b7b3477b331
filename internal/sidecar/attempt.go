package sidecar

import (
	"context"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const (
	// completionGrace is how long a run of a stage that is not idempotent continues after
	// its deadline, so that its outcome is known to a later retry.
	completionGrace = 30 * time.Second
	// resolvePollInterval is how often Resolve checks a running attempt.
	resolvePollInterval = 5 * time.Millisecond
	// maxResolveWait bounds the wait of one Resolve.
	maxResolveWait = 5 * time.Second
)

// runAtMostOnce runs an attempt of a stage that is not idempotent. It begins the attempt
// and uses up the reservation of its ticket, if there is one, before it queues. The run
// does not depend on the caller's context.
func (s *Sidecar) runAtMostOnce(a *activity, r *peer.RunRequest, stage fleet.Stage) peer.RunReply {
	if r.Incarnation != s.id.Incarnation {
		return s.refuse(r, peer.ReasonIncarnationEnded, "the attempt was sent to another incarnation of the sidecar", 0)
	}
	if state := s.Attempts.Begin(r.Attempt); state != booking.AttemptRun {
		return s.refuseAttempt(r, state)
	}
	sequence, reason := s.reservations.consume(r)
	if reason != peer.ReasonNone {
		s.Attempts.Finish(r.Attempt, booking.Outcome{Execution: fleet.NotStarted, Reason: string(reason)})
		return s.refuse(r, reason, "the ticket is not reserved for the request", 0)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reply := s.runQueued(ctx, a, r, stage, nil)
	outcome := outcomeOf(&reply)
	if r.Ticket != "" {
		s.Tickets.Finish(sequence, outcome)
	}
	s.Attempts.Finish(r.Attempt, outcome)
	return reply
}

// refuseAttempt returns the reply for an attempt id that can't begin now. One that began
// before may have run.
func (s *Sidecar) refuseAttempt(r *peer.RunRequest, state booking.AttemptState) peer.RunReply {
	reply := s.refuse(r, peer.ReasonRevoked, "the attempt can no longer begin", 0)
	switch state {
	case booking.AttemptDuplicate:
		reply.Execution, reply.Reason = fleet.Unknown, peer.ReasonRunning
	case booking.AttemptExpired:
		reply.Reason = peer.ReasonDeadline
	case booking.AttemptsFull:
		reply.Reason = peer.ReasonMemoryFull
	default:
	}
	return reply
}

func outcomeOf(reply *peer.RunReply) booking.Outcome {
	return booking.Outcome{Execution: reply.Execution, Reason: string(reply.Reason), Answer: reply.Output}
}

// resolve returns the outcome of an attempt; an attempt that was never seen is revoked.
func (s *Sidecar) resolve(r *peer.ResolveRequest) peer.RunReply {
	until := time.Now().Add(min(r.Wait, maxResolveWait))
	for {
		resolution := s.Attempts.Resolve(r.Attempt, r.Incarnation)
		if !resolution.Running || !time.Now().Before(until) {
			return s.resolvedReply(r, resolution)
		}
		time.Sleep(resolvePollInterval)
	}
}

func (s *Sidecar) resolvedReply(r *peer.ResolveRequest, resolution booking.Resolution) peer.RunReply {
	reply := peer.RunReply{
		Attempt:   r.Attempt,
		Execution: resolution.Outcome.Execution,
		Reason:    peer.Reason(resolution.Outcome.Reason),
		Output:    resolution.Outcome.Answer,
		Load:      s.load(0, 0),
	}
	switch {
	case resolution.Running:
		reply.Reason = peer.ReasonRunning
	case r.Incarnation != s.id.Incarnation:
		reply.Reason = peer.ReasonIncarnationEnded
	case reply.Execution == fleet.NotStarted && reply.Reason == peer.ReasonNone:
		reply.Reason = peer.ReasonRevoked
	case reply.Execution == fleet.Completed && len(reply.Output) == 0 && reply.Reason == peer.ReasonNone:
		reply.Reason = peer.ReasonOutputNotKept
	}
	return reply
}
