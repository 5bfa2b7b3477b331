package capacity

import (
	"fmt"
	"io"

	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
)

// Row is the cost of one component of a role.
type Row struct {
	Role      string
	Component string
	// Kind is memory, processor or network.
	Kind string
	// Formula describes how the value is derived from the line and the plan.
	Formula string
	Line    Line
	// Value is in bytes, in fractions of a core or in bytes per second, by Kind.
	Value float64
	// BudgetFraction is the value as a fraction of the node's budget.
	BudgetFraction float64
	Mechanism      string
	// IsServing marks costs of serving requests. They grow with the load of a node and
	// are not part of its budget for control.
	IsServing bool
}

// Kinds of cost.
const (
	kindMemory    = "memory"
	kindProcessor = "processor"
	kindNetwork   = "network"
)

// Roles of rows.
const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
)

// sizeOrganisations is a parameter of benchmarks, and metricTime a metric.
const (
	sizeOrganisations = "organisations"
	metricTime        = "ns/op"
)

// largestClaims is the largest number of claims in the benchmark. The line isn't
// extrapolated beyond it, because its slope only reflects unused space from map growth.
const largestClaims = 16_000

// component defines one row of the tables.
type component struct {
	role, name, kind          string
	prefix, parameter, metric string
	formula, mechanism        string
	value                     func(l Line, p Plan) float64
}

// exchangesPerSecond is the largest rate of digests of one entry. The digests to and from
// other entries and to the sidecars that it owns share one budget.
const exchangesPerSecond = exchange.DefaultBudgetBytesPerSecond / exchange.DigestExchangeBytes

// sidecarExchangesPerSecond returns the rate of digests to one sidecar: half of the
// budget of the entries is reserved for digests to sidecars.
func sidecarExchangesPerSecond(p Plan) float64 {
	return exchangesPerSecond / 2 * p.Entries / p.Sidecars
}

func (p Plan) budgetFraction(kind string, value float64) float64 {
	switch kind {
	case kindMemory:
		return value / p.MemoryBytes
	case kindProcessor:
		return value / p.CoreFraction
	default:
		return value / p.BytesPerSecond
	}
}

