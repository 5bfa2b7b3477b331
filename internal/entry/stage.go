package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// stageRun is the work of one stage of one request, over all its attempts.
type stageRun struct {
	req   *request
	stage fleet.Stage
	input []byte
	// sink gets the parts of a streamed output; sent counts them. Once a part has
	// reached the caller, no other attempt may follow.
	sink  func(text string) error
	sent  int
	tried []string
	// started is set once an attempt may have run.
	started bool
	// last is the reply to the last attempt; its Attempt is empty before the first.
	last peer.RunReply
	// later is the time that the stages after this one are expected to take.
	later time.Duration
	// avoidWarming is set once a warming upstream had no slot.
	avoidWarming bool
	// pushes counts the sidecars that were brought the configuration, and uncounted
	// the attempts that don't count towards MaxAttempts.
	pushes    int
	uncounted int
	// probe is set when the last attempt tested an ejected upstream.
	probe bool
}

// newStageRun returns the work of the pipeline's step with the number.
func (e *Entry) newStageRun(req *request, step int, input []byte, sink func(text string) error) *stageRun {
	steps := stageNames(req.pipeline)
	stage, _ := req.cfg.Stage(steps[step])
	return &stageRun{
		req:   req,
		stage: stage,
		input: input,
		sink:  sink,
		later: e.Estimator.ExpectedDuration(req.pipeline.Name, steps[step+1:]),
	}
}

// runStage runs the stage until an attempt completes or no other may follow.
func (e *Entry) runStage(ctx context.Context, run *stageRun) ([]byte, *RequestError) {
	if !run.stage.Idempotent {
		return e.runStageOnce(ctx, run)
	}
	for n := 0; n < MaxAttempts+run.uncounted; n++ {
		choice, budget, failure := e.nextChoice(run)
		if failure != nil {
			return nil, failure
		}
		begun := time.Now()
		run.last = e.attemptHedged(ctx, run, choice, budget)
		if run.last.IsWhole() {
			budget.RecordDuration(time.Since(begun))
			return run.last.Output, nil
		}
		run.started = run.started || run.last.Execution != fleet.NotStarted
		if e.bringConfiguration(ctx, run, choice.Name()) {
			run.forget(choice.Name())
		}
		run.noteWarming(choice.Name())
		if !run.mayRetry(ctx) {
			break
		}
	}
	return nil, run.failure("")
}

// nextChoice chooses the upstream of the next attempt, within the retry budget of its
// failure domain after the first.
func (e *Entry) nextChoice(run *stageRun) (*routing.Choice, *retry.Budget, *RequestError) {
	pick := run.pickRequest()
	pick.AffinityKey = affinityKey(run.stage, run.input)
	choice, err := e.Table.Pick(pick)
	if err != nil {
		return nil, nil, run.withoutUpstream(err)
	}
	budget := e.Budgets.For(run.stage.Name, choice.FailureDomain())
	switch {
	case run.last.Attempt == "":
		budget.RecordFirst()
	case run.needsBudget() && !budget.TryRetry():
		choice.Done(routing.Result{Outcome: routing.Cancelled})
		return nil, nil, run.failure(reasonRetryBudget)
	}
	run.tried = append(run.tried, choice.Name())
	run.probe = choice.IsProbe()
	return choice, budget, nil
}

// pickRequest asks for an upstream for the next attempt.
func (r *stageRun) pickRequest() routing.PickRequest {
	remaining := r.req.remaining()
	return routing.PickRequest{
		Stage:        r.stage.Name,
		Exclude:      r.tried,
		Timeout:      remaining,
		Slack:        max(remaining-r.later, time.Nanosecond),
		AvoidWarming: r.avoidWarming,
	}
}

// noteWarming keeps the next attempts from warming upstreams after one had no slot.
// That attempt does not count: it has cost next to nothing, and it happens once. The
// upstream may still serve when no warm one is left.
func (r *stageRun) noteWarming(upstream string) {
	if r.last.Reason != peer.ReasonWarming || r.avoidWarming {
		return
	}
	r.avoidWarming = true
	r.uncounted++
	r.forget(upstream)
}

// forget lets an upstream be tried again.
func (r *stageRun) forget(upstream string) {
	r.tried = slices.DeleteFunc(r.tried, func(name string) bool { return name == upstream })
}

// mayRetry reports whether another attempt is allowed after the last one.
func (r *stageRun) mayRetry(ctx context.Context) bool {
	switch {
	case ctx.Err() != nil || r.req.remaining() < MinAttemptTime:
		return false
	case r.sent > 0:
		return false
	case r.last.Reason == peer.ReasonRejected:
		return false
	case r.last.Execution == fleet.NotStarted:
		return true
	default:
		return r.stage.Idempotent
	}
}

// needsBudget reports whether an attempt after the last one is a retry that the
// budget must allow. One that reached no upstream has cost none of their capacity, so
// it is only sent elsewhere; while upstreams are full, that would still add load. The
// routing table itself bounds the probes.
func (r *stageRun) needsBudget() bool {
	if r.probe {
		return false
	}
	switch r.last.Reason {
	case peer.ReasonQueueFull, peer.ReasonDeadline, peer.ReasonUpstreamRefused:
		return true
	default:
		return r.last.Execution != fleet.NotStarted
	}
}

func (r *stageRun) execution() fleet.Execution {
	if r.started {
		return fleet.Unknown
	}
	return fleet.NotStarted
}

