package catalog

import "time"

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStreaming requests are answered with a stream of events and run at most once,
	// unless the route says that they may be resumed.
	KindStreaming
)

// Configuration is one version of what the operators wrote.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is on time.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that is on time.
	GapObjective time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	Targets  []Target
	// Attempts bounds the upstreams that one attempt of a caller is sent to.
	Attempts int
	Stages   []Stage
	// Public routes take requests without a key.
	Public bool
	// PrefixAffinity routes have requests that share parts of prompts, which upstreams keep in memory.
	PrefixAffinity bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Stage is work that is done before the request itself runs.
type Stage struct {
	Service string
	// After are the numbers of the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// ColdTime is how long an upstream is cold after its start.
	ColdTime time.Duration
	// ColdRate is what a cold upstream bears, in requests a second.
	ColdRate float64
	Engine   *Engine
	Batch    *Batch
}

// Engine is what is known of a service of model engines.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CapacityTokens is the memory of one engine, in tokens.
	CapacityTokens int64
}

// Batch is what is known of a service that does pieces of stages in batched calls.
type Batch struct {
	// Slots is the number of calls that one upstream works on at once.
	Slots int
	// Queue is the number of calls that may wait at one upstream.
	Queue int
	// Size is the largest number of pieces in a call.
	Size int
	// CallTime and PieceTime are the work of a call and, approximately, of each piece.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultCapacityBytes is what one upstream holds of results.
	ResultCapacityBytes int64
	// ResultTTL is how long a result lives after its call.
	ResultTTL time.Duration
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Upstream is one registered instance of a service.
type Upstream struct {
	ID      string
	Service string
	// Address is an IP address and port.
	Address       string
	FailureDomain string
	Slots         int
	// Draining upstreams get no new work.
	Draining bool
	// ColdFor is how much longer the upstream was cold when it wrote its entry.
	ColdFor time.Duration
	// Born is the start of the upstream in Unix milliseconds, or 0.
	Born int64
}
