package routing_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/limits"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// The fleet of the measurements has 12 upstreams in 4 failure domains per stage. A
// warm upstream handles 8 calls of about 100 ms, and a cold one 20 % of that.
const (
	upstreamCount   = 12
	domainCount     = 4
	capacity        = 8
	coldCapacity    = 1
	warmUp          = 4 * time.Second
	meanService     = 100 * time.Millisecond
	coldSlowness    = 5.0
	stageRate       = upstreamCount * capacity * 10.0
	downTime        = 2 * time.Second
	plainRetryLimit = 3
)

// baseline selects the mechanisms that are replaced by their baselines.
type baseline struct {
	fixedLimit bool
	fifo       bool
	noGate     bool
	uniform    bool
	plainRetry bool
}

var everyBaseline = baseline{fixedLimit: true, fifo: true, noGate: true, uniform: true, plainRetry: true}

var (
	errRefused = errors.New("refused")
	errFailed  = errors.New("failed")
)

func discard() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

// fakeUpstream handles only few calls until it is warm, and fails for a while when it gets
// more than its capacity while it is cold.
type fakeUpstream struct {
	mu        sync.Mutex
	inFlight  int
	warmAt    time.Time
	downUntil time.Time
	collapses int
	// excessCalls is the number of calls that arrived while a cold upstream was at its cold
	// capacity.
	excessCalls int
	runs        int
	slow        float64
	fails       bool
	// prefixes is a ring buffer of the latest prefixes. A call whose prefix is in it takes
	// half the time.
	prefixes [prefixCount]string
	next     int
	hits     int
}

// prefixCount is the number of prefixes that an upstream's cache holds.
const prefixCount = 16

// cached returns the duration of a call, which the upstream's prefix cache can shorten, and
// adds the prefix to the cache.
func (u *fakeUpstream) cached(prefix string, d time.Duration) time.Duration {
	if prefix == "" {
		return d
	}
	if slices.Contains(u.prefixes[:], prefix) {
		u.hits++
		return d / 2
	}
	u.prefixes[u.next%prefixCount] = prefix
	u.next++
	return d
}

func (u *fakeUpstream) start() { u.warmAt = time.Now().Add(warmUp) }

// becomeCold makes the upstream cold without notice. Calls already in flight don't fail.
func (u *fakeUpstream) becomeCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.start()
}

