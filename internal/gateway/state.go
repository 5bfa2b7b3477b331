package gateway

import (
	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

// State is the dump of a gateway process.
type State struct {
	Instance    string            `json:"instance"`
	Incarnation string            `json:"incarnation"`
	Generation  int64             `json:"generation"`
	Revisions   catalog.Revisions `json:"revisions"`
	StoreLost   bool              `json:"storeLost"`
	// Confirmed is set if the configuration was known to be the newest one of late.
	Confirmed bool `json:"confirmed"`
	// StoreEpoch is the newest epoch of the store that is known.
	StoreEpoch uint64                     `json:"storeEpoch"`
	Evacuated  []string                   `json:"evacuated"`
	Gateways   []roster.State             `json:"gateways"`
	Queues     map[string]pieces.Estimate `json:"queues"`
	Upstreams  []placement.State          `json:"upstreams"`
	// Services has the services by what may be sent to them, and Closed the upstreams that may
	// not be sent to.
	Services []availability.ServiceState  `json:"services"`
	Closed   []availability.UpstreamState `json:"closed"`
	// Limits has the upstreams that state how many requests they take from all gateways.
	Limits []availability.LimitState `json:"limits"`
	// Quarantine has the sets of prompt parts that crash upstreams.
	Quarantine []quarantine.State `json:"quarantine"`
	// Intake has what is held for callers, and its limits.
	Intake intake.State `json:"intake"`
	// Rollouts has the orders to move services to new versions.
	Rollouts []rollout.OrderState `json:"rollouts"`
}
