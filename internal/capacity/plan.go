package capacity

import "bergamotrudder.example/bergamotrudder/internal/booking"

// Plan is the size of a fleet.
type Plan struct {
	Entries       float64
	Sidecars      float64
	Organisations float64
	// Items is the number of items of the configuration.
	Items float64
	// RequestsPerSecond is the peak of the whole fleet, and StagesPerRequest the mean.
	RequestsPerSecond float64
	StagesPerRequest  float64
	// TokensPerSecond is the peak of the whole fleet, and StreamSeconds the longest time
	// of a stream, the pipelines' deadline.
	TokensPerSecond  float64
	MaxStreamSeconds float64
	// Series is the number of metric series of an entry, and ScrapeSeconds the time
	// between two scrapes.
	Series        float64
	ScrapeSeconds float64
	// ChangesPerDay are configuration changes, and ReplacementsPerDay instances that
	// fail or are replaced.
	ChangesPerDay      float64
	ReplacementsPerDay float64
	// CoreFraction, MemoryBytes and BytesPerSecond are the budgets of a node for control.
	CoreFraction   float64
	MemoryBytes    float64
	BytesPerSecond float64
}

const (
	secondsPerDay = 86_400
	nanosecond    = 1e-9
	mebibyte      = 1 << 20
)

// Target returns the size that the system is built towards. The items are those that
// the configuration benchmarks make for the number of organisations.
func Target() Plan {
	return Plan{
		Entries:           610,
		Sidecars:          2_700,
		Organisations:     1_800,
		Items:             6_304,
		RequestsPerSecond: 33_000,
		StagesPerRequest:  4.5,
		TokensPerSecond:   9.1e6,
		MaxStreamSeconds:  3,
		// 40 stages in 16 failure domains with 3 counters each, and about 1,000 others.
		Series:             3_000,
		ScrapeSeconds:      15,
		ChangesPerDay:      2_200,
		ReplacementsPerDay: 49 + 190,
		CoreFraction:       0.048,
		MemoryBytes:        32 * mebibyte,
		BytesPerSecond:     2_000,
	}
}

// Instances is the number of processes of the system.
func (p Plan) Instances() float64 { return p.Entries + p.Sidecars }

// StreamsPerEntry is the number of streams in flight, should every request take the
// whole time.
func (p Plan) StreamsPerEntry() float64 {
	return p.RequestsPerSecond / p.Entries * p.MaxStreamSeconds
}

// RunsPerSidecar is the rate of stage runs of one sidecar.
func (p Plan) RunsPerSidecar() float64 {
	return p.RequestsPerSecond * p.StagesPerRequest / p.Sidecars
}

// RecordedAttempts is the number of attempts that a sidecar remembers at the peak, as
// if none of its runs might be repeated.
func (p Plan) RecordedAttempts() float64 {
	return p.RunsPerSidecar() * (p.MaxStreamSeconds + booking.AttemptClockMargin.Seconds())
}

// ChangesPerSecond is the rate of configuration changes.
func (p Plan) ChangesPerSecond() float64 { return p.ChangesPerDay / secondsPerDay }

// MembershipChangesPerSecond counts the end and the start of each replaced instance.
func (p Plan) MembershipChangesPerSecond() float64 { return 2 * p.ReplacementsPerDay / secondsPerDay }
