package catalog

import (
	"slices"
	"time"
)

const (
	// drainMemory is how long an upstream that was seen draining isn't believed to be ready
	// again in the same run. It exits within tens of seconds.
	drainMemory = 5 * time.Minute
	// leaseTime is how long a registration that was seen to be removed may remain in a store
	// that has returned to an earlier state: live upstreams write theirs every second or two,
	// and it expires after three missing writes.
	leaseTime = 10 * time.Second
	// evacuationGrace is how long an evacuation that the store lacks after its return stays in
	// force, so that the operator can write it again.
	evacuationGrace = 10 * time.Second
	// maxDepartures bounds the upstreams that are remembered after their removal.
	maxDepartures = 4096
)

// Rule names why a statement of the store isn't believed after it returned to an earlier state.
type Rule string

// Rules.
const (
	// RuleNone means that the statement is believed.
	RuleNone Rule = ""
	// RuleDraining keeps an upstream draining that was seen draining in the same run.
	RuleDraining Rule = "draining"
	// RuleRemoved keeps an upstream out of use for leaseTime whose removal was seen.
	RuleRemoved Rule = "removed"
	// RuleRestarted keeps the registration of a later run of an upstream.
	RuleRestarted Rule = "restarted"
	// RuleEvacuated keeps an evacuation for evacuationGrace that the store no longer has.
	RuleEvacuated Rule = "evacuated"
)

// Doubt is a statement of the store that isn't believed.
type Doubt struct {
	// Name is the id of an upstream or a failure domain.
	Name string
	Rule Rule
}

// departure is an upstream whose registration was removed.
type departure struct {
	Upstream
	// epoch is that of the removal.
	epoch uint64
	at    time.Time
}

// evacuation takes a failure domain out of service.
type evacuation struct {
	// epoch is the epoch of the store in which it was last read, or held.
	epoch uint64
	// heldUntil is set while the evacuation is in force although the store lacks it since its
	// return to an earlier state.
	heldUntil time.Time
}

// holdEvacuations returns the evacuations that stay in force for a time although a list of the
// epoch lacks them. The caller holds mu.
func (c *Catalog) holdEvacuations(listed []string, epoch uint64) map[string]evacuation {
	now := time.Now()
	held := make(map[string]evacuation)
	for domain, e := range c.outOfService {
		switch {
		case slices.Contains(listed, domain):
		case e.epoch < epoch:
			held[domain] = evacuation{epoch: epoch, heldUntil: now.Add(evacuationGrace)}
		case now.Before(e.heldUntil):
			held[domain] = e
		}
	}
	return held
}

// HeldEvacuations returns the failure domains that are out of service although the store lacks
// their evacuations since its return to an earlier state, and for how long they still are.
func (c *Catalog) HeldEvacuations() map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(map[string]time.Duration)
	for domain, e := range c.outOfService {
		if !e.heldUntil.IsZero() {
			held[domain] = time.Until(e.heldUntil)
		}
	}
	return held
}

// HoldEvacuations keeps evacuations in force that another gateway holds, for as long as it does.
// Those that are in force here stay as they are.
func (c *Catalog) HoldEvacuations(held map[string]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for domain, left := range held {
		if _, ok := c.outOfService[domain]; !ok && left > 0 {
			c.outOfService[domain] = evacuation{epoch: c.evacuationsAt.Epoch, heldUntil: now.Add(min(left, evacuationGrace))}
		}
	}
	if len(held) > 0 {
		c.publish()
	}
}

// recordDeparture remembers an upstream whose registration was removed in the epoch. The caller
// holds mu.
func (c *Catalog) recordDeparture(m *Member, epoch uint64) {
	now := time.Now()
	for id, d := range c.departures {
		if len(c.departures) >= maxDepartures || now.Sub(d.at) > drainMemory {
			delete(c.departures, id)
		}
	}
	c.departures[m.ID] = departure{Upstream: m.Upstream, epoch: epoch, at: now}
}

// isSameRun reports whether a registration that was read in a later epoch is of the same run
// of the upstream as u.
func (u *Upstream) isSameRun(later Upstream) bool {
	if u.Born == 0 || later.Born == 0 {
		return later.Revision <= u.Revision
	}
	return u.Born == later.Born
}

// isOlderRun reports whether a registration that was read in a later epoch is of a later run of the
// upstream than u.
func (u *Upstream) isOlderRun(later Upstream) bool {
	return !u.isSameRun(later) && (u.Born == 0 || later.Born == 0 || u.Born < later.Born)
}