func (u *fakeUpstream) call(ctx context.Context, prefix string, d time.Duration) error {
	u.mu.Lock()
	d = u.cached(prefix, d)
	now := time.Now()
	u.runs++
	if u.fails || now.Before(u.downUntil) {
		u.mu.Unlock()
		time.Sleep(time.Millisecond)
		return errFailed
	}
	u.inFlight++
	if now.Before(u.warmAt) {
		d = time.Duration(float64(d) * coldSlowness)
		if u.inFlight > coldCapacity {
			u.excessCalls++
		}
		if u.inFlight > capacity {
			u.collapses++
			u.downUntil = now.Add(downTime)
			u.warmAt = u.downUntil.Add(warmUp)
		}
	}
	if u.slow > 0 {
		d = time.Duration(float64(d) * u.slow)
	}
	if u.inFlight > capacity {
		d = d * time.Duration(u.inFlight) / capacity
	}
	u.mu.Unlock()
	err := sleep(ctx, d)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
	if time.Now().Before(u.downUntil) {
		return errFailed
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// fakeSidecar combines a limiter and a queue as the sidecar does.
type fakeSidecar struct {
	upstream *fakeUpstream
	limiter  *limits.Limiter
	queue    *admission.Queue
}

func newFakeSidecar(b baseline, cold bool) *fakeSidecar {
	s := &fakeSidecar{upstream: &fakeUpstream{}}
	cfg := limits.Config{Capacity: capacity, ColdCapacity: coldCapacity, WarmUp: warmUp}
	switch {
	case b.fixedLimit:
		cfg = limits.Config{Capacity: capacity, Fixed: true}
	case !cold:
		cfg.WarmUp = 0
	}
	if cold {
		s.upstream.start()
	}
	s.limiter = limits.New(cfg, discard(), tally.NoopScope)
	if !cold && s.limiter.TryAcquire() {
		s.limiter.Release(limits.Observation{Duration: meanService})
	}
	cfg.WarmUp = warmUp
	s.limiter.SetConfig(cfg)
	s.queue = admission.NewQueue(admission.QueueConfig{
		MaxQueued: 2 * capacity,
		Take:      s.limiter.TryAcquire,
		Give:      s.limiter.Return,
		FIFO:      b.fifo,
	}, tally.NoopScope)
	s.limiter.Subscribe(s.queue.Recheck)
	return s
}

func (s *fakeSidecar) run(ctx context.Context, r admission.Request, prefix string, d time.Duration) error {
	release, refusal := s.queue.Acquire(ctx, r)
	if refusal != nil {
		return errRefused
	}
	defer release()
	start := time.Now()
	err := s.upstream.call(ctx, prefix, d)
	abandoned := ctx.Err() != nil
	s.limiter.Release(limits.Observation{Duration: time.Since(start), Failed: err != nil && !abandoned, Abandoned: abandoned})
	return err
}

func (s *fakeSidecar) load() *peer.Load {
	return &peer.Load{
		InFlight: s.limiter.InFlight(),
		Queued:   s.queue.Queued(),
		Limit:    s.limiter.Limit(),
		Warming:  s.limiter.State() != limits.StateWarm,
	}
}

// fakeEntry is the state that each entry keeps separately.
type fakeEntry struct {
	table   *routing.Table
	budgets *retry.Budgets
}

// fakeFleet has one or more entries that share one gate, and the sidecars of one or more
// stages.
type fakeFleet struct {
	b         baseline
	stages    []string
	sidecars  map[string]*fakeSidecar
	list      map[string][]routing.Candidate
	entries   []fakeEntry
	gate      *admission.Gate
	estimator *admission.Estimator
	random    *rand.Rand
	deadline  time.Duration

	// prefixes is the number of different prompt prefixes. With sendsKey they are passed to
	// the table as affinity keys.
	prefixes int
	sendsKey bool

	mu    sync.Mutex
	tally tallies
	until time.Time
	wait  sync.WaitGroup
}

// tallies counts requests and stage runs.
type tallies struct {
	// good is the number of responses within the deadline, and goodBeforeEnd the number of
	// those that also arrived before the end of the offered load.
	offered, good, goodBeforeEnd  int
	offeredCritical, goodCritical int
	first, extra                  int
	latencies                     []time.Duration
}

func newFakeFleet(b baseline, seed uint64, stages ...string) *fakeFleet {
	f := &fakeFleet{
		b:         b,
		stages:    stages,
		sidecars:  make(map[string]*fakeSidecar),
		list:      make(map[string][]routing.Candidate),
		estimator: admission.NewEstimator(tally.NoopScope),
		random:    rand.New(rand.NewPCG(seed, seed)),
		deadline:  time.Duration(len(stages)) * 10 * meanService,
	}
	f.gate = admission.NewGate(admission.GateConfig{MaxQueued: 400, MinLimit: 4, MaxLimit: 2000, Limit: 200}, discard(), tally.NoopScope)
	for _, stage := range stages {
		for i := range upstreamCount {
			f.add(stage, i, false)
		}
	}
	f.addEntry()
	return f
}

// addEntry adds an entry that has the candidates, but no routing state.
func (f *fakeFleet) addEntry() {
	cfg := routing.Config{Instance: fmt.Sprintf("entry-%d", len(f.entries)), Seed: uint64(len(f.entries)), Uniform: f.b.uniform}
	e := fakeEntry{table: routing.New(cfg, discard(), tally.NoopScope), budgets: retry.New(tally.NoopScope)}
	f.entries = append(f.entries, e)
	for stage := range f.list {
		f.update(stage)
	}
}

func (f *fakeFleet) update(stage string) {
	for _, e := range f.entries {
		e.table.Update(stage, f.list[stage])
	}
}

// entry selects the entry of a call by its random service time.
func (f *fakeFleet) entry(d time.Duration) fakeEntry { return f.entries[int(d)%len(f.entries)] }

func (f *fakeFleet) add(stage string, i int, cold bool) *fakeSidecar {
	name := fmt.Sprintf("%s-%d", stage, i)
	f.sidecars[name] = newFakeSidecar(f.b, cold)
	f.list[stage] = append(f.list[stage], routing.Candidate{
		Name:          name,
		FailureDomain: fmt.Sprintf("fd-%d", i%domainCount),
		Capacity:      capacity,
		ColdCapacity:  coldCapacity,
		InService:     true,
	})
	f.update(stage)
	return f.sidecars[name]
}

// offer sends requests at the rate for the duration and returns the outcomes of these
// requests.
func (f *fakeFleet) offer(rate float64, d time.Duration) tallies {
	f.mu.Lock()
	f.tally = tallies{}
	f.until = time.Now().Add(d)
	f.mu.Unlock()
	for time.Now().Before(f.until) {
		time.Sleep(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		f.request()
	}
	time.Sleep(f.deadline)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tally
}

func (f *fakeFleet) request() {
	r := admission.Request{
		Organisation: fmt.Sprintf("o-%d", f.random.IntN(5)),
		Weight:       1,
		Priority:     fleet.PriorityNormal,
		Deadline:     time.Now().Add(f.deadline),
	}
	if f.random.IntN(10) == 0 {
		r.Priority = fleet.PriorityCritical
	}
	services := make([]time.Duration, len(f.stages))
	for i := range services {
		services[i] = time.Duration(float64(meanService) * math.Exp(0.3*f.random.NormFloat64()-0.045))
	}
	start := time.Now()
	f.wait.Go(func() {
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		defer cancel()
		good := f.runPipeline(ctx, r, services) == nil
		f.mu.Lock()
		defer f.mu.Unlock()
		f.tally.offered++
		if r.Priority == fleet.PriorityCritical {
			f.tally.offeredCritical++
		}
		if !good {
			return
		}
		f.tally.good++
		if time.Now().Before(f.until) {
			f.tally.goodBeforeEnd++
		}
		f.tally.latencies = append(f.tally.latencies, time.Since(start))
		if r.Priority == fleet.PriorityCritical {
			f.tally.goodCritical++
		}
	})
}

func (f *fakeFleet) runPipeline(ctx context.Context, r admission.Request, services []time.Duration) error {
	if f.b.noGate {
		_, err := f.runStages(ctx, r, services)
		return err
	}
	gated := r
	gated.Expected = f.estimator.ExpectedDuration("p", f.stages)
	permit, refusal := f.gate.Acquire(ctx, gated)
	if refusal != nil {
		return errRefused
	}
	if !f.estimator.Feasible("p", f.stages, time.Until(r.Deadline)) {
		permit.Done(admission.Outcome{Ignored: true})
		return errRefused
	}
	stagesRun, err := f.runStages(ctx, r, services)
	late := errors.Is(err, context.DeadlineExceeded)
	permit.Done(admission.Outcome{Shed: late || stagesRun > 0 && errors.Is(err, errRefused)})
	return err
}

// runStages runs the stages one after the other and returns how many succeeded.
func (f *fakeFleet) runStages(ctx context.Context, r admission.Request, services []time.Duration) (int, error) {
	for i, stage := range f.stages {
		start := time.Now()
		if err := f.stage(ctx, r, stage, services[i]); err != nil {
			return i, err
		}
		f.estimator.Observe("p", stage, time.Since(start))
	}
	return len(f.stages), nil
}

// stage runs a stage with retries, and with a hedge when an attempt is slow.
func (f *fakeFleet) stage(ctx context.Context, r admission.Request, stage string, d time.Duration) error {
	var exclude []string
	for attempt := 0; ; attempt++ {
		c, err := f.entry(d).table.Pick(routing.PickRequest{Stage: stage, AffinityKey: f.affinity(d), Exclude: exclude, Timeout: f.deadline, Slack: time.Until(r.Deadline)})
		if err != nil {
			return errRefused
		}
		budget := f.entry(d).budgets.For(stage, c.FailureDomain())
		f.count(attempt > 0)
		if attempt == 0 {
			budget.RecordFirst()
		}
		exclude = append(exclude, c.Name())
		err = f.attempt(ctx, r, c, d, budget, exclude)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if f.b.plainRetry && attempt < plainRetryLimit || !f.b.plainRetry && (c.IsProbe() || budget.TryRetry()) {
			continue
		}
		return err
	}
}

func (f *fakeFleet) count(extra bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if extra {
		f.tally.extra++
		return
	}
	f.tally.first++
}

func (f *fakeFleet) attempt(ctx context.Context, r admission.Request, c *routing.Choice, d time.Duration, budget *retry.Budget, exclude []string) error {
	delay, ok := budget.HedgeDelay()
	if f.b.plainRetry || !ok {
		return f.send(ctx, r, c, d, budget)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, 2)
	go func() { results <- f.send(ctx, r, c, d, budget) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case err := <-results:
		return err
	case <-timer.C:
	}
	if !budget.TryHedge() {
		return <-results
	}
	hedge, err := f.entry(d).table.Pick(routing.PickRequest{Stage: c.Stage(), Exclude: exclude, Timeout: f.deadline})
	if err != nil {
		return <-results
	}
	f.count(true)
	go func() { results <- f.send(ctx, r, hedge, d, budget) }()
	if err := <-results; err == nil {
		return nil
	}
	return <-results
}

func (f *fakeFleet) send(ctx context.Context, r admission.Request, c *routing.Choice, d time.Duration, budget *retry.Budget) error {
	s := f.sidecars[c.Name()]
	start := time.Now()
	r.Expected = 0
	err := s.run(ctx, r, f.prefix(d), d)
	result := routing.Result{Outcome: routing.Failed, Duration: time.Since(start), Load: s.load()}
	switch {
	case err == nil:
		result.Outcome = routing.Succeeded
		budget.RecordDuration(result.Duration)
	case errors.Is(err, errRefused):
		result.Outcome = routing.Refused
	case errors.Is(err, context.Canceled):
		result.Outcome = routing.Cancelled
	}
	c.Done(result)
	return err
}

func (t tallies) attainment() float64 { return percent(t.good, t.offered) }

func (t tallies) criticalAttainment() float64 { return percent(t.goodCritical, t.offeredCritical) }

func (t tallies) extraRuns() float64 { return percent(t.extra, t.first) }

// goodput is the percentage of the stage's capacity that was used for responses within the
// deadline.
func (t tallies) goodput(d time.Duration) float64 {
	return 100 * float64(t.goodBeforeEnd) / d.Seconds() / stageRate
}

// prefix derives a prompt prefix from the random service time of a call. Prefixes with low
// numbers are more frequent.
func (f *fakeFleet) prefix(d time.Duration) string {
	if f.prefixes == 0 {
		return ""
	}
	x := float64(d%time.Millisecond) / float64(time.Millisecond)
	return fmt.Sprintf("prefix-%d", int(x*x*float64(f.prefixes)))
}

func (f *fakeFleet) affinity(d time.Duration) string {
	if !f.sendsKey {
		return ""
	}
	return f.prefix(d)
}

// runs returns the number of upstream calls since the previous call of runs.
func (f *fakeFleet) runs() int {
	n := 0
	for _, s := range f.sidecars {
		s.upstream.mu.Lock()
		n += s.upstream.runs
		s.upstream.runs = 0
		s.upstream.mu.Unlock()
	}
	return n
}

// set applies f to the upstream with its lock held.
func (u *fakeUpstream) set(f func(u *fakeUpstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(u)
}

func (t tallies) quantile(q float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[int(q*float64(len(t.latencies)-1))].Round(time.Millisecond)
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

func report(t *testing.T, name string, r tallies) {
	t.Helper()
	t.Logf("%-34s attainment %6.2f %%  critical %6.2f %%  extra runs %5.2f %%  p50 %4d ms  p99 %4d ms",
		name, r.attainment(), r.criticalAttainment(), r.extraRuns(), r.quantile(0.5).Milliseconds(), r.quantile(0.99).Milliseconds())
}
