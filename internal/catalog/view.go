package catalog

import (
	"strings"
	"time"
)

// View is what the catalog held at one moment. It doesn't change.
type View struct {
	cfg      *Configuration
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	members  map[string][]*Member
	byID     map[string]*Member
	out      map[string]bool
}

// Member is an upstream as the catalog saw it.
type Member struct {
	Upstream
	// seen is when the entry was last changed.
	seen time.Time
}

// IsCold reports whether the upstream said that it is still cold at the time.
func (m *Member) IsCold(now time.Time) bool { return now.Before(m.seen.Add(m.ColdFor)) }

// Seen returns when the entry last changed.
func (m *Member) Seen() time.Time { return m.seen }

// HasConfiguration reports whether a configuration is known.
func (v *View) HasConfiguration() bool { return v.cfg != nil }

// Version returns the version of the configuration, or 0.
func (v *View) Version() int64 {
	if v.cfg == nil {
		return 0
	}
	return v.cfg.Version
}

// Limits returns the limits of callers.
func (v *View) Limits() Limits {
	if v.cfg == nil {
		return Limits{}
	}
	return v.cfg.Limits
}

// Route returns the route of the host with the longest prefix of the path, or nil.
func (v *View) Route(host, path string) *Route {
	var best *Route
	for _, r := range v.hosts[strings.ToLower(host)] {
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

// Organisation returns the holder of the key, or nil.
func (v *View) Organisation(key string) *Organisation { return v.keys[key] }

// Upstreams returns the service's upstreams that may get new work: neither draining nor
// in a failure domain that is out of service. The caller must not change the slice.
func (v *View) Upstreams(service string) []*Member { return v.members[service] }

// Upstream returns the upstream of the id if it may get new work, or nil.
func (v *View) Upstream(id string) *Member {
	m := v.byID[id]
	if m == nil || m.Draining || v.out[m.FailureDomain] {
		return nil
	}
	return m
}

// IsOutOfService reports whether the failure domain gets no new work.
func (v *View) IsOutOfService(domain string) bool { return v.out[domain] }
