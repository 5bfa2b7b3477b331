package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// smallTopology returns a topology with a low capacity, so that runs need few resources.
func smallTopology() Topology {
	t := Okafor()
	for i := range t.Stages {
		t.Stages[i].Capacity = 5
		t.Stages[i].ColdCapacity = 5
	}
	return t
}

// Guards against topologies that the system would reject or that can't be measured.
func TestTopologiesAreValid(t *testing.T) {
	for _, topology := range []Topology{Okafor(), Lumiere()} {
		if _, err := fleet.New(1, topology.Document()); err != nil {
			t.Errorf("%s: %v", topology.Name, err)
		}
		if c := topology.Capacity(); c < 50 || math.IsInf(c, 0) {
			t.Errorf("%s: the capacity is %v", topology.Name, c)
		}
		for _, s := range Scenarios(topology) {
			end := time.Duration(0)
			for _, p := range s.Phases {
				end += p.Duration
			}
			for _, w := range s.Windows {
				if w.From >= w.To || w.To > end {
					t.Errorf("%s: window %+v is outside of the load", s.Name, w)
				}
			}
			for _, a := range s.Actions {
				if a.At >= end {
					t.Errorf("%s: action %s is outside of the load", s.Name, a.Name)
				}
			}
		}
	}
	if o := Okafor(); len(o.FailureDomains) != 4 || len(o.Upstreams()) != 31 {
		t.Errorf("okafor has %d domains and %d upstreams", len(o.FailureDomains), len(o.Upstreams()))
	}
	if l := Lumiere(); len(l.FailureDomains) != 3 || len(l.Upstreams()) != 41 {
		t.Errorf("lumiere has %d domains and %d upstreams", len(l.FailureDomains), len(l.Upstreams()))
	}
}

// Guards against engines without a model: the reconciler would make each of them load one,
// so that it becomes cold during the measurement.
func TestEnginesStartWithTheirModel(t *testing.T) {
	for _, spec := range Okafor().Upstreams() {
		if spec.Stage.Model == "" {
			continue
		}
		u, err := startUpstream(context.Background(), spec, 1)
		if err != nil {
			t.Fatal(err)
		}
		d, ok, err := engine.New(engine.Config{BaseURL: u.URL}, nil).Describe(context.Background())
		u.stop()
		if err != nil || !ok || d.Model != spec.Stage.Model {
			t.Errorf("%s serves the model %q: %v", spec.Name, d.Model, err)
		}
	}
}

