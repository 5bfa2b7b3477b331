package rollout

import (
	"fmt"
	"maps"
	"time"
)

// rollout is the state of one order at this gateway. The lock of the table guards it.
type rollout struct {
	bounds Bounds
	order  Order
	// isFresh is set if the gateway saw the order without a status of its own.
	isFresh bool
	// startedAt is when the order was written, as far as is known, and seenAt when this gateway
	// heard of it first.
	startedAt, seenAt time.Time
	// isHint is set if startedAt stems from the status only, by the clock of another machine.
	isHint bool
	// isTrusted is set if the order returns to a version that served until now.
	isTrusted bool
	// isWithdrawn is set once the order was removed without being completed.
	isWithdrawn bool

	stage   Stage
	stageAt time.Time
	reason  string
	// verdict is the state that the store has acknowledged in the epoch.
	verdict      State
	verdictEpoch uint64
	verdictAt    time.Time

	// others are the versions that served when the order came, and rejected those that earlier
	// orders have left.
	others   map[string]bool
	rejected map[string]bool
	// hasUpstream is set once an upstream of the new version has registered.
	hasUpstream bool

	credit    credit
	drippedAt time.Time
	// sends and newSends count what this gateway has sent.
	sends, newSends int
	// longest is the longest time of a send to the old version.
	longest time.Duration

	own   evidence
	total evidence
	peers map[string]*peerReport
	// snapshots are earlier totals, the newest last.
	snapshots  []evidence
	snapshotAt time.Time
	found      finding

	// isSealed is set while this gateway places nothing more on the old version, and left is
	// what it has there.
	isSealed bool
	left     int
	// hasPromised is set once this gateway has told others that nothing is left on the old version,
	// or wanted to write the verdict that stops it.
	hasPromised bool
	// awaitsStore is set while the version is bad, but the verdict that stops the old one may hold.
	awaitsStore bool

	// due is the state that the store should have, since dueAt.
	due   State
	dueAt time.Time
}

// peerReport is the newest report of another gateway.
type peerReport struct {
	incarnation string
	at          time.Time
	report      Report
	evidence    evidence
}

// Report is what a gateway tells others of a roll-out. Counts are those of its own sends since
// its start.
type Report struct {
	// Serial rises with each report of a start of a gateway.
	Serial   uint64
	Service  string
	Name     string
	To       string
	Duration time.Duration
	// Age is the time since the order. IsHint is set if only the status says so.
	Age          time.Duration
	IsHint       bool
	Revision     uint64
	Epoch        uint64
	Stage        Stage
	Reason       string
	Verdict      State
	VerdictEpoch uint64
	Sends        int
	NewSends     int
	Longest      time.Duration
	// IsWithdrawn is set if the order was removed.
	IsWithdrawn bool
	// IsClean is set if the gateway places nothing more on the old version and has nothing left
	// there.
	IsClean bool
	Cells   []CellCounts
}

func newRollout(now time.Time, bounds Bounds, o Order) *rollout {
	return &rollout{
		bounds: bounds, order: o, startedAt: now, seenAt: now, stageAt: now, drippedAt: now, snapshotAt: now,
		others: make(map[string]bool), rejected: make(map[string]bool),
		own: make(evidence), total: make(evidence), peers: make(map[string]*peerReport),
	}
}

func (r *rollout) age(now time.Time) time.Duration { return max(0, now.Sub(r.startedAt)) }

// isAlone reports whether the service has had no other version since the order.
func (r *rollout) isAlone() bool { return len(r.others) == 0 }

// isOnTrial reports whether what the new version gets is limited by its share.
func (r *rollout) isOnTrial() bool { return r.verdict == None && r.stage < stageFull && !r.isAlone() }

// isShut reports whether the new version may get nothing.
func (r *rollout) isShut() bool {
	return !r.isAlone() && r.verdict != Completed && !r.awaitsStore && (r.stage == stageBad || r.verdict == RolledBack)
}

// hasMoved reports whether the old version gets only what the new one can't take.
func (r *rollout) hasMoved() bool {
	return (r.stage == stageFull || r.awaitsStore) && r.verdict == None && !r.isAlone()
}

// hasStopped reports whether the upstreams of the version have been stopped by the verdict.
func (r *rollout) hasStopped(version string) bool { return r.verdict == Completed && r.others[version] }

func (r *rollout) setStage(now time.Time, s Stage, reason string) bool {
	if s <= r.stage || r.verdict == Completed {
		return false
	}
	r.stage, r.stageAt, r.reason = s, now, reason
	if s == stageBad {
		r.awaitsStore = r.hasPromised && !r.isWithdrawn
		r.isSealed = r.awaitsStore
	}
	return true
}

// setVerdict records what the store has acknowledged.
func (r *rollout) setVerdict(now time.Time, s State, epoch uint64) {
	if r.verdict != s {
		r.verdictAt = now
	}
	r.verdict, r.verdictEpoch, r.awaitsStore = s, epoch, false
	if s == RolledBack {
		r.stage, r.isSealed = stageBad, false
	}
	if s == Completed {
		r.stage = stageFull
	}
}

