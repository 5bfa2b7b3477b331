package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Catalog keeps the newest configuration, upstreams and evacuations. It is safe for
// concurrent use.
type Catalog struct {
	view atomic.Pointer[View]

	mu        sync.Mutex
	cfg       *Configuration
	upstreams map[string]*Member
	out       map[string]bool
	// revisions are the newest versions of the store that each part was read at.
	revisions Revisions
	// floor are the versions up to which every change is contained, from whole lists. An
	// older change says nothing new: after an outage the store repeats what another
	// gateway told already.
	floor   Revisions
	changed []func(*View)
}

// Revisions are the versions of the store at which the parts of a catalog were read.
type Revisions struct {
	Configuration uint64 `json:"configuration"`
	Upstreams     uint64 `json:"upstreams"`
	Evacuations   uint64 `json:"evacuations"`
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{upstreams: make(map[string]*Member), out: make(map[string]bool)}
	c.publish()
	return c
}

// View returns the present view.
func (c *Catalog) View() *View { return c.view.Load() }

// Revisions returns the versions of the store that the catalog is at.
func (c *Catalog) Revisions() Revisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions
}

// OnChange calls fn with each new view, under the catalog's lock and in order. It must
// be called before the first change.
func (c *Catalog) OnChange(fn func(*View)) { c.changed = append(c.changed, fn) }

// SetConfiguration takes the configuration unless its version isn't higher than the one
// in force, and reports whether it was taken.
func (c *Catalog) SetConfiguration(cfg Configuration, revision uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions.Configuration = max(c.revisions.Configuration, revision)
	if c.cfg != nil && cfg.Version <= c.cfg.Version {
		return false
	}
	c.cfg = &cfg
	c.publish()
	return true
}

// SetUpstream takes the newest entry of an upstream.
func (c *Catalog) SetUpstream(u Upstream, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision != 0 && revision <= c.floor.Upstreams {
		return
	}
	c.revisions.Upstreams = max(c.revisions.Upstreams, revision)
	c.upstreams[u.ID] = c.member(u)
	c.publish()
}

// member keeps the time of an entry that didn't change.
func (c *Catalog) member(u Upstream) *Member {
	if old := c.upstreams[u.ID]; old != nil && old.Upstream == u {
		return old
	}
	return &Member{Upstream: u, seen: time.Now()}
}

// RemoveUpstream forgets an upstream. A revision of 0 stands for one that is newer than all.
func (c *Catalog) RemoveUpstream(id string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision != 0 && revision <= c.floor.Upstreams {
		return
	}
	c.revisions.Upstreams = max(c.revisions.Upstreams, revision)
	delete(c.upstreams, id)
	c.publish()
}

// ReplaceUpstreams takes a whole list, unless a newer one was taken.
func (c *Catalog) ReplaceUpstreams(list []Upstream, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.floor.Upstreams {
		return
	}
	c.floor.Upstreams = revision
	c.revisions.Upstreams = max(c.revisions.Upstreams, revision)
	next := make(map[string]*Member, len(list))
	for _, u := range list {
		next[u.ID] = c.member(u)
	}
	c.upstreams = next
	c.publish()
}

// SetEvacuation takes a failure domain out of service or back.
func (c *Catalog) SetEvacuation(domain string, out bool, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.floor.Evacuations {
		return
	}
	c.revisions.Evacuations = max(c.revisions.Evacuations, revision)
	if out {
		c.out[domain] = true
	} else {
		delete(c.out, domain)
	}
	c.publish()
}

// ReplaceEvacuations takes the whole list of failure domains that are out of service,
// unless a newer one was taken.
func (c *Catalog) ReplaceEvacuations(domains []string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.floor.Evacuations {
		return
	}
	c.floor.Evacuations = revision
	c.revisions.Evacuations = max(c.revisions.Evacuations, revision)
	c.out = make(map[string]bool, len(domains))
	for _, d := range domains {
		c.out[d] = true
	}
	c.publish()
}

// publish builds the next view. The caller holds mu.
func (c *Catalog) publish() {
	v := &View{
		cfg:      c.cfg,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service),
		keys:     make(map[string]*Organisation),
		members:  make(map[string][]*Member),
		byID:     make(map[string]*Member, len(c.upstreams)),
		out:      make(map[string]bool, len(c.out)),
	}
	for d := range c.out {
		v.out[d] = true
	}
	if old := c.view.Load(); old != nil && old.cfg == c.cfg {
		v.hosts, v.services, v.keys = old.hosts, old.services, old.keys
	} else if c.cfg != nil {
		v.index(c.cfg)
	}
	for id, m := range c.upstreams {
		v.byID[id] = m
		if !m.Draining && !v.out[m.FailureDomain] {
			v.members[m.Service] = append(v.members[m.Service], m)
		}
	}
	for _, members := range v.members {
		slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
	}
	c.view.Store(v)
	for _, fn := range c.changed {
		fn(v)
	}
}

func (v *View) index(cfg *Configuration) {
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		v.hosts[host] = append(v.hosts[host], r)
	}
	for i := range cfg.Services {
		v.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Organisations {
		for _, key := range cfg.Organisations[i].Keys {
			v.keys[key] = &cfg.Organisations[i]
		}
	}
}

// AllUpstreams returns all upstreams, those included that may get no new work.
func (c *Catalog) AllUpstreams() []Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Upstream, 0, len(c.upstreams))
	for _, m := range c.upstreams {
		list = append(list, m.Upstream)
	}
	return list
}

// OutOfServiceDomains returns the failure domains that get no new work.
func (c *Catalog) OutOfServiceDomains() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.out))
	for d := range c.out {
		list = append(list, d)
	}
	return list
}
