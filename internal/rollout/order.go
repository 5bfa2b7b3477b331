package rollout

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// State is the state of an order in its status.
type State string

// States.
const (
	// None is the state of an order without a status of its own.
	None State = ""
	// Running orders have no verdict yet.
	Running State = "running"
	// Completed orders have all traffic on the new version; the old upstreams stop at once.
	Completed State = "completed"
	// RolledBack orders have all traffic on the old version again.
	RolledBack State = "rolledBack"
)

// isFinal reports whether the state is a verdict.
func (s State) isFinal() bool { return s == Completed || s == RolledBack }

// Status is the status of an order in the store.
type Status struct {
	State State
	// To and Duration are those of the order that the status is about.
	To       string
	Duration time.Duration
	// Holder is the gateway that wrote the status last. Its next write holds only if nobody
	// else has written meanwhile.
	Holder string
	// Since is when the order was first seen, by the clock of its first holder.
	Since time.Time
}

// Order asks for a service's traffic to move to the upstreams of a version.
type Order struct {
	Service string
	// Name is the name of the order's object.
	Name string
	To   string
	// Duration is the time from the order within which a verdict is wanted.
	Duration time.Duration
	Status   Status
	Revision catalog.Revision
	// Invalid says why the order can't be followed; empty for one that can.
	Invalid string
}

// isSame reports whether both are the same order as far as their contents say.
func (o *Order) isSame(other *Order) bool {
	return o.To == other.To && o.Duration == other.Duration
}

// state returns the state of the order itself. A status of an earlier order says nothing.
func (o *Order) state() State {
	if o.Status.To != o.To || o.Status.Duration > 0 && o.Status.Duration != o.Duration {
		return None
	}
	return o.Status.State
}

// Write is a status that is due. It must be written only at the order's revision.
type Write struct {
	Order  Order
	Status Status
	// Reason says why, for the log.
	Reason string
}
