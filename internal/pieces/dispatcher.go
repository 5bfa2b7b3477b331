package pieces

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
)

const (
	// callSlack is how long a call may take beyond the longest remaining time of its pieces.
	callSlack = 250 * time.Millisecond
	// maxResponseBytes bounds the response to a call, and boundBody names this bound.
	maxResponseBytes = 1 << 20
	boundBody        = "bodyBytes"
	// releaseBatchDelay is the batching delay in which the handles of one upstream are
	// collected into one call.
	releaseBatchDelay = 10 * time.Millisecond
	// releaseTimeout bounds a call that releases results.
	releaseTimeout = time.Second
	// maxIdle is how long a connection may have been idle before a call: pieces may be
	// rerun, so a broken connection costs time only.
	maxIdle = 10 * time.Second
)

// Dispatcher runs the pieces of one service. It is safe for concurrent use.
type Dispatcher struct {
	service string
	judge   *availability.Judge
	pool    *forward.Pool
	dialect *dialect.Dialect
	logger  *log.Logger
	scope   tally.Scope

	mu              sync.Mutex
	batcher         *Batcher
	timer           *time.Timer
	pendingReleases map[*catalog.Member][]string
}

// NewDispatcher returns a dispatcher for the service that has no upstreams yet.
func NewDispatcher(service string, judge *availability.Judge, pool *forward.Pool, d *dialect.Dialect, logger *log.Logger, scope tally.Scope) *Dispatcher {
	return &Dispatcher{
		service:         service,
		judge:           judge,
		pool:            pool,
		dialect:         d,
		logger:          logger,
		scope:           scope,
		batcher:         NewBatcher(judge),
		pendingReleases: make(map[*catalog.Member][]string),
	}
}

// UseRollouts sets the roll-outs that calls follow. It must be called before the first piece.
func (d *Dispatcher) UseRollouts(r *rollout.Table) { d.batcher.UseRollouts(r) }

// Held returns the number of calls at upstreams that have another version, and of results that
// they hold.
func (d *Dispatcher) Held(exceptVersion string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batcher.expire(time.Now())
	return d.batcher.Held(exceptVersion)
}

// Wake looks for calls that may be sent now.
func (d *Dispatcher) Wake() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.schedule()
}

// SetUpstreams replaces the upstreams that may get new calls.
func (d *Dispatcher) SetUpstreams(batch catalog.Batch, members []*catalog.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batcher.SetUpstreams(batch, members)
	d.schedule()
}

// Estimate returns the estimate for new pieces.
func (d *Dispatcher) Estimate() Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.batcher.Estimate(time.Now())
}

// AtOnce returns how many pieces may be in calls at a time.
func (d *Dispatcher) AtOnce() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.batcher.atOnce()
}

