package operator

import (
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/sheet"
)

// Configuration is the response to GET /v1/configuration.
type Configuration struct {
	Generation uint64         `json:"generation"`
	Document   fleet.Document `json:"document"`
}

// PutResult is the response to a PUT.
type PutResult struct {
	// Generation is the committed generation, or the one in force if nothing was changed.
	Generation uint64 `json:"generation"`
	DryRun     bool   `json:"dryRun,omitempty"`
	// Changes lists the changes of a sheet.
	Changes []sheet.Change `json:"changes,omitempty"`
}

// Status is the response to GET /v1/status: one entry's view of the fleet.
type Status struct {
	// Instance is the name of the responding entry.
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	// StoreContactAgeMs is the time since the responding entry or a peer last had contact
	// with the store, in milliseconds.
	StoreContactAgeMs int64                 `json:"storeSilentMs"`
	Pipelines         []PipelineStatus      `json:"pipelines"`
	FailureDomains    []FailureDomainStatus `json:"failureDomains"`
	Upstreams         []UpstreamStatus      `json:"upstreams"`
	Processes         []ProcessStatus       `json:"processes"`
}

// PipelineStatus is the load of one pipeline at the responding entry.
type PipelineStatus struct {
	Name       string `json:"name"`
	DeadlineMs int64  `json:"deadlineMs"`
	// InFlight and Queued are in requests.
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
	// ExpectedMs is the recent duration of all stages, in milliseconds.
	ExpectedMs int64 `json:"expectedMs,omitempty"`
}

// FailureDomainStatus counts the upstreams of one failure domain.
type FailureDomainStatus struct {
	Name         string `json:"name"`
	Region       string `json:"region,omitempty"`
	OutOfService bool   `json:"outOfService,omitempty"`
	// Upstreams is the number of known upstreams, and States their number by state.
	Upstreams int                   `json:"upstreams"`
	States    map[UpstreamState]int `json:"states"`
}

// UpstreamState determines whether an upstream gets new work.
type UpstreamState string

// States of an upstream.
const (
	// StateActive upstreams get work up to their limit.
	StateActive UpstreamState = "active"
	// StateWarming upstreams get limited work after a start or a cold transition.
	StateWarming UpstreamState = "warming"
	// StateProbing upstreams get single calls as probes after an ejection.
	StateProbing UpstreamState = "probing"
	// StateEjected upstreams get no work for the ejection time after failures.
	StateEjected UpstreamState = "ejected"
	// StateLeaving upstreams are shutting down and get no new work.
	StateLeaving UpstreamState = "leaving"
	// StateOutOfService upstreams, or their failure domains, were taken out of service by
	// operators.
	StateOutOfService UpstreamState = "outOfService"
)

// UpstreamStatus is the responding entry's view of one upstream.
type UpstreamStatus struct {
	Name          string        `json:"name"`
	Stage         string        `json:"stage"`
	FailureDomain string        `json:"failureDomain"`
	Address       string        `json:"address"`
	State         UpstreamState `json:"state"`
	// Reason is why the upstream is in its state.
	Reason string `json:"reason,omitempty"`
	// InFlight counts the calls of the responding entry. Limit and Capacity are in calls in
	// flight.
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
	// Generation is the generation in force in the process; 0 means that it has none or did
	// not respond.
	Generation uint64 `json:"generation"`
}

// OutdatedProcesses returns the live processes that aren't known to have the generation in force.
func (s Status) OutdatedProcesses(generation uint64) []ProcessStatus {
	var outdated []ProcessStatus
	for _, p := range s.Processes {
		if p.Phase == fleet.PhaseLive && p.Generation < generation {
			outdated = append(outdated, p)
		}
	}
	return outdated
}
