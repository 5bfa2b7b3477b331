package placement

import (
	"cmp"
	"slices"
	"time"
)

// State is what the table holds of one upstream, for the dump of the process's state.
type State struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failureDomain"`
	Running       int    `json:"running"`
	// WaitingTokens are the prompt tokens of requests without a first byte.
	WaitingTokens float64 `json:"waitingTokens"`
	// DelayMs is the excess of recent times to the first byte.
	DelayMs float64 `json:"delayMs"`
	// FailedShare is the share of recent requests that failed, the newest weighing most.
	FailedShare float64 `json:"failedShare"`
	// RestingMs is how much longer the upstream rests.
	RestingMs int64 `json:"restingMs"`
	// EntryAgeMs is how long ago the upstream's entry last changed.
	EntryAgeMs int64 `json:"entryAgeMs"`
}

// States returns the state of all upstreams that requests were sent to.
func (t *Table) States(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]State, 0, len(t.upstreams))
	for id, u := range t.upstreams {
		list = append(list, State{
			ID: id, Service: u.member.Service, FailureDomain: u.member.FailureDomain, Running: u.running,
			WaitingTokens: u.prefill, DelayMs: u.delay, FailedShare: u.failed,
			RestingMs: max(0, u.resting.Sub(now).Milliseconds()), EntryAgeMs: now.Sub(u.member.Seen()).Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
