package gateway

import (
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

// State is the dump of a gateway process.
type State struct {
	Instance    string            `json:"instance"`
	Incarnation string            `json:"incarnation"`
	Generation  int64             `json:"generation"`
	Revisions   catalog.Revisions `json:"revisions"`
	StoreLost   bool              `json:"storeLost"`
	// StoreEpoch is the newest epoch of the store that is known.
	StoreEpoch uint64                     `json:"storeEpoch"`
	Evacuated  []string                   `json:"evacuated"`
	Gateways   []roster.State             `json:"gateways"`
	Queues     map[string]pieces.Estimate `json:"queues"`
	Upstreams  []placement.State          `json:"upstreams"`
	// Quarantine has the sets of prompt parts that crash upstreams.
	Quarantine []quarantine.State `json:"quarantine"`
}