// dripSlack gives out this gateway's part of the slack.
func (r *rollout) dripSlack(now time.Time) {
	if r.credit.slack <= 0 || r.order.Duration <= 0 {
		return
	}
	passed := now.Sub(r.drippedAt)
	r.drippedAt = now
	r.credit.drip(r.credit.slack * float64(passed) / (slackPeriod * float64(r.order.Duration)))
}

// stopAwaiting ends the wait for the store if it has been silent for too long.
func (r *rollout) stopAwaiting(now time.Time) {
	if r.awaitsStore && now.Sub(r.stageAt) >= awaitTime {
		r.awaitsStore, r.isSealed = false, false
	}
}

// takeSnapshot keeps the totals for later windows.
func (r *rollout) takeSnapshot(now time.Time) {
	if now.Sub(r.snapshotAt) < snapshotTime {
		return
	}
	r.snapshotAt = now
	r.snapshots = append(r.snapshots, maps.Clone(r.total))
	if n := len(r.snapshots) - maxSnapshots; n > 0 {
		r.snapshots = r.snapshots[n:]
	}
}

// examine judges the evidence by all windows.
func (r *rollout) examine() {
	r.found = finding{}
	for _, n := range windows {
		window := r.total
		if n > 0 {
			if len(r.snapshots) < n {
				continue
			}
			window = maps.Clone(r.total)
			window.addAll(r.snapshots[len(r.snapshots)-n], -1)
		}
		r.found = r.found.worse(judge(window, r.total))
	}
}

// moveAt returns the age at which the traffic begins to move: as late as possible, because a
// version may turn bad late, and early enough for the requests on the old version to end.
func (r *rollout) moveAt() time.Duration {
	longest := r.longest
	for _, p := range r.peers {
		longest = max(longest, p.report.Longest)
	}
	d := r.order.Duration
	reserve := max(time.Duration(minReserve*float64(d)), longest+time.Duration(stageFull)*stepTime+verdictTime)
	return d - min(reserve, time.Duration(maxReserve*float64(d)))
}

// advance moves the traffic on if it is time and nothing speaks against it. Only the owner of
// the order calls it.
func (r *rollout) advance(now time.Time) bool {
	if r.verdict != None || r.stage >= stageFull || r.isWithdrawn {
		return false
	}
	age, d := r.age(now), r.order.Duration
	isLast := age >= d-time.Duration(suspicionReserve*float64(d))
	switch {
	case r.isTrusted:
		return r.setStage(now, stageFull, "the version served until now")
	case r.isHint && now.Sub(r.seenAt) < joinTime:
		return false
	case age < r.moveAt() || r.stage > stageTrial && now.Sub(r.stageAt) < stepTime:
		return false
	case !r.hasUpstream:
		return isLast && r.setStage(now, stageBad, "no upstream of the version has registered")
	case r.found.suspicion == Suspected:
		return isLast && r.setStage(now, stageBad, "still under suspicion at the end: "+r.found.reason)
	case r.isAlone():
		return r.setStage(now, stageFull, "no other version serves")
	}
	if doubt := judgeFew(r.total); doubt != "" {
		return isLast && r.setStage(now, stageBad, "little evidence: "+doubt)
	}
	if r.stage > stageTrial {
		return r.setStage(now, r.stage+1, r.reason)
	}
	updated, sends := r.total.total(true), r.allSends()
	expected := stageTrial.share(r.bounds) * float64(sends)
	switch {
	case updated.Good >= minGoodAnswers:
		return r.setStage(now, r.stage+1, fmt.Sprintf("%d of %d answers good", updated.Good, updated.Answers()))
	case expected < 2*minGoodAnswers:
		return r.setStage(now, r.stage+1, fmt.Sprintf("little evidence: %d of %d answers good in %d sends", updated.Good, updated.Answers(), sends))
	case isLast && updated.Good > 0:
		return r.setStage(now, r.stage+1, fmt.Sprintf("little evidence at the end: %d of %d answers good", updated.Good, updated.Answers()))
	}
	return isLast && r.setStage(now, stageBad, "no good answer")
}

// allSends returns the sends of all gateways that reported.
func (r *rollout) allSends() int {
	n := r.sends
	for _, p := range r.peers {
		n += p.report.Sends
	}
	return n
}

// isClean reports whether nothing is left on the old version at this gateway.
func (r *rollout) isClean() bool { return r.stage == stageFull && r.isSealed && r.left == 0 }

// isCleanEverywhere reports whether every live gateway has said a moment ago that nothing is left.
func (r *rollout) isCleanEverywhere(now time.Time, fleet Fleet) bool {
	if !r.isClean() || !r.isTrusted && now.Sub(r.stageAt) < fullTime {
		return false
	}
	// With all traffic, a bad version is soon convicted; what remains of a suspicion at the end is
	// chance.
	d := r.order.Duration
	if r.found.suspicion > Clear && r.age(now) < d-time.Duration(chanceReserve*float64(d)) {
		return false
	}
	if fleet.HasLost && r.age(now) < r.order.Duration-verdictTime {
		return false
	}
	for _, name := range fleet.Live {
		p := r.peers[name]
		if p == nil || now.Sub(p.at) > reportTime || !p.report.IsClean || p.report.Stage != stageFull {
			return false
		}
	}
	return true
}

