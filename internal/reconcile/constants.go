package reconcile

import "time"

const (
	// KindLeases is the plural of the lease object's kind.
	KindLeases = "leases"
	// DefaultLeaseDuration is the time without renewal after which another process
	// may take the lease.
	DefaultLeaseDuration = 15 * time.Second
	// renewals is the number of renewals within the duration of a lease.
	renewals = 4
	// heldNumerator of heldDenominator is the part of the duration for which the
	// holder trusts its last renewal. The rest covers clocks that run at different
	// speeds and orders that are on their way.
	heldNumerator   = 2
	heldDenominator = 3
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
)

// Defaults of Config.
const (
	// DefaultPeriod is the time between two rounds.
	DefaultPeriod = 5 * time.Second
	// DefaultMaxUnavailableFraction is the part of a stage's upstreams in one failure domain that
	// may be unavailable before no further order is given there.
	DefaultMaxUnavailableFraction = 0.25
	// DefaultLoadsPerMinute is the rate of load orders, which the weight store bears.
	DefaultLoadsPerMinute = 12
	// DefaultOrderTimeout is the time after which an order without effect is repeated.
	DefaultOrderTimeout = 10 * time.Minute
	// orderCallTimeout bounds the call that brings an order.
	orderCallTimeout = 2 * time.Second
)
