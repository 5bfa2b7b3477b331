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

// inputs are the results that a request needs at its engine.
type inputs struct {
	handles []string
	// bytes are the sizes of the results by failure domain.
	bytes map[string]int64
	// made are all results that were not released yet, by service.
	made map[string][]pieces.Result
}

// stageRun is one stage of a request.
type stageRun struct {
	index  int
	stage  *catalog.Stage
	pieces int
	done   chan struct{}
	err    error

	mu      sync.Mutex
	results []pieces.Result
	// after counts the stages that still need the results; last is set for a stage whose
	// results go to the engine.
	after atomic.Int32
	last  bool
}

// keep takes new results and returns those of an earlier try.
func (r *stageRun) keep(results []pieces.Result) []pieces.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	earlier := r.results
	r.results = results
	return earlier
}

// kept returns the present results.
func (r *stageRun) kept() []pieces.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}

// runStages makes the pieces of all stages, each when those before it are done.
func (q *request) runStages(ctx context.Context) *refusal {
	if len(q.route.Stages) == 0 {
		return nil
	}
	if f := q.checkPieces(); f != nil {
		return f
	}
	if f := q.admitStages(); f != nil {
		return f
	}
	started := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	runs := make([]*stageRun, len(q.route.Stages))
	for i := range runs {
		runs[i] = &stageRun{index: i, stage: &q.route.Stages[i], pieces: q.attrs.Pieces[i], done: make(chan struct{})}
	}
	for _, run := range runs {
		for _, before := range run.stage.After {
			if before >= 0 && before < len(runs) {
				runs[before].after.Add(1)
			}
		}
	}
	for _, run := range runs {
		run.last = run.after.Load() == 0
	}
	var wg sync.WaitGroup
	for _, run := range runs {
		wg.Go(func() {
			defer close(run.done)
			if run.err = q.runStage(ctx, runs, run); run.err != nil {
				cancel(run.err)
			}
		})
	}
	wg.Wait()
	q.stagesTook = time.Since(started)
	q.collectInputs(runs)
	for _, run := range runs {
		if run.err != nil && !errors.Is(run.err, context.Canceled) {
			if f := q.ended(ctx); ctx.Err() != nil && errors.Is(context.Cause(ctx), errDeadline) {
				return f
			}
			return notRun(reasonStageFailed, run.err.Error(), q.lateWait(run.stage.Service))
		}
	}
	if ctx.Err() != nil {
		return q.ended(ctx)
	}
	return nil
}

// checkPieces refuses numbers of pieces that the route's stages can't have.
func (q *request) checkPieces() *refusal {
	if len(q.attrs.Pieces) < len(q.route.Stages) {
		return invalid(http.StatusBadRequest, reasonInvalidRequest, "the numbers of pieces don't match the route's stages")
	}
	for i := range q.route.Stages {
		if n := q.attrs.Pieces[i]; n < 0 || n > maxPieces {
			return invalid(http.StatusBadRequest, reasonInvalidRequest, fmt.Sprintf("%d pieces of stage %d; at most %d are taken", n, i, maxPieces))
		}
	}
	return nil
}

// runStage makes the results of a stage once those before it are done. Results that it
// needs and that are gone with their maker are made again.
func (q *request) runStage(ctx context.Context, runs []*stageRun, run *stageRun) error {
	for _, before := range run.stage.After {
		if before < 0 || before >= len(runs) || before == run.index {
			return errors.Errorf("stage %d comes after stage %d, which does not exist", run.index, before)
		}
		select {
		case <-runs[before].done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if runs[before].err != nil {
			return runs[before].err
		}
	}
	err := q.makeStage(ctx, runs, run)
	for again := 0; again < maxRemakes && isInputGone(err) && !q.background; again++ {
		q.g.logger.Info().Str(instance.KeyRequest, q.attrs.ID).Int("stage", run.index).Msg("inputs are gone; the stages before are made again")
		if err = q.remakeBefore(ctx, runs, run); err == nil {
			err = q.makeStage(ctx, runs, run)
		}
	}
	for _, before := range run.stage.After {
		if runs[before].after.Add(-1) == 0 {
			q.releaseStage(runs[before])
		}
	}
	return err
}

// remakeBefore makes the stages before the given one again, the first ones first.
func (q *request) remakeBefore(ctx context.Context, runs []*stageRun, run *stageRun) error {
	for _, before := range run.stage.After {
		if err := q.remakeBefore(ctx, runs, runs[before]); err != nil {
			return err
		}
		if err := q.makeStage(ctx, runs, runs[before]); err != nil {
			return err
		}
	}
	return nil
}

// pieceError says that a piece of a stage has no result.
type pieceError struct {
	stage   int
	piece   int
	failure dialect.Failure
}

func (e *pieceError) Error() string {
	return fmt.Sprintf("piece %d of stage %d failed: %s", e.piece, e.stage, e.failure)
}

func isInputGone(err error) bool {
	var failed *pieceError
	return errors.As(err, &failed) && failed.failure == dialect.FailureInputMissing
}

// makeStage makes the pieces of a stage from the present results of the stages before it.
func (q *request) makeStage(ctx context.Context, runs []*stageRun, run *stageRun) error {
	if run.pieces == 0 {
		return nil
	}
	var handles []string
	for _, before := range run.stage.After {
		for _, r := range runs[before].kept() {
			handles = append(handles, r.Handle)
		}
	}
	first := pieces.Job{
		Piece: dialect.Piece{ID: q.attrs.ID, Stage: run.index, Inputs: handles}, Bytes: run.stage.ResultBytes,
		Due: q.due(run.index), GiveUp: q.giveUp(run), Deadline: q.firstBy.Add(-engineTime), Deferred: q.yields, Background: q.background, Domain: q.pieceDomain(runs, run),
	}
	if len(run.stage.After) == 0 {
		first.Piece.Key = q.attrs.PieceKey
	}
	results, err := q.g.stages.run(ctx, run.stage.Service, first, run.pieces)
	if err != nil {
		return err
	}
	q.g.stages.release(run.stage.Service, run.keep(results))
	for i, r := range results {
		if r.Failure != dialect.FailureNone {
			return &pieceError{stage: run.index, piece: i, failure: r.Failure}
		}
	}
	return nil
}

// collectInputs keeps the results that no other stage needs for the engine, and releases
// what is left of the others.
func (q *request) collectInputs(runs []*stageRun) {
	q.inputs.bytes = make(map[string]int64)
	q.inputs.made = make(map[string][]pieces.Result)
	for _, run := range runs {
		if !run.last {
			if run.after.Load() > 0 {
				q.releaseStage(run)
			}
			continue
		}
		for _, r := range run.kept() {
			if r.Handle == "" {
				continue
			}
			q.inputs.handles = append(q.inputs.handles, r.Handle)
			q.inputs.bytes[r.FailureDomain] += run.stage.ResultBytes
			q.inputs.made[run.stage.Service] = append(q.inputs.made[run.stage.Service], r)
		}
	}
}

// releaseStage drops the results of a stage.
func (q *request) releaseStage(run *stageRun) {
	q.g.stages.release(run.stage.Service, run.kept())
}

// releaseInputs drops the results once the engine has them or the request has ended.
func (q *request) releaseInputs() {
	for service, results := range q.inputs.made {
		q.g.stages.release(service, results)
	}
	q.inputs.made = nil
}
