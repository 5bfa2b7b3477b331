package booking

import "bergamotrudder.example/bergamotrudder/pkg/fleet"

// OwnedClaim is the state of a claim that this entry owns.
type OwnedClaim struct {
	// Running is set while the request may be dispatched or run.
	Running bool
	// Outcome is set when Running is not.
	Outcome Outcome
}

// Lookup returns the claim whose Key.String is key, if this entry owns it. It returns an
// outcome only until that is recorded in the store. Requests of other entries are answered
// from it.
func (c *Claims) Lookup(key string) (OwnedClaim, bool) {
	var d digest
	if err := d.UnmarshalText([]byte(key)); err != nil {
		return OwnedClaim{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.owned[d]
	switch {
	case !ok:
		return OwnedClaim{}, false
	case ch.kind == changeOutcome:
		return OwnedClaim{Outcome: *ch.outcome}, true
	case ch.kind == changeRelease || ch.abandoned:
		return OwnedClaim{Outcome: Outcome{Execution: fleet.NotStarted}}, true
	default:
		return OwnedClaim{Running: true}, true
	}
}

// ClaimsState holds the counts of this entry's claims for a dump.
type ClaimsState struct {
	// Owned counts all claims that the entry owns or waits for.
	Owned int `json:"held"`
	// Unwritten counts the changes that wait for the store.
	Unwritten int `json:"unwritten"`
}

// State returns the counts. A graceful shutdown waits until Unwritten is 0.
func (c *Claims) State() ClaimsState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := ClaimsState{Owned: len(c.owned)}
	for _, segment := range c.segments {
		s.Unwritten += len(segment.pending)
	}
	return s
}
