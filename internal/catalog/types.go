package catalog

import "time"

// Kind determines whether the requests of a route may run more than once.
type Kind int

// Kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming requests get a stream of events as their response and run at most once,
	// unless the route is Resumable.
	KindStreaming
)

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route defines how the requests of a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the latency objective of a response.
	Objective time.Duration
	// GapObjective is the objective for the longest pause between events of a stream.
	GapObjective time.Duration
	// Priority ranks the requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// Attempts bounds the number of upstreams that a caller's attempt is sent to.
	Attempts int
	Stages   []Stage
	// Public routes accept requests without a key.
	Public bool
	// PrefixAffinity routes have requests that share prompt parts, which upstreams cache.
	PrefixAffinity bool
	// Resumable streams may continue on another upstream after their last event.
	Resumable bool
}

// Target is a service that gets a fraction of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Stage is work that must be done before the request itself runs.
type Stage struct {
	Service string
	// After lists the indices of the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all
	// callers together.
	MaxConnections int
	// ColdTime is how long an upstream is cold after its start.
	ColdTime time.Duration
	// ColdRate is the rate that a cold upstream can handle, in requests a second.
	ColdRate float64
	Engine   *Engine
	Batch    *Batch
}

// Engine has the properties of a service of model engines.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CapacityTokens is the memory of one engine in tokens.
	CapacityTokens int64
}

// Batch has the properties of a service that runs pieces of stages in batched calls.
type Batch struct {
	// Slots is the number of calls that one upstream works on at once.
	Slots int
	// Queue is the number of calls that may be queued on one upstream. Package pieces doesn't
	// use it: it queues the pieces itself and sends no more than Slots calls at once.
	Queue int
	// Size is the largest number of pieces in a call.
	Size int
	// CallTime is the fixed time of a call, and PieceTime the approximate time that each
	// piece adds.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultCapacityBytes is the memory of one upstream for results.
	ResultCapacityBytes int64
	// ResultTTL is how long an upstream keeps a result after its call.
	ResultTTL time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound the size of a caller's request and the time that it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Start identifies one start of an upstream. An upstream that restarts under its id has another
// start time.
type Start struct {
	ID      string
	Address string
	Born    int64
}

// Start returns the start of the upstream that registered.
func (u *Upstream) Start() Start { return Start{ID: u.ID, Address: u.Address, Born: u.Born} }

// Upstream is one registered instance of a service.
type Upstream struct {
	ID      string
	Service string
	// Address is an IP address and port.
	Address       string
	FailureDomain string
	// Version is the version of the upstream's software.
	Version string
	Slots   int
	// Draining upstreams get no new work.
	Draining bool
	// ColdFor is the remaining cold time of the upstream when it wrote its registration.
	ColdFor time.Duration
	// Born is the start time of the upstream in Unix milliseconds, or 0 if unknown.
	Born int64
	// Revision is the number of the store's revision of the registration, or 0 if unknown.
	Revision uint64
}

// isSame reports whether the registrations differ in nothing but their revisions.
func (u *Upstream) isSame(other Upstream) bool {
	other.Revision = u.Revision
	return *u == other
}
