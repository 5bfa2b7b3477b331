// Command measure runs the scenarios of package experiment and prints the metrics
// of each system side by side.
//
//	go run ./internal/experiment/cmd/measure --topology okafor --scenario steady --runs 5 --seed 1
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/experiment"
)

type options struct {
	Topology string   `help:"Fleet: okafor or lumiere." enum:"okafor,lumiere" default:"okafor"`
	Scenario []string `help:"Scenarios to run, or pairs such as store-down+domain-death; all single ones when none is named."`
	Runs     int      `help:"Runs of each system." default:"5"`
	Seed     uint64   `help:"Seed of the first run." default:"1"`
	Baseline []string `help:"Baselines beside the current version: roundRobin, staticLimits or none." default:"roundRobin"`
	// The delays are one-way; a round trip takes twice as long.
	DomainDistance time.Duration `help:"One-way delay between failure domains, and to the object API." default:"500us"`
	ClientDistance time.Duration `help:"One-way delay between callers and entries." default:"1ms"`
	Scale          float64       `help:"Factor on the times of phases, actions and windows, for trials." default:"1"`
	JSON           bool          `help:"Print JSON documents instead of tables." name:"json"`
	Markdown       bool          `help:"Print rows of the tables of docs/measurements.md."`
	Verbose        bool          `help:"Log what the processes log."`
}

func topology(name string) experiment.Topology {
	if name == "lumiere" {
		return experiment.Lumiere()
	}
	return experiment.Okafor()
}

// choose returns the named scenarios and pairs of scenarios, or all single scenarios if
// names is empty.
func choose(all []experiment.Scenario, names []string) ([]experiment.Scenario, error) {
	if len(names) == 0 {
		return all, nil
	}
	var chosen []experiment.Scenario
	for _, name := range names {
		if strings.Contains(name, "+") {
			pair, err := experiment.CombineNamed(all, name)
			if err != nil {
				return nil, err
			}
			chosen = append(chosen, pair)
			continue
		}
		found := false
		for _, s := range all {
			if s.Name == name {
				chosen, found = append(chosen, s), true
			}
		}
		if !found {
			return nil, errors.Errorf("no scenario %q", name)
		}
	}
	return chosen, nil
}

// run runs the scenarios, prints the comparisons and reports whether every bound was kept.
func run(ctx context.Context, o options, systems []experiment.System, logger *log.Logger) (bool, error) {
	scenarios, err := choose(experiment.Scenarios(topology(o.Topology)), o.Scenario)
	if err != nil {
		return false, err
	}
	kept := true
	for _, s := range scenarios {
		s.NetworkDelays = experiment.NetworkDelays{Domains: o.DomainDistance, Clients: o.ClientDistance}
		if o.Scale != 1 {
			s = s.Scale(o.Scale)
			s.Name += " (trial)"
		}
		c, err := experiment.Compare(ctx, experiment.Plan{Scenario: s, Systems: systems, Runs: o.Runs, Seed: o.Seed, Logger: logger})
		if err != nil {
			return false, err
		}
		write := c.WriteText
		switch {
		case o.JSON:
			write = c.WriteJSON
		case o.Markdown:
			write = c.WriteMarkdown
		}
		if err := write(os.Stdout); err != nil {
			return false, err
		}
		kept = kept && c.Kept()
	}
	return kept, nil
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures the system against its baseline."))
	logger := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	if o.Verbose {
		logger.Level = log.InfoLevel
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	kept := false
	chosen, err := systems(o.Baseline)
	if err == nil {
		kept, err = run(ctx, o, chosen, logger)
	}
	stop()
	if err != nil {
		logger.Error().Err(err).Msg("measurement failed")
	}
	if err != nil || !kept {
		os.Exit(1)
	}
}