// Run runs the pieces and returns their results in order. When ctx ends, pieces without
// a result are cancelled, and results that exist or arrive later are released.
func (d *Dispatcher) Run(ctx context.Context, jobs []*Job) ([]Result, error) {
	results := make([]Result, len(jobs))
	left := len(jobs)
	done := make(chan struct{})
	unread := len(jobs)
	for i, j := range jobs {
		if j.InputsRead != nil {
			// The batcher calls j.inputsRead; mu is held then.
			j.inputsRead = func() {
				if unread--; unread == 0 {
					go instance.GuardLogged(d.logger, "inputsRead", j.InputsRead)
				}
			}
		}
		// The batcher calls j.finish; mu is held then.
		j.finish = func(r Result) {
			results[i] = r
			if left--; left == 0 {
				close(done)
			}
		}
	}
	isDone := false
	defer func() {
		if !isDone {
			d.cancel(jobs, results)
		}
	}()
	instance.Locked(&d.mu, func() {
		d.batcher.Add(jobs)
		d.schedule()
	})
	select {
	case <-done:
		isDone = true
		return results, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// cancel ends the pieces and releases the results that exist.
func (d *Dispatcher) cancel(jobs []*Job, results []Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batcher.Cancel(jobs)
	var produced []Result
	for _, r := range results {
		if r.Handle != "" {
			produced = append(produced, r)
		}
	}
	d.queueRelease(produced)
}

// HandOver ends the queued pieces with FailureHandedOver, because another gateway owns the
// queue now, and returns their number. Pieces in calls go on.
func (d *Dispatcher) HandOver() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.batcher.HandOver()
}

// Release releases results that are no longer needed.
func (d *Dispatcher) Release(results []Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queueRelease(results)
	d.schedule()
}

// queueRelease queues handles for the next release call to their upstream. The caller
// holds mu.
func (d *Dispatcher) queueRelease(results []Result) {
	for m, group := range d.batcher.GroupByUpstream(results) {
		if len(d.pendingReleases[m]) == 0 {
			time.AfterFunc(releaseBatchDelay, func() {
				instance.GuardLogged(d.logger, "release", func() { d.sendRelease(m) })
			})
		}
		d.pendingReleases[m] = append(d.pendingReleases[m], group...)
	}
}

func (d *Dispatcher) sendRelease(m *catalog.Member) {
	var handles []string
	instance.Locked(&d.mu, func() {
		handles = d.pendingReleases[m]
		delete(d.pendingReleases, m)
	})
	record := d.judge.Upstream(m)
	if v := record.CheckRelease(time.Now()); !v.IsOpen() {
		d.deferRelease(m, handles, v)
		return
	}
	body, err := d.dialect.EncodeRelease(handles)
	if err != nil {
		d.logger.Error().Err(err).Str(instance.KeyUpstream, m.ID).Msg("cannot encode the release of results")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	admit := func() error { return record.AdmitRelease(time.Now()) }
	err = d.post(ctx, m, d.dialect.ReleasePath, body, admit, d.checkRelease)
	var closed *availability.ClosedError
	if errors.As(err, &closed) {
		d.deferRelease(m, handles, closed.Verdict)
		return
	}
	if err != nil {
		d.logger.Warn().Err(err).Str(instance.KeyUpstream, m.ID).Int("results", len(handles)).Msg("results not released; they expire on the upstream that holds them")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batcher.ResultsReleased(handles)
	d.schedule()
}

// deferRelease releases the results once the upstream may be sent to, unless they will have
// ended by then.
func (d *Dispatcher) deferRelease(m *catalog.Member, handles []string, v availability.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := time.Until(v.Until)
	if v.Until.IsZero() || wait > d.batcher.batch.ResultTTL {
		d.logger.Debug().Str(instance.KeyUpstream, m.ID).Str(instance.KeyReason, string(v.Reason)).Int("results", len(handles)).Msg("results not released; they expire on the upstream that holds them")
		return
	}
	if len(d.pendingReleases[m]) == 0 {
		time.AfterFunc(wait, func() {
			instance.GuardLogged(d.logger, "release", func() { d.sendRelease(m) })
		})
	}
	d.pendingReleases[m] = append(d.pendingReleases[m], handles...)
}

// schedule starts calls while upstreams are free, and sets the timer for the next check.
// The caller holds mu.
func (d *Dispatcher) schedule() {
	now := time.Now()
	if n := d.batcher.RequeueOverdue(now); n > 0 {
		d.scope.Counter("stageCallsOverdue").Inc(int64(n))
		d.logger.Warn().Str("service", d.service).Int("calls", n).Msg("calls take too long; their pieces are rerun on other upstreams")
	}
	d.batcher.MarkInputsRead(now)
	for c := d.batcher.Next(now); c != nil; c = d.batcher.Next(now) {
		go instance.GuardLogged(d.logger, "stageCall", func() { d.call(c) })
	}
	next := d.batcher.NextCheck(now)
	if next.IsZero() {
		return
	}
	wait := max(next.Sub(now), time.Millisecond)
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, d.onTimer)
		return
	}
	d.timer.Reset(wait)
}

func (d *Dispatcher) onTimer() {
	instance.GuardLogged(d.logger, "schedule", func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.schedule()
	})
}

