package availability

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// ServiceState counts the upstreams of a service by the verdict on them, for the dump of the
// process's state.
type ServiceState struct {
	Service   string         `json:"service"`
	Upstreams int            `json:"upstreams"`
	Open      int            `json:"open"`
	ByReason  map[Reason]int `json:"byReason"`
	// ClosedMs is the time until the first upstream is back if none is open, or 0 if it isn't
	// known.
	ClosedMs int64 `json:"closedMs"`
}

// UpstreamState is an upstream that may not be sent to, for the dump of the process's state.
type UpstreamState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Born is the start time of the upstream in Unix milliseconds, or 0 if unknown.
	Born   int64  `json:"born"`
	Reason Reason `json:"reason"`
	// ClosedMs is the time until the verdict ends by itself, or 0 if it isn't known.
	ClosedMs int64 `json:"closedMs"`
	// Request is the id of the attempt whose response said so, and AgeMs how long ago that was
	// read.
	Request string `json:"request,omitempty"`
	AgeMs   int64  `json:"ageMs"`
}

// States returns the services of the registered upstreams, and the upstreams that may not be
// sent to.
func (j *Judge) States(now time.Time) ([]ServiceState, []UpstreamState) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.view == nil {
		return nil, nil
	}
	services := make(map[string]*ServiceState)
	var closed []UpstreamState
	for m := range j.view.All() {
		s := services[m.Service]
		if s == nil {
			s = &ServiceState{Service: m.Service, ByReason: make(map[Reason]int)}
			services[m.Service] = s
		}
		s.Upstreams++
		state := j.record(m.Start()).state(now)
		if state.Reason == Open {
			s.Open++
			continue
		}
		s.ByReason[state.Reason]++
		if left := state.ClosedMs; left > 0 && (s.ClosedMs == 0 || left < s.ClosedMs) {
			s.ClosedMs = left
		}
		state.ID, state.Service, state.Born = m.ID, m.Service, m.Born
		closed = append(closed, state)
	}
	list := make([]ServiceState, 0, len(services))
	for _, s := range services {
		if s.Open > 0 {
			s.ClosedMs = 0
		}
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(closed, func(a, b UpstreamState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list, closed
}

// state returns the verdict with what it is based on.
func (u *Upstream) state(now time.Time) UpstreamState {
	v := u.Check(now)
	s := UpstreamState{Reason: v.Reason}
	if !v.Until.IsZero() {
		s.ClosedMs = max(1, v.Until.Sub(now).Milliseconds())
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	said := signal{}
	switch v.Reason {
	case Leaving:
		said = u.leaving
	case Quiet, Returning:
		said = u.quiet.signal
	case Limited:
		said = u.limitSaid
	}
	if !said.at.IsZero() {
		s.Request, s.AgeMs = said.request, now.Sub(said.at).Milliseconds()
	}
	return s
}

// ReportReturns logs the quiet times that have ended.
func (j *Judge) ReportReturns(context.Context) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, u := range j.upstreams {
		instance.Locked(&u.mu, func() {
			if u.quiet.reported.IsZero() || now.Before(u.quiet.until) {
				return
			}
			u.quiet.reported = time.Time{}
			if u.registration != catalog.Unregistered {
				j.logger.Info().Str(instance.KeyRequest, u.quiet.request).Str(instance.KeyUpstream, u.start.ID).Int64("born", u.start.Born).
					Str("service", u.service).Dur("age", now.Sub(u.quiet.at)).Msg("quiet time of an upstream has ended; it gets requests again")
			}
		})
	}
}
