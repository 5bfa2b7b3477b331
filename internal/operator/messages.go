package operator

import (
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/sheet"
)

// Configuration is the answer of GET /v1/configuration.
type Configuration struct {
	Generation uint64         `json:"generation"`
	Document   fleet.Document `json:"document"`
}

// PutResult is the answer of a PUT.
type PutResult struct {
	// Generation is the accepted one, or the one in force when nothing was changed.
	Generation uint64 `json:"generation"`
	DryRun     bool   `json:"dryRun,omitempty"`
	// Changes lists what a sheet changes.
	Changes []sheet.Change `json:"changes,omitempty"`
}

// Status is the answer of GET /v1/status: the fleet as one entry sees it.
type Status struct {
	// Instance is the name of the entry that answers.
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	// StoreContactAgeMs is the time since the store last confirmed the configuration, in milliseconds.
	StoreContactAgeMs int64                 `json:"storeSilentMs"`
	Pipelines         []PipelineStatus      `json:"pipelines"`
	FailureDomains    []FailureDomainStatus `json:"failureDomains"`
	Upstreams         []UpstreamStatus      `json:"upstreams"`
	Processes         []ProcessStatus       `json:"processes"`
}

// PipelineStatus is the load of one pipeline at the entry that answers.
type PipelineStatus struct {
	Name       string `json:"name"`
	DeadlineMs int64  `json:"deadlineMs"`
	// InFlight and Queued are in requests.
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	// ExpectedMs is the recent cost of all stages, in milliseconds.
	ExpectedMs int64 `json:"expectedMs,omitempty"`
}

// FailureDomainStatus sums up the upstreams of one failure domain.
type FailureDomainStatus struct {
	Name         string `json:"name"`
	Region       string `json:"region,omitempty"`
	OutOfService bool   `json:"outOfService,omitempty"`
	// Upstreams counts the known ones, and States those in each state.
	Upstreams int                   `json:"upstreams"`
	States    map[UpstreamState]int `json:"states"`
}

// UpstreamState says whether an upstream gets new work.
type UpstreamState string

// States of an upstream.
const (
	// StateActive upstreams get work up to their limit.
	StateActive UpstreamState = "active"
	// StateWarming upstreams get a limited amount of work after a start or a cold turn.
	StateWarming UpstreamState = "warming"
	// StateProbing upstreams get single calls after an ejection.
	StateProbing UpstreamState = "probing"
	// StateEjected upstreams failed and get no work for a while.
	StateEjected UpstreamState = "ejected"
	// StateLeaving upstreams shut down and get no new work.
	StateLeaving UpstreamState = "leaving"
	// StateOutOfService upstreams, or their failure domains, were taken out by operators.
	StateOutOfService UpstreamState = "outOfService"
)

// UpstreamStatus is one upstream as the entry that answers sees it.
type UpstreamStatus struct {
	Name          string        `json:"name"`
	Stage         string        `json:"stage"`
	FailureDomain string        `json:"failureDomain"`
	Address       string        `json:"address"`
	State         UpstreamState `json:"state"`
	// Reason says why the upstream is in its state.
	Reason string `json:"reason,omitempty"`
	// InFlight counts the calls of the entry that answers; Limit and Capacity are calls in flight.
	InFlight int `json:"inFlight"`
	Limit    int `json:"limit"`
	Capacity int `json:"capacity"`
	// FailureRate is between 0 and 1.
	FailureRate float64 `json:"failureRate"`
	// EjectedForMs is the remaining ejection time, in milliseconds.
	EjectedForMs int64 `json:"ejectedForMs,omitempty"`
}

// ProcessStatus is one process of the system.
type ProcessStatus struct {
	Name          string      `json:"name"`
	Role          fleet.Role  `json:"role"`
	FailureDomain string      `json:"failureDomain"`
	Address       string      `json:"address"`
	Phase         fleet.Phase `json:"phase"`
	// Generation is the one in force there; 0 means that the process has none or
	// could not be asked.
	Generation uint64 `json:"generation"`
}

// OutdatedProcesses returns the live processes that aren't known to have the generation in force.
func (s Status) OutdatedProcesses(generation uint64) []ProcessStatus {
	var behind []ProcessStatus
	for _, p := range s.Processes {
		if p.Phase == fleet.PhaseLive && p.Generation < generation {
			behind = append(behind, p)
		}
	}
	return behind
}
