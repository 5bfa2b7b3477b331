package roles

import "time"

const (
	// backgroundWorkers is the number of workers for periodic tasks.
	backgroundWorkers = 4
	// routeDelay gathers changes of membership and configuration into one update of
	// the routes.
	routeDelay = 5 * time.Millisecond
	// routeRefresh updates the routes also without a known change.
	routeRefresh = time.Second
	// queryTimeout bounds the question for the generation of one process.
	queryTimeout = 500 * time.Millisecond
	// queryWorkers bounds the questions in progress.
	queryWorkers = 64
	// observedPerRound is the number of sidecars that the reconciler asks in one round.
	// At about 200 bytes a question and 5 s a round it costs the holder of the lease
	// 1.3 KB/s.
	observedPerRound = 32
	// sweepPeriod is how often sections that no configuration uses are removed. At
	// 2,200 changes a day about 90 are left behind in the time.
	sweepPeriod = time.Hour
	// bootstrapPause is the wait between two rounds of asking the seed peers.
	bootstrapPause = 200 * time.Millisecond
	// loadTimeout bounds one read of the configuration after a change was seen.
	loadTimeout = 5 * time.Second
	// confirmTimeout bounds how long a request waits for a stale configuration to
	// be confirmed.
	confirmTimeout = 300 * time.Millisecond
	// leaveNotice is how long a sidecar stays after its work has ended, so that
	// entries learn from its replies that it is leaving.
	leaveNotice = time.Second
	// probePeriod is how often a sidecar asks its upstream for identity and load.
	probePeriod = 500 * time.Millisecond
)
