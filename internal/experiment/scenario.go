package experiment

import (
	"context"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

// Phase is a period of constant load.
type Phase struct {
	Duration time.Duration
	// Load is the arrival rate as a fraction of the topology's capacity.
	Load float64
}

// Action is a fault or a change at a scheduled time.
type Action struct {
	Name string
	// At is the time from the start of the load.
	At time.Duration
	Do func(ctx context.Context, c *Cluster) error
}

// Window is a period of the load for which metrics are reported separately.
type Window struct {
	Name string
	// From and To are times from the start of the load. A request belongs to the
	// window of its scheduled send time.
	From, To time.Duration
}

// Bound is a limit on a metric.
type Bound struct {
	Metric string
	// IsUpper is set if Value is the largest allowed value, otherwise it is the smallest.
	IsUpper bool
	Value   float64
}

// Scenario is one measurement.
type Scenario struct {
	Name     string
	Topology Topology
	// StartWarm starts the upstreams warm; they are cold again after a restart.
	StartWarm bool
	// WarmUp is the load before the measured part, in which the system under test adapts
	// its limits to the upstreams.
	WarmUp  []Phase
	Phases  []Phase
	Actions []Action
	// Windows are relative to the start of the measured part.
	Windows []Window
	Bounds  []Bound
	// ActsOn lists what the faults act on and is empty without faults. Commits is set if
	// the actions change the configuration.
	ActsOn  []string
	Commits bool
	// NetworkDelays are the delays between the processes; the zero value adds none.
	NetworkDelays NetworkDelays
	// Retries is the number of further entries that a caller tries.
	Retries int
}

// Scale multiplies the times of phases, actions and windows by the factor, for trials. The
// results can't be compared with those of the unscaled scenario.
func (s Scenario) Scale(factor float64) Scenario {
	scale := func(d time.Duration) time.Duration { return time.Duration(float64(d) * factor) }
	s.WarmUp = scalePhases(s.WarmUp, scale)
	s.Phases = scalePhases(s.Phases, scale)
	actions := make([]Action, len(s.Actions))
	for i, a := range s.Actions {
		a.At = scale(a.At)
		actions[i] = a
	}
	windows := make([]Window, len(s.Windows))
	for i, w := range s.Windows {
		w.From, w.To = scale(w.From), scale(w.To)
		windows[i] = w
	}
	s.Actions, s.Windows = actions, windows
	return s
}

func scalePhases(phases []Phase, scale func(time.Duration) time.Duration) []Phase {
	scaled := make([]Phase, len(phases))
	for i, p := range phases {
		scaled[i] = Phase{Duration: scale(p.Duration), Load: p.Load}
	}
	return scaled
}

func (s Scenario) loadPhases(phases []Phase) []load.Phase {
	capacity := s.Topology.Capacity()
	out := make([]load.Phase, len(phases))
	for i, p := range phases {
		out[i] = load.Phase{Rate: p.Load * capacity, Duration: p.Duration}
	}
	return out
}

// Loads of scenarios as fractions of the capacity. coldLoad is a load that cold upstreams
// can handle.
const (
	steadyLoad = 0.7
	coldLoad   = 0.12
)

func warmUpPhases() []Phase {
	return []Phase{
		{Duration: 3 * warmUp, Load: coldLoad},
		{Duration: warmUp, Load: steadyLoad / 2},
		{Duration: warmUp, Load: steadyLoad},
	}
}

func baseScenario(name string, t Topology) Scenario {
	return Scenario{Name: name, Topology: t, StartWarm: true, WarmUp: warmUpPhases(), NetworkDelays: DefaultNetworkDelays(), Retries: 1}
}

// invariantBounds returns the bounds of every scenario: the invariants, as the audit and the
// callers' responses show them.
func invariantBounds() []Bound {
	return []Bound{
		{Metric: MetricDoubled, IsUpper: true},
		{Metric: MetricLost, IsUpper: true},
		{Metric: MetricRanNotStarted, IsUpper: true},
		{Metric: MetricMisdelivered, IsUpper: true},
		{Metric: MetricWrongAnswers, IsUpper: true},
	}
}

// SteadyScenario is a load of 70 % of the capacity.
func SteadyScenario(t Topology) Scenario {
	s := baseScenario("steady", t)
	s.Phases = []Phase{{Duration: 15 * time.Second, Load: steadyLoad}}
	s.Bounds = append(invariantBounds(), Bound{Metric: MetricAttainment, Value: 0.995}, Bound{Metric: MetricCollapses, IsUpper: true})
	return s
}

// BurstScenario is a burst of 3 times the steady load, followed by a sustained load of 2
// times the steady one.
func BurstScenario(t Topology) Scenario {
	s := baseScenario("burst", t)
	s.ActsOn = []string{targetLoad}
	s.Phases = []Phase{
		{Duration: 5 * time.Second, Load: steadyLoad},
		{Duration: 5 * time.Second, Load: 3 * steadyLoad},
		{Duration: 10 * time.Second, Load: 2 * steadyLoad},
		{Duration: 10 * time.Second, Load: steadyLoad},
	}
	s.Windows = []Window{
		{Name: windowBefore, To: 5 * time.Second},
		{Name: "burst", From: 5 * time.Second, To: 10 * time.Second},
		{Name: "sustained", From: 10 * time.Second, To: 20 * time.Second},
		{Name: windowAfter, From: 22 * time.Second, To: 30 * time.Second},
	}
	s.Bounds = append(invariantBounds(),
		Bound{Metric: MetricCritical, Value: 0.99},
		Bound{Metric: GoodputMetric("sustained"), Value: 0.9},
		Bound{Metric: AttainmentMetric(windowAfter), Value: 0.985},
		Bound{Metric: MetricCollapses, IsUpper: true})
	return s
}

// FaultyUpstreamScenario injects the faults, such as calls that fail or are 10 times slower,
// into one upstream of the generating stage for a part of the run.
func FaultyUpstreamScenario(t Topology, f upstream.Faults, name string) Scenario {
	s := baseScenario(name, t)
	s.ActsOn = []string{targetUpstreams}
	s.Phases = []Phase{{Duration: 25 * time.Second, Load: steadyLoad}}
	set := func(f upstream.Faults) func(context.Context, *Cluster) error {
		return func(_ context.Context, c *Cluster) error { return c.SetUpstreamFaults("generate-0", f) }
	}
	s.Actions = []Action{
		{Name: "sick", At: 5 * time.Second, Do: set(f)},
		{Name: "healthy", At: 18 * time.Second, Do: set(upstream.Faults{})},
	}
	s.Windows = []Window{
		{Name: windowBefore, To: 5 * time.Second},
		{Name: "sick", From: 5 * time.Second, To: 18 * time.Second},
		{Name: windowAfter, From: 20 * time.Second, To: 25 * time.Second},
	}
	s.Bounds = append(invariantBounds(),
		Bound{Metric: DropMetric("sick"), IsUpper: true, Value: 0.01},
		Bound{Metric: MetricRunsPerStage, IsUpper: true, Value: 1.05})
	return s
}

// DomainMaintenanceScenario takes a failure domain out of service, shuts it down and
// returns it to service, at 60 % of the remaining capacity.
func DomainMaintenanceScenario(t Topology) Scenario {
	s := baseScenario("domain-planned", t)
	s.ActsOn, s.Commits = []string{targetProcesses}, true
	remaining := float64(len(t.FailureDomains)-1) / float64(len(t.FailureDomains))
	s.Phases = []Phase{{Duration: 30 * time.Second, Load: 0.85 * steadyLoad * remaining}}
	s.Actions = []Action{
		{Name: "out", At: 5 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
			return c.SetOutOfService(ctx, c.Domain(1), true)
		}},
		{Name: "shut-down", At: 9 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
			return c.ShutDownDomain(ctx, c.Domain(1))
		}},
		{Name: "start", At: 16 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
			return c.StartDomain(ctx, c.Domain(1))
		}},
		{Name: "in", At: 18 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
			return c.SetOutOfService(ctx, c.Domain(1), false)
		}},
	}
	s.Windows = []Window{
		{Name: windowBefore, To: 5 * time.Second},
		{Name: "out", From: 5 * time.Second, To: 18 * time.Second},
		{Name: "back", From: 18 * time.Second, To: 30 * time.Second},
	}
	s.Bounds = append(invariantBounds(),
		Bound{Metric: MetricFailed, IsUpper: true},
		Bound{Metric: DropMetric("out"), IsUpper: true, Value: 0.01},
		Bound{Metric: DropMetric("back"), IsUpper: true, Value: 0.01},
		Bound{Metric: MetricCollapses, IsUpper: true})
	return s
}

