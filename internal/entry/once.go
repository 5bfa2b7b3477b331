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

// pendingRun is an attempt whose outcome is not known yet.
type pendingRun struct {
	address     string
	incarnation string
	attempt     string
}

// target is the sidecar that an attempt is sent to. choice is nil for the sidecar of a ticket.
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

// runStageOnce runs a stage that may not be repeated. It sends another attempt only
// after the one before certainly did not start.
func (e *Entry) runStageOnce(ctx context.Context, run *stageRun) ([]byte, *RequestError) {
	req := run.req
	for n := 0; n < MaxAttempts+run.uncounted; n++ {
		t, failure := e.onceTarget(run)
		if failure != nil {
			return nil, failure
		}
		run.tried = append(run.tried, t.name)
		pending := e.attemptOnce(ctx, run, t)
		switch {
		case run.last.IsWhole():
			return run.last.Output, nil
		case run.last.Execution != fleet.NotStarted:
			return nil, run.onceFailure(pending)
		case e.bringConfiguration(ctx, run, t.name),
			run.last.Reason == peer.ReasonIncarnationEnded && req.ticket == nil:
			run.forget(t.name)
		case req.ticket != nil:
			return nil, run.onceFailure(nil)
		}
		run.noteWarming(t.name)
		if !run.mayRetry(ctx) {
			break
		}
	}
	return nil, run.onceFailure(nil)
}

// onceTarget returns the sidecar of the ticket, or one that routing chooses.
func (e *Entry) onceTarget(run *stageRun) (target, *RequestError) {
	if t := run.req.ticket; t != nil {
		return target{name: t.upstream, address: t.address}, nil
	}
	choice, err := e.Table.Pick(run.pickRequest())
	if err != nil {
		return target{}, run.withoutUpstream(err)
	}
	return target{name: choice.Name(), address: choice.Address(), choice: choice}, nil
}

// attemptOnce sends one attempt and finds out what became of it. The result is nil
// unless the outcome is still open.
func (e *Entry) attemptOnce(ctx context.Context, run *stageRun, t target) *pendingRun {
	begun := time.Now()
	incarnation, err := e.incarnationAt(ctx, t.address)
	r := e.runRequest(run, e.nextOnceAttempt(run.req.deadline))
	r.Incarnation = incarnation
	r.Elsewhere = t.choice != nil && t.choice.HasWarmAlternative()
	if ticket := run.req.ticket; ticket != nil {
		r.Ticket, r.Reservation, r.Incarnation = ticket.ticket, ticket.reservation, ticket.incarnation
	}
	reply := peer.RunReply{}
	if err == nil {
		reply, err = e.send(ctx, t.address, r, run)
	}
	pending := &pendingRun{address: t.address, incarnation: r.Incarnation, attempt: r.Attempt}
	switch {
	case err == nil:
		e.heard(t.name, t.address, reply.Load)
	case peer.IsNotSent(err):
		reply = unansweredReply(r.Attempt, err)
	default:
		reply = e.resolve(ctx, pending, run.req.deadline)
	}
	t.done(routing.Result{Outcome: outcomeOf(ctx, &reply), Duration: time.Since(begun), Load: &reply.Load})
	e.recordAttempt(run, t.name, &reply)
	run.last = reply
	if reply.Reason != peer.ReasonRunning && reply.Reason != peer.ReasonConnectionLost {
		pending = nil
	}
	return pending
}

// resolve asks the sidecar what became of an attempt until it is known or the time
// has come.
func (e *Entry) resolve(ctx context.Context, p *pendingRun, until time.Time) peer.RunReply {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), until.Add(replyGrace))
	defer cancel()
	last := peer.RunReply{Attempt: p.attempt, Execution: fleet.Unknown, Reason: peer.ReasonConnectionLost, Message: "the connection was lost and the outcome is not known yet"}
	for ctx.Err() == nil {
		reply, err := e.askAttempt(ctx, p, min(resolveTimeout, max(0, time.Until(until))))
		if err == nil {
			last = reply
			if reply.Reason != peer.ReasonRunning {
				return reply
			}
		}
		instance.Pause(ctx, resolveRetry)
	}
	return last
}

// askAttempt asks once. The time is bounded, so that a silent connection is found out
// and replaced.
func (e *Entry) askAttempt(ctx context.Context, p *pendingRun, wait time.Duration) (peer.RunReply, error) {
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

// onceFailure is the failure of the stage with what is known of its last attempt.
func (r *stageRun) onceFailure(pending *pendingRun) *RequestError {
	f := r.failure("")
	f.Execution = r.last.Execution
	f.atRisk = r.last.Execution != fleet.NotStarted
	f.pending = pending
	return f
}
