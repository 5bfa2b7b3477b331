package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/instance"
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
	index  int
	stage  *catalog.Stage
	pieces int
	done   chan struct{}
	err    error

	mu      sync.Mutex
	results []pieces.Result
	// dependents counts the stages that still need the results; isFinal is set for a stage
	// whose results go to the engine.
	dependents atomic.Int32
	isFinal    bool
}

// replaceResults sets new results and returns those of an earlier run.
func (r *stageRun) replaceResults(results []pieces.Result) []pieces.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.results
	r.results = results
	return previous
}

func (r *stageRun) currentResults() []pieces.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
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
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(q.g.departure.noSends, func() { cancel(errLeaving) })()
	runs := make([]*stageRun, len(q.route.Stages))
	for i := range runs {
		runs[i] = &stageRun{index: i, stage: &q.route.Stages[i], pieces: q.attrs.Pieces[i], done: make(chan struct{})}
	}
	for _, run := range runs {
		for _, dependency := range run.stage.After {
			if dependency >= 0 && dependency < len(runs) {
				runs[dependency].dependents.Add(1)
			}
		}
	}
	for _, run := range runs {
		run.isFinal = run.dependents.Load() == 0
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

// stagesFailure returns the response to a request whose stages failed, or nil.
func (q *request) stagesFailure(ctx context.Context, runs []*stageRun) *errorResponse {
	for _, run := range runs {
		if run.err != nil && !errors.Is(run.err, context.Canceled) {
			if cause := context.Cause(ctx); errors.Is(cause, errDeadline) || errors.Is(cause, errLeaving) {
				return q.contextError(ctx)
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
// with the upstream that held them are produced again, up to maxStageReruns times, if the
// request can still meet its objective.
func (q *request) runStage(ctx context.Context, runs []*stageRun, run *stageRun) error {
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
	err := q.runPieces(ctx, runs, run)
	for reruns := 0; reruns < maxStageReruns && isInputMissing(err) && !q.background && q.canRerun(); reruns++ {
		q.g.logger.Info().Str(instance.KeyRequest, q.attrs.ID).Int("stage", run.index).Msg("inputs were lost; rerunning the stages that produced them")
		if err = q.rerunDependencies(ctx, runs, run); err == nil {
			err = q.runPieces(ctx, runs, run)
		}
	}
	for _, dependency := range run.stage.After {
		if runs[dependency].dependents.Add(-1) == 0 {
			q.releaseStageResults(runs[dependency])
		}
	}
	return err
}

// rerunDependencies reruns the stages that the given one depends on, in order.
func (q *request) rerunDependencies(ctx context.Context, runs []*stageRun, run *stageRun) error {
	for _, dependency := range run.stage.After {
		if err := q.rerunDependencies(ctx, runs, runs[dependency]); err != nil {
			return err
		}
		if err := q.runPieces(ctx, runs, runs[dependency]); err != nil {
			return err
		}
	}
	return nil
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

func isInputMissing(err error) bool {
	var failed *pieceError
	return errors.As(err, &failed) && failed.failure == dialect.FailureInputMissing
}

// runPieces runs the pieces of a stage with the current results of the stages that it
// depends on.
func (q *request) runPieces(ctx context.Context, runs []*stageRun, run *stageRun) error {
	if run.pieces == 0 {
		return nil
	}
	var handles []string
	for _, dependency := range run.stage.After {
		for _, r := range runs[dependency].currentResults() {
			handles = append(handles, r.Handle)
		}
	}
	job := pieces.Job{
		Piece: dialect.Piece{ID: q.attrs.ID, Stage: run.index, Inputs: handles}, Bytes: run.stage.ResultBytes,
		Due: q.due(run.index), GiveUp: q.queueDeadline(run), Deadline: q.firstByteDeadline.Add(-unloadedEngineTime), Deferred: q.deferred, Background: q.background, Domain: q.preferredDomain(runs, run),
	}
	if len(run.stage.After) == 0 {
		job.Piece.Key = q.attrs.PieceKey
	}
	inputs, makers := soleInputs(runs, run)
	results, err := q.g.stages.runWithInputs(ctx, run.stage.Service, job, run.pieces, inputs)
	if !inputs.claim() {
		for _, maker := range makers {
			maker.replaceResults(nil)
		}
	}
	if err != nil {
		return err
	}
	q.g.stages.release(run.stage.Service, run.replaceResults(results))
	for i, r := range results {
		if r.Failure != dialect.FailureNone {
			return &pieceError{stage: run.index, piece: i, failure: r.Failure}
		}
	}
	return nil
}

// soleInputs returns the results that only the given stage still needs, and the runs that
// made them.
func soleInputs(runs []*stageRun, run *stageRun) (inputs *stageInputs, makers []*stageRun) {
	inputs = &stageInputs{}
	for _, dependency := range run.stage.After {
		maker := runs[dependency]
		if results := maker.currentResults(); maker.dependents.Load() == 1 && len(results) > 0 {
			inputs.sources = append(inputs.sources, Source{Service: maker.stage.Service, Results: results})
			makers = append(makers, maker)
		}
	}
	return inputs, makers
}

// collectInputs keeps the results of the final stages for the engine, and releases the
// remaining results of other stages.
func (q *request) collectInputs(runs []*stageRun) {
	q.inputs.bytes = make(map[string]int64)
	q.inputs.unreleased = make(map[string][]pieces.Result)
	for _, run := range runs {
		if !run.isFinal {
			if run.dependents.Load() > 0 {
				q.releaseStageResults(run)
			}
			continue
		}
		for _, r := range run.currentResults() {
			if r.Handle == "" {
				continue
			}
			q.inputs.handles = append(q.inputs.handles, r.Handle)
			q.inputs.bytes[r.FailureDomain] += run.stage.ResultBytes
			q.inputs.unreleased[run.stage.Service] = append(q.inputs.unreleased[run.stage.Service], r)
		}
	}
}

func (q *request) releaseStageResults(run *stageRun) {
	q.g.stages.release(run.stage.Service, run.currentResults())
}

// releaseInputs releases the results once the engine has them or the request has ended.
func (q *request) releaseInputs() {
	for service, results := range q.inputs.unreleased {
		q.g.stages.release(service, results)
	}
	q.inputs.unreleased = nil
}