// components are the costs of control.
var components = []component{
	{roleEntry, "configuration", kindMemory, "BenchmarkConfigurationLoad", sizeOrganisations, "heldBytes/item",
		"held bytes per item x items", "sections by content hash, one snapshot",
		func(l Line, p Plan) float64 { return l.At(p.Organisations) * p.Items }},
	{roleEntry, "membership", kindMemory, "BenchmarkMembershipMerge", "records", "heldBytes/record",
		"held bytes per record x instances", "joined records, removals kept for 15 minutes",
		func(l Line, p Plan) float64 { return l.At(p.Instances()) * p.Instances() }},
	{roleEntry, "table of upstreams", kindMemory, "BenchmarkTablePick/affinity=false", "upstreams", "heldB/upstream",
		"held bytes per upstream x upstreams", "statistics only for a bounded subset of each stage",
		func(l Line, p Plan) float64 { return l.At(1000) * p.Sidecars }},
	{roleEntry, "waiting requests", kindMemory, "BenchmarkQueueContended", sizeOrganisations, "heldB/waiting",
		"held bytes per waiting request x 512 x 9 pipelines", "bounded queue for each pipeline",
		func(l Line, p Plan) float64 { return l.At(p.Organisations) * 512 * 9 }},
	{roleEntry, "metrics", kindMemory, "BenchmarkMetricsScrape", "series", "heldB/series",
		"held bytes per series x series", "tags with few values, never requests or organisations",
		func(l Line, p Plan) float64 { return l.At(p.Series) * p.Series }},
	{roleEntry, "metrics", kindProcessor, "BenchmarkMetricsScrape", "series", metricTime,
		"time of one scrape / scrape period", "text format, compressed on request",
		func(l Line, p Plan) float64 { return l.At(p.Series) * nanosecond / p.ScrapeSeconds }},
	{roleEntry, "new configuration", kindProcessor, "BenchmarkConfigurationOffer", sizeOrganisations, metricTime,
		"time of one change x changes per second", "only changed sections are fetched and parsed",
		func(l Line, p Plan) float64 { return l.At(p.Organisations) * nanosecond * p.ChangesPerSecond() }},
	{roleEntry, "update of routes", kindProcessor, "BenchmarkTableUpdate", "upstreams", metricTime,
		"time of one update of all upstreams, each second", "join of configuration and membership",
		func(l Line, p Plan) float64 { return l.At(p.Sidecars) * nanosecond }},
	{roleEntry, "digests", kindProcessor, "BenchmarkExchangeDigest", "entries", metricTime,
		"time of one exchange of equal digests x exchanges per second", "periods stretch with the fleet",
		func(l Line, p Plan) float64 { return l.At(p.Entries) * nanosecond * exchangesPerSecond }},
	{roleEntry, "change of membership", kindProcessor, "BenchmarkMembershipDelta", "records", metricTime,
		"time to find one changed record x changes per second", "buckets, then records",
		func(l Line, p Plan) float64 { return l.At(p.Instances()) * nanosecond * p.MembershipChangesPerSecond() }},
	{roleEntry, "owned sidecars", kindProcessor, "BenchmarkMembershipOwned", "records", metricTime,
		"time to choose them x changes of membership per second", "rendezvous hash, after a change only",
		func(l Line, p Plan) float64 { return l.At(p.Instances()) * nanosecond * p.MembershipChangesPerSecond() }},
	{roleEntry, "digests", kindNetwork, "BenchmarkExchangeDigest", "entries", "bytes/op",
		"bytes of one exchange of equal digests x exchanges per second", "periods stretch with the fleet",
		func(l Line, p Plan) float64 { return l.At(p.Entries) * exchangesPerSecond }},
	{roleEntry, "spread of a change", kindNetwork, "BenchmarkExchangeConvergence", "processes", "bytes/process/op",
		"bytes for each process and change x changes per second", "three rounds with three peers, then periodic",
		func(l Line, p Plan) float64 { return l.At(p.Instances()) * p.ChangesPerSecond() }},
	{roleEntry, "change of membership", kindNetwork, "BenchmarkMembershipDelta", "records", "bytes/op",
		"bytes to find one changed record x changes per second x 2", "buckets, then records",
		func(l Line, p Plan) float64 { return 2 * l.At(p.Instances()) * p.MembershipChangesPerSecond() }},
	{roleSidecar, "configuration", kindMemory, "BenchmarkConfigurationLoad", sizeOrganisations, "heldBytes/item",
		"held bytes per item x items", "sections by content hash, one snapshot",
		func(l Line, p Plan) float64 { return l.At(p.Organisations) * p.Items }},
	{roleSidecar, "limiter", kindMemory, "BenchmarkLimiterCall", "inFlight", "heldB/limiter",
		"held bytes at 256 calls in flight", "one limiter",
		func(l Line, _ Plan) float64 { return l.At(256) }},
	{roleSidecar, "waiting calls", kindMemory, "BenchmarkQueueContended", sizeOrganisations, "heldB/waiting",
		"held bytes per waiting call x 256", "bounded queue",
		func(l Line, p Plan) float64 { return l.At(p.Organisations) * 256 }},
	{roleSidecar, "new configuration", kindProcessor, "BenchmarkConfigurationOffer", sizeOrganisations, metricTime,
		"time of one change x changes per second", "only changed sections are pushed",
		func(l Line, p Plan) float64 { return l.At(p.Organisations) * nanosecond * p.ChangesPerSecond() }},
	{roleSidecar, "digests", kindNetwork, "BenchmarkExchangeDigest", "entries", "bytes/op",
		"bytes of one exchange of equal digests x exchanges per second", "two owners in different failure domains",
		func(l Line, p Plan) float64 { return l.At(p.Entries) * sidecarExchangesPerSecond(p) }},
	{roleSidecar, "spread of a change", kindNetwork, "BenchmarkExchangeConvergence", "processes", "bytes/process/op",
		"bytes for each process and change x changes per second", "pushed by an owner or a caller",
		func(l Line, p Plan) float64 { return l.At(p.Instances()) * p.ChangesPerSecond() }},
}

// servingComponents are the costs of requests, and of the operators' scrapes of metrics.
// The benchmarks of streams run callers and upstreams in the same process, so that an
// entry has a third of the goroutines; hence the division by 3.
var servingComponents = []component{
	{roleEntry, "open streams", kindMemory, "BenchmarkStreamsHeld", "streams", "heldB/stream",
		"held bytes per stream / 3 x streams in flight", "HTTP flow control, a bound on requests in flight",
		func(l Line, p Plan) float64 { return l.At(p.StreamsPerEntry()) / 3 * p.StreamsPerEntry() }},
	{roleEntry, "tokens of streams", kindProcessor, "BenchmarkStreamTokens", "tokens", "cpu-ns/op",
		"processor time per token / 3 x tokens per second", "one event and one flush for each token",
		func(l Line, p Plan) float64 { return l.Slope * nanosecond / 3 * p.TokensPerSecond / p.Entries }},
	{roleEntry, "fair queue", kindProcessor, "BenchmarkQueueContended", sizeOrganisations, metricTime,
		"time of two arrivals and a grant x requests per second", "one list for each organisation and priority",
		func(l Line, p Plan) float64 {
			return l.At(p.Organisations) * nanosecond * p.RequestsPerSecond / p.Entries
		}},
	{roleEntry, "claims without an outcome in the store", kindMemory, "BenchmarkClaimsHeld", "claims", "heldB/claim",
		"held bytes per claim x the bound of 100,000", "a bound; others are refused",
		func(l Line, _ Plan) float64 { return l.At(largestClaims) * booking.MaxOwnedClaims }},
	{roleSidecar, "remembered attempts", kindMemory, "BenchmarkAttemptsHeld", "attempts", "heldB/attempt",
		"held bytes per attempt x attempts until they can't begin any more", "forgotten when they can't begin any more",
		func(l Line, p Plan) float64 { return l.At(p.RecordedAttempts()) * p.RecordedAttempts() }},
	{roleSidecar, "remembered attempts", kindProcessor, "BenchmarkAttemptsHeld", "attempts", metricTime,
		"time of an attempt x stage runs per second", "one table in memory",
		func(l Line, p Plan) float64 { return l.At(p.RecordedAttempts()) * nanosecond * p.RunsPerSidecar() }},
	{roleEntry, "scrapes", kindNetwork, "BenchmarkMetricsScrape", "series", "gzipBytes/op",
		"compressed bytes of one scrape / scrape period", "compressed on request",
		func(l Line, p Plan) float64 { return l.At(p.Series) / p.ScrapeSeconds }},
}

