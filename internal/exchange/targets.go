package exchange

import (
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Targets returns the peers of the next round: random entries, and the owned
// sidecars that are due.
func (n *Node) Targets() []fleet.InstanceRecord {
	live, entries := n.table.Live(fleet.RoleEntry), n.table.Reachable()
	self := n.table.Self().Name
	due := n.dueSidecars()
	n.mu.Lock()
	defer n.mu.Unlock()
	count := fanout
	if n.hot > 0 {
		n.hot--
		count = hotFanout
	}
	from := n.currentPartners(entries, self)
	// Doubted entries are called at times, so that two parts of a fleet that could
	// not reach each other find out when they can.
	if n.rng.IntN(doubtedRounds) == 0 && len(live) > len(entries) {
		from = without(live, entries)
	}
	if len(from) == 0 {
		from = live
	}
	targets := append(n.pick(from, self, count), n.retries...)
	n.retries = nil
	targets = append(targets, due...)
	if len(targets) == 0 && len(n.owned) > 0 {
		targets = append(targets, n.owned[n.rng.IntN(len(n.owned))])
	}
	return targets
}

// dueSidecars returns the owned sidecars that are due.
func (n *Node) dueSidecars() []fleet.InstanceRecord {
	owned := n.currentOwned()
	generation := n.holder.Generation()
	n.mu.Lock()
	defer n.mu.Unlock()
	first, second := n.sidecarPeriods()
	var due []fleet.InstanceRecord
	for _, s := range owned {
		period := first
		if n.standby[s.Name] && time.Now().After(n.contacts[s.Name].standInUntil) {
			period = second
		}
		if n.isDue(n.contacts[s.Name], generation, period) {
			due = append(due, s)
		}
	}
	return due
}

// isDue reports whether a sidecar gets a digest now: it is behind, or its period has
// passed. After failures it is left alone for a time that doubles up to the period.
func (n *Node) isDue(c contact, generation uint64, period time.Duration) bool {
	if c.failures > 0 && time.Since(c.failedAt) < min(period, n.cfg.Period<<min(c.failures, 8)) {
		return false
	}
	return c.generation < generation || time.Since(c.at) >= time.Duration(float64(period)*c.share) || time.Since(c.digestAt) >= max(heardPeriod, period)
}

// currentPartners returns those of the reachable entries that rounds call. They stay
// the same for some time, so that connections are used again.
func (n *Node) currentPartners(entries []fleet.InstanceRecord, self string) []fleet.InstanceRecord {
	byName := make(map[string]fleet.InstanceRecord, partnerCount)
	for _, e := range entries {
		if slices.Contains(n.partners, e.Name) {
			byName[e.Name] = e
		}
	}
	n.partners = slices.DeleteFunc(n.partners, func(name string) bool { return byName[name].Name == "" })
	if len(n.partners) == partnerCount && time.Since(n.partnersAt) > partnerLife {
		n.partners = slices.Delete(n.partners, 0, 1)
	}
	if len(n.partners) < partnerCount {
		n.partnersAt = time.Now()
		for _, e := range n.pick(entries, self, partnerCount) {
			if len(n.partners) < partnerCount && !slices.Contains(n.partners, e.Name) {
				n.partners = append(n.partners, e.Name)
				byName[e.Name] = e
			}
		}
	}
	partners := make([]fleet.InstanceRecord, 0, len(n.partners))
	for _, name := range n.partners {
		partners = append(partners, byName[name])
	}
	return partners
}

// without returns those of all that are not among some; both are ordered by name.
func without(all, some []fleet.InstanceRecord) []fleet.InstanceRecord {
	var rest []fleet.InstanceRecord
	for _, e := range all {
		if len(some) > 0 && some[0].Name == e.Name {
			some = some[1:]
			continue
		}
		rest = append(rest, e)
	}
	return rest
}

// pick returns up to count random entries other than the process itself.
func (n *Node) pick(entries []fleet.InstanceRecord, self string, count int) []fleet.InstanceRecord {
	var picked []fleet.InstanceRecord
	seen := map[string]bool{self: true}
	for range min(count, len(entries)) {
		start := n.rng.IntN(len(entries))
		for i := range entries {
			if e := entries[(start+i)%len(entries)]; !seen[e.Name] {
				seen[e.Name] = true
				picked = append(picked, e)
				break
			}
		}
	}
	return picked
}

// share draws the part of its period after which a sidecar is due again.
func (n *Node) share() float64 { return shortestShare + (1-shortestShare)*n.rng.Float64() }

// currentOwned returns the owned sidecars. They are worked out anew when the table
// has changed, at most once each ownedLife.
func (n *Node) currentOwned() []fleet.InstanceRecord {
	revision := n.table.Revision()
	if owned, ok := n.lastOwned(revision); ok {
		return owned
	}
	first, second := n.table.Owned()
	owned := slices.Concat(first, second)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owned, n.ownedAt, n.ownedRevision = owned, time.Now(), revision
	n.standby = make(map[string]bool, len(second))
	for _, s := range second {
		n.standby[s.Name] = true
	}
	contacts := make(map[string]contact, len(owned))
	for _, s := range owned {
		contacts[s.Name] = n.contacts[s.Name]
	}
	n.contacts = contacts
	return owned
}

// lastOwned returns the owned sidecars as last worked out, if they are still good.
func (n *Node) lastOwned(revision uint64) ([]fleet.InstanceRecord, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned, revision == n.ownedRevision || time.Since(n.ownedAt) < ownedLife
}

// sidecarPeriods returns the times between two digests to the sidecars of which the
// node is the first and the second owner. They keep these digests under half the budget.
func (n *Node) sidecarPeriods() (first, second time.Duration) {
	weighted := float64(len(n.owned)-len(n.standby)) + float64(len(n.standby))/standbyPeriods
	seconds := weighted * DigestExchangeBytes / (n.cfg.BytesPerSecond / 2)
	first = min(max(n.cfg.SidecarPeriod, time.Duration(seconds*float64(time.Second))), max(MaxSidecarPeriod, n.cfg.SidecarPeriod))
	return first, standbyPeriods * first
}

// period keeps the digests to and from entries within what the sidecars leave of
// the budget. Each entry is called as often as it calls.
func (n *Node) period() time.Duration {
	if n.hot > 0 {
		return n.cfg.Period
	}
	first, second := n.sidecarPeriods()
	perSecond := float64(len(n.owned)-len(n.standby))/first.Seconds() + float64(len(n.standby))/second.Seconds()
	left := max(n.cfg.BytesPerSecond-perSecond*DigestExchangeBytes, 1)
	seconds := 2 * fanout * DigestExchangeBytes / left
	return min(max(n.cfg.Period, time.Duration(seconds*float64(time.Second))), max(MaxPeriod, n.cfg.Period))
}
