package fleet

// Document contains the items of one configuration, in no particular order.
type Document struct {
	Pipelines      []Pipeline      `json:"pipelines"`
	Stages         []Stage         `json:"stages"`
	Upstreams      []Upstream      `json:"upstreams"`
	FailureDomains []FailureDomain `json:"failureDomains"`
	Organisations  []Organisation  `json:"organisations"`
	Rules          []Rule          `json:"rules"`
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	Name string `json:"name"`
	// Steps run in order; the output of one is the input of the next.
	Steps []Step `json:"steps"`
	// DeadlineMs is both the default and the maximum deadline, in milliseconds.
	DeadlineMs int64 `json:"deadlineMs"`
	// ChangedAt is the generation that last changed the item.
	ChangedAt uint64 `json:"changedAt,omitempty"`
}

// Step is the use of one stage by a pipeline.
type Step struct {
	Stage string `json:"stage"`
	// Optional steps are skipped if their stage fails; the response lists the skipped stages.
	Optional bool `json:"optional,omitempty"`
}

// Protocol is the protocol between a sidecar and its upstream.
type Protocol string

const (
	// ProtocolChat is the chat completions call of the OpenAI-compatible HTTP protocol.
	ProtocolChat Protocol = "chat"
	// ProtocolEmbeddings is the embeddings call of the OpenAI-compatible HTTP protocol.
	ProtocolEmbeddings Protocol = "embeddings"
	// ProtocolJSON is a JSON document posted to a configured path.
	ProtocolJSON Protocol = "json"
)

// Stage is one kind of work, served by interchangeable upstreams.
type Stage struct {
	Name     string   `json:"name"`
	Protocol Protocol `json:"protocol"`
	// Path is the HTTP path to which a ProtocolJSON stage posts its input.
	Path string `json:"path,omitempty"`
	// Model is the model name sent to an engine.
	Model string `json:"model,omitempty"`
	// Idempotent stages may be rerun after a failure with an unknown effect.
	Idempotent bool `json:"idempotent"`
	// Capacity is the default capacity of one warm upstream, in calls in flight.
	Capacity int `json:"capacity"`
	// WarmUpMs is the time from the start of an upstream until it reaches its capacity, in milliseconds.
	WarmUpMs int64 `json:"warmUpMs"`
	// ColdCapacity is the capacity of a cold upstream, in calls in flight.
	ColdCapacity int `json:"coldCapacity"`
	// LoadPath is the HTTP path of the upstream's load report, or empty.
	LoadPath  string `json:"loadPath,omitempty"`
	ChangedAt uint64 `json:"changedAt,omitempty"`
}

// Upstream is the operators' configuration of one upstream: its stage, its failure domain
// and optionally its capacity and service state. An upstream that is not configured has the
// capacity of its stage and is in service if its failure domain is.
type Upstream struct {
	Name          string `json:"name"`
	Stage         string `json:"stage"`
	FailureDomain string `json:"failureDomain"`
	// Capacity is in calls in flight; 0 means the capacity of the stage.
	Capacity     int    `json:"capacity,omitempty"`
	OutOfService bool   `json:"outOfService,omitempty"`
	ChangedAt    uint64 `json:"changedAt,omitempty"`
}

// FailureDomain is a set of instances that can fail together.
type FailureDomain struct {
	Name string `json:"name"`
	// Region is the region of the failure domain; entries prefer upstreams in their local region.
	Region       string `json:"region,omitempty"`
	OutOfService bool   `json:"outOfService,omitempty"`
	ChangedAt    uint64 `json:"changedAt,omitempty"`
}

// Organisation is a customer that calls pipelines.
type Organisation struct {
	Name string `json:"name"`
	// KeySHA256 is the lower-case hexadecimal SHA-256 of the organisation's bearer key.
	KeySHA256 string `json:"keySha256"`
	// Weight is the organisation's weight in the fair sharing of a contended queue.
	Weight    int    `json:"weight"`
	ChangedAt uint64 `json:"changedAt,omitempty"`
}

// Rule allows an organisation to call a pipeline with priorities up to MaxPriority.
type Rule struct {
	Organisation string `json:"organisation"`
	// Pipeline is a pipeline's name, or "*" for every pipeline.
	Pipeline    string   `json:"pipeline"`
	MaxPriority Priority `json:"maxPriority"`
	// DefaultPriority is the priority of requests that specify none.
	DefaultPriority Priority `json:"defaultPriority"`
	ChangedAt       uint64   `json:"changedAt,omitempty"`
}

// AnyPipeline is the Pipeline value of a rule that applies to every pipeline.
const AnyPipeline = "*"