// wanted returns the state that the store should have, or None if it has it.
func (r *rollout) wanted(now time.Time, fleet Fleet, holder string) (State, string) {
	state := r.order.state()
	switch {
	case r.isWithdrawn || r.order.To == "" || r.order.Revision.Number == 0:
		return None, ""
	case r.verdict != None:
		if state == r.verdict {
			return None, ""
		}
		return r.verdict, "the store has lost the verdict"
	case r.stage == stageBad:
		return RolledBack, r.reason
	case r.isCleanEverywhere(now, fleet):
		return Completed, r.reason
	case state != Running || r.isOwned(fleet) && r.order.Status.Holder != holder:
		return Running, ""
	}
	return None, ""
}

func (r *rollout) isOwned(fleet Fleet) bool {
	return fleet.Owner(orderKey(r.order.Service)) == fleet.Self
}

// orderKey is the key whose owner decides on the roll-outs of the service.
func orderKey(service string) string { return "rollout/" + service }

// turnAfter returns how long a write must be due for it to be this gateway's turn. One gateway
// after the other takes over: if the store doesn't answer, many at once would keep it from that.
func turnAfter(fleet Fleet, service string) time.Duration {
	return time.Duration(fleet.Rank(orderKey(service))) * takeOverTime
}

// dueWrite returns the write that this gateway should send now, or nil. The owner writes at
// once; others when the write has been due until their turn.
func (r *rollout) dueWrite(now time.Time, fleet Fleet, holder string) *Write {
	state, reason := r.wanted(now, fleet, holder)
	if state != r.due {
		r.due, r.dueAt = state, now
	}
	if state == None {
		return nil
	}
	turn := turnAfter(fleet, r.order.Service)
	if r.verdict != None {
		// A verdict that the store seems to lack may only not have been read yet.
		turn += takeOverTime
	}
	if now.Sub(r.dueAt) < turn {
		return nil
	}
	if state == Completed {
		r.hasPromised = true
	}
	return &Write{Order: r.order, Reason: reason, Status: Status{
		State: state, To: r.order.To, Duration: r.order.Duration, Holder: holder, Since: r.startedAt,
	}}
}

func (r *rollout) report(now time.Time) Report {
	rep := Report{
		Service: r.order.Service, Name: r.order.Name, To: r.order.To, Duration: r.order.Duration, Age: r.age(now), IsHint: r.isHint,
		Revision: r.order.Revision.Number, Epoch: r.order.Revision.Epoch,
		Stage: r.stage, Reason: r.reason, Verdict: r.verdict, VerdictEpoch: r.verdictEpoch,
		Sends: r.sends, NewSends: r.newSends, Longest: r.longest, IsClean: r.isClean(), IsWithdrawn: r.isWithdrawn,
	}
	if rep.IsClean {
		r.hasPromised = true
	}
	if r.verdict == None {
		rep.Cells = r.own.list()
	}
	return rep
}

// adoptAge adds the age that another gateway reports. One that some gateway has measured replaces a
// hint, and of two hints the clearly younger one holds: traffic that moves early breaks a rule.
func (r *rollout) adoptAge(now time.Time, age time.Duration, isHint bool) {
	switch own := r.age(now); {
	case r.isFresh:
	case r.isHint && !isHint,
		r.isHint && age < own-hintTolerance,
		!r.isHint && !isHint && age > own:
		r.startedAt, r.isHint = now.Add(-age), isHint
	}
}

// adopt adds the report of another gateway on the same order, and reports whether the stage or
// the verdict changed.
func (r *rollout) adopt(now time.Time, gateway, incarnation string, rep Report) bool {
	age := min(max(0, rep.Age), maxOrderAge)
	if r.isFresh && age > r.age(now)+freshTime {
		// The other gateway has not heard of this order yet, but had an equal one.
		return false
	}
	p := r.peers[gateway]
	if p != nil && p.incarnation == incarnation && rep.Serial < p.report.Serial {
		// A later one has overtaken it.
		return false
	}
	r.adoptAge(now, age, rep.IsHint)
	if p == nil {
		if len(r.peers) >= maxGateways {
			return false
		}
		p = &peerReport{}
		r.peers[gateway] = p
	}
	if rep.Verdict == None {
		if p.incarnation == incarnation {
			r.total.addAll(p.evidence, -1)
		}
		p.evidence = readEvidence(rep.Cells)
		r.total.addAll(p.evidence, 1)
	}
	p.incarnation, p.at, p.report = incarnation, now, rep
	p.report.Cells = nil
	if rep.Verdict.isFinal() && r.verdict == None {
		r.setVerdict(now, rep.Verdict, rep.VerdictEpoch)
		r.reason = rep.Reason
		return true
	}
	return r.verdict == None && rep.Stage <= stageBad && r.setStage(now, rep.Stage, rep.Reason)
}
