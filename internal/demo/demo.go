package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/experiment"
	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/internal/localfleet"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Options are the parameters of a demonstration.
type Options struct {
	// Seed makes the times and inputs of the requests repeatable.
	Seed uint64
	// JSON prints the result as one JSON object.
	JSON bool
	Out  io.Writer
}

// Result holds the counts of a demonstration.
type Result struct {
	Requests       int `json:"requests"`
	Completed      int `json:"completed"`
	WithinDeadline int `json:"withinDeadline"`
	NotStarted     int `json:"notStarted"`
	Unknown        int `json:"unknown"`
	// Lost, Doubled, Misdelivered and FalseNotStarted count violations of an invariant.
	// Misdelivered is the sum of misdelivered bookings and of wrong answers, which include
	// incomplete responses.
	Lost            int    `json:"lost"`
	Doubled         int    `json:"doubled"`
	Misdelivered    int    `json:"misdelivered"`
	FalseNotStarted int    `json:"falseNotStarted"`
	Generation      uint64 `json:"generation"`
}

// InvariantsHold reports whether no invariant was violated and at least one request completed.
func (r Result) InvariantsHold() bool {
	return r.Completed > 0 && r.Lost+r.Doubled+r.Misdelivered+r.FalseNotStarted == 0
}

// errDemonstrationFailed is returned by a demonstration in which an invariant was violated
// or no request completed.
var errDemonstrationFailed = errors.New("an invariant was violated or no request completed")

// Run runs the demonstration. It returns an error when an invariant was violated or no
// request completed.
func Run(ctx context.Context, o Options) (Result, error) {
	scenario := experiment.DemonstrationScenario()
	if !o.JSON {
		if err := writeIntroduction(o.Out, scenario); err != nil {
			return Result{}, err
		}
	}
	var generation atomic.Uint64
	system := localfleet.System("demonstration", nil)
	system.StartPlatform = countGenerations(system.StartPlatform, &generation)
	logger := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	report, err := experiment.Run(ctx, scenario, system, o.Seed, logger)
	if err != nil {
		return Result{}, err
	}
	result := newResult(report, generation.Load())
	if err := write(o, report, result); err != nil {
		return result, err
	}
	if !result.InvariantsHold() {
		return result, errDemonstrationFailed
	}
	return result, nil
}

// countGenerations wraps start and counts accepted configurations in generation: each
// commit creates one generation.
func countGenerations(start func(context.Context, fleet.Document, experiment.Environment) (*experiment.Platform, error), generation *atomic.Uint64) func(context.Context, fleet.Document, experiment.Environment) (*experiment.Platform, error) {
	return func(ctx context.Context, doc fleet.Document, env experiment.Environment) (*experiment.Platform, error) {
		p, err := start(ctx, doc, env)
		if err != nil {
			return nil, err
		}
		generation.Store(1)
		commit := p.Commit
		p.Commit = func(ctx context.Context, doc fleet.Document) error {
			if err := commit(ctx, doc); err != nil {
				return err
			}
			generation.Add(1)
			return nil
		}
		return p, nil
	}
}

func newResult(r *experiment.Report, generation uint64) Result {
	count := func(metric string) int { return int(r.Metrics[metric]) }
	total := r.Load.Total
	return Result{
		Requests:        total.Sent,
		Completed:       total.Completed,
		WithinDeadline:  total.WithinDeadline,
		NotStarted:      total.NotStarted,
		Unknown:         total.Unknown,
		Lost:            count(experiment.MetricLost),
		Doubled:         count(experiment.MetricDoubled),
		Misdelivered:    count(experiment.MetricMisdelivered) + count(experiment.MetricWrongAnswers),
		FalseNotStarted: count(experiment.MetricRanNotStarted),
		Generation:      generation,
	}
}

func writeIntroduction(w io.Writer, s experiment.Scenario) error {
	t := s.Topology
	_, err := fmt.Fprintf(w, "Starting %d entries and %d upstreams with their sidecars in %d failure domains on loopback.\n",
		t.Entries, len(t.Upstreams()), len(t.FailureDomains))
	return err
}

func write(o Options, report *experiment.Report, result Result) error {
	if o.JSON {
		return json.NewEncoder(o.Out).Encode(result)
	}
	for _, a := range report.Actions {
		if _, err := fmt.Fprintf(o.Out, "%6.1f s  %s\n", a.AtSeconds, a.Name); err != nil {
			return err
		}
	}
	if err := writeGroups(o.Out, report.Load.Groups); err != nil {
		return err
	}
	_, err := fmt.Fprintf(o.Out, "\n%d requests, %d completed, %d within their deadline, %d not started, %d unknown\n"+
		"lost %d, doubled %d, misdelivered %d, falsely not started %d; configuration generation %d\n",
		result.Requests, result.Completed, result.WithinDeadline, result.NotStarted, result.Unknown,
		result.Lost, result.Doubled, result.Misdelivered, result.FalseNotStarted, result.Generation)
	return err
}

func writeGroups(w io.Writer, groups []load.Group) error {
	if _, err := fmt.Fprintf(w, "\n%-14s %-9s %6s %10s %10s %8s\n", "pipeline", "priority", "sent", "in time", "p50", "p99"); err != nil {
		return err
	}
	for _, g := range groups {
		if _, err := fmt.Fprintf(w, "%-14s %-9s %6d %10d %7.1f ms %5.1f ms\n",
			g.Pipeline, g.Priority, g.Sent, g.WithinDeadline, g.Latency.P50, g.Latency.P99); err != nil {
			return err
		}
	}
	return nil
}
