package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

var errNoSidecar = errors.New("the sidecar is not known")

// pendingAttempt is an attempt whose outcome is not known yet.
type pendingAttempt struct {
	address     string
	incarnation string
	attempt     string
}

// target is the sidecar that an attempt is sent to. choice is nil for the sidecar of a
// ticket.
type target struct {
	name    string
	address string
	choice  *routing.Choice
}

func (t target) done(r routing.Result) {
	if t.choice != nil {
		t.choice.Done(r)
	}
}

// runStageAtMostOnce runs a stage that is not idempotent. It sends another attempt only
// if the previous one certainly did not start.
func (e *Entry) runStageAtMostOnce(ctx context.Context, run *stageRun) ([]byte, *RequestError) {
	req := run.req
	for n := 0; n < MaxAttempts+run.uncounted; n++ {
		t, failure := e.pickTarget(run)
		if failure != nil {
			return nil, failure
		}
		run.tried = append(run.tried, t.name)
		pending := e.attemptAtMostOnce(ctx, run, t)
		switch {
		case run.last.Succeeded():
			return run.last.Output, nil
		case run.last.Execution != fleet.NotStarted:
			return nil, run.lastAttemptFailure(pending)
		case e.pushMissingConfiguration(ctx, run, t.name),
			run.last.Reason == peer.ReasonIncarnationEnded && req.ticket == nil:
			run.removeTried(t.name)
		case req.ticket != nil:
			return nil, run.lastAttemptFailure(nil)
		}
		run.recordWarmingRefusal(t.name)
		if !run.mayRetry(ctx) {
			break
		}
	}
	return nil, run.lastAttemptFailure(nil)
}

// pickTarget returns the sidecar of the ticket, or one chosen by routing.
func (e *Entry) pickTarget(run *stageRun) (target, *RequestError) {
	if t := run.req.ticket; t != nil {
		return target{name: t.upstream, address: t.address}, nil
	}
	choice, err := e.Table.Pick(run.pickRequest())
	if err != nil {
		return target{}, run.noUpstreamFailure(err)
	}
	return target{name: choice.Name(), address: choice.Address(), choice: choice}, nil
}

// attemptAtMostOnce sends one attempt, resolves its outcome and stores the reply in
// run.last. The result is nil unless the reason of the reply is running or connectionLost.
// It has no meaning if the execution is notStarted, as for a call that was not sent.
func (e *Entry) attemptAtMostOnce(ctx context.Context, run *stageRun, t target) *pendingAttempt {
	start := time.Now()
	incarnation, err := e.incarnationAt(ctx, t.address)
	r := e.runRequest(run, e.nextAtMostOnceAttempt(run.req.deadline))
	r.Incarnation = incarnation
	r.Elsewhere = t.choice != nil && t.choice.HasWarmAlternative()
	if ticket := run.req.ticket; ticket != nil {
		r.Ticket, r.Reservation, r.Incarnation = ticket.ticket, ticket.reservation, ticket.incarnation
	}
	reply := peer.RunReply{}
	if err == nil {
		reply, err = e.send(ctx, t.address, r, run)
	}
	pending := &pendingAttempt{address: t.address, incarnation: r.Incarnation, attempt: r.Attempt}
	switch {
	case err == nil:
		e.recordReply(t.name, t.address, reply.Load)
	case peer.IsNotSent(err):
		reply = replyFromError(r.Attempt, err)
	default:
		reply = e.resolve(ctx, pending, run.req.deadline)
	}
	t.done(routing.Result{Outcome: routingOutcome(ctx, &reply), Duration: time.Since(start), Load: &reply.Load})
	e.recordAttempt(run, t.name, &reply)
	run.last = reply
	if reply.Reason != peer.ReasonRunning && reply.Reason != peer.ReasonConnectionLost {
		pending = nil
	}
	return pending
}

// resolve queries the sidecar for the outcome of an attempt until it is known or the
// given time is reached.
func (e *Entry) resolve(ctx context.Context, p *pendingAttempt, until time.Time) peer.RunReply {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), until.Add(replyGrace))
	defer cancel()
	last := peer.RunReply{Attempt: p.attempt, Execution: fleet.Unknown, Reason: peer.ReasonConnectionLost, Message: "the connection was lost and the outcome is not known yet"}
	for ctx.Err() == nil {
		reply, err := e.queryAttempt(ctx, p, min(resolveTimeout, max(0, time.Until(until))))
		if err == nil {
			last = reply
			if reply.Reason != peer.ReasonRunning {
				return reply
			}
		}
		instance.Pause(ctx, resolveRetryInterval)
	}
	return last
}

// queryAttempt sends one query for the outcome of an attempt. Its time is limited, so
// that a connection without a response is detected and replaced.
func (e *Entry) queryAttempt(ctx context.Context, p *pendingAttempt, wait time.Duration) (peer.RunReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+resolveTimeout)
	defer cancel()
	var reply peer.RunReply
	err := e.Peers.Call(ctx, p.address, peer.MethodResolve, &peer.ResolveRequest{
		Attempt:     p.attempt,
		Incarnation: p.incarnation,
		Wait:        wait,
	}, &reply)
	return reply, err
}

// lastAttemptFailure returns the error of the stage with the execution of its last attempt.
func (r *stageRun) lastAttemptFailure(pending *pendingAttempt) *RequestError {
	f := r.failure("")
	f.Execution = r.last.Execution
	f.mayHaveRun = r.last.Execution != fleet.NotStarted
	f.pending = pending
	return f
}
