package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// Plan describes a comparison.
type Plan struct {
	Scenario Scenario
	// Systems run one after the other for each seed; the bounds apply to the last one.
	Systems []System
	// Runs is the number of runs of each system; run i uses the seed Seed+i.
	Runs   int
	Seed   uint64
	Logger *log.Logger
}

// Summary summarises one metric over all runs of a system.
type Summary struct {
	// Value is the median, or the maximum for the metrics in reportsWorst.
	Value float64 `json:"value"`
	Min   float64 `json:"least"`
	Max   float64 `json:"most"`
}

// Verdict is the result of checking a bound.
type Verdict struct {
	Metric  string  `json:"metric"`
	IsUpper bool    `json:"most"`
	Bound   float64 `json:"bound"`
	Value   float64 `json:"value"`
	Kept    bool    `json:"kept"`
	// Missing is set when no run reported the metric; the bound then counts as not kept.
	Missing bool `json:"missing,omitempty"`
}

// Comparison is the report on all runs of a plan.
type Comparison struct {
	Scenario string  `json:"scenario"`
	Topology string  `json:"topology"`
	Seed     uint64  `json:"seed"`
	Runs     int     `json:"runs"`
	Capacity float64 `json:"capacity"`
	// Systems holds the names in the order of the plan.
	Systems []string `json:"systems"`
	// Metrics holds the summaries by system and metric name.
	Metrics  map[string]map[string]Summary `json:"metrics"`
	Verdicts []Verdict                     `json:"verdicts"`
	Reports  []*Report                     `json:"reports"`
}

// Compare runs the plan. Systems alternate, so that a change of the machine's load affects
// all of them.
func Compare(ctx context.Context, p Plan) (*Comparison, error) {
	if len(p.Systems) == 0 || p.Runs < 1 {
		return nil, errors.New("a plan needs at least one system and one run")
	}
	c := &Comparison{
		Scenario: p.Scenario.Name,
		Topology: p.Scenario.Topology.Name,
		Seed:     p.Seed,
		Runs:     p.Runs,
		Capacity: p.Scenario.Topology.Capacity(),
		Metrics:  make(map[string]map[string]Summary),
	}
	for _, s := range p.Systems {
		c.Systems = append(c.Systems, s.Name)
	}
	for i := range p.Runs {
		for _, s := range p.Systems {
			r, err := Run(ctx, p.Scenario, s, p.Seed+uint64(i), p.Logger)
			if err != nil {
				return nil, err
			}
			c.Reports = append(c.Reports, r)
		}
	}
	c.summarise()
	c.judge(p.Scenario.Bounds)
	return c, nil
}

func (c *Comparison) summarise() {
	values := make(map[string]map[string][]float64)
	for _, r := range c.Reports {
		if values[r.System] == nil {
			values[r.System] = make(map[string][]float64)
		}
		for name, v := range r.Metrics {
			values[r.System][name] = append(values[r.System][name], v)
		}
	}
	for system, metrics := range values {
		c.Metrics[system] = make(map[string]Summary)
		for name, v := range metrics {
			c.Metrics[system][name] = summary(name, v)
		}
	}
}

func summary(name string, values []float64) Summary {
	slices.Sort(values)
	s := Summary{Value: median(values), Min: values[0], Max: values[len(values)-1]}
	if reportsWorst[name] {
		s.Value = s.Max
	}
	return s
}

// median returns the middle of sorted values.
func median(values []float64) float64 {
	n := len(values)
	if n%2 == 1 {
		return values[n/2]
	}
	return (values[n/2-1] + values[n/2]) / 2
}

// judge checks the bounds on the last system.
func (c *Comparison) judge(bounds []Bound) {
	metrics := c.Metrics[c.Systems[len(c.Systems)-1]]
	for _, b := range bounds {
		s, ok := metrics[b.Metric]
		v := Verdict{Metric: b.Metric, IsUpper: b.IsUpper, Bound: b.Value, Value: s.Value, Missing: !ok}
		v.Kept = ok && (s.Value <= b.Value) == b.IsUpper
		if s.Value == b.Value {
			v.Kept = ok
		}
		c.Verdicts = append(c.Verdicts, v)
	}
}

// Kept reports whether every bound is kept.
func (c *Comparison) Kept() bool {
	return !slices.ContainsFunc(c.Verdicts, func(v Verdict) bool { return !v.Kept })
}

// WriteJSON writes the comparison with all reports as an indented JSON document.
func (c *Comparison) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(c), "writing the comparison")
}

// WriteText writes the metrics of the systems side by side, the verdicts and the most
// frequent reasons of failures as text. The values under the heading "median" are the
// maximum for the metrics in reportsWorst.
func (c *Comparison) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "scenario %s, topology %s, capacity %.0f requests/s, seed %d, median of %d\n", c.Scenario, c.Topology, c.Capacity, c.Seed, c.Runs)
	_, _ = fmt.Fprint(t, "metric")
	names := make(map[string]bool)
	for _, s := range c.Systems {
		_, _ = fmt.Fprintf(t, "\t%s\t(least to most)", s)
		for name := range c.Metrics[s] {
			names[name] = true
		}
	}
	_, _ = fmt.Fprintln(t)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		_, _ = fmt.Fprint(t, name)
		for _, s := range c.Systems {
			m := c.Metrics[s][name]
			_, _ = fmt.Fprintf(t, "\t%.4g\t(%.4g to %.4g)", m.Value, m.Min, m.Max)
		}
		_, _ = fmt.Fprintln(t)
	}
	for _, v := range c.Verdicts {
		_, _ = fmt.Fprintln(t, v.String())
	}
	for _, s := range c.Systems {
		for _, r := range c.reasons(s) {
			_, _ = fmt.Fprintf(t, "%s: %s\n", s, r)
		}
	}
	return errors.Wrap(t.Flush(), "writing the comparison")
}

// reasons returns the most frequent reasons of failures over all runs of a system.
func (c *Comparison) reasons(system string) []string {
	counts := make(map[string]int)
	for _, r := range c.Reports {
		if r.System != system {
			continue
		}
		for reason, n := range r.Load.Reasons {
			counts[reason] += n
		}
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var lines []string
	for _, name := range names[:min(len(names), maxReasons)] {
		lines = append(lines, fmt.Sprintf("%d x %s", counts[name], name))
	}
	return lines
}

// maxReasons is the maximum number of reasons in a text report.
const maxReasons = 5

// String returns the verdict as one line.
func (v Verdict) String() string {
	word, side := "kept", "at least"
	if !v.Kept {
		word = "NOT KEPT"
	}
	if v.IsUpper {
		side = "at most"
	}
	if v.Missing {
		return fmt.Sprintf("%s: %s was not measured", word, v.Metric)
	}
	return fmt.Sprintf("%s: %s is %.4g, %s %.4g", word, v.Metric, v.Value, side, v.Bound)
}
