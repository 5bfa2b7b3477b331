package exchange

import (
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Targets returns the peers to call in the next round: random entries, and the owned
// sidecars that are due.
func (n *Node) Targets() []fleet.InstanceRecord {
	live, entries := n.table.Live(fleet.RoleEntry), n.table.Reachable()
	self := n.table.Self().Name
	due := n.dueSidecars()
	n.mu.Lock()
	defer n.mu.Unlock()
	count := fanout
	if n.burstRoundsLeft > 0 {
		n.burstRoundsLeft--
		count = burstFanout
	}
	from := n.currentActivePeers(entries, self)
	// Suspected entries are called occasionally, so that two partitions of a fleet
	// detect when they can reach each other again.
	if n.rng.IntN(suspectedProbeRounds) == 0 && len(live) > len(entries) {
		from = exclude(live, entries)
	}
	if len(from) == 0 {
		from = live
	}
	targets := append(n.pickRandom(from, self, count), n.retries...)
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
	primaryPeriod, standbyPeriod := n.sidecarPeriods()
	var due []fleet.InstanceRecord
	for _, s := range owned {
		period := primaryPeriod
		if n.standby[s.Name] && time.Now().After(n.contacts[s.Name].takeoverUntil) {
			period = standbyPeriod
		}
		if n.isDue(n.contacts[s.Name], generation, period) {
			due = append(due, s)
		}
	}
	return due
}

// isDue reports whether to send a digest to a sidecar now: its generation is lower, its
// fraction of the period has passed since its last reply, or the longer of the period and
// replyingSidecarPeriod has passed since its last reply to a digest or a push. A sidecar
// with failures is not due for a time after the last one that doubles with each failure, up
// to the period.
func (n *Node) isDue(c contact, generation uint64, period time.Duration) bool {
	if c.failures > 0 && time.Since(c.failedAt) < min(period, n.cfg.Period<<min(c.failures, 8)) {
		return false
	}
	return c.generation < generation || time.Since(c.repliedAt) >= time.Duration(float64(period)*c.periodFraction) || time.Since(c.digestAt) >= max(replyingSidecarPeriod, period)
}

// currentActivePeers returns the reachable entries that rounds call. They stay the same
// for some time, so that connections are reused.
func (n *Node) currentActivePeers(entries []fleet.InstanceRecord, self string) []fleet.InstanceRecord {
	byName := make(map[string]fleet.InstanceRecord, activePeerCount)
	for _, e := range entries {
		if slices.Contains(n.activePeers, e.Name) {
			byName[e.Name] = e
		}
	}
	n.activePeers = slices.DeleteFunc(n.activePeers, func(name string) bool { return byName[name].Name == "" })
	if len(n.activePeers) == activePeerCount && time.Since(n.activePeersChangedAt) > activePeerLifetime {
		n.activePeers = slices.Delete(n.activePeers, 0, 1)
	}
	if len(n.activePeers) < activePeerCount {
		n.activePeersChangedAt = time.Now()
		for _, e := range n.pickRandom(entries, self, activePeerCount) {
			if len(n.activePeers) < activePeerCount && !slices.Contains(n.activePeers, e.Name) {
				n.activePeers = append(n.activePeers, e.Name)
				byName[e.Name] = e
			}
		}
	}
	activePeers := make([]fleet.InstanceRecord, 0, len(n.activePeers))
	for _, name := range n.activePeers {
		activePeers = append(activePeers, byName[name])
	}
	return activePeers
}

// exclude returns the instances in all that are not in some. Both are sorted by name.
func exclude(all, some []fleet.InstanceRecord) []fleet.InstanceRecord {
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

// pickRandom returns up to count distinct random instances other than self.
func (n *Node) pickRandom(instances []fleet.InstanceRecord, self string, count int) []fleet.InstanceRecord {
	var picked []fleet.InstanceRecord
	seen := map[string]bool{self: true}
	for range min(count, len(instances)) {
		start := n.rng.IntN(len(instances))
		for i := range instances {
			if candidate := instances[(start+i)%len(instances)]; !seen[candidate.Name] {
				seen[candidate.Name] = true
				picked = append(picked, candidate)
				break
			}
		}
	}
	return picked
}

// periodFraction returns a random fraction of the period, at least
// minPeriodFraction.
func (n *Node) periodFraction() float64 {
	return minPeriodFraction + (1-minPeriodFraction)*n.rng.Float64()
}

// currentOwned returns the owned sidecars. They are recomputed after changes of the
// table, at most once per minOwnedRefreshInterval.
func (n *Node) currentOwned() []fleet.InstanceRecord {
	revision := n.table.Revision()
	if owned, ok := n.cachedOwned(revision); ok {
		return owned
	}
	primaryOwned, standbyOwned := n.table.Owned()
	owned := slices.Concat(primaryOwned, standbyOwned)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owned, n.ownedAt, n.ownedRevision = owned, time.Now(), revision
	n.standby = make(map[string]bool, len(standbyOwned))
	for _, s := range standbyOwned {
		n.standby[s.Name] = true
	}
	contacts := make(map[string]contact, len(owned))
	for _, s := range owned {
		contacts[s.Name] = n.contacts[s.Name]
	}
	n.contacts = contacts
	return owned
}

// cachedOwned returns the last computed owned sidecars, and whether they are still valid.
func (n *Node) cachedOwned(revision uint64) ([]fleet.InstanceRecord, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned, revision == n.ownedRevision || time.Since(n.ownedAt) < minOwnedRefreshInterval
}

// sidecarPeriods returns the periods of the digests to a sidecar whose primary or standby
// owner is this node. They keep these digests under half the budget, as far as
// MaxSidecarPeriod allows.
func (n *Node) sidecarPeriods() (primaryPeriod, standbyPeriod time.Duration) {
	weighted := float64(len(n.owned)-len(n.standby)) + float64(len(n.standby))/standbyPeriodFactor
	seconds := weighted * DigestExchangeBytes / (n.cfg.BytesPerSecond / 2)
	primaryPeriod = min(max(n.cfg.SidecarPeriod, time.Duration(seconds*float64(time.Second))), max(MaxSidecarPeriod, n.cfg.SidecarPeriod))
	return primaryPeriod, standbyPeriodFactor * primaryPeriod
}

// period returns the mean time between two rounds without updates. It keeps the digests to
// and from entries within the budget that the sidecars leave, as far as MaxPeriod allows.
// Each entry receives as many calls as it sends.
func (n *Node) period() time.Duration {
	if n.burstRoundsLeft > 0 {
		return n.cfg.Period
	}
	primaryPeriod, standbyPeriod := n.sidecarPeriods()
	perSecond := float64(len(n.owned)-len(n.standby))/primaryPeriod.Seconds() + float64(len(n.standby))/standbyPeriod.Seconds()
	left := max(n.cfg.BytesPerSecond-perSecond*DigestExchangeBytes, 1)
	seconds := 2 * fanout * DigestExchangeBytes / left
	return min(max(n.cfg.Period, time.Duration(seconds*float64(time.Second))), max(MaxPeriod, n.cfg.Period))
}
