package entry

import (
	"encoding/json"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Register publishes the entry's services on the peer listener.
func (e *Entry) Register(server *peer.Server) error {
	return server.Register(booking.OutcomeServiceName, e.outcomes)
}

// State is the state of an entry for a dump. It contains no secrets.
type State struct {
	Name          string                        `json:"name"`
	FailureDomain string                        `json:"failureDomain"`
	Address       string                        `json:"address"`
	Incarnation   string                        `json:"incarnation"`
	Generation    uint64                        `json:"generation"`
	Leaving       bool                          `json:"leaving"`
	InFlight      int                           `json:"inFlight"`
	Upstreams     []routing.Status              `json:"upstreams"`
	Gates         map[string]admission.Snapshot `json:"gates"`
	RetryBudgets  []retry.Snapshot              `json:"retryBudgets"`
	Claims        booking.ClaimsState           `json:"claims"`
}

// State returns the state of the entry.
func (e *Entry) State() State {
	return State{
		Name:          e.id.Name,
		FailureDomain: e.id.FailureDomain,
		Address:       e.id.Address,
		Incarnation:   e.id.Incarnation,
		Generation:    e.Holder.Generation(),
		Leaving:       e.IsLeaving(),
		InFlight:      e.InFlight(),
		Upstreams:     e.Table.Status(),
		Gates:         e.Gates(),
		RetryBudgets:  e.Budgets.Snapshot(),
		Claims:        e.Claims.State(),
	}
}

// Gates returns the state of the admission gates by pipeline.
func (e *Entry) Gates() map[string]admission.Snapshot { return e.gates.snapshot() }

// ExpectedDuration returns the estimated duration of the pipeline's stages, from recent
// requests.
func (e *Entry) ExpectedDuration(p fleet.Pipeline) time.Duration {
	return e.Estimator.ExpectedDuration(p.Name, stageNames(p))
}

// Dump returns the state as JSON.
func (e *Entry) Dump() ([]byte, error) { return json.Marshal(e.State()) }
