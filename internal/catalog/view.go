package catalog

import (
	"iter"
	"maps"
	"strings"
	"time"
)

// View is an immutable snapshot of the catalog.
type View struct {
	cfg                *Configuration
	routesByHost       map[string][]*Route
	services           map[string]*Service
	organisationsByKey map[string]*Organisation
	members            map[string][]*Member
	byID               map[string]*Member
	registered         map[string]int
	outOfService       map[string]bool
	hasDoubts          bool
}

// Member is an upstream as a member of its service.
type Member struct {
	Upstream
	// seen is when this gateway got the last change of the registration; the cold time is
	// counted from then.
	seen time.Time
	// coldUntil is when the upstream becomes warm if that is later than its registration says.
	coldUntil time.Time
	// epoch is the epoch of the store in which the registration was last believed.
	epoch uint64
	// heldUntil is set while the upstream is kept out of use because the store may have returned
	// to a state before its removal, at the begin of the epoch heldIn.
	heldUntil time.Time
	heldIn    uint64
}

// isAvailable reports whether the upstream may get new work as far as its registration goes.
func (m *Member) isAvailable() bool { return !m.Draining && m.heldUntil.IsZero() }

// IsCold reports whether the upstream is still cold at the time according to its
// registration.
func (m *Member) IsCold(now time.Time) bool { return now.Before(m.coldEnd()) }

// coldEnd returns when the upstream becomes warm.
func (m *Member) coldEnd() time.Time {
	end := m.seen.Add(m.ColdFor)
	if m.coldUntil.After(end) {
		return m.coldUntil
	}
	return end
}

// Seen returns when this gateway got the last change of the registration.
func (m *Member) Seen() time.Time { return m.seen }

// HasConfiguration reports whether the view has a configuration.
func (v *View) HasConfiguration() bool { return v.cfg != nil }

// Version returns the version of the configuration, or 0 without one.
func (v *View) Version() int64 {
	if v.cfg == nil {
		return 0
	}
	return v.cfg.Version
}

// Limits returns the limits for callers.
func (v *View) Limits() Limits {
	if v.cfg == nil {
		return Limits{}
	}
	return v.cfg.Limits
}

// Route returns the route of the host with the longest prefix of the path, or nil.
func (v *View) Route(host, path string) *Route {
	var best *Route
	for _, r := range v.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Service returns the service, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Services returns the services of the configuration, which the caller must not change.
func (v *View) Services() []Service {
	if v.cfg == nil {
		return nil
	}
	return v.cfg.Services
}

// HasOrganisations reports whether requests need a key.
func (v *View) HasOrganisations() bool { return v.cfg != nil && len(v.cfg.Organisations) > 0 }

// Organisation returns the organisation that the key belongs to, or nil.
func (v *View) Organisation(key string) *Organisation { return v.organisationsByKey[key] }

// Upstreams returns the service's upstreams that may get new work: neither draining nor
// in a failure domain that is out of service. The caller must not change the slice.
func (v *View) Upstreams(service string) []*Member { return v.members[service] }

// RegisteredCount returns the number of the service's upstreams in any state.
func (v *View) RegisteredCount(service string) int { return v.registered[service] }

// Upstream returns the upstream with the id if it may get new work, or nil.
func (v *View) Upstream(id string) *Member {
	m := v.byID[id]
	if v.registration(m) != Registered {
		return nil
	}
	return m
}

// Registration is the state of the registration of an upstream.
type Registration int

// States of registrations.
const (
	// Registered upstreams may get new work.
	Registered Registration = iota
	// Draining upstreams registered as such, or are kept out of use for a time.
	Draining
	// OutOfService upstreams are in a failure domain that is out of service.
	OutOfService
	// Unregistered upstreams have no registration, or another start of theirs has it.
	Unregistered
)

var registrationNames = [...]string{"registered", "draining", "outOfService", "unregistered"}

// String returns the name of the state in logs.
func (r Registration) String() string { return registrationNames[r] }

// Registration returns the state of the registration of the start.
func (v *View) Registration(start Start) Registration {
	m := v.byID[start.ID]
	if m == nil || m.Start() != start {
		return Unregistered
	}
	return v.registration(m)
}

// registration returns the state of the member's registration.
func (v *View) registration(m *Member) Registration {
	switch {
	case m == nil:
		return Unregistered
	case !m.isAvailable():
		return Draining
	case v.outOfService[m.FailureDomain]:
		return OutOfService
	}
	return Registered
}

// All returns the registered upstreams in any state.
func (v *View) All() iter.Seq[*Member] { return maps.Values(v.byID) }

// Registered returns the upstream with the id in any state, or nil.
func (v *View) Registered(id string) *Member { return v.byID[id] }

// HasDoubts reports whether something is held since the store returned to an earlier state.
func (v *View) HasDoubts() bool { return v.hasDoubts }

// IsOutOfService reports whether the failure domain gets no new work.
func (v *View) IsOutOfService(domain string) bool { return v.outOfService[domain] }