// Guards against a harness that measures nothing, or that can't stop and start processes
// during a run.
func TestBaselineRunsEndToEnd(t *testing.T) {
	s := baseScenario("trial", smallTopology())
	s.WarmUp = []Phase{{Duration: 200 * time.Millisecond, Load: 0.1}}
	s.Phases = []Phase{{Duration: 1400 * time.Millisecond, Load: 0.1}}
	s.Windows = []Window{{Name: "before", To: 400 * time.Millisecond}, {Name: "after", From: 400 * time.Millisecond, To: 1400 * time.Millisecond}}
	s.Actions = []Action{
		{Name: "out", At: 400 * time.Millisecond, Do: func(ctx context.Context, c *Cluster) error {
			return c.SetOutOfService(ctx, c.Domain(1), true)
		}},
		{Name: "kill", At: 700 * time.Millisecond, Do: func(_ context.Context, c *Cluster) error {
			c.KillDomain(c.Domain(1))
			return nil
		}},
		{Name: "start", At: time.Second, Do: func(ctx context.Context, c *Cluster) error {
			if err := c.StartDomain(ctx, c.Domain(1)); err != nil {
				return err
			}
			return c.SetOutOfService(ctx, c.Domain(1), false)
		}},
	}
	s.Bounds = append(invariantBounds(), Bound{Metric: "no such metric"})
	c, err := Compare(context.Background(), Plan{Scenario: s, Systems: []System{RoundRobin()}, Runs: 2, Seed: 7, Logger: discardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	m := c.Metrics["roundRobin"]
	for _, r := range c.Reports {
		if r.Load.Total.Completed == 0 || r.Metrics[StageMetric("dispatch", "runs")] == 0 || len(r.Actions) != 3 {
			t.Errorf("got %+v with metrics %v", r.Load.Total, r.Metrics)
		}
	}
	for _, metric := range []string{MetricWrongAnswers, MetricLost, MetricMisdelivered, MetricUnrecorded} {
		if m[metric].Value != 0 {
			t.Errorf("%s is %v", metric, m[metric].Value)
		}
	}
	if c.Kept() {
		t.Error("a bound on a metric that was not measured counts as kept")
	}
	var text, doc bytes.Buffer
	if err := c.WriteText(&text); err != nil || !strings.Contains(text.String(), "NOT KEPT: no such metric was not measured") {
		t.Errorf("got %v and %s", err, text.String())
	}
	if err := c.WriteJSON(&doc); err != nil || !json.Valid(doc.Bytes()) {
		t.Errorf("got %v", err)
	}
}

// Guards against a run that continues after a failed start, or that hides a failed action.
func TestFailuresEndTheRun(t *testing.T) {
	s := baseScenario("trial", smallTopology())
	s.WarmUp = nil
	s.Phases = []Phase{{Duration: 50 * time.Millisecond, Load: 0.1}}
	s.Actions = []Action{{Name: "bad", Do: func(context.Context, *Cluster) error { return errors.New("no") }}}
	if _, err := Run(context.Background(), s, RoundRobin(), 1, discardLogger()); err == nil || !strings.Contains(err.Error(), "action bad") {
		t.Errorf("got %v", err)
	}
	broken := RoundRobin()
	broken.StartEntry = func(context.Context, EntrySpec, *Platform, Environment) (*Process, error) {
		return nil, errors.New("no entry")
	}
	if _, err := Run(context.Background(), s, broken, 1, discardLogger()); err == nil || !strings.Contains(err.Error(), "no entry") {
		t.Errorf("got %v", err)
	}
}

// Guards against a killed process that does not end and blocks the measurement for ever.
func TestStuckProcessFailsTheRun(t *testing.T) {
	s := baseScenario("trial", smallTopology())
	s.StartWarm, s.WarmUp = true, nil
	s.Phases = []Phase{{Duration: 50 * time.Millisecond, Load: 0.1}}
	system := RoundRobin()
	system.KillTimeout = 100 * time.Millisecond
	start := system.StartEntry
	release := make(chan struct{})
	defer close(release)
	system.StartEntry = func(ctx context.Context, spec EntrySpec, p *Platform, env Environment) (*Process, error) {
		e, err := start(ctx, spec, p, env)
		if err == nil && spec.Name == "entry-0" {
			kill := e.Kill
			e.Kill = func() { kill(); <-release }
		}
		return e, err
	}
	if _, err := Run(context.Background(), s, system, 1, discardLogger()); err == nil || !strings.Contains(err.Error(), "entry-0") {
		t.Errorf("got %v", err)
	}
}

// Guards against an audit that misses lost, doubled or misdelivered bookings.
func TestAudit(t *testing.T) {
	topology := Okafor()
	var visit PipelineSpec
	for _, p := range topology.Pipelines {
		if p.Name == "visit" {
			visit = p
		}
	}
	newOutcome := func(id string, o load.Outcome) outcome {
		return outcome{Result: load.Result{Pipeline: "visit", Input: json.RawMessage(`"` + id + `"`), Outcome: o}}
	}
	ran := func(id string, state upstream.RecordState) upstream.Record {
		last, err := topology.ExpectedPipeline(visit).LastStageInput(json.RawMessage(`"`+id+`"`), 0)
		if err != nil {
			t.Fatal(err)
		}
		return upstream.Record{Digest: upstream.Digest(last), State: state}
	}
	outcomes := []outcome{
		newOutcome("good", load.Completed), newOutcome("lost", load.Completed), newOutcome("twice", load.Completed),
		newOutcome("ran", load.NotStarted), newOutcome("not-run", load.NotStarted), newOutcome("unknown", load.Unknown), newOutcome("aborted", load.Unknown),
	}
	records := map[string][]upstream.Record{"dispatch": {
		ran("good", upstream.RecordDone), ran("twice", upstream.RecordDone), ran("twice", upstream.RecordRunning), ran("ran", upstream.RecordDone),
		ran("unknown", upstream.RecordDone), ran("aborted", upstream.RecordAborted), ran("foreign", upstream.RecordDone),
	}}
	m := make(map[string]float64)
	if err := audit(topology, outcomes, records, m); err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{MetricLost: 1, MetricDoubled: 1, MetricRanNotStarted: 1, MetricMisdelivered: 1, MetricBookingsUnknown: 2}
	for metric, v := range want {
		if m[metric] != v {
			t.Errorf("%s is %v, want %v", metric, m[metric], v)
		}
	}
}

// Guards against windows and recovery times that are computed from the wrong requests.
func TestWindowsAndRecovery(t *testing.T) {
	s := Scenario{
		Topology: Okafor(),
		Phases:   []Phase{{Duration: 10 * time.Second}},
		Windows:  []Window{{Name: "before", To: 2 * time.Second}, {Name: "sick", From: 2 * time.Second, To: 6 * time.Second}},
		Actions:  []Action{{Name: "death", At: 2 * time.Second}, {Name: "again", At: 8 * time.Second}},
	}
	var outcomes []outcome
	for i := range 1000 {
		due := time.Duration(i) * 10 * time.Millisecond
		good := due < 2*time.Second || due >= 4*time.Second
		o := outcome{due: due, Result: load.Result{Outcome: load.Completed, WithinDeadline: good, Latency: time.Millisecond}}
		if i%2 == 0 {
			o.Key = "k"
		}
		outcomes = append(outcomes, o)
	}
	m := make(map[string]float64)
	callerMetrics(s, outcomes, m)
	want := map[string]float64{
		MetricAttainment: 0.8, AttainmentMetric("before"): 1, AttainmentMetric("sick"): 0.5, DropMetric("sick"): 0.5,
		UnkeyedDropMetric("sick"): 0.5, RecoveryMetric("death"): 2, RecoveryMetric("again"): 0, MetricFailed: 0,
	}
	for metric, v := range want {
		if got := m[metric]; math.Abs(got-v) > 1e-9 {
			t.Errorf("%s is %v, want %v", metric, got, v)
		}
	}
}

// Guards against lower bounds that are checked as upper ones, and the other way round.
func TestVerdicts(t *testing.T) {
	c := &Comparison{Systems: []string{"a", "b"}, Metrics: map[string]map[string]Summary{"b": {"x": {Value: 5}}}}
	c.judge([]Bound{{Metric: "x", Value: 4}, {Metric: "x", Value: 5}, {Metric: "x", Value: 6}, {Metric: "x", IsUpper: true, Value: 4}, {Metric: "x", IsUpper: true, Value: 5}, {Metric: "x", IsUpper: true, Value: 6}})
	for i, kept := range []bool{true, true, false, false, true, true} {
		if c.Verdicts[i].Kept != kept {
			t.Errorf("verdict %d: %s", i, c.Verdicts[i])
		}
	}
}

// Guards against processes that are shut down one after the other, which takes longer than
// operators take, and against the loss of the error of one of them.
func TestDomainShutsDownConcurrently(t *testing.T) {
	c := &Cluster{platform: &Platform{}, env: Environment{Logger: discardLogger(), Network: NewNetwork(NetworkDelays{})}}
	var together sync.WaitGroup
	together.Add(3)
	for _, name := range []string{"a", "b", "c"} {
		leave := func(context.Context) error {
			together.Done()
			together.Wait()
			if name == "b" {
				return errors.New("stays")
			}
			return nil
		}
		c.sidecars = append(c.sidecars, &Process{Name: name, Record: fleet.InstanceRecord{FailureDomain: "x"}, Leave: leave})
	}
	if err := c.ShutDownDomain(context.Background(), "x"); err == nil || !strings.Contains(err.Error(), "shutting down b") {
		t.Errorf("got %v", err)
	}
	if len(c.sidecars) != 0 {
		t.Errorf("%d sidecars are left", len(c.sidecars))
	}
}
