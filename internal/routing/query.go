package routing

import (
	"cmp"
	"slices"
	"time"
)

// Status is the routing state of one upstream for the status and dump commands.
type Status struct {
	Stage         string `json:"stage"`
	Upstream      string `json:"upstream"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	State         State  `json:"state"`
	// Reason is why the upstream is in its state.
	Reason string `json:"reason"`
	// InSubset is set if the upstream is in the subset that this process uses.
	InSubset bool `json:"inSubset"`
	// InFlight is the number of calls of this process in flight; Limit and Capacity are
	// bounds on the calls in flight of all processes.
	InFlight int `json:"inFlight"`
	Limit    int `json:"limit"`
	Capacity int `json:"capacity"`
	// FailureRate is the moving average of failures, between 0 and 1; it decays with time.
	FailureRate float64 `json:"failureRate"`
	// ServiceMs is the moving average of the call duration, in milliseconds.
	ServiceMs float64 `json:"serviceMs"`
	// EjectedForMs is the remaining ejection time, in milliseconds.
	EjectedForMs int64 `json:"ejectedForMs,omitempty"`
}

// Status returns every known upstream, ordered by stage and name.
func (t *Table) Status() []Status {
	t.mu.RLock()
	stages := make([]*stage, 0, len(t.stages))
	for _, s := range t.stages {
		stages = append(stages, s)
	}
	t.mu.RUnlock()
	var out []Status
	for _, s := range stages {
		out = append(out, s.status(time.Now())...)
	}
	slices.SortFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}

func (s *stage) status(now time.Time) []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	out := make([]Status, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		st := Status{
			Stage:         s.name,
			Upstream:      u.name,
			Address:       u.candidate.Address,
			FailureDomain: u.domain,
			InSubset:      slices.Contains(s.subset, u),
			InFlight:      u.inFlight,
			Limit:         u.limit,
			Capacity:      u.candidate.Capacity,
			FailureRate:   u.failureRate(now),
			ServiceMs:     u.serviceTime * 1000,
		}
		st.State, st.Reason = u.stateAndReason()
		if u.state == StateEjected {
			st.EjectedForMs = max(u.ejectedUntil.Sub(now).Milliseconds(), 0)
		}
		out = append(out, st)
	}
	return out
}

func (u *upstream) stateAndReason() (State, string) {
	switch {
	case !u.candidate.InService:
		return StateOutOfService, "configuration"
	case u.candidate.Leaving:
		return StateLeaving, "membership"
	case u.leaving:
		return StateLeaving, "reported"
	case u.state == StateActive && u.warming:
		return StateWarming, u.warmingReason
	}
	return u.state, u.reason
}
