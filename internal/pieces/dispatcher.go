package pieces

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
)

const (
	// callSlack is what a call may take beyond the longest time left of its pieces.
	callSlack = 250 * time.Millisecond
	// maxReplyBytes bounds the reply to a call.
	maxReplyBytes = 1 << 20
	// releaseDelay gathers the handles of one upstream into one call.
	releaseDelay = 10 * time.Millisecond
	// releaseTimeout bounds the call that drops results.
	releaseTimeout = time.Second
	// maxIdle is how long a connection may have been idle for a call: a piece may be
	// made again, so that a connection that breaks costs time only.
	maxIdle = 10 * time.Second
)

// Dispatcher makes the pieces of one service. It is safe for concurrent use.
type Dispatcher struct {
	service string
	pool    *forward.Pool
	dialect *dialect.Dialect
	logger  *log.Logger
	scope   tally.Scope

	mu       sync.Mutex
	batcher  *Batcher
	timer    *time.Timer
	releases map[*catalog.Member][]string
}

// NewDispatcher returns a dispatcher of the service without upstreams.
func NewDispatcher(service string, pool *forward.Pool, d *dialect.Dialect, logger *log.Logger, scope tally.Scope) *Dispatcher {
	return &Dispatcher{
		service:  service,
		pool:     pool,
		dialect:  d,
		logger:   logger,
		scope:    scope,
		batcher:  NewBatcher(),
		releases: make(map[*catalog.Member][]string),
	}
}

// SetUpstreams replaces the upstreams that may get new calls.
func (d *Dispatcher) SetUpstreams(batch catalog.Batch, members []*catalog.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batcher.SetUpstreams(batch, members)
	d.pump()
}

// Estimate returns what the queue expects of new pieces.
func (d *Dispatcher) Estimate() Estimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.batcher.Estimate(time.Now())
}

// Run makes the pieces and returns their results in order. When ctx ends, pieces that
// were not made are given up and those that are made later are released.
func (d *Dispatcher) Run(ctx context.Context, jobs []*Job) ([]Result, error) {
	results := make([]Result, len(jobs))
	left := len(jobs)
	done := make(chan struct{})
	for i, j := range jobs {
		// Batcher calls finish under mu.
		j.finish = func(r Result) {
			results[i] = r
			if left--; left == 0 {
				close(done)
			}
		}
	}
	d.mu.Lock()
	d.batcher.Add(jobs)
	d.pump()
	d.mu.Unlock()
	select {
	case <-done:
		return results, nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batcher.Cancel(jobs)
	var made []Result
	for _, r := range results {
		if r.Handle != "" {
			made = append(made, r)
		}
	}
	d.release(made)
	return nil, context.Cause(ctx)
}

// Release drops results that nobody needs any more.
func (d *Dispatcher) Release(results []Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(results)
	d.pump()
}

// release gathers handles by upstream. The caller holds mu.
func (d *Dispatcher) release(results []Result) {
	for m, group := range d.batcher.GroupByUpstream(results) {
		if len(d.releases[m]) == 0 {
			time.AfterFunc(releaseDelay, func() { d.sendRelease(m) })
		}
		d.releases[m] = append(d.releases[m], group...)
	}
}

func (d *Dispatcher) sendRelease(m *catalog.Member) {
	d.mu.Lock()
	handles := d.releases[m]
	delete(d.releases, m)
	d.mu.Unlock()
	body, err := d.dialect.EncodeRelease(handles)
	if err != nil {
		d.logger.Error().Err(err).Str(instance.KeyUpstream, m.ID).Msg("results not released")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := d.post(ctx, m, d.dialect.ReleasePath, body); err != nil {
		d.logger.Warn().Err(err).Str(instance.KeyUpstream, m.ID).Int("results", len(handles)).Msg("results not released; they expire at their maker")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.batcher.ResultsReleased(handles)
	d.pump()
}

// pump starts calls while upstreams are free, and sets the timer for the next look. The
// caller holds mu.
func (d *Dispatcher) pump() {
	now := time.Now()
	if n := d.batcher.RequeueOverdue(now); n > 0 {
		d.scope.Counter("stageCallsOverdue").Inc(int64(n))
		d.logger.Warn().Str("service", d.service).Int("calls", n).Msg("calls take too long; their pieces are made again elsewhere")
	}
	for c := d.batcher.Next(now); c != nil; c = d.batcher.Next(now) {
		go d.call(c)
	}
	next := d.batcher.NextCheck(now)
	if next.IsZero() {
		return
	}
	wait := max(next.Sub(now), time.Millisecond)
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, d.check)
		return
	}
	d.timer.Reset(wait)
}

func (d *Dispatcher) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump()
}

// call sends one call and hands its results to the batcher.
func (d *Dispatcher) call(c *Call) {
	results, err := d.exchange(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.scope.Counter("stageCalls").Inc(1)
	d.scope.Counter("stagePieces").Inc(int64(len(c.Jobs)))
	var failed *forward.Error
	if errors.As(err, &failed) && failed.State == forward.NotExecuted && !failed.Misdirected {
		d.logger.Info().Str("service", d.service).Str(instance.KeyUpstream, c.Upstream.ID).Int("pieces", len(c.Jobs)).Msg("call refused, the upstream is full")
		d.batcher.Refused(now, c)
		d.pump()
		return
	}
	if err != nil {
		d.logger.Warn().Err(err).Str("service", d.service).Str(instance.KeyUpstream, c.Upstream.ID).Int("pieces", len(c.Jobs)).Msg("call failed")
	}
	d.release(d.batcher.Finish(now, c, results, err))
	d.pump()
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
	reply, err := d.post(ctx, c.Upstream, d.dialect.BatchPath, body)
	if err != nil {
		return nil, err
	}
	return d.dialect.DecodeBatch(reply)
}

// post sends a call of the stage protocol and returns the body of a reply of status 200.
func (d *Dispatcher) post(ctx context.Context, m *catalog.Member, path string, body []byte) ([]byte, error) {
	resp, err := d.pool.Do(ctx, forward.Target{ID: m.ID, Address: m.Address}, &forward.Request{
		Method:  http.MethodPost,
		Target:  path,
		Host:    m.Address,
		Header:  d.dialect.BatchHeader(m.ID),
		Body:    body,
		MaxIdle: maxIdle,
	})
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	b, err := io.ReadAll(io.LimitReader(resp, maxReplyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "reading the reply")
	}
	if resp.Status != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.Status)
	}
	return b, nil
}
