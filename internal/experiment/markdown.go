package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// MarkdownHeader is the head of the table of docs/measurements.md; its rows come from
// Comparison.WriteMarkdown.
const MarkdownHeader = `| scenario | attainment, baseline | attainment | highest priority | runs per completed stage, baseline / now | wasted busy time, baseline / now | falls, baseline / now | failed, now | bookings doubled / lost / falsely not started, now | lag p99, ms | aims not kept |
|---|---|---|---|---|---|---|---|---|---|---|
`

// WriteMarkdown writes the comparison as one row of a table, with the first system as
// the baseline and the last one as the current version. Without a baseline its cells
// have a dash.
func (c *Comparison) WriteMarkdown(w io.Writer) error {
	now := c.Metrics[c.Systems[len(c.Systems)-1]]
	var baseline map[string]Summary
	if len(c.Systems) > 1 {
		baseline = c.Metrics[c.Systems[0]]
	}
	cells := []string{
		c.Scenario,
		cell(percent, baseline, MetricAttainment),
		cell(percent, now, MetricAttainment),
		cell(percent, now, MetricCritical),
		pair(decimal, baseline, now, MetricRunsPerStage),
		pair(percent, baseline, now, MetricCancelledTime),
		pair(whole, baseline, now, MetricCollapses),
		fmt.Sprintf("%.0f", now[MetricFailed].Value),
		fmt.Sprintf("%.0f / %.0f / %.0f", now[MetricDoubled].Value, now[MetricLost].Value, now[MetricRanNotStarted].Value),
		fmt.Sprintf("%.3g", now[MetricLag].Value),
		c.notKept(),
	}
	_, err := fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	return errors.Wrap(err, "writing the comparison")
}

// percent returns a ratio in percent, with more digits close to the whole.
func percent(ratio float64) string {
	if ratio > 0.9985 && ratio < 1 {
		return fmt.Sprintf("%.2f %%", 100*ratio)
	}
	return fmt.Sprintf("%.1f %%", 100*ratio)
}

func decimal(v float64) string { return fmt.Sprintf("%.4g", v) }

func whole(v float64) string { return fmt.Sprintf("%.0f", v) }

// cell returns the metric in the format, or a dash if it was not measured.
func cell(format func(float64) string, metrics map[string]Summary, metric string) string {
	s, ok := metrics[metric]
	if !ok {
		return "–"
	}
	return format(s.Value)
}

func pair(format func(float64) string, baseline, now map[string]Summary, metric string) string {
	return cell(format, baseline, metric) + " / " + cell(format, now, metric)
}

// notKept names the bounds that the last system missed, with their values.
func (c *Comparison) notKept() string {
	var missed []string
	for _, v := range c.Verdicts {
		switch {
		case v.Kept:
		case v.Missing:
			missed = append(missed, v.Metric+" not measured")
		default:
			missed = append(missed, fmt.Sprintf("%s %.4g (%.4g)", v.Metric, v.Value, v.Bound))
		}
	}
	if len(missed) == 0 {
		return "none"
	}
	slices.Sort(missed)
	return strings.Join(missed, "; ")
}
