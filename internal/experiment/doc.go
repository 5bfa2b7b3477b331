// Package experiment measures the system on real processes over loopback: entries,
// sidecars and a stand-in platform in front of stand-in upstreams, under a seeded
// open-loop load and with faults at scheduled times.
//
// The package starts the stand-in upstreams itself. A System says how the processes
// under test are started, so that the current version, an earlier configuration of
// it and RoundRobin, a plain proxy, run the same scenario.
//
// # Usage
//
//	comparison, err := experiment.Compare(ctx, experiment.Plan{
//		Scenario: experiment.SteadyScenario(experiment.Okafor()),
//		Systems:  []experiment.System{experiment.RoundRobin(), current},
//		Runs:     5,
//		Seed:     1,
//		Logger:   logger,
//	})
//	err = comparison.WriteText(os.Stdout)
//
// # Network
//
// The entries and callers of a run dial through its Network, which delays their
// connections by the distances of the scenario and can cut them silently. A system
// under test must take its dialers from Environment.Network.
//
// # Reports
//
// A Run gives a Report: counts of the callers' side by window, the cost of each
// stage from the records of the upstreams, and an audit that compares each booking
// with what the upstreams did. A Comparison holds the median of each metric, and
// the worst of those that count violations, for each system.
package experiment
