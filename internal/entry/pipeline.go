package entry

import (
	"context"
	"net/http"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// execute admits the request and runs its stages. If sink is not nil, it receives the
// chunks of the last stage's output as they arrive.
func (e *Entry) execute(ctx context.Context, req *request, sink func(text string) error) (*Answer, *RequestError) {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	stages := stageNames(req.pipeline)
	if !e.Estimator.Feasible(req.pipeline.Name, stages, req.remaining()) {
		f := refused(http.StatusServiceUnavailable, reasonInfeasible, "the stages take about %s, %s are left",
			e.Estimator.ExpectedDuration(req.pipeline.Name, stages), req.remaining())
		f.RetryAfter = queueRetryAfter
		return nil, f
	}
	permit, refusal := e.gates.forPipeline(req.pipeline.Name).Acquire(ctx, admission.Request{
		Organisation: req.organisation.Name,
		Weight:       req.organisation.Weight,
		Priority:     req.priority,
		Deadline:     req.deadline,
		Expected:     e.Estimator.ExpectedDuration(req.pipeline.Name, stages),
	})
	if refusal != nil {
		f := refused(http.StatusServiceUnavailable, reasonOverloaded, "pipeline %q takes no more requests: %s", req.pipeline.Name, refusal.Reason)
		f.RetryAfter = refusal.RetryAfter
		return nil, f
	}
	answer, failure := e.runSteps(ctx, req, sink)
	permit.Done(admissionOutcome(failure))
	return answer, failure
}

func admissionOutcome(f *RequestError) admission.Outcome {
	if f == nil {
		return admission.Outcome{}
	}
	switch f.Status {
	case http.StatusGatewayTimeout:
		return admission.Outcome{Shed: true}
	case http.StatusServiceUnavailable:
		// A refusal at the first stage has used no capacity.
		return admission.Outcome{Shed: f.Execution != fleet.NotStarted}
	default:
		return admission.Outcome{Ignored: true}
	}
}

// runSteps runs the stages in sequence; the output of one is the input of the next.
func (e *Entry) runSteps(ctx context.Context, req *request, sink func(text string) error) (*Answer, *RequestError) {
	answer := &Answer{RequestID: req.id, Pipeline: req.pipeline.Name}
	value := req.input
	started := false
	for i, step := range req.pipeline.Steps {
		last := i == len(req.pipeline.Steps)-1
		var stepSink func(string) error
		if last {
			stepSink = sink
		}
		start := time.Now()
		output, failure := e.runStage(ctx, e.newStageRun(req, i, value, stepSink))
		if failure == nil || failure.Reason == peer.ReasonDeadline {
			// Other failures are excluded, because fast refusals would lower the estimate.
			e.Estimator.Observe(req.pipeline.Name, step.Stage, time.Since(start))
		}
		switch {
		case failure == nil:
			value, started = output, true
		case step.Optional && ctx.Err() == nil:
			e.skipStage(req, step.Stage, failure)
			answer.SkippedStages = append(answer.SkippedStages, step.Stage)
			started = started || failure.Execution != fleet.NotStarted
		default:
			return nil, adjustExecution(failure, started)
		}
	}
	answer.Output = value
	return answer, nil
}

// adjustExecution replaces notStarted by unknown if an earlier stage of the request was
// started.
func adjustExecution(f *RequestError, started bool) *RequestError {
	if started && f.Execution == fleet.NotStarted {
		f.Execution = fleet.Unknown
	}
	return f
}

func (e *Entry) skipStage(req *request, stage string, f *RequestError) {
	e.Scope.Tagged(map[string]string{"pipeline": req.pipeline.Name, "stage": stage, "reason": string(f.Reason)}).Counter("stagesSkipped").Inc(1)
	missed, ok := sampleLog(e.logSamplers.skips, attemptKind{stage: stage, reason: f.Reason, execution: f.Execution}, f.Execution)
	if !ok {
		return
	}
	e.Logger.Info().Int(instance.KeyMissed, missed).Str(instance.KeyRequest, req.id).Str(instance.KeyPipeline, req.pipeline.Name).
		Str(instance.KeyStage, stage).Str(instance.KeyReason, string(f.Reason)).Str("detail", f.Detail).
		Msg("optional stage skipped")
}

func stageNames(p fleet.Pipeline) []string {
	names := make([]string, 0, len(p.Steps))
	for _, step := range p.Steps {
		names = append(names, step.Stage)
	}
	return names
}
