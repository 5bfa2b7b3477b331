package reconcile

import "time"

const (
	// KindLeases is the plural kind name of lease objects.
	KindLeases = "leases"
	// DefaultLeaseDuration is the time without renewal after which another process
	// may take the lease.
	DefaultLeaseDuration = 15 * time.Second
	// renewalsPerDuration is the number of renewals during one lease duration.
	renewalsPerDuration = 4
	// holdNumerator / holdDenominator is the fraction of the lease duration for which
	// the holder relies on its last renewal. The rest allows for clocks that run at
	// different rates and for orders in flight.
	holdNumerator   = 2
	holdDenominator = 3
	// storeTimeout limits one call to the store.
	storeTimeout = 2 * time.Second
)

// Defaults of Config.
const (
	// DefaultPeriod is the time between two reconciliations.
	DefaultPeriod = 5 * time.Second
	// DefaultMaxUnavailableFraction is the fraction of a stage's upstreams in one
	// failure domain that may be unavailable; at this limit no further order is sent there.
	DefaultMaxUnavailableFraction = 0.25
	// DefaultLoadsPerMinute is the rate of load orders, which the weight store sustains.
	DefaultLoadsPerMinute = 12
	// DefaultOrderTimeout is the time after which an order without effect is repeated.
	DefaultOrderTimeout = 10 * time.Minute
	// orderCallTimeout limits the call that sends an order.
	orderCallTimeout = 2 * time.Second
)
