package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Catalog holds the newest configuration, upstreams and evacuations. It is safe for
// concurrent use.
type Catalog struct {
	view atomic.Pointer[View]

	mu           sync.Mutex
	cfg          *Configuration
	upstreams    map[string]*Member
	outOfService map[string]bool
	// revisions are the newest store revisions that each part was read at.
	revisions Revisions
	// listRevisions are the store revisions of the newest whole lists, which contain every
	// change up to them. Older changes are ignored: after an outage the store repeats
	// changes that a list from another gateway already had.
	listRevisions Revisions
	listeners     []func(*View)
}

// Revisions are the store revisions at which the parts of a catalog were read.
type Revisions struct {
	Configuration uint64 `json:"configuration"`
	Upstreams     uint64 `json:"upstreams"`
	Evacuations   uint64 `json:"evacuations"`
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{upstreams: make(map[string]*Member), outOfService: make(map[string]bool)}
	c.publish()
	return c
}

// View returns the current view.
func (c *Catalog) View() *View { return c.view.Load() }

// Revisions returns the store revisions of the catalog.
func (c *Catalog) Revisions() Revisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revisions
}

// OnChange registers fn to be called with each new view, under the catalog's lock and in
// order. It must be called before the first change.
func (c *Catalog) OnChange(fn func(*View)) { c.listeners = append(c.listeners, fn) }

// SetConfiguration replaces the configuration if the new one has a higher version, and
// reports whether it did.
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

// SetUpstream adds an upstream or replaces its registration.
func (c *Catalog) SetUpstream(u Upstream, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision != 0 && revision <= c.listRevisions.Upstreams {
		return
	}
	c.revisions.Upstreams = max(c.revisions.Upstreams, revision)
	c.upstreams[u.ID] = c.memberFor(u)
	c.publish()
}

// memberFor returns the member of the registration, with its earlier time if it didn't
// change.
func (c *Catalog) memberFor(u Upstream) *Member {
	if old := c.upstreams[u.ID]; old != nil && old.Upstream == u {
		return old
	}
	return &Member{Upstream: u, seen: time.Now()}
}

// RemoveUpstream removes an upstream. Revision 0 counts as newer than all others.
func (c *Catalog) RemoveUpstream(id string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision != 0 && revision <= c.listRevisions.Upstreams {
		return
	}
	c.revisions.Upstreams = max(c.revisions.Upstreams, revision)
	delete(c.upstreams, id)
	c.publish()
}

// ReplaceUpstreams replaces all upstreams with a list, unless a newer list was set before.
func (c *Catalog) ReplaceUpstreams(list []Upstream, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.listRevisions.Upstreams {
		return
	}
	c.listRevisions.Upstreams = revision
	c.revisions.Upstreams = max(c.revisions.Upstreams, revision)
	next := make(map[string]*Member, len(list))
	for _, u := range list {
		next[u.ID] = c.memberFor(u)
	}
	c.upstreams = next
	c.publish()
}

// SetEvacuation takes a failure domain out of service or returns it to service.
func (c *Catalog) SetEvacuation(domain string, outOfService bool, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.listRevisions.Evacuations {
		return
	}
	c.revisions.Evacuations = max(c.revisions.Evacuations, revision)
	if outOfService {
		c.outOfService[domain] = true
	} else {
		delete(c.outOfService, domain)
	}
	c.publish()
}

// ReplaceEvacuations replaces the list of failure domains that are out of service, unless
// a newer list was set before.
func (c *Catalog) ReplaceEvacuations(domains []string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.listRevisions.Evacuations {
		return
	}
	c.listRevisions.Evacuations = revision
	c.revisions.Evacuations = max(c.revisions.Evacuations, revision)
	c.outOfService = make(map[string]bool, len(domains))
	for _, d := range domains {
		c.outOfService[d] = true
	}
	c.publish()
}

// publish builds the next view and calls the listeners. The caller holds mu.
func (c *Catalog) publish() {
	v := &View{
		cfg:                c.cfg,
		routesByHost:       make(map[string][]*Route),
		services:           make(map[string]*Service),
		organisationsByKey: make(map[string]*Organisation),
		members:            make(map[string][]*Member),
		byID:               make(map[string]*Member, len(c.upstreams)),
		outOfService:       make(map[string]bool, len(c.outOfService)),
	}
	for d := range c.outOfService {
		v.outOfService[d] = true
	}
	if old := c.view.Load(); old != nil && old.cfg == c.cfg {
		v.routesByHost, v.services, v.organisationsByKey = old.routesByHost, old.services, old.organisationsByKey
	} else if c.cfg != nil {
		v.index(c.cfg)
	}
	for id, m := range c.upstreams {
		v.byID[id] = m
		if v.registration(m) == Registered {
			v.members[m.Service] = append(v.members[m.Service], m)
		}
	}
	for _, members := range v.members {
		slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
	}
	c.view.Store(v)
	for _, fn := range c.listeners {
		fn(v)
	}
}

func (v *View) index(cfg *Configuration) {
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		v.routesByHost[host] = append(v.routesByHost[host], r)
	}
	for i := range cfg.Services {
		v.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Organisations {
		for _, key := range cfg.Organisations[i].Keys {
			v.organisationsByKey[key] = &cfg.Organisations[i]
		}
	}
}

// AllUpstreams returns all upstreams, including those that may get no new work.
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
	list := make([]string, 0, len(c.outOfService))
	for d := range c.outOfService {
		list = append(list, d)
	}
	return list
}