func (r *stageRun) failure(reason peer.Reason) *RequestError {
	detail := "stage " + strconv.Quote(r.stage.Name) + " failed after " + strconv.Itoa(len(r.tried)) + " attempts"
	if r.last.Message != "" {
		detail += ": " + r.last.Message
	}
	if reason == "" {
		reason = r.last.Reason
	}
	return stageFailure(r.stage.Name, r.execution(), reason, detail)
}

func (r *stageRun) withoutUpstream(err error) *RequestError {
	if len(r.tried) > 0 {
		return r.failure("")
	}
	f := stageFailure(r.stage.Name, r.execution(), reasonNoUpstream, err.Error())
	f.RetryAfter = queueRetryAfter
	return f
}

// attempt sends the stage to one sidecar.
func (e *Entry) attempt(ctx context.Context, run *stageRun, choice *routing.Choice) peer.RunReply {
	r := e.runRequest(run, e.nextAttempt())
	r.Elsewhere = choice.HasWarmAlternative()
	begun := time.Now()
	reply, err := e.send(ctx, choice.Address(), r, run)
	if err != nil {
		reply = unansweredReply(r.Attempt, err)
		if errors.Is(ctx.Err(), context.Canceled) {
			reply.Reason = peer.ReasonCancelled
		}
	}
	result := routing.Result{Outcome: outcomeOf(ctx, &reply), Duration: time.Since(begun)}
	if err == nil {
		result.Load = &reply.Load
		e.heard(choice.Name(), choice.Address(), reply.Load)
	} else if !peer.IsNotSent(err) {
		e.cancelAttempt(choice.Address(), r.Attempt)
	}
	choice.Done(result)
	e.recordAttempt(run, choice.Name(), &reply)
	return reply
}

// runRequest returns the message for one attempt at the stage.
func (e *Entry) runRequest(run *stageRun, attempt string) *peer.RunRequest {
	return &peer.RunRequest{
		Attempt:      attempt,
		Request:      run.req.id,
		Organisation: run.req.organisation.Name,
		Weight:       run.req.organisation.Weight,
		Pipeline:     run.req.pipeline.Name,
		Stage:        run.stage.Name,
		Priority:     run.req.priority,
		Remaining:    run.req.remaining(),
		Generation:   run.req.cfg.Generation(),
		MaxTokens:    run.req.maxTokens,
		Input:        run.input,
	}
}

// send returns the reply of the sidecar, or an error when there was none.
func (e *Entry) send(ctx context.Context, address string, r *peer.RunRequest, run *stageRun) (peer.RunReply, error) {
	if run.sink != nil {
		reply, err := e.Peers.Stream(ctx, address, r, func(text string) error {
			run.sent++
			return run.sink(text)
		})
		if err != nil {
			return peer.RunReply{}, err
		}
		return *reply, nil
	}
	ctx, cancel := replyContext(ctx, r.Remaining+replyGrace, run.stage.Idempotent)
	defer cancel()
	var reply peer.RunReply
	if err := e.Peers.Call(ctx, address, peer.MethodRun, r, &reply); err != nil {
		return peer.RunReply{}, err
	}
	return reply, nil
}

// replyContext gives a sidecar the time to reply with its own deadline error. A
// caller that goes away ends the wait only where the run may be cancelled.
func replyContext(ctx context.Context, limit time.Duration, cancellable bool) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	if !cancellable {
		return waiting, cancel
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return waiting, func() {
		stop()
		cancel()
	}
}

// unansweredReply stands for the reply that did not come.
func unansweredReply(attempt string, err error) peer.RunReply {
	reply := peer.RunReply{Attempt: attempt, Execution: fleet.Unknown, Reason: peer.ReasonConnectionLost, Message: err.Error()}
	if peer.IsNotSent(err) {
		reply.Execution = fleet.NotStarted
	}
	return reply
}

func outcomeOf(ctx context.Context, reply *peer.RunReply) routing.Outcome {
	switch reply.Reason {
	case peer.ReasonNone:
		return routing.Succeeded
	case peer.ReasonUpstreamFailed, peer.ReasonUpstreamRefused, peer.ReasonConnectionLost, peer.ReasonStreamCut:
		return routing.Failed
	case peer.ReasonQueueFull, peer.ReasonLeaving, peer.ReasonOutOfService:
		return routing.Refused
	case peer.ReasonDeadline:
		if reply.Execution == fleet.NotStarted {
			return routing.Refused
		}
		return routing.Failed
	default:
		if ctx.Err() != nil {
			return routing.Cancelled
		}
		return routing.Refused
	}
}

func (e *Entry) recordAttempt(run *stageRun, upstream string, reply *peer.RunReply) {
	kind := attemptKind{stage: run.stage.Name, reason: reply.Reason, execution: reply.Execution}
	e.metrics.attempts.Inc(kind)
	if reply.Reason == peer.ReasonNone {
		return
	}
	missed, ok := takeLine(e.lines.attempts, kind, reply.Execution)
	if !ok {
		return
	}
	e.Logger.Info().Int(instance.KeyMissed, missed).Str(instance.KeyRequest, run.req.id).Str(instance.KeyStage, run.stage.Name).
		Str(instance.KeyOrganisation, run.req.organisation.Name).Str(instance.KeyUpstream, upstream).
		Str(instance.KeyReason, string(reply.Reason)).Str("execution", string(reply.Execution)).
		Str("message", reply.Message).Msg("attempt failed")
}

// affinityKey is the same for inputs with the same beginning, so that they reach
// the engine that holds it in its prefix cache.
func affinityKey(stage fleet.Stage, input []byte) string {
	if stage.Protocol != fleet.ProtocolChat {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(input[:min(len(input), prefixBytes)]), 36)
}
