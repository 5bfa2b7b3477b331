package experiment

// Metrics of a report. Ratios are from 0 to 1, times are in the stated unit.
const (
	// MetricAttainment is the fraction of all requests that completed within their deadline.
	MetricAttainment = "attainment"
	// MetricCritical is the attainment of requests of the highest priority.
	MetricCritical = "attainment.critical"
	// MetricFailed is the number of requests without a complete and correct response.
	MetricFailed = "failed"
	// MetricNotStarted is the number of requests that were reported as not started.
	// MetricUnknown is that of all other failed requests except wrong answers: those with an
	// unknown outcome, and those that completed but whose response is no longer available
	// (load.CompletedNoAnswer).
	MetricNotStarted = "notStarted"
	MetricUnknown    = "unknown"
	// MetricWrongAnswers is the number of requests whose response is incomplete or belongs
	// to another request.
	MetricWrongAnswers = "wrongAnswers"
	// MetricP50 and MetricP99 are latencies of completed requests in milliseconds.
	MetricP50 = "p50Ms"
	MetricP99 = "p99Ms"
	// MetricRunsPerStage is the number of stage runs per run that a completed request needed.
	MetricRunsPerStage = "runsPerCompletedStage"
	// MetricCancelledTime is the fraction of the upstreams' busy time that was spent on
	// aborted runs.
	MetricCancelledTime = "cancelledTime"
	// MetricCollapses is the number of overload collapses of upstreams.
	MetricCollapses = "fallOvers"
	// MetricDoubled is the number of non-idempotent requests that ran more than once.
	MetricDoubled = "bookings.doubled"
	// MetricLost is the number of them that did not run although they were reported as
	// completed or had a wrong answer.
	MetricLost = "bookings.lost"
	// MetricRanNotStarted is the number of them that were reported as not started but ran.
	MetricRanNotStarted = "bookings.ranNotStarted"
	// MetricMisdelivered is the number of runs of non-idempotent stages whose input matches
	// no request.
	MetricMisdelivered = "bookings.misdelivered"
	// MetricBookingsUnknown is the number of non-idempotent requests with an unknown outcome.
	MetricBookingsUnknown = "bookings.unknown"
	// MetricOrders is the number of orders that engines accepted during the measured part,
	// including those of PauseLeaseOwner. Unnecessary orders reduce the capacity, because an
	// engine that is ordered to load a model becomes cold.
	MetricOrders = "ordersAccepted"
	// MetricRestarts is the number of processes that were restarted, and
	// MetricShutdownsFailed that of graceful shutdowns that reported an error.
	MetricRestarts        = "restarts"
	MetricShutdownsFailed = "shutdownsFailed"
	// MetricUnrecorded is the number of runs that upstreams did not record because they had
	// reached their limit of records; if it isn't 0, the audit and the stage costs are
	// incomplete.
	MetricUnrecorded = "unrecorded"
	// MetricLag is the 99th percentile of the load generator's lag in milliseconds.
	MetricLag = "generatorLagP99Ms"
	// MetricUnsent is the number of requests that the load generator could not send.
	MetricUnsent = "unsent"
	// MetricPlatformCalls is the number of calls to the object API per request.
	MetricPlatformCalls = "platformCallsPerRequest"
)

// AttainmentMetric returns the name of the attainment in a window.
func AttainmentMetric(window string) string { return "attainment." + window }

// GoodputMetric returns the name of the rate of requests completed within their deadline
// in a window, as a fraction of the topology's capacity. It exceeds 1 when pipelines that
// don't use the bottleneck stage are a larger fraction of the completed requests than of
// the mix.
func GoodputMetric(window string) string { return "goodput." + window }

// DropMetric returns the name of the loss of attainment in a window relative to the window
// before the first action. Scenarios without such a window have no drops and recovery times.
func DropMetric(window string) string { return "drop." + window }

// UnkeyedDropMetric returns the name of the same loss for requests without a key or ticket.
func UnkeyedDropMetric(window string) string { return "dropUnkeyed." + window }

// RecoveryMetric returns the name of the time in seconds from an action until the
// attainment stays within one percentage point of that in the window before the first
// action. Only the time until the next action counts.
func RecoveryMetric(action string) string { return "recoverySeconds." + action }

// BookingsMetric returns the name of a number of requests to pipelines that are not
// idempotent, in a window: keyedServed, ticketsServed, refused (not started) or unknown.
func BookingsMetric(window, metric string) string { return "bookings." + window + "." + metric }

// StageMetric returns the name of a metric of one stage: runs, runsPerCompleted,
// busyMsPerCompleted, cancelledMs or fallOvers.
func StageMetric(stage, metric string) string { return "stage." + stage + "." + metric }

// reportsWorst holds the metrics for which a comparison reports the maximum of the runs
// instead of the median, because a single occurrence in any run matters.
var reportsWorst = map[string]bool{
	MetricWrongAnswers:    true,
	MetricDoubled:         true,
	MetricLost:            true,
	MetricRanNotStarted:   true,
	MetricMisdelivered:    true,
	MetricShutdownsFailed: true,
	MetricStaleOrders:     true,
	MetricReverted:        true,
	MetricChangesLost:     true,
	MetricUnrecorded:      true,
	MetricCollapses:       true,
	MetricFailed:          true,
}
