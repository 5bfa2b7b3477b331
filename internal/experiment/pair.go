package experiment

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Targets of the faults of scenarios. Two scenarios with a common target can't be combined,
// because one would undo the fault of the other.
const (
	targetLoad      = "the load"
	targetUpstreams = "the upstreams of the generating stage"
	targetProcesses = "sidecars that end and start again"
	targetEntries   = "entries that end"
	targetStore     = "the object API"
	targetNetwork   = "the network"
)

// Combine returns a scenario with the faults of both, each at its own time. It has the load
// of the scenario whose faults act on the load, or else the lower one. The error states why
// the scenarios can't be combined.
func Combine(a, b Scenario) (Scenario, error) {
	if a.Name == b.Name {
		return Scenario{}, errors.Errorf("scenario %s can't be combined with itself", a.Name)
	}
	for _, s := range []Scenario{a, b} {
		if len(s.ActsOn) == 0 {
			return Scenario{}, errors.Errorf("scenario %s has no fault to combine", s.Name)
		}
	}
	for _, on := range a.ActsOn {
		if slices.Contains(b.ActsOn, on) {
			return Scenario{}, errors.Errorf("scenarios %s and %s both act on %s", a.Name, b.Name, on)
		}
	}
	for _, pair := range [][2]Scenario{{a, b}, {b, a}} {
		if pair[0].Commits && slices.Contains(pair[1].ActsOn, targetStore) {
			return Scenario{}, errors.Errorf("scenario %s changes the configuration at fixed times, which %s may prevent", pair[0].Name, pair[1].Name)
		}
	}
	s := a
	s.Name = a.Name + "+" + b.Name
	s.StartWarm = a.StartWarm && b.StartWarm
	if len(b.WarmUp) == 0 {
		s.WarmUp = nil
	}
	if slices.Contains(b.ActsOn, targetUpstreams) {
		s.Topology = b.Topology
	}
	s.Retries = max(a.Retries, b.Retries)
	s.Phases = combinePhases(a, b)
	s.ActsOn = slices.Concat(a.ActsOn, b.ActsOn)
	s.Commits = a.Commits || b.Commits
	s.Actions = append(prefixActions(a), prefixActions(b)...)
	slices.SortStableFunc(s.Actions, func(x, y Action) int { return cmp.Compare(x.At, y.At) })
	s.Windows = combineWindows(a, b)
	s.Bounds = invariantBounds()
	return s, nil
}

// CombineNamed combines two scenarios given by a name such as "store-down+domain-death".
func CombineNamed(all []Scenario, name string) (Scenario, error) {
	parts := strings.Split(name, "+")
	if len(parts) != 2 {
		return Scenario{}, errors.Errorf("%q is not two scenarios", name)
	}
	found := make([]Scenario, len(parts))
	for i, part := range parts {
		at := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == part })
		if at < 0 {
			return Scenario{}, errors.Errorf("no scenario %q", part)
		}
		found[i] = all[at]
	}
	return Combine(found[0], found[1])
}

func (s Scenario) duration() time.Duration {
	var d time.Duration
	for _, p := range s.Phases {
		d += p.Duration
	}
	return d
}

// combinePhases returns the load of the pair, which takes as long as the longer scenario.
func combinePhases(a, b Scenario) []Phase {
	longest := max(a.duration(), b.duration())
	phases := []Phase{{Load: min(a.Phases[0].Load, b.Phases[0].Load)}}
	for _, s := range []Scenario{a, b} {
		if slices.Contains(s.ActsOn, targetLoad) {
			phases = slices.Clone(s.Phases)
		}
	}
	var d time.Duration
	for _, p := range phases {
		d += p.Duration
	}
	phases[len(phases)-1].Duration += longest - d
	return phases
}

// prefixActions returns the actions with the scenario's name as a prefix of their names.
func prefixActions(s Scenario) []Action {
	actions := slices.Clone(s.Actions)
	for i := range actions {
		actions[i].Name = s.Name + "." + actions[i].Name
	}
	return actions
}

// combineWindows returns the windows of both scenarios with the scenario's name as a prefix
// of their names. If both have a window before the faults, it keeps one, as long as the
// shorter of them.
func combineWindows(a, b Scenario) []Window {
	var windows []Window
	var before []Window
	for _, s := range []Scenario{a, b} {
		for _, w := range s.Windows {
			if w.Name == windowBefore {
				before = append(before, w)
				continue
			}
			w.Name = s.Name + "." + w.Name
			windows = append(windows, w)
		}
	}
	if len(before) < 2 {
		return windows
	}
	before[0].To = min(before[0].To, before[1].To)
	return append(before[:1], windows...)
}
