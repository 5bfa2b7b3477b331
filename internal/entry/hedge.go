package entry

import (
	"context"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// attemptHedged sends the stage to the chosen sidecar, and to a second one if the first
// takes much longer than usual and the budget allows it. The first complete reply is
// used and the other attempt is cancelled.
func (e *Entry) attemptHedged(ctx context.Context, run *stageRun, choice *routing.Choice, budget *retry.Budget) peer.RunReply {
	delay, known := budget.HedgeDelay()
	if !known || run.sink != nil || delay >= run.req.remaining() {
		return e.attempt(ctx, run, choice)
	}
	ctx, cancel := context.WithCancel(ctx)
	// This cancels the slower attempt.
	defer cancel()
	replies := make(chan peer.RunReply, 2)
	go func() { replies <- e.attempt(ctx, run, choice) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-timer.C:
	}
	second, ok := e.hedgeChoice(run, budget)
	if !ok {
		return <-replies
	}
	run.tried = append(run.tried, second.Name())
	e.Scope.Tagged(map[string]string{"stage": run.stage.Name}).Counter("hedgesSent").Inc(1)
	go func() { replies <- e.attempt(ctx, run, second) }()
	reply := <-replies
	if reply.Succeeded() {
		return reply
	}
	other := <-replies
	if other.Succeeded() {
		return other
	}
	// Both failed. A reply that may follow an execution takes precedence, so that the
	// caller is not told notStarted.
	if other.Execution != fleet.NotStarted {
		return other
	}
	return reply
}

// hedgeChoice returns a second sidecar if there is one and the budget allows a hedge.
func (e *Entry) hedgeChoice(run *stageRun, budget *retry.Budget) (*routing.Choice, bool) {
	choice, err := e.Table.Pick(run.pickRequest())
	if err != nil {
		return nil, false
	}
	if !budget.TryHedge() {
		choice.Done(routing.Result{Outcome: routing.Cancelled})
		return nil, false
	}
	return choice, true
}