// Table evaluates every component at the plan. The error names a benchmark that is missing
// from the results.
func Table(results []Result, p Plan) ([]Row, error) {
	rows, err := evaluate(components, results, p)
	if err != nil {
		return nil, err
	}
	serving, err := evaluate(servingComponents, results, p)
	for i := range serving {
		serving[i].IsServing = true
	}
	return append(rows, serving...), err
}

func evaluate(components []component, results []Result, p Plan) ([]Row, error) {
	rows := make([]Row, 0, len(components))
	for _, c := range components {
		line, err := Fit(results, c.prefix, c.parameter, c.metric)
		if err != nil {
			return nil, err
		}
		value := c.value(line, p)
		rows = append(rows, Row{
			Role:           c.role,
			Component:      c.name,
			Kind:           c.kind,
			Formula:        fmt.Sprintf("%s (%s)", c.formula, c.prefix),
			Line:           line,
			Value:          value,
			BudgetFraction: p.budgetFraction(c.kind, value),
			Mechanism:      c.mechanism,
		})
	}
	return rows, nil
}

// WriteMarkdown writes three tables: the control costs, their sums by role and kind, and
// the costs of serving requests.
func WriteMarkdown(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprintln(w, "| role | part | kind | derivation | intercept | slope | residual | at the target | of the budget | carried by |\n|---|---|---|---|---|---|---|---|---|---|"); err != nil {
		return err
	}
	for _, r := range rows {
		if r.IsServing {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s | %.1f %% | %s |\n", r.cells(), 100*r.BudgetFraction, r.Mechanism); err != nil {
			return err
		}
	}
	if err := writeSums(w, rows); err != nil {
		return err
	}
	return writeServing(w, rows)
}

func writeServing(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprintln(w, "\n| role | part | kind | derivation | intercept | slope | residual | at the target | carried by |\n|---|---|---|---|---|---|---|---|---|"); err != nil {
		return err
	}
	for _, r := range rows {
		if !r.IsServing {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s | %s |\n", r.cells(), r.Mechanism); err != nil {
			return err
		}
	}
	return nil
}

// cells are the first cells of the row, which all tables have.
func (r Row) cells() string {
	return fmt.Sprintf("| %s | %s | %s | %s | %.3g | %.3g | %.0f %% | %s", r.Role, r.Component, r.Kind, r.Formula,
		r.Line.Intercept, r.Line.Slope, 100*r.Line.Residual, quantity(r.Kind, r.Value))
}

func writeSums(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprintln(w, "\n| role | kind | sum at the target | of the budget |\n|---|---|---|---|"); err != nil {
		return err
	}
	for _, role := range []string{roleEntry, roleSidecar} {
		for _, kind := range []string{kindMemory, kindProcessor, kindNetwork} {
			value, share := 0.0, 0.0
			for _, r := range rows {
				if r.Role == role && r.Kind == kind && !r.IsServing {
					value, share = value+r.Value, share+r.BudgetFraction
				}
			}
			if _, err := fmt.Fprintf(w, "| %s | %s | %s | %.1f %% |\n", role, kind, quantity(kind, value), 100*share); err != nil {
				return err
			}
		}
	}
	return nil
}

func quantity(kind string, value float64) string {
	switch kind {
	case kindMemory:
		return fmt.Sprintf("%.2f MB", value/mebibyte)
	case kindProcessor:
		return fmt.Sprintf("%.3f %% of a core", 100*value)
	default:
		return fmt.Sprintf("%.0f B/s", value)
	}
}
