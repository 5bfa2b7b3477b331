package platform

import "time"

// Paths of the object API.
const (
	// APIVersion is the group and version of the objects.
	APIVersion = "bergamotrudder.example/v1"
	pathPrefix = "/apis/" + APIVersion + "/namespaces/"
)

// Bounds of the object API and of the client.
const (
	// MaxObjectBytes is the platform's bound of one object.
	MaxObjectBytes = 1 << 20
	// MaxListBytes bounds the reply to a list.
	MaxListBytes = 64 << 20
	// DefaultCallTimeout bounds a call when Config sets no bound.
	DefaultCallTimeout = 2 * time.Second
	// WatchTimeout is how long one watch runs before it is opened again.
	WatchTimeout = 5 * time.Minute
	// DefaultLongPollTimeout is how long a held watch waits when Config states nothing else: below
	// DefaultCallTimeout, which a call that isn't held may take.
	DefaultLongPollTimeout = 1500 * time.Millisecond
	// WatchIdleTimeout ends a watch that brought no event and no bookmark. Kubernetes
	// servers send a bookmark about once a minute.
	WatchIdleTimeout = 2 * time.Minute
)

// Delays of a Reflector after a failure.
const (
	// MinRelistDelay is the first upper bound of the random delay.
	MinRelistDelay = 500 * time.Millisecond
	// MaxRelistDelay is the last upper bound of the random delay. It spreads the
	// lists of 3,300 processes to a sixth of the 2,000 reads a second that the
	// platform takes.
	MaxRelistDelay = 10 * time.Second
	// BackoffResetAfter is how long a watch must run before the delay starts again
	// from MinRelistDelay.
	BackoffResetAfter = 10 * time.Second
)

// Kind is the plural name of one kind of object.
type Kind string

// Kinds of objects.
const (
	KindConfiguration Kind = "configurations"
	KindSection       Kind = "sections"
	KindClaim         Kind = "claims"
	KindLease         Kind = "leases"
	KindInstance      Kind = "instances"
	KindUpstream      Kind = "upstreams"
	KindEvacuation    Kind = "evacuations"
	KindSecret        Kind = "secrets"
)

var kindNames = map[Kind]string{
	KindConfiguration: "Configuration",
	KindSection:       "Section",
	KindClaim:         "Claim",
	KindLease:         "Lease",
	KindInstance:      "Instance",
}

// Share is a part of the client's calls with a rate limit of its own.
type Share int

// Shares of the calls.
const (
	// ShareClaims is for claims and their outcomes.
	ShareClaims Share = iota
	// ShareConfiguration is for the configuration head and sections.
	ShareConfiguration
	// ShareHousekeeping is for leases, instances and cleaning up.
	ShareHousekeeping
)

// ShareCount is the number of shares.
const ShareCount = 3

var shareNames = [ShareCount]string{"claims", "configuration", "housekeeping"}

// String returns the share's name in metrics and errors.
func (s Share) String() string {
	if s < 0 || int(s) >= ShareCount {
		return "invalid"
	}
	return shareNames[s]
}

// Rate is the rate limit of one share.
type Rate struct {
	// PerSecond is in calls a second.
	PerSecond float64
	// Burst is in calls.
	Burst int
}

// DefaultRates are the rates of a share that Config leaves at zero. One process
// can't use up the several hundred writes a second that the platform takes.
var DefaultRates = [ShareCount]Rate{
	ShareClaims:        {PerSecond: 200, Burst: 200},
	ShareConfiguration: {PerSecond: 50, Burst: 100},
	ShareHousekeeping:  {PerSecond: 5, Burst: 10},
}
