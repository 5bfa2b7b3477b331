package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Counts are numbers of requests.
type Counts struct {
	// Sent is the number of arrivals that were not dropped, including those that failed
	// before they were sent, such as without a ticket. Sent plus Unsent are all arrivals.
	Sent              int `json:"sent"`
	Completed         int `json:"completed"`
	WithinDeadline    int `json:"withinDeadline"`
	NotStarted        int `json:"notStarted"`
	Unknown           int `json:"unknown"`
	WrongAnswer       int `json:"wrongAnswer"`
	CompletedNoAnswer int `json:"completedNoAnswer"`
	// Retries is the number of attempts after the first.
	Retries int `json:"retries"`
	// Unsent counts arrivals that were dropped because MaxInFlight requests were in flight.
	Unsent int `json:"unsent"`
}

func (c *Counts) add(r Result) {
	c.Sent++
	c.Retries += max(0, r.Attempts-1)
	switch r.Outcome {
	case Completed:
		c.Completed++
	case NotStarted:
		c.NotStarted++
	case WrongAnswer:
		c.WrongAnswer++
	case CompletedNoAnswer:
		c.CompletedNoAnswer++
	default:
		c.Unknown++
	}
	if r.WithinDeadline {
		c.WithinDeadline++
	}
}

func (c *Counts) merge(o Counts) {
	c.Sent += o.Sent
	c.Completed += o.Completed
	c.WithinDeadline += o.WithinDeadline
	c.NotStarted += o.NotStarted
	c.Unknown += o.Unknown
	c.WrongAnswer += o.WrongAnswer
	c.CompletedNoAnswer += o.CompletedNoAnswer
	c.Retries += o.Retries
	c.Unsent += o.Unsent
}

// Attainment returns the fraction of all arrivals that were completed within the
// deadline, from 0 to 1.
func (c Counts) Attainment() float64 {
	if c.Sent+c.Unsent == 0 {
		return 0
	}
	return float64(c.WithinDeadline) / float64(c.Sent+c.Unsent)
}

// Quantiles summarise a distribution of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"maxMs"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(50),
		P90:   ms(90),
		P95:   ms(95),
		P99:   ms(99),
		P999:  ms(99.9),
		Max:   float64(h.Max()) / 1000,
	}
}

// Group is the report on the requests of one pipeline and priority.
type Group struct {
	Pipeline string `json:"pipeline"`
	Priority string `json:"priority"`
	Counts
	Attainment float64 `json:"attainment"`
	// Latency covers completed requests.
	Latency Quantiles `json:"latency"`
	// FirstToken covers completed streams.
	FirstToken Quantiles `json:"firstToken"`
}

// Report is the report on one run.
type Report struct {
	Seed      uint64    `json:"seed"`
	StartedAt time.Time `json:"startedAt"`
	Phases    []Phase   `json:"phases"`
	Total     Group     `json:"total"`
	Groups    []Group   `json:"groups"`
	// Lag is the delay between the scheduled and the actual send time; latencies include it.
	Lag Quantiles `json:"lag"`
	// Seconds are the counts by the second of the scheduled send time.
	Seconds []Counts `json:"seconds"`
	// Reasons counts failures by priority, outcome and reason, with numbers, addresses, durations and ids masked as #.
	Reasons map[string]int `json:"reasons"`
}

// WriteJSON writes the report as an indented JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "writing the report")
}

// WriteText writes the report as a human-readable table.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "pipeline\tpriority\tsent\tcompleted\twithin\tnotStarted\tunknown\twrong\tretries\tunsent\tattained %\tp50 ms\tp95 ms\tp99 ms\tmax ms\t")
	for _, g := range append(slices.Clone(r.Groups), r.Total) {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			g.Pipeline, g.Priority, g.Sent, g.Completed, g.WithinDeadline, g.NotStarted, g.Unknown+g.CompletedNoAnswer,
			g.WrongAnswer, g.Retries, g.Unsent, 100*g.Attainment, g.Latency.P50, g.Latency.P95, g.Latency.P99, g.Latency.Max)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "writing the report")
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		if _, err := fmt.Fprintf(w, "%d x %s\n", r.Reasons[reason], reason); err != nil {
			return errors.Wrap(err, "writing the report")
		}
	}
	_, err := fmt.Fprintf(w, "seed %d, generator lag p99 %.2f ms, max %.2f ms\n", r.Seed, r.Lag.P99, r.Lag.Max)
	return errors.Wrap(err, "writing the report")
}
