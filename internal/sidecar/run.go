package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/limits"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// run runs one attempt. On success the reply contains the complete answer. If sink isn't
// nil, it also receives the chunks as they arrive, except for a stage that is not
// idempotent.
func (s *Sidecar) run(ctx context.Context, r *peer.RunRequest, sink func(engine.Chunk) error) peer.RunReply {
	// Counting before the check of IsLeaving ensures that Drain misses no attempt.
	a := newActivity(&s.active)
	defer a.release()
	cfg := s.Holder.Current()
	if reason := s.refusalFor(r, cfg); reason != peer.ReasonNone {
		return s.refuse(r, reason, "", 0)
	}
	stage, _ := cfg.Stage(r.Stage)
	if !stage.Idempotent {
		return s.runAtMostOnce(a, r, stage)
	}
	return s.runQueued(ctx, a, r, stage, sink)
}

// runQueued waits for a slot and calls the upstream.
func (s *Sidecar) runQueued(ctx context.Context, a *activity, r *peer.RunRequest, stage fleet.Stage, sink func(engine.Chunk) error) peer.RunReply {
	deadline := time.Now().Add(r.Remaining)
	runUntil := deadline
	if !stage.Idempotent {
		runUntil = deadline.Add(completionGrace)
	}
	ctx, cancel := context.WithDeadline(ctx, runUntil)
	defer cancel()
	if !s.register(r.Attempt, cancel, stage.Idempotent) {
		return s.refuse(r, peer.ReasonRevoked, "the attempt is already in progress", 0)
	}
	queued := time.Now()
	release, refusal := s.Queue.Acquire(ctx, s.queueRequest(r, deadline))
	wait := time.Since(queued)
	if refusal != nil {
		s.unregister(r.Attempt)
		return s.refuse(r, reasonOf(refusal), refusal.Error(), wait)
	}
	return s.callUpstream(ctx, a, r, stage, sink, wait, release)
}

// queueRequest returns the request for a slot. Waiting for one of the few slots of a cold
// upstream takes longer than the call on a warm one, so a call that has another upstream
// does not wait.
func (s *Sidecar) queueRequest(r *peer.RunRequest, deadline time.Time) admission.Request {
	return admission.Request{
		Organisation: r.Organisation,
		Weight:       r.Weight,
		Priority:     r.Priority,
		Deadline:     deadline,
		Immediate:    r.Elsewhere && s.Limiter.State() != limits.StateWarm,
		Reroutable:   r.Elsewhere,
	}
}

// callUpstream calls the upstream once, with a slot of the limiter acquired, and ends the
// attempt. An attempt whose call failed may end after its reply, when the cancellation at
// its engine has finished, confirmed or not.
func (s *Sidecar) callUpstream(ctx context.Context, a *activity, r *peer.RunRequest, stage fleet.Stage, sink func(engine.Chunk) error, wait time.Duration, release func()) peer.RunReply {
	call := engine.Call{
		Protocol:  stage.Protocol,
		Path:      stage.Path,
		Model:     stage.Model,
		Input:     r.Input,
		MaxTokens: r.MaxTokens,
		Priority:  r.Priority,
		Attempt:   r.Attempt,
	}
	state := s.Limiter.State()
	started := time.Now()
	result, err := s.send(ctx, r, call, sink)
	service := time.Since(started)
	if err == nil {
		s.coldTimes.record(state, service)
	}
	abandoned := ctx.Err() != nil
	end := func() {
		s.observe(abandoned, service, result, err)
		release()
		s.unregister(r.Attempt)
	}
	reply := peer.RunReply{Attempt: r.Attempt, Execution: engine.ExecutionOf(err)}
	if err == nil {
		end()
		reply.Output, reply.Load = result.Output, s.load(service, wait)
		return reply
	}
	reply.Reason, reply.Message = failureReason(ctx, err), err.Error()
	s.finishFailed(a, r, stage, reply.Reason, err, end)
	reply.Load = s.load(service, wait)
	s.recordFailure(r, reply.Reason, reply.Execution, reply.Message)
	return reply
}

// send calls the upstream, through a resumable stream if the engine supports that.
func (s *Sidecar) send(ctx context.Context, r *peer.RunRequest, call engine.Call, sink func(engine.Chunk) error) (engine.Result, error) {
	switch {
	case call.Protocol == fleet.ProtocolChat && s.canResume(sink != nil):
		return s.sendResumable(ctx, r, call, sink)
	case sink != nil:
		return s.Engine.Stream(ctx, call, sink)
	default:
		return s.Engine.Run(ctx, call)
	}
}

// observe returns the slot to the limiter and reports the result of the call to it. The
// queue's release function, which is called next, ends the call in the queue's own counts
// and grants the next slot.
func (s *Sidecar) observe(abandoned bool, service time.Duration, result engine.Result, err error) {
	var rejected *engine.RejectedError
	var unreachable *engine.NotSentError
	switch {
	case err == nil:
		s.Limiter.Release(limits.Observation{Duration: service, Work: float64(max(1, result.Tokens))})
	case abandoned:
		s.Limiter.Release(limits.Observation{Duration: service, Abandoned: true})
	case errors.As(err, &rejected) && !rejected.IsRetryableElsewhere():
		s.Limiter.Cancel()
	default:
		s.Limiter.Release(limits.Observation{Duration: service, Failed: true, Unreachable: errors.As(err, &unreachable)})
	}
}

// refuse ends an attempt that did not reach the upstream.
func (s *Sidecar) refuse(r *peer.RunRequest, reason peer.Reason, message string, wait time.Duration) peer.RunReply {
	s.recordFailure(r, reason, fleet.NotStarted, message)
	return peer.RunReply{
		Attempt:   r.Attempt,
		Execution: fleet.NotStarted,
		Reason:    reason,
		Message:   message,
		Load:      s.load(0, wait),
	}
}

func (s *Sidecar) recordFailure(r *peer.RunRequest, reason peer.Reason, execution fleet.Execution, message string) {
	s.Scope.Tagged(map[string]string{"reason": string(reason), "execution": string(execution)}).Counter("stageFailures").Inc(1)
	s.Logger.Debug().Str(instance.KeyRequest, r.Request).Str(instance.KeyOrganisation, r.Organisation).
		Str(instance.KeyPipeline, r.Pipeline).Str(instance.KeyStage, r.Stage).Str(instance.KeyUpstream, s.id.Upstream).
		Str(instance.KeyReason, string(reason)).Str("execution", string(execution)).Str("message", message).
		Msg("stage did not complete")
}

func reasonOf(refusal *admission.Refusal) peer.Reason {
	switch refusal.Reason {
	case admission.ReasonQueueFull:
		return peer.ReasonQueueFull
	case admission.ReasonDeadline:
		return peer.ReasonDeadline
	case admission.ReasonNoSlot:
		return peer.ReasonWarming
	case admission.ReasonClosed:
		return peer.ReasonLeaving
	default:
		return peer.ReasonCancelled
	}
}

func failureReason(ctx context.Context, err error) peer.Reason {
	var rejected *engine.RejectedError
	var truncated *engine.TruncatedError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return peer.ReasonDeadline
	case ctx.Err() != nil:
		return peer.ReasonCancelled
	case errors.As(err, &rejected) && !rejected.IsRetryableElsewhere():
		return peer.ReasonRejected
	case errors.As(err, &truncated):
		return peer.ReasonStreamTruncated
	case engine.ExecutionOf(err) == fleet.NotStarted:
		return peer.ReasonUpstreamRefused
	default:
		return peer.ReasonUpstreamFailed
	}
}
