package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// inputs are the results of stages that the engine needs for a request.
type inputs struct {
	handles []string
	// bytes are the expected sizes of the results by failure domain.
	bytes map[string]int64
	// unreleased are the results that were not released yet, by service.
	unreleased map[string][]pieces.Result
}

// stageRun is the state of one stage of a request.
type stageRun struct {
	index   int
	stage   *catalog.Stage
	done    chan struct{}
	err     error
	results *stageResults
}

// runStages runs all stages, each once the stages that it depends on have ended.
func (q *request) runStages(ctx context.Context) *errorResponse {
	if len(q.route.Stages) == 0 {
		return nil
	}
	if failure := q.checkPieceCounts(); failure != nil {
		return failure
	}
	if failure := q.admitStages(); failure != nil {
		return failure
	}
	if err := q.takeResults(ctx); err != nil {
		if ctx.Err() != nil {
			return q.contextError(ctx)
		}
		q.g.intake.Count(intake.CauseMemory)
		return notExecuted(reasonMemory, "the gateway has no memory for the results of the stages", spentRetryAfter())
	}
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(q.g.departure.noSends, func() { cancel(errLeaving) })()
	q.reruns = make(chan struct{}, 1)
	runs := make([]*stageRun, len(q.route.Stages))
	for i := range runs {
		stage := &q.route.Stages[i]
		runs[i] = &stageRun{index: i, stage: stage, done: make(chan struct{}), results: newStageResults(i, stage.Service, q.attrs.Pieces[i], q.g.stages.release)}
	}
	for _, run := range runs {
		for _, dependency := range run.stage.After {
			if dependency >= 0 && dependency < len(runs) {
				runs[dependency].results.addUser(run.index)
			}
		}
	}
	for _, run := range runs {
		run.results.isFinal = len(run.results.users) == 0
	}
	var wg sync.WaitGroup
	for _, run := range runs {
		wg.Go(func() {
			defer close(run.done)
			if run.err = q.runStageGuarded(ctx, runs, run); run.err != nil {
				cancel(run.err)
			}
		})
	}
	wg.Wait()
	q.stagesDuration = time.Since(started)
	q.collectInputs(runs)
	return q.stagesFailure(ctx, runs)
}

// takeResults takes the memory for running the stages and for their results until the request ends.
func (q *request) takeResults(ctx context.Context) error {
	if q.heldResults.IsOpen() {
		// The stages are run again.
		return nil
	}
	bytes := int64(0)
	for i := range q.route.Stages {
		bytes += stageBytes + resultBytes*int64(q.attrs.Pieces[i])
	}
	q.heldResults.Open(q.g.intake)
	return q.heldResults.TakeWhole(ctx, bytes)
}

// stagesFailure returns the response to a request whose stages failed, or nil.
func (q *request) stagesFailure(ctx context.Context, runs []*stageRun) *errorResponse {
	for _, run := range runs {
		if run.err != nil && !errors.Is(run.err, context.Canceled) {
			if cause := context.Cause(ctx); errors.Is(cause, errDeadline) || errors.Is(cause, errLeaving) {
				return q.contextError(ctx)
			}
			if isOutOfMemory(run.err) {
				return notExecuted(reasonMemory, run.err.Error(), spentRetryAfter())
			}
			if e := q.g.stages.estimate(run.stage.Service); e.Closed {
				return closedStageResponse(run.stage.Service, e)
			}
			return notExecuted(reasonStageFailed, run.err.Error(), q.backgroundRetryAfter(run.stage.Service))
		}
	}
	if ctx.Err() != nil {
		return q.contextError(ctx)
	}
	return nil
}

// checkPieceCounts refuses invalid numbers of pieces for the route's stages.
func (q *request) checkPieceCounts() *errorResponse {
	if len(q.attrs.Pieces) < len(q.route.Stages) {
		return invalid(http.StatusBadRequest, reasonInvalidRequest, "the numbers of pieces don't match the route's stages")
	}
	for i := range q.route.Stages {
		if n := q.attrs.Pieces[i]; n < 0 || n > maxPiecesPerStage {
			return invalid(http.StatusBadRequest, reasonInvalidRequest, fmt.Sprintf("%d pieces of stage %d; at most %d are allowed", n, i, maxPiecesPerStage))
		}
	}
	return nil
}

// runStageGuarded is runStage, with a panic as its error.
func (q *request) runStageGuarded(ctx context.Context, runs []*stageRun, run *stageRun) (err error) {
	if panicked := instance.Guard(func() { err = q.runStage(ctx, runs, run) }); panicked != nil {
		instance.LogPanic(q.g.logger, "stage", panicked)
		return panicked
	}
	return err
}

