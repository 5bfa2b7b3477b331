package rollout

import (
	"cmp"
	"slices"
	"time"
)

// VersionState has the answers of one version, for the dump of the process's state.
type VersionState struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed"`
	Broken  int `json:"broken"`
	Spoiled int `json:"spoiled"`
	Late    int `json:"late"`
	// FirstByteMs and EventGapMs are geometric means.
	FirstByteMs float64 `json:"firstByteMs"`
	EventGapMs  float64 `json:"eventGapMs"`
}

// stateOf returns the state of a version with the counts.
func stateOf(c Counts) VersionState {
	return VersionState{
		Answers: c.Answers(), Failed: c.Failed, Broken: c.Broken, Spoiled: c.Spoiled, Late: c.Late,
		FirstByteMs: c.First.Milliseconds(), EventGapMs: c.Gap.Milliseconds(),
	}
}

// OrderState is the state of one roll-out, for the dump of the process's state.
type OrderState struct {
	Service    string `json:"service"`
	To         string `json:"to"`
	AgeMs      int64  `json:"ageMs"`
	DurationMs int64  `json:"durationMs"`
	Stage      string `json:"stage"`
	// Share is the part of this gateway's sends that the new version gets now.
	Share float64 `json:"share"`
	// Sends are those of this gateway, and NewSends those of them to the new version.
	Sends    int   `json:"sends"`
	NewSends int   `json:"newSends"`
	Verdict  State `json:"verdict"`
	// Reason says what led to the stage, and Suspicion what speaks against the version.
	Reason    string `json:"reason"`
	Suspicion string `json:"suspicion"`
	// Decider is the gateway that owns the order, and Holder the one that wrote its status last.
	Decider string `json:"decider"`
	Holder  string `json:"holder"`
	// Left counts what this gateway has on the old version while the traffic moves.
	Left int          `json:"left"`
	New  VersionState `json:"new"`
	Old  VersionState `json:"old"`
	// Reports is the number of other gateways whose evidence is known.
	Reports int `json:"reports"`
}

// States returns the states of the roll-outs, sorted by service.
func (t *Table) States(now time.Time, fleet Fleet) []OrderState {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]OrderState, 0, len(t.rollouts))
	for service, r := range t.rollouts {
		list = append(list, OrderState{
			Service: service, To: r.order.To, AgeMs: r.age(now).Milliseconds(), DurationMs: r.order.Duration.Milliseconds(),
			Stage: r.stage.String(), Share: r.stage.share(t.bounds), Sends: r.sends, NewSends: r.newSends, Verdict: r.verdict,
			Reason: r.reason, Suspicion: r.found.reason, Decider: fleet.Owner(orderKey(service)), Holder: r.order.Status.Holder,
			Left: r.left, New: stateOf(r.total.total(true)), Old: stateOf(r.total.total(false)), Reports: len(r.peers),
		})
	}
	slices.SortFunc(list, func(a, b OrderState) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// State returns the state of a version with the counts, for the log.
func (c Counts) State() VersionState { return stateOf(c) }
