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

// stageRun is the execution of one stage of a request, over all its attempts.
type stageRun struct {
	req   *request
	stage fleet.Stage
	input []byte
	// sink receives the chunks of a streamed output; sent counts them. Once a chunk has
	// been sent to the caller, no other attempt may follow.
	sink  func(text string) error
	sent  int
	tried []string
	// started is set once an attempt may have run.
	started bool
	// last is the reply to the last attempt; its Attempt is empty before the first.
	last peer.RunReply
	// laterStagesTime is the expected duration of the stages after this one.
	laterStagesTime time.Duration
	// avoidWarming is set once a warming upstream had no free slot.
	avoidWarming bool
	// pushes counts the successful pushes of the configuration to sidecars, up to
	// MaxUncountedPushes. uncounted counts the attempts that don't count towards MaxAttempts:
	// those that led to these pushes, and the first one that a warming upstream refused.
	pushes    int
	uncounted int
	// probe is set if the last attempt probed an ejected upstream.
	probe bool
}

// newStageRun returns the run of the step with the index.
func (e *Entry) newStageRun(req *request, step int, input []byte, sink func(text string) error) *stageRun {
	steps := stageNames(req.pipeline)
	stage, _ := req.cfg.Stage(steps[step])
	return &stageRun{
		req:             req,
		stage:           stage,
		input:           input,
		sink:            sink,
		laterStagesTime: e.Estimator.ExpectedDuration(req.pipeline.Name, steps[step+1:]),
	}
}

// runStage sends attempts until one completes or no other may follow.
func (e *Entry) runStage(ctx context.Context, run *stageRun) ([]byte, *RequestError) {
	if !run.stage.Idempotent {
		return e.runStageAtMostOnce(ctx, run)
	}
	for n := 0; n < MaxAttempts+run.uncounted; n++ {
		choice, budget, failure := e.nextChoice(run)
		if failure != nil {
			return nil, failure
		}
		start := time.Now()
		run.last = e.attemptHedged(ctx, run, choice, budget)
		if run.last.Succeeded() {
			budget.RecordDuration(time.Since(start))
			return run.last.Output, nil
		}
		run.started = run.started || run.last.Execution != fleet.NotStarted
		if e.pushMissingConfiguration(ctx, run, choice.Name()) {
			run.removeTried(choice.Name())
		}
		run.recordWarmingRefusal(choice.Name())
		if !run.mayRetry(ctx) {
			break
		}
	}
	return nil, run.failure("")
}

