package exchange

import (
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Targets returns the peers of the next round: random entries, and the owned
// sidecars that are due.
func (n *Node) Targets() []fleet.InstanceRecord {
	live, entries := n.table.Live(fleet.RoleEntry), n.table.Reachable()
	self := n.table.Self().Name
	generation := n.holder.Generation()
	owned := n.currentOwned()
	n.mu.Lock()
	defer n.mu.Unlock()
	count := fanout
	if n.hot > 0 {
		n.hot--
		count = hotFanout
	}
	// Doubted entries are called at times, so that two parts of a fleet that could
	// not reach each other find out when they can.
	if len(entries) <= 1 || n.rng.IntN(doubtedRounds) == 0 {
		entries = live
	}
	targets := append(n.pick(entries, self, count), n.retries...)
	n.retries = nil
	period := n.sidecarPeriod(len(owned))
	for _, s := range owned {
		if n.isDue(n.contacts[s.Name], generation, period) {
			targets = append(targets, s)
		}
	}
	if len(targets) == 0 && len(owned) > 0 {
		targets = append(targets, owned[n.rng.IntN(len(owned))])
	}
	return targets
}

// isDue reports whether a sidecar gets a digest now: it is behind, or its period has
// passed. After failures it is left alone for a time that doubles up to the period.
func (n *Node) isDue(c contact, generation uint64, period time.Duration) bool {
	if c.failures > 0 && time.Since(c.failedAt) < min(period, n.cfg.Period<<min(c.failures, 8)) {
		return false
	}
	return c.generation < generation || time.Since(c.at) >= n.spreadOut(period) || time.Since(c.digestAt) >= heardPeriod
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

// spreadOut varies a period, so that digests don't come in bursts.
func (n *Node) spreadOut(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (0.8 + 0.2*n.rng.Float64()))
}

// currentOwned returns the owned sidecars. They are worked out anew when the table
// has changed, at most once each ownedLife.
func (n *Node) currentOwned() []fleet.InstanceRecord {
	revision := n.table.Revision()
	if owned, ok := n.lastOwned(revision); ok {
		return owned
	}
	owned := n.table.Owned()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owned, n.ownedAt, n.ownedRevision = owned, time.Now(), revision
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

// sidecarPeriod keeps the digests to the owned sidecars under half the budget.
func (n *Node) sidecarPeriod(owned int) time.Duration {
	seconds := float64(owned) * digestBytes / (n.cfg.Budget / 2)
	return min(max(n.cfg.SidecarPeriod, time.Duration(seconds*float64(time.Second))), max(MaxSidecarPeriod, n.cfg.SidecarPeriod))
}

// period keeps the digests to and from entries within what the sidecars leave of
// the budget. Each entry is called as often as it calls.
func (n *Node) period() time.Duration {
	if n.hot > 0 {
		return n.cfg.Period
	}
	perSecond := float64(len(n.owned)) * digestBytes / n.sidecarPeriod(len(n.owned)).Seconds()
	left := max(n.cfg.Budget-perSecond, 1)
	seconds := 2 * fanout * digestBytes / left
	return min(max(n.cfg.Period, time.Duration(seconds*float64(time.Second))), max(MaxPeriod, n.cfg.Period))
}
