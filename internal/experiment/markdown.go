package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// MarkdownHeader is the header of the table of docs/measurements.md;
// Comparison.WriteMarkdown writes its rows.
const MarkdownHeader = `| scenario | attainment, baseline | attainment | highest priority | runs per completed stage, baseline / now | wasted busy time, baseline / now | falls, baseline / now | failed, now | bookings doubled / lost / falsely not started, now | lag p99, ms | aims not kept |
|---|---|---|---|---|---|---|---|---|---|---|
`

// WriteMarkdown writes the comparison as one row of a table, with the first system as the
// baseline and the last one as the current version. Without a baseline, the baseline's
// cells contain a dash.
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
		c.missedBounds(),
	}
	_, err := fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	return errors.Wrap(err, "writing the comparison")
}

// percent formats a ratio in percent, with two decimals between 99.85 % and 100 %.
func percent(ratio float64) string {
	if ratio > 0.9985 && ratio < 1 {
		return fmt.Sprintf("%.2f %%", 100*ratio)
	}
	return fmt.Sprintf("%.1f %%", 100*ratio)
}

func decimal(v float64) string { return fmt.Sprintf("%.4g", v) }

func whole(v float64) string { return fmt.Sprintf("%.0f", v) }

// cell formats the metric, or returns a dash if no run reported it.
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

// missedBounds returns the bounds that the last system did not keep, with the values.
func (c *Comparison) missedBounds() string {
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