// nextChoice chooses the upstream of the next attempt. Retries need the retry budget of
// the upstream's failure domain.
func (e *Entry) nextChoice(run *stageRun) (*routing.Choice, *retry.Budget, *RequestError) {
	pick := run.pickRequest()
	pick.AffinityKey = affinityKey(run.stage, run.input)
	choice, err := e.Table.Pick(pick)
	if err != nil {
		return nil, nil, run.noUpstreamFailure(err)
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

// pickRequest returns the routing request for the next attempt.
func (r *stageRun) pickRequest() routing.PickRequest {
	remaining := r.req.remaining()
	return routing.PickRequest{
		Stage:        r.stage.Name,
		Exclude:      r.tried,
		Timeout:      remaining,
		Slack:        max(remaining-r.laterStagesTime, time.Nanosecond),
		AvoidWarming: r.avoidWarming,
	}
}

// recordWarmingRefusal makes the next attempts avoid warming upstreams after one had no
// free slot. That attempt does not count towards MaxAttempts: its cost is negligible, and
// it happens once per stage. The upstream may be tried again when no warm one is left.
func (r *stageRun) recordWarmingRefusal(upstream string) {
	if r.last.Reason != peer.ReasonWarming || r.avoidWarming {
		return
	}
	r.avoidWarming = true
	r.uncounted++
	r.removeTried(upstream)
}

// removeTried allows an upstream to be tried again.
func (r *stageRun) removeTried(upstream string) {
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

// needsBudget reports whether an attempt after the last one needs the retry budget. An
// attempt that may have run used upstream capacity. Three refusals without a run need it
// too, because they can come from overload, to which another attempt would add: the
// sidecar's queue was full (queueFull), the attempt could not begin in time for the deadline
// (deadline), or the engine could not be contacted or rejected the call (upstreamRefused).
// After any other refusal the next attempt is only a change of route. Probes are limited
// by the routing table.
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
	detail := "stage " + strconv.Quote(r.stage.Name) + " failed with " + strconv.Itoa(len(r.tried)) + " upstreams excluded from retries"
	if r.last.Message != "" {
		detail += ": " + r.last.Message
	}
	if reason == "" {
		reason = r.last.Reason
	}
	return stageFailure(r.stage.Name, r.execution(), reason, detail)
}

func (r *stageRun) noUpstreamFailure(err error) *RequestError {
	if len(r.tried) > 0 {
		return r.failure("")
	}
	f := stageFailure(r.stage.Name, r.execution(), reasonNoUpstream, err.Error())
	f.RetryAfter = queueRetryAfter
	return f
}

// attempt sends the stage to one sidecar.
func (e *Entry) attempt(ctx context.Context, run *stageRun, choice *routing.Choice) peer.RunReply {
	r := e.runRequest(run, e.nextID())
	r.Elsewhere = choice.HasWarmAlternative()
	start := time.Now()
	reply, err := e.send(ctx, choice.Address(), r, run)
	if err != nil {
		reply = replyFromError(r.Attempt, err)
		if errors.Is(ctx.Err(), context.Canceled) {
			reply.Reason = peer.ReasonCancelled
		}
	}
	result := routing.Result{Outcome: routingOutcome(ctx, &reply), Duration: time.Since(start)}
	if err == nil {
		result.Load = &reply.Load
		e.recordReply(choice.Name(), choice.Address(), reply.Load)
	} else if !peer.IsNotSent(err) {
		e.cancelAttempt(choice.Address(), r.Attempt)
	}
	choice.Done(result)
	e.recordAttempt(run, choice.Name(), &reply)
	return reply
}

// runRequest returns the rpc request for one attempt at the stage.
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

// send returns the reply of the sidecar, or an error if there was none.
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

// replyContext returns a context that gives a sidecar time to reply with its own deadline
// error. A caller that disconnects ends it only if the run is cancellable.
func replyContext(ctx context.Context, limit time.Duration, cancellable bool) (context.Context, context.CancelFunc) {
	replyCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	if !cancellable {
		return replyCtx, cancel
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return replyCtx, func() {
		stop()
		cancel()
	}
}

// replyFromError returns the reply that represents a failed call.
func replyFromError(attempt string, err error) peer.RunReply {
	reply := peer.RunReply{Attempt: attempt, Execution: fleet.Unknown, Reason: peer.ReasonConnectionLost, Message: err.Error()}
	if peer.IsNotSent(err) {
		reply.Execution = fleet.NotStarted
	}
	return reply
}

func routingOutcome(ctx context.Context, reply *peer.RunReply) routing.Outcome {
	switch reply.Reason {
	case peer.ReasonNone:
		return routing.Succeeded
	case peer.ReasonUpstreamFailed, peer.ReasonUpstreamRefused, peer.ReasonConnectionLost, peer.ReasonStreamTruncated:
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
	missed, ok := sampleLog(e.logSamplers.attempts, kind, reply.Execution)
	if !ok {
		return
	}
	e.Logger.Info().Int(instance.KeyMissed, missed).Str(instance.KeyRequest, run.req.id).Str(instance.KeyStage, run.stage.Name).
		Str(instance.KeyOrganisation, run.req.organisation.Name).Str(instance.KeyUpstream, upstream).
		Str(instance.KeyReason, string(reply.Reason)).Str("execution", string(reply.Execution)).
		Str("message", reply.Message).Msg("attempt failed")
}

// affinityKey returns the same key for inputs with the same prefix, so that they are
// routed to the engine that has the prefix in its cache.
func affinityKey(stage fleet.Stage, input []byte) string {
	if stage.Protocol != fleet.ProtocolChat {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(input[:min(len(input), affinityPrefixBytes)]), 36)
}
