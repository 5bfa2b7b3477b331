package booking

import "bergamotrudder.example/bergamotrudder/pkg/fleet"

// OwnedClaim is what this entry knows of a claim that it holds.
type OwnedClaim struct {
	// Running is set while the request may be dispatched or run.
	Running bool
	// Outcome is set when Running is not.
	Outcome Outcome
}

// Lookup returns the claim whose Key.String is key, if this entry holds it. An
// outcome is found here until it is recorded in the store. The entry answers other
// entries from it.
func (c *Claims) Lookup(key string) (OwnedClaim, bool) {
	var d digest
	if err := d.UnmarshalText([]byte(key)); err != nil {
		return OwnedClaim{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.held[d]
	switch {
	case !ok:
		return OwnedClaim{}, false
	case g.kind == changeRecord:
		return OwnedClaim{Outcome: *g.outcome}, true
	case g.kind == changeRelease || g.abandoned:
		return OwnedClaim{Outcome: Outcome{Execution: fleet.NotStarted}}, true
	default:
		return OwnedClaim{Running: true}, true
	}
}

// ClaimsState counts the claims of this entry for a dump.
type ClaimsState struct {
	// Held are all claims that the entry holds or waits for.
	Held int `json:"held"`
	// Unwritten are changes that wait for the store.
	Unwritten int `json:"unwritten"`
}

// State returns the counts. A graceful shutdown waits until Unwritten is 0.
func (c *Claims) State() ClaimsState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := ClaimsState{Held: len(c.held)}
	for _, segment := range c.segments {
		s.Unwritten += len(segment.changes)
	}
	return s
}