// call sends one call and passes its results to the batcher.
func (d *Dispatcher) call(c *Call) {
	var results []dialect.Result
	var err error
	if panicked := instance.Guard(func() { results, err = d.exchange(c) }); panicked != nil {
		instance.LogPanic(d.logger, "stageCall", panicked)
		err = panicked
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.scope.Counter("stageCalls").Inc(1)
	d.scope.Counter("stagePieces").Inc(int64(len(c.Jobs)))
	var failed *forward.Error
	if errors.As(err, &failed) && failed.Closed {
		d.logger.Info().Err(err).Str("service", d.service).Str(instance.KeyUpstream, c.Upstream.ID).Int("pieces", len(c.Jobs)).Msg("call not sent; its pieces are queued again")
		d.batcher.Return(c)
		d.schedule()
		return
	}
	if errors.As(err, &failed) && failed.State == forward.NotExecuted && !failed.Misdirected {
		d.logger.Info().Str("service", d.service).Str(instance.KeyUpstream, c.Upstream.ID).Int("pieces", len(c.Jobs)).Msg("call refused because the upstream is full; its pieces are queued again")
		d.batcher.Refused(now, c)
		d.schedule()
		return
	}
	if err != nil {
		d.logger.Warn().Err(err).Str("service", d.service).Str(instance.KeyUpstream, c.Upstream.ID).Int("pieces", len(c.Jobs)).Msg("call failed")
	}
	d.logCall(now, c, results)
	c.end(now, results, err)
	d.queueRelease(d.batcher.Finish(now, c, results, err))
	d.schedule()
}

// logCall logs a call that ended, and the load that it leaves. The caller holds mu.
func (d *Dispatcher) logCall(now time.Time, c *Call, results []dialect.Result) {
	e := d.logger.Debug()
	if e == nil {
		return
	}
	e.Str("service", d.service).Str(instance.KeyUpstream, c.Upstream.ID).Int("pieces", len(c.Jobs)).
		Int("withoutCapacity", countFailures(results, dialect.FailureNoCapacity)).Int("inputsMissing", countFailures(results, dialect.FailureInputMissing)).
		Object("load", d.batcher.load(now)).Dur("took", now.Sub(c.started)).Msg("call ended")
}

// countFailures returns how many results have the failure.
func countFailures(results []dialect.Result, failure dialect.Failure) int {
	n := 0
	for _, r := range results {
		if r.Failure == failure {
			n++
		}
	}
	return n
}

func (d *Dispatcher) exchange(c *Call) ([]dialect.Result, error) {
	now := time.Now()
	pieces := make([]dialect.Piece, len(c.Jobs))
	var longest time.Duration
	for i, j := range c.Jobs {
		pieces[i] = j.Piece
		pieces[i].Remaining = max(j.Deadline.Sub(now), time.Millisecond)
		longest = max(longest, pieces[i].Remaining)
	}
	body, err := d.dialect.EncodeBatch(pieces)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(longest+callSlack, c.Timeout()))
	defer cancel()
	var results []dialect.Result
	admit := func() error { return c.upstream.record.Admit(time.Now(), &c.grant) }
	err = d.post(ctx, c.Upstream, d.dialect.BatchPath, body, admit, func(response []byte) (reuse bool, err error) {
		if results, err = d.dialect.DecodeBatch(response); err != nil {
			return false, err
		}
		if len(results) != len(c.Jobs) {
			return false, errors.Errorf("%d results for %d pieces", len(results), len(c.Jobs))
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.batcher.hasOtherPieces(c, results) {
			return false, errOtherCall
		}
		return hasHandle(results), nil
	})
	return results, err
}

// hasHandle reports whether a piece has a result. Only a handle proves that a response doesn't
// belong to an earlier call.
func hasHandle(results []dialect.Result) bool {
	return slices.ContainsFunc(results, func(r dialect.Result) bool { return r.Handle != "" })
}

// errOtherCall is returned for a response that belongs to another call: a second copy of a
// response may arrive late, on a connection in use again, and calls have no id.
var errOtherCall = errors.New("the response belongs to another call")

// checkRelease returns an error for a response that has results: it belongs to another call.
func (d *Dispatcher) checkRelease(response []byte) (reuse bool, err error) {
	if results, err := d.dialect.DecodeBatch(response); err == nil && len(results) > 0 {
		return false, errOtherCall
	}
	return true, nil
}

// post sends a call of the stage protocol, if admit allows it when it is written, and checks the body of a response with status 200.
// check reports whether the connection may be used again. It may not if the response may
// belong to an earlier call, because the next one on the connection is then that of this call.
func (d *Dispatcher) post(ctx context.Context, m *catalog.Member, path string, body []byte, admit func() error, check func([]byte) (reuse bool, err error)) error {
	resp, err := d.pool.Do(ctx, forward.Target{ID: m.ID, Address: m.Address, Born: m.Born}, &forward.Request{
		Method:  http.MethodPost,
		Target:  path,
		Host:    m.Address,
		Header:  func() http.Header { return d.dialect.BatchHeader(m.ID) },
		Admit:   admit,
		Body:    [][]byte{body},
		MaxIdle: maxIdle,
	})
	if err != nil {
		return err
	}
	defer resp.Close()
	b, err := io.ReadAll(io.LimitReader(resp, maxResponseBytes+1))
	switch {
	case err != nil:
		return errors.Wrap(err, "reading the response")
	case len(b) > maxResponseBytes:
		return &forward.BoundError{Bound: boundBody, Limit: maxResponseBytes}
	case resp.Status != http.StatusOK:
		return errors.Errorf("unexpected status %d", resp.Status)
	}
	reuse, err := check(b)
	if !reuse {
		resp.Discard()
	}
	return err
}
