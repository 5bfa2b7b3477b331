package sidecar

import (
	"encoding/json"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/limits"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

// State is the state of a sidecar for a dump. It contains no secrets.
type State struct {
	Name          string                `json:"name"`
	Upstream      string                `json:"upstream"`
	Stage         string                `json:"stage"`
	FailureDomain string                `json:"failureDomain"`
	Incarnation   string                `json:"incarnation"`
	Generation    uint64                `json:"generation"`
	Leaving       bool                  `json:"leaving"`
	InProgress    int                   `json:"inProgress"`
	Limiter       limits.Snapshot       `json:"limiter"`
	Queue         admission.Snapshot    `json:"queue"`
	Attempts      booking.AttemptsState `json:"attempts"`
	Tickets       booking.TicketsState  `json:"tickets"`
	Reservations  int                   `json:"reservations"`
	Engine        ReportedEngine        `json:"engine"`
}

// ReportedEngine is the state last reported by the upstream.
type ReportedEngine struct {
	Identity     string              `json:"identity,omitempty"`
	Capabilities []engine.Capability `json:"capabilities,omitempty"`
}

// State returns the state of the sidecar.
func (s *Sidecar) State() State {
	return State{
		Name:          s.id.Name,
		Upstream:      s.id.Upstream,
		Stage:         s.id.Stage,
		FailureDomain: s.id.FailureDomain,
		Incarnation:   s.id.Incarnation,
		Generation:    s.Holder.Generation(),
		Leaving:       s.IsLeaving(),
		InProgress:    int(s.active.Load()),
		Limiter:       s.Limiter.Snapshot(),
		Queue:         s.Queue.Snapshot(),
		Attempts:      s.Attempts.State(),
		Tickets:       s.Tickets.State(),
		Reservations:  s.reservations.count(),
		Engine:        s.reportedEngine(),
	}
}

// Dump returns the state as JSON.
func (s *Sidecar) Dump() ([]byte, error) { return json.Marshal(s.State()) }