// DomainFailureScenario kills all processes of a failure domain and starts them again.
func DomainFailureScenario(t Topology) Scenario {
	s := baseScenario("domain-death", t)
	s.ActsOn = []string{targetProcesses}
	remaining := float64(len(t.FailureDomains)-1) / float64(len(t.FailureDomains))
	s.Phases = []Phase{{Duration: 30 * time.Second, Load: 0.85 * steadyLoad * remaining}}
	s.Actions = []Action{
		{Name: "death", At: 5 * time.Second, Do: func(_ context.Context, c *Cluster) error {
			c.KillDomain(c.Domain(1))
			return nil
		}},
		{Name: "start", At: 15 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
			return c.StartDomain(ctx, c.Domain(1))
		}},
	}
	s.Windows = []Window{
		{Name: windowBefore, To: 5 * time.Second},
		{Name: "death", From: 5 * time.Second, To: 7 * time.Second},
		{Name: "without", From: 7 * time.Second, To: 15 * time.Second},
		{Name: "back", From: 15 * time.Second, To: 30 * time.Second},
	}
	s.Bounds = append(invariantBounds(),
		Bound{Metric: RecoveryMetric("death"), IsUpper: true, Value: 2},
		Bound{Metric: DropMetric("without"), IsUpper: true, Value: 0.01},
		Bound{Metric: DropMetric("back"), IsUpper: true, Value: 0.01},
		Bound{Metric: MetricCollapses, IsUpper: true})
	return s
}

