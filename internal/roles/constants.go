package roles

import "time"

const (
	// backgroundWorkers is the number of workers for periodic tasks.
	backgroundWorkers = 4
	// routeBatchDelay is the batching delay after a change of membership or configuration
	// before the routes are updated.
	routeBatchDelay = 5 * time.Millisecond
	// routeUpdatePeriod is the interval of updates of the routes without a notification.
	routeUpdatePeriod = time.Second
	// queryTimeout limits one query of another process: its generation or engine state,
	// or an exchange with a seed peer.
	queryTimeout = 500 * time.Millisecond
	// queryWorkers limits the concurrent generation queries.
	queryWorkers = 64
	// queriesPerRound is the number of sidecars that the reconciler queries in one round.
	// At about 200 bytes per query and 5 s per round, the lease owner sends 1.3 KB/s.
	queriesPerRound = 32
	// sweepPeriod is the mean interval at which sections that the configuration no longer
	// refers to are removed from the store. At 2,200 configuration changes a day, about 90
	// such sections accumulate between two sweeps.
	sweepPeriod = time.Hour
	// bootstrapRetryDelay is the delay between two rounds of exchanges with the seed peers.
	bootstrapRetryDelay = 200 * time.Millisecond
	// longCallTimeout limits the calls that may take longer than a query: one read of the
	// configuration after a change notification, or one engine order.
	longCallTimeout = 5 * time.Second
	// refreshTimeout limits the refresh of a stale configuration that requests wait for.
	refreshTimeout = 300 * time.Millisecond
	// leavingNoticePeriod is how long a sidecar runs on after its work has ended, so that
	// entries receive its leaving state with its replies.
	leavingNoticePeriod = time.Second
	// probePeriod is the interval at which a sidecar queries its upstream's identity and load.
	probePeriod = 500 * time.Millisecond
)