// runStage runs a stage once the stages that it depends on have ended. Inputs that were lost
// with the upstream that held them are produced again.
func (q *request) runStage(ctx context.Context, runs []*stageRun, run *stageRun) error {
	defer removeUser(runs, run)
	for _, dependency := range run.stage.After {
		if dependency < 0 || dependency >= len(runs) || dependency == run.index {
			return errors.Errorf("stage %d has an invalid dependency on stage %d", run.index, dependency)
		}
		select {
		case <-runs[dependency].done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if runs[dependency].err != nil {
			return runs[dependency].err
		}
	}
	return q.runPieces(ctx, runs, run, q.rerunInputs)
}

// removeUser ends the need of a stage for the results of those that it depends on.
func removeUser(runs []*stageRun, run *stageRun) {
	for _, dependency := range run.stage.After {
		if dependency >= 0 && dependency < len(runs) {
			runs[dependency].results.removeUser(run.index)
		}
	}
}

// runPieces runs the pieces of a stage. If inputs are missing, it calls rerun for them and
// tries again, up to maxStageReruns times, if the request can still meet its deadline.
func (q *request) runPieces(ctx context.Context, runs []*stageRun, run *stageRun, rerun func(context.Context, []*stageRun, *stageRun) error) error {
	err := q.tryPieces(ctx, runs, run)
	for reruns := 0; reruns < maxStageReruns && isInputMissing(err) && !q.background && q.canRerun(); reruns++ {
		q.g.logger.Info().Str(instance.KeyRequest, instance.LogText(q.attrs.ID)).Int("stage", run.index).Msg("inputs were lost; rerunning the stages that produced them")
		q.g.stages.scope.Counter("stageReruns").Inc(1)
		if err = rerun(ctx, runs, run); err == nil {
			err = q.tryPieces(ctx, runs, run)
		}
	}
	return err
}

// rerunInputs is rerunLostInputs for one stage of the request at a time: two stages may have
// lost the same inputs.
func (q *request) rerunInputs(ctx context.Context, runs []*stageRun, run *stageRun) error {
	select {
	case q.reruns <- struct{}{}:
		defer func() { <-q.reruns }()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return q.rerunLostInputs(ctx, runs, run)
}

// rerunLostInputs reruns the stages whose results the given one needs and that were lost or
// released.
func (q *request) rerunLostInputs(ctx context.Context, runs []*stageRun, run *stageRun) error {
	for _, dependency := range run.stage.After {
		if runs[dependency].results.isUsable() {
			continue
		}
		if err := q.rerunStage(ctx, runs, runs[dependency]); err != nil {
			return err
		}
	}
	return nil
}

// rerunStage runs a stage again that has ended. It needs its inputs again until it has.
func (q *request) rerunStage(ctx context.Context, runs []*stageRun, run *stageRun) error {
	for _, dependency := range run.stage.After {
		runs[dependency].results.addUser(run.index)
	}
	defer removeUser(runs, run)
	return q.runPieces(ctx, runs, run, q.rerunLostInputs)
}

// pieceError is returned for a piece without a result.
type pieceError struct {
	stage   int
	piece   int
	failure dialect.Failure
}

func (e *pieceError) Error() string {
	return fmt.Sprintf("piece %d of stage %d failed: %s", e.piece, e.stage, e.failure)
}

func isInputMissing(err error) bool { return isPieceFailure(err, dialect.FailureInputMissing) }

func isOutOfMemory(err error) bool { return isPieceFailure(err, pieces.FailureNoMemory) }

func isPieceFailure(err error, failure dialect.Failure) bool {
	var failed *pieceError
	return errors.As(err, &failed) && failed.failure == failure
}

// tryPieces runs the pieces of a stage once, with all results of the stages that it depends on.
func (q *request) tryPieces(ctx context.Context, runs []*stageRun, run *stageRun) error {
	if run.results.pieces == 0 {
		return nil
	}
	reads, err := readInputs(runs, run)
	if err != nil {
		q.g.logger.Info().Str(instance.KeyRequest, instance.LogText(q.attrs.ID)).Int("stage", run.index).Msg("results of an earlier stage were released before this one")
		return err
	}
	defer reads.end()
	job := pieces.Job{
		Piece: dialect.Piece{ID: q.attrs.ID, Stage: run.index, Inputs: reads.handles()}, Bytes: run.stage.ResultBytes,
		Due: q.due(run.index), GiveUp: q.queueDeadline(run), Deadline: q.firstByteDeadline.Add(-q.engineTime()), Deferred: q.deferred, Background: q.background, Domain: q.preferredDomain(runs, run),
	}
	if len(run.stage.After) == 0 {
		job.Piece.Key = q.attrs.PieceKey
	}
	sole := reads.sole()
	inputs := sole.sources()
	results, err := q.g.stages.runWithInputs(ctx, run.stage.Service, job, run.results.pieces, inputs)
	if !inputs.claim() {
		sole.markReleased()
		q.g.logger.Debug().Str(instance.KeyRequest, instance.LogText(q.attrs.ID)).Int("stage", run.index).Int("results", len(sole.handles())).Msg("inputs were released once the calls had read them")
	}
	if err != nil {
		return err
	}
	if err := run.results.publish(results); err != nil {
		if isInputMissing(err) {
			reads.markLost()
		}
		return err
	}
	return nil
}

// collectInputs keeps the results of the final stages for the engine.
func (q *request) collectInputs(runs []*stageRun) {
	q.inputs.handles = nil
	q.inputs.bytes = make(map[string]int64)
	q.inputs.unreleased = make(map[string][]pieces.Result)
	for _, run := range runs {
		if !run.results.isFinal {
			continue
		}
		for _, r := range run.results.peek() {
			q.inputs.handles = append(q.inputs.handles, r.Handle)
			q.inputs.bytes[r.FailureDomain] += run.stage.ResultBytes
			q.inputs.unreleased[run.stage.Service] = append(q.inputs.unreleased[run.stage.Service], r)
		}
	}
}

// canRestartStages reports whether the request was refused because an input no longer exists
// and there is time to run its stages again, within the budget of retries.
func (q *request) canRestartStages(err error) bool {
	var failed *forward.Error
	if !errors.As(err, &failed) || !failed.InputMissing || q.mayHaveRun {
		return false
	}
	return q.stageRestarts < maxStageReruns && q.canRerun() && q.takeRetry()
}

// restartStages runs all stages again. The results that still exist are released.
func (q *request) restartStages(ctx context.Context) *errorResponse {
	q.stageRestarts++
	q.releaseInputs()
	return q.runStages(ctx)
}

// releaseInputs releases the results once the engine has them or the request has ended.
func (q *request) releaseInputs() {
	for service, results := range q.inputs.unreleased {
		q.g.stages.release(service, results)
	}
	q.inputs.unreleased = nil
}
