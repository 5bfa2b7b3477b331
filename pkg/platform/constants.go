package platform

import "time"

// Paths of the object API.
const (
	// APIVersion is the group and version of the objects.
	APIVersion = "bergamotrudder.example/v1"
	pathPrefix = "/apis/" + APIVersion + "/namespaces/"
)

// Limits and time-outs of the object API and of the client.
const (
	// MaxObjectBytes is the platform's size limit for one object.
	MaxObjectBytes = 1 << 20
	// MaxListBytes is the largest reply to a list call or a long poll.
	MaxListBytes = 64 << 20
	// MaxResponseHeaderBytes is the largest response header, for the transport of the client.
	MaxResponseHeaderBytes = 64 << 10
	// maxReplyTimeouts bounds the time in which a reply may go on arriving, in time-outs of a call.
	maxReplyTimeouts = 4
	// maxListPages bounds the pages of one list. A page has some hundred objects.
	maxListPages = 1000
	// maxEventBytes bounds one event of a streamed watch: an object and its envelope.
	maxEventBytes = 2 * MaxObjectBytes
	// DefaultCallTimeout is the time-out of a call when Config sets none.
	DefaultCallTimeout = 2 * time.Second
	// WatchTimeout is how long one watch stays open before it is reopened.
	WatchTimeout = 5 * time.Minute
	// DefaultLongPollTimeout is the long-poll time when Config sets none. It is added to
	// the time-out of a call.
	DefaultLongPollTimeout = 1500 * time.Millisecond
	// resumeTimeout is the long-poll time of the first call after a failure: the store replies at
	// once.
	resumeTimeout = time.Millisecond
	// pollOverdue is how long after the end of its long-poll time a reply is overdue: longer than
	// a store under load takes to respond.
	pollOverdue = 300 * time.Millisecond
	// WatchIdleTimeout ends a watch that has received no event and no bookmark for this
	// long. Kubernetes servers send a bookmark about once a minute.
	WatchIdleTimeout = 2 * time.Minute
)

// Back-off of a Reflector after a failure.
const (
	// MinRelistDelay is the initial upper bound of the random delay.
	MinRelistDelay = 500 * time.Millisecond
	// MaxRelistDelay is the largest upper bound of the random delay. It must be long enough
	// that the list calls of 3,300 processes use only a fraction of the 2,000 reads per
	// second that the platform accepts: with delays of 5 s on average, about a third.
	MaxRelistDelay = 10 * time.Second
	// BackoffResetAfter is how long a watch must run before the upper bound is reset to
	// MinRelistDelay.
	BackoffResetAfter = 10 * time.Second
)

// Kind is the plural name of a kind of object, as in API paths.
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
	KindQuarantine    Kind = "quarantines"
	KindRollout       Kind = "rollouts"
)

var kindNames = map[Kind]string{
	KindConfiguration: "Configuration",
	KindSection:       "Section",
	KindClaim:         "Claim",
	KindLease:         "Lease",
	KindInstance:      "Instance",
	KindRollout:       "Rollout",
}

// Share is a class of the client's calls with a separate rate limit.
type Share int

// Shares of the calls.
const (
	// ShareClaims is for claims and their outcomes.
	ShareClaims Share = iota
	// ShareConfiguration is for the configuration head and sections.
	ShareConfiguration
	// ShareHousekeeping is for leases, instances and clean-up.
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
	// PerSecond is the rate, in calls per second.
	PerSecond float64
	// Burst is the number of calls that may be sent at once after a pause.
	Burst int
}

// DefaultRates are the rate limits of the shares that Config leaves at zero. With
// them, one process can't exhaust the several hundred writes per second that the
// platform accepts.
var DefaultRates = [ShareCount]Rate{
	ShareClaims:        {PerSecond: 200, Burst: 200},
	ShareConfiguration: {PerSecond: 50, Burst: 100},
	ShareHousekeeping:  {PerSecond: 5, Burst: 10},
}
