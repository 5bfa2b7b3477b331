// Package experiment measures the system over loopback: entries, sidecars and a stand-in
// platform in front of stand-in upstreams, under a seeded open-loop load and with faults
// at scheduled times.
//
// The package starts the stand-in upstreams itself. A System defines how the processes
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
// The entries and callers of a run dial through its Network, which adds the delays of
// the scenario to their connections and can cut them: it then delivers nothing between two
// processes until the cut ends. A system under test must take its dialers from
// Environment.Network.
//
// # Reports
//
// Run returns a Report: counts by window as seen by the callers, the cost of each stage
// from the records of the upstreams, and an audit that compares each booking with the
// executions at the upstreams. A Comparison holds, for each system, the median of each
// metric, or the maximum of those that count failures, such as violations of an invariant,
// failed requests and overload collapses.
package experiment
