package experiment

// Metrics of a report. Ratios are from 0 to 1, times are in the stated unit.
const (
	// MetricAttainment is the share of all requests answered whole within their deadline.
	MetricAttainment = "attainment"
	// MetricCritical is the same for requests of the highest priority.
	MetricCritical = "attainment.critical"
	// MetricFailed is the number of requests without a whole answer.
	MetricFailed = "failed"
	// MetricNotStarted and MetricUnknown are numbers of requests.
	MetricNotStarted = "notStarted"
	MetricUnknown    = "unknown"
	// MetricWrongAnswers is the number of requests with an answer that isn't theirs or not whole.
	MetricWrongAnswers = "wrongAnswers"
	// MetricP50 and MetricP99 are latencies of completed requests in milliseconds.
	MetricP50 = "p50Ms"
	MetricP99 = "p99Ms"
	// MetricRunsPerStage is the number of runs of all stages for each completed one.
	MetricRunsPerStage = "runsPerCompletedStage"
	// MetricCancelledTime is the share of the busy time of upstreams that went into
	// runs without effect.
	MetricCancelledTime = "cancelledTime"
	// MetricCollapses is the number of times that an upstream fell over.
	MetricCollapses = "fallOvers"
	// MetricDoubled is the number of requests that may run once and ran more than once.
	MetricDoubled = "bookings.doubled"
	// MetricLost is the number of them that are stated as completed and did not run.
	MetricLost = "bookings.lost"
	// MetricRanNotStarted is the number of them that are stated as not started and ran.
	MetricRanNotStarted = "bookings.ranNotStarted"
	// MetricMisdelivered is the number of runs that belong to no request.
	MetricMisdelivered = "bookings.misdelivered"
	// MetricBookingsUnknown is the number of them with an unknown outcome.
	MetricBookingsUnknown = "bookings.unknown"
	// MetricOrders is the number of orders that engines accepted. An order to load a
	// model turns an engine cold.
	MetricOrders = "ordersAccepted"
	// MetricRestarts is the number of processes that were restarted, and
	// MetricShutdownsFailed that of graceful shutdowns that reported an error.
	MetricRestarts        = "restarts"
	MetricShutdownsFailed = "shutdownsFailed"
	// MetricUnrecorded is the number of runs that upstreams had no room to record;
	// other than 0 it makes the audit and the stage costs incomplete.
	MetricUnrecorded = "unrecorded"
	// MetricLag is the 99th percentile of the generator's lag in milliseconds.
	MetricLag = "generatorLagP99Ms"
	// MetricUnsent is the number of requests that the generator could not send.
	MetricUnsent = "unsent"
	// MetricPlatformCalls is the number of calls of the object API for each request.
	MetricPlatformCalls = "platformCallsPerRequest"
)

// AttainmentMetric names the attainment in a window.
func AttainmentMetric(window string) string { return "attainment." + window }

// GoodputMetric names the requests answered within their deadline in a window, as a
// share of the topology's capacity. It exceeds 1 when pipelines without the fullest
// stage make up a larger part of the answers than of the mix.
func GoodputMetric(window string) string { return "goodput." + window }

// DropMetric names the loss of attainment in a window against the one before the
// first action. Scenarios without such a window have no drops and recovery times.
func DropMetric(window string) string { return "drop." + window }

// UnkeyedDropMetric names the same loss among requests without a key or ticket.
func UnkeyedDropMetric(window string) string { return "dropUnkeyed." + window }

// RecoveryMetric names the seconds from an action until the attainment stays within
// one point of that of the window before.
func RecoveryMetric(action string) string { return "recoverySeconds." + action }

// BookingsMetric names a number of requests to pipelines that may run once in a
// window: keyedServed, ticketsServed, refused (not started) or unknown.
func BookingsMetric(window, metric string) string { return "bookings." + window + "." + metric }

// StageMetric names a metric of one stage: runs, runsPerCompleted, busyMsPerCompleted,
// cancelledMs or fallOvers.
func StageMetric(stage, metric string) string { return "stage." + stage + "." + metric }

// worst holds the metrics of which a comparison states the worst run, because a
// single violation counts.
var worst = map[string]bool{
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
