package placement

import (
	"cmp"
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// State is the table's state of one upstream, for the dump of the process's state.
type State struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	FailureDomain string `json:"failureDomain"`
	Running       int    `json:"running"`
	// WaitingTokens are the uncached prompt tokens of requests without a first byte.
	WaitingTokens float64 `json:"waitingTokens"`
	// DelayMs is the moving average of how far times to the first byte exceeded their
	// prediction, in milliseconds. An earlier first byte counts as 0, and each refusal adds
	// 20.
	DelayMs float64 `json:"delayMs"`
	// FailedShare is the fraction of recent requests that failed, as a moving average.
	FailedShare float64 `json:"failedShare"`
	// RestingMs is the remaining back-off of the upstream.
	RestingMs int64 `json:"restingMs"`
	// EntryAgeMs is how long ago this gateway got the last change of the upstream's
	// registration.
	EntryAgeMs int64 `json:"entryAgeMs"`
}

// restingTime returns what is left of a back-off.
func restingTime(now time.Time, v availability.Verdict) time.Duration {
	if v.Reason != availability.BackOff {
		return 0
	}
	return v.Until.Sub(now)
}

// EngineTime returns the expected time to the first event of a request with the prompt on the
// engine that its prompt prefers: all but a few of its shared tokens are cached there.
func (t *Table) EngineTime(service string, prompt []dialect.PromptPart, tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, shared := sizeOf(prompt)
	uncached := float64(max(all, tokens)) - affinityFraction*float64(shared)
	return time.Duration(t.model(service).FirstEventMs(uncached) * float64(time.Millisecond))
}

// States returns the state of all upstreams that the table tracks.
func (t *Table) States(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]State, 0, len(t.upstreams))
	for id, u := range t.upstreams {
		list = append(list, State{
			ID: id, Service: u.member.Service, FailureDomain: u.member.FailureDomain, Running: u.running,
			WaitingTokens: u.prefillTokens, DelayMs: u.excessMs, FailedShare: u.failureRate,
			RestingMs: restingTime(now, u.record.Check(now)).Milliseconds(), EntryAgeMs: now.Sub(u.member.Seen()).Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
