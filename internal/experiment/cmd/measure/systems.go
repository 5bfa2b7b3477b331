package main

import (
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/experiment"
	"bergamotrudder.example/bergamotrudder/internal/localfleet"
)

// noBaseline selects no baseline.
const noBaseline = "none"

// systems returns the systems to compare: the named baselines, and the current version
// last, to which the bounds apply.
func systems(baselines []string) ([]experiment.System, error) {
	var all []experiment.System
	for _, name := range baselines {
		switch name {
		case "roundRobin":
			all = append(all, experiment.RoundRobin())
		case "staticLimits":
			all = append(all, experiment.StaticLimits())
		case noBaseline:
		default:
			return nil, errors.Errorf("no baseline %q; there are roundRobin, staticLimits and none", name)
		}
	}
	return append(all, localfleet.System("current", nil)), nil
}
