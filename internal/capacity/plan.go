package capacity

import "bergamotrudder.example/bergamotrudder/internal/booking"

// Plan is the size of a fleet and the control budgets of its nodes.
type Plan struct {
	Entries       float64
	Sidecars      float64
	Organisations float64
	// Items is the number of items in the configuration.
	Items float64
	// RequestsPerSecond is the peak rate of the whole fleet, and StagesPerRequest the
	// mean number of stages of a request.
	RequestsPerSecond float64
	StagesPerRequest  float64
	// TokensPerSecond is the peak rate of the whole fleet, and MaxStreamSeconds the longest
	// time of a stream, which is the pipelines' deadline.
	TokensPerSecond  float64
	MaxStreamSeconds float64
	// Series is the number of metric series of an entry, and ScrapeSeconds the time
	// between two scrapes.
	Series        float64
	ScrapeSeconds float64
	// ChangesPerDay is the number of configuration changes, and ReplacementsPerDay that
	// of instances that fail or are replaced.
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

// Target returns the size that the system is designed for. Items is the number that the
// configuration benchmarks generate for the number of organisations.
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
		Series:        3_000,
		ScrapeSeconds: 15,
		ChangesPerDay: 2_200,
		// 49 instances fail and 190 are replaced.
		ReplacementsPerDay: 49 + 190,
		CoreFraction:       0.048,
		MemoryBytes:        32 * mebibyte,
		BytesPerSecond:     2_000,
	}
}

// Instances returns the number of processes of the system.
func (p Plan) Instances() float64 { return p.Entries + p.Sidecars }

// StreamsPerEntry returns the number of concurrent streams of an entry if every request
// takes the longest time.
func (p Plan) StreamsPerEntry() float64 {
	return p.RequestsPerSecond / p.Entries * p.MaxStreamSeconds
}

// RunsPerSidecar returns the rate of stage runs of one sidecar, per second.
func (p Plan) RunsPerSidecar() float64 {
	return p.RequestsPerSecond * p.StagesPerRequest / p.Sidecars
}

// RecordedAttempts returns the number of attempts that a sidecar keeps records of at the
// peak, assuming that none of its stages is idempotent.
func (p Plan) RecordedAttempts() float64 {
	return p.RunsPerSidecar() * (p.MaxStreamSeconds + booking.AttemptClockMargin.Seconds())
}

// ChangesPerSecond returns the rate of configuration changes.
func (p Plan) ChangesPerSecond() float64 { return p.ChangesPerDay / secondsPerDay }

// MembershipChangesPerSecond returns the rate of membership changes: a replaced instance
// causes two, its end and its start.
func (p Plan) MembershipChangesPerSecond() float64 { return 2 * p.ReplacementsPerDay / secondsPerDay }
