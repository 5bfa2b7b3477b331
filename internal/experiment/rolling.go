package experiment

import (
	"context"
	"slices"
	"time"
)

// Metrics of a rolling replacement.
const (
	// MetricReplaced is the number of upstreams that were replaced, and MetricNotReady
	// that of new ones that were not ready within replaceTimeout.
	MetricReplaced = "rolling.replaced"
	MetricNotReady = "rolling.notReady"
	// MetricReplacementSeconds is the sum of the times in seconds of all replacements, each
	// from the start of the new upstream until the old one has shut down.
	MetricReplacementSeconds = "rolling.seconds"
)

const (
	// replacedStage is the stage that a rolling replacement replaces.
	replacedStage = "generate"
	// replaceTimeout bounds the wait for one new upstream.
	replaceTimeout = 20 * time.Second
)

// Readiness is the condition for a new upstream to count as ready.
type Readiness string

// Readiness conditions; each includes ReadyListening.
const (
	// ReadyListening means that the sidecar responds on /healthz.
	ReadyListening Readiness = "listening"
	// ReadyRouted means that entries have routed a first call to the upstream.
	ReadyRouted Readiness = "routed"
	// ReadyWarm means that the upstream's warm-up is complete.
	ReadyWarm Readiness = "warm"
)

// Replace starts a new, cold upstream with its sidecar while the named one keeps running,
// waits until it is ready, gracefully shuts down the old sidecar and then stops the old
// upstream. A system without sidecars, whose list of upstreams is fixed, is not affected.
func (c *Cluster) Replace(ctx context.Context, name string, ready Readiness) error {
	old := c.upstream(name)
	i := slices.IndexFunc(c.sidecars, func(p *Process) bool { return p.Name == sidecarName(name) })
	if old == nil || i < 0 {
		return nil
	}
	leaving := c.sidecars[i]
	begin := time.Now()
	replacement, err := c.startReplacement(ctx, old)
	if err != nil {
		return err
	}
	if !c.awaitReadiness(ctx, replacement, c.sidecars[len(c.sidecars)-1], ready) {
		c.count(MetricNotReady, 1)
	}
	c.sidecars = slices.DeleteFunc(c.sidecars, func(p *Process) bool { return p == leaving })
	c.stop(ctx, leaving, true)
	old.stop()
	// Restart aborts the calls in flight and makes the stand-in cold; it does not listen again.
	old.standin.Restart()
	c.count(MetricReplaced, 1)
	c.count(MetricReplacementSeconds, time.Since(begin).Seconds())
	return nil
}

// startReplacement starts an upstream like the old one with a new name, and its sidecar.
func (c *Cluster) startReplacement(ctx context.Context, old *runningUpstream) (*runningUpstream, error) {
	spec := old.UpstreamSpec
	spec.Name += "-next"
	replacement, err := startUpstream(ctx, spec, c.env.Seed+uint64(len(c.upstreams)))
	if err != nil {
		return nil, err
	}
	c.upstreams = append(c.upstreams, replacement)
	c.env.Network.Register(replacement.address, Endpoint{Process: replacement.Name, FailureDomain: replacement.FailureDomain})
	return replacement, c.startSidecar(ctx, replacement)
}

// awaitReadiness reports whether the upstream became ready within replaceTimeout.
func (c *Cluster) awaitReadiness(ctx context.Context, u *runningUpstream, sidecar *Process, ready Readiness) bool {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if isReady(ctx, u, sidecar, ready) {
			return true
		}
		time.Sleep(readyPoll)
	}
	return false
}

// isReady queries the sidecar and the stand-in and does not depend on the state that the
// system itself reports.
func isReady(ctx context.Context, u *runningUpstream, sidecar *Process, ready Readiness) bool {
	s := u.standin.State()
	switch ready {
	case ReadyRouted:
		return s.Records > 0 && isListening(ctx, sidecar)
	case ReadyWarm:
		return s.Warmth >= 1 && isListening(ctx, sidecar)
	default:
		return isListening(ctx, sidecar)
	}
}

func isListening(ctx context.Context, sidecar *Process) bool {
	return sidecar.Ready == nil || sidecar.Ready(ctx) == nil
}

// RollingScenario replaces the upstreams of the generating stage one after the other, each
// as soon as the replacement before it has finished.
func RollingScenario(t Topology, ready Readiness, name string) Scenario {
	s := baseScenario(name, withWarmUp(t, replacedStage, rollingWarmUp))
	s.ActsOn = []string{targetUpstreams, targetProcesses}
	const begin = 5 * time.Second
	end := begin
	for _, u := range t.Upstreams() {
		if u.Stage.Name != replacedStage {
			continue
		}
		s.Actions = append(s.Actions, Action{Name: "replace " + u.Name, At: begin, Do: func(ctx context.Context, c *Cluster) error {
			return c.Replace(ctx, u.Name, ready)
		}})
		end += rollingStep
	}
	s.Phases = []Phase{{Duration: end + 10*time.Second, Load: steadyLoad}}
	s.Windows = []Window{
		{Name: windowBefore, To: begin},
		{Name: "rolling", From: begin, To: end},
		{Name: windowAfter, From: end, To: end + 10*time.Second},
	}
	s.Bounds = append(invariantBounds(),
		Bound{Metric: MetricReplaced, Value: float64(len(s.Actions))},
		Bound{Metric: DropMetric("rolling"), IsUpper: true, Value: 0.01},
		Bound{Metric: MetricShutdownsFailed, IsUpper: true},
		Bound{Metric: MetricCollapses, IsUpper: true})
	return s
}

const (
	// rollingWarmUp is several times as long as a replacement that does not wait for the
	// warm-up, as in production, where the warm-up takes minutes. A shorter one would end
	// before the next upstream is replaced, and the scenario would show no effect.
	rollingWarmUp = 3 * warmUp
	// rollingStep is the time for one replacement that waits until the warm-up is complete.
	rollingStep = rollingWarmUp + warmUp
)

// withWarmUp returns the topology with the warm-up time of one stage replaced.
func withWarmUp(t Topology, stage string, d time.Duration) Topology {
	t.Stages = slices.Clone(t.Stages)
	for i := range t.Stages {
		if t.Stages[i].Name == stage {
			t.Stages[i].WarmUpMs = d.Milliseconds()
		}
	}
	return t
}