// ColdScenario starts with the steady load on cold upstreams and later makes a fraction of
// the upstreams of the generating stage cold without notice.
func ColdScenario(t Topology) Scenario {
	s := baseScenario("cold", t)
	s.ActsOn = []string{targetUpstreams}
	s.StartWarm, s.WarmUp = false, nil
	s.Phases = []Phase{{Duration: 25 * time.Second, Load: steadyLoad}}
	s.Actions = []Action{{Name: "cold", At: 12 * time.Second, Do: func(_ context.Context, c *Cluster) error {
		return c.SetCold("generate", coldFraction)
	}}}
	s.Windows = []Window{
		{Name: "start", To: 2 * warmUp},
		{Name: "warm", From: 2*warmUp + time.Second, To: 12 * time.Second},
		{Name: "cold", From: 12 * time.Second, To: 12*time.Second + 2*warmUp},
		{Name: windowAfter, From: 12*time.Second + 2*warmUp + time.Second, To: 25 * time.Second},
	}
	s.Bounds = append(invariantBounds(),
		Bound{Metric: MetricCollapses, IsUpper: true},
		Bound{Metric: AttainmentMetric("warm"), Value: 0.99},
		Bound{Metric: AttainmentMetric(windowAfter), Value: 0.99})
	return s
}

// windowBefore is the window that drops are relative to.
const windowBefore = "before"

// windowAfter is a window after the faults, in which the system should have recovered. In
// EntryKillScenario it begins with the first fault and contains the second.
const windowAfter = "after"

// coldFraction is the fraction of the upstreams of a stage that become cold together.
const coldFraction = 0.25

// StoreScenario injects the faults into the object API for a minute.
func StoreScenario(t Topology, f PlatformFaults, name string) Scenario {
	s := baseScenario(name, t)
	s.ActsOn = []string{targetStore}
	s.Phases = []Phase{{Duration: 75 * time.Second, Load: steadyLoad / 2}}
	set := func(f PlatformFaults) func(context.Context, *Cluster) error {
		return func(_ context.Context, c *Cluster) error {
			c.SetPlatformFaults(f)
			return nil
		}
	}
	s.Actions = []Action{
		{Name: "store", At: 5 * time.Second, Do: set(f)},
		{Name: "healthy", At: 65 * time.Second, Do: set(PlatformFaults{})},
	}
	s.Windows = []Window{
		{Name: windowBefore, To: 5 * time.Second},
		{Name: "store", From: 5 * time.Second, To: 65 * time.Second},
		{Name: windowAfter, From: 67 * time.Second, To: 75 * time.Second},
	}
	s.Bounds = append(invariantBounds(), Bound{Metric: UnkeyedDropMetric("store"), IsUpper: true, Value: 0.01})
	return s
}

// EntryKillScenario kills two entries one after the other, under load that includes bookings.
func EntryKillScenario(t Topology) Scenario {
	s := baseScenario("entry-kill", t)
	s.ActsOn = []string{targetEntries}
	s.Retries = 2
	s.Phases = []Phase{{Duration: 20 * time.Second, Load: steadyLoad / 2}}
	s.Actions = []Action{
		{Name: "kill", At: 5 * time.Second, Do: func(_ context.Context, c *Cluster) error {
			c.KillEntry(0)
			return nil
		}},
		{Name: "kill-another", At: 10 * time.Second, Do: func(_ context.Context, c *Cluster) error {
			c.KillEntry(1)
			return nil
		}},
	}
	s.Windows = []Window{
		{Name: windowBefore, To: 5 * time.Second},
		{Name: windowAfter, From: 5 * time.Second, To: 20 * time.Second},
	}
	s.Bounds = invariantBounds()
	return s
}

// Scenarios returns all scenarios on the topology.
func Scenarios(t Topology) []Scenario {
	return []Scenario{
		SteadyScenario(t),
		BurstScenario(t),
		FaultyUpstreamScenario(t, upstream.Faults{SlowFactor: 10}, "upstream-slow"),
		FaultyUpstreamScenario(t, upstream.Faults{FailRatio: 1}, "upstream-failing"),
		DomainMaintenanceScenario(t),
		DomainFailureScenario(t),
		ColdScenario(t),
		StoreScenario(t, PlatformFaults{Down: true}, "store-down"),
		StoreRestartScenario(t),
		StoreScenario(t, PlatformFaults{DelayMs: 300}, "store-slow"),
		StoreScenario(t, PlatformFaults{LoseRatio: 0.2}, "store-lossy"),
		EntryKillScenario(t),
		LeasePausedScenario(t),
		BlackHoleScenario(t),
		RollingScenario(t, ReadyListening, "rolling"),
		RollingScenario(t, ReadyRouted, "rolling-routed"),
		RollingScenario(t, ReadyWarm, "rolling-warm"),
	}
}
