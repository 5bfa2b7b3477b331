package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

// settleTime is the wait after the load, so that bookings that continue after their
// caller's deadline are recorded.
const settleTime = 500 * time.Millisecond

// ActionReport holds the actual time of an action.
type ActionReport struct {
	Name string `json:"name"`
	// AtSeconds is the time from the start of the measured part to the action, and
	// TookSeconds the duration of the action.
	AtSeconds   float64 `json:"atSeconds"`
	TookSeconds float64 `json:"tookSeconds"`
	Error       string  `json:"error,omitempty"`
}

// Report is the report on one run.
type Report struct {
	Scenario string `json:"scenario"`
	Topology string `json:"topology"`
	System   string `json:"system"`
	Seed     uint64 `json:"seed"`
	// Capacity is the rate in requests per second that saturates the bottleneck stage.
	Capacity float64            `json:"capacity"`
	Metrics  map[string]float64 `json:"metrics"`
	Actions  []ActionReport     `json:"actions,omitempty"`
	Load     *load.Report       `json:"load"`
}

// Run starts the scenario's topology with the system, applies the load and the actions and
// returns the report. It stops everything that it started; a process that does not end is
// an error.
func Run(ctx context.Context, s Scenario, system System, seed uint64, logger *log.Logger) (*Report, error) {
	c, err := startCluster(ctx, s.Topology, system, Environment{
		Secret:  Secret,
		Seed:    seed,
		Logger:  logger,
		Entries: s.Topology.Entries,
		Network: NewNetwork(s.NetworkDelays),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "starting %s for scenario %s", system.Name, s.Name)
	}
	r, err := c.run(ctx, s, system, seed)
	c.Close()
	if err == nil && len(c.stuck) > 0 {
		err = errors.Errorf("processes of %s did not end in scenario %s: %v", system.Name, s.Name, c.stuck)
	}
	return r, err
}

// run measures the scenario on the started cluster.
func (c *Cluster) run(ctx context.Context, s Scenario, system System, seed uint64) (*Report, error) {
	if s.StartWarm {
		c.setWarm()
	}
	var warmUpOutcomes []outcome
	var err error
	if len(s.WarmUp) > 0 {
		if _, warmUpOutcomes, err = c.load(ctx, s, s.WarmUp, warmUpSeed(seed)); err != nil {
			return nil, err
		}
	}
	collapsesBefore := c.collapses()
	callsBefore := c.platformCalls()
	ordersBefore := c.acceptedOrders()
	begin := time.Now()
	actions := make(chan []ActionReport, 1)
	actionCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { actions <- c.act(actionCtx, s.Actions, begin) }()
	report, outcomes, err := c.load(ctx, s, s.Phases, seed)
	if err != nil {
		return nil, err
	}
	done := <-actions
	time.Sleep(settleTime)
	r := &Report{
		Scenario: s.Name,
		Topology: s.Topology.Name,
		System:   system.Name,
		Seed:     seed,
		Capacity: s.Topology.Capacity(),
		Metrics:  make(map[string]float64),
		Actions:  done,
		Load:     report,
	}
	for _, a := range done {
		if a.Error != "" {
			return r, errors.Errorf("action %s of scenario %s failed: %s", a.Name, s.Name, a.Error)
		}
	}
	c.measure(r, s, outcomes, begin)
	r.Metrics[MetricOrders] = float64(c.acceptedOrders() - ordersBefore)
	c.addCounts(r.Metrics)
	r.Metrics[MetricCollapses] = 0
	for stage, n := range c.collapses() {
		r.Metrics[StageMetric(stage, "fallOvers")] = float64(n - collapsesBefore[stage])
		r.Metrics[MetricCollapses] += float64(n - collapsesBefore[stage])
	}
	r.Metrics[MetricPlatformCalls] = ratio(float64(c.platformCalls()-callsBefore), float64(len(outcomes)))
	// The audit includes the warm-up, because its bookings may end during the measured part.
	return r, audit(s.Topology, append(warmUpOutcomes, outcomes...), c.records(time.Time{}), r.Metrics)
}

// warmUpSeed returns another seed for the warm-up, so that its requests have other ids than
// the measured ones.
func warmUpSeed(seed uint64) uint64 { return seed + 1<<32 }

// measure sets the metrics of the measured part.
func (c *Cluster) measure(r *Report, s Scenario, outcomes []outcome, begin time.Time) {
	callerMetrics(s, outcomes, r.Metrics)
	stageMetrics(s, outcomes, c.records(begin), r.Metrics)
	r.Metrics[MetricUnrecorded] = float64(c.unrecorded())
	r.Metrics[MetricLag] = r.Load.Lag.P99
	r.Metrics[MetricUnsent] = float64(r.Load.Total.Unsent)
}

// load sends the load of the phases to the entries and returns the report with all outcomes.
func (c *Cluster) load(ctx context.Context, s Scenario, phases []Phase, seed uint64) (*load.Report, []outcome, error) {
	var mu sync.Mutex
	var outcomes []outcome
	begin := time.Now()
	g, err := load.New(load.Config{
		Targets: c.targets,
		Phases:  s.loadPhases(phases),
		Mix:     s.Topology.Mix(),
		Seed:    seed,
		Retries: s.Retries,
		HTTP:    c.env.Network.callers(load.DefaultMaxInFlight),
		OnResult: func(r load.Result) {
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, outcome{Result: r, due: r.Due.Sub(begin)})
		},
	})
	if err != nil {
		return nil, nil, err
	}
	report := g.Run(ctx)
	return report, outcomes, ctx.Err()
}

// act runs the actions at their scheduled times.
func (c *Cluster) act(ctx context.Context, actions []Action, begin time.Time) []ActionReport {
	var done []ActionReport
	for _, a := range actions {
		t := time.NewTimer(time.Until(begin.Add(a.At)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return done
		}
		at := time.Since(begin)
		r := ActionReport{Name: a.Name, AtSeconds: at.Seconds()}
		if err := a.Do(ctx, c); err != nil {
			r.Error = err.Error()
		}
		r.TookSeconds = (time.Since(begin) - at).Seconds()
		done = append(done, r)
		c.env.Logger.Info().Str("action", a.Name).Float64("atSeconds", r.AtSeconds).Str("error", r.Error).Msg("action done")
	}
	return done
}

// records returns the executions that began at or after the time, by stage.
func (c *Cluster) records(begin time.Time) map[string][]upstream.Record {
	records := make(map[string][]upstream.Record)
	for _, u := range c.upstreams {
		for _, r := range u.standin.Records() {
			if !r.StartedAt.Before(begin) {
				records[u.Stage.Name] = append(records[u.Stage.Name], r)
			}
		}
	}
	return records
}

// collapses returns the number of overload collapses so far, by stage.
func (c *Cluster) collapses() map[string]int {
	n := make(map[string]int)
	for _, u := range c.upstreams {
		n[u.Stage.Name] += u.standin.State().Collapses
	}
	return n
}

// acceptedOrders returns the number of orders that engines accepted so far.
func (c *Cluster) acceptedOrders() int {
	n := 0
	for _, u := range c.upstreams {
		for _, o := range ordersOf(u) {
			if o.Accepted {
				n++
			}
		}
	}
	return n
}

func (c *Cluster) unrecorded() int {
	n := 0
	for _, u := range c.upstreams {
		n += u.standin.State().RecordsDropped
	}
	return n
}

func (c *Cluster) platformCalls() int64 {
	if c.platform.Calls == nil {
		return 0
	}
	return c.platform.Calls()
}