// judge returns the member for a registration that was read in the epoch, in a list or as a
// change, and the rule by which it isn't believed. What was known in an earlier epoch goes
// before a registration that may have been written earlier, and an upstream of the same run is
// not warm before the time that was known. A change was written after the store returned, so
// only its state is in doubt. The caller holds mu.
func (c *Catalog) judge(u Upstream, epoch uint64, listed bool) (*Member, Rule) {
	now := time.Now()
	old, departed := c.upstreams[u.ID], c.departures[u.ID]
	switch {
	case old != nil && old.epoch < epoch:
		if old.Draining && !u.Draining && old.isSameRun(u) && now.Sub(old.seen) < drainMemory {
			u.Draining = true
			return &Member{Upstream: u, seen: old.seen, epoch: old.epoch}, RuleDraining
		}
		if listed && !old.heldUntil.IsZero() && u.Revision <= old.Revision {
			if old.heldIn == epoch {
				return old, RuleRemoved
			}
			return &Member{Upstream: u, seen: old.seen, epoch: old.epoch, heldIn: epoch, heldUntil: now.Add(leaseTime)}, RuleRemoved
		}
		if listed && u.Born > 0 && u.Born < old.Born && u.Revision < old.Revision {
			return old, RuleRestarted
		}
		if listed && !old.isSame(u) && old.isSameRun(u) {
			return &Member{Upstream: u, seen: now, epoch: epoch, coldUntil: old.coldEnd()}, RuleNone
		}
	case old == nil && departed.ID != "" && departed.epoch < epoch && !departed.isOlderRun(u) && now.Sub(departed.at) < drainMemory:
		if departed.Draining && !u.Draining && departed.isSameRun(u) {
			u.Draining = true
			return &Member{Upstream: u, seen: departed.at, epoch: departed.epoch}, RuleDraining
		}
		// A registration that was written after the return may have a revision that was given
		// out before.
		if listed && u.Revision <= departed.Revision {
			return &Member{Upstream: u, seen: now, epoch: departed.epoch, heldIn: epoch, heldUntil: now.Add(leaseTime)}, RuleRemoved
		}
	}
	delete(c.departures, u.ID)
	return c.memberFor(u, epoch), RuleNone
}

// Departures returns the registrations that aren't believed because their upstreams were seen
// draining or removed in an earlier epoch.
func (c *Catalog) Departures() []Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Upstream
	for _, m := range c.upstreams {
		if c.isDoubtful(m) {
			list = append(list, m.Upstream)
		}
	}
	return list
}

// isDoubtful reports whether the registration of the member isn't believed. The caller holds mu.
func (c *Catalog) isDoubtful(m *Member) bool {
	return !m.isAvailable() && m.epoch < c.upstreamsListedAt.Epoch
}

// AdoptDepartures adopts departures that another gateway knows and this one has not seen,
// because it started after the store returned to an earlier state. It returns those that
// change what is believed.
func (c *Catalog) AdoptDepartures(list []Upstream) []Doubt {
	c.mu.Lock()
	defer c.mu.Unlock()
	epoch := c.upstreamsListedAt.Epoch
	if epoch == 0 {
		return nil
	}
	var doubts []Doubt
	for _, u := range list {
		m := c.upstreams[u.ID]
		if m == nil || m.epoch != epoch || !m.isAvailable() {
			continue
		}
		c.departures[u.ID] = departure{Upstream: u, epoch: epoch - 1, at: time.Now()}
		delete(c.upstreams, u.ID)
		judged, rule := c.judge(m.Upstream, epoch, true)
		if rule == RuleNone {
			judged = m
		} else {
			doubts = append(doubts, Doubt{Name: u.ID, Rule: rule})
		}
		c.upstreams[u.ID] = judged
	}
	if len(doubts) > 0 {
		c.publish()
	}
	return doubts
}

// Settle ends what was kept for a time after the store returned to an earlier state, and returns
// the names.
func (c *Catalog) Settle(now time.Time) []Doubt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ended []Doubt
	for id, m := range c.upstreams {
		if !m.heldUntil.IsZero() && now.After(m.heldUntil) {
			released := *m
			released.heldUntil = time.Time{}
			c.upstreams[id] = &released
			ended = append(ended, Doubt{Name: id, Rule: RuleRemoved})
		}
	}
	for domain, e := range c.outOfService {
		if !e.heldUntil.IsZero() && now.After(e.heldUntil) {
			delete(c.outOfService, domain)
			ended = append(ended, Doubt{Name: domain, Rule: RuleEvacuated})
		}
	}
	if len(ended) > 0 {
		c.publish()
	}
	return ended
}
