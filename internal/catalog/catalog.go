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

	mu        sync.Mutex
	cfg       *Configuration
	upstreams map[string]*Member
	// departures are upstreams whose registrations were removed.
	departures   map[string]departure
	outOfService map[string]evacuation
	// configurationAt, upstreamsAt and evacuationsAt are the newest store revisions that each
	// part was read at.
	configurationAt Revision
	upstreamsAt     Revision
	evacuationsAt   Revision
	// upstreamsListedAt and evacuationsListedAt are the store revisions of the newest whole
	// lists, which contain every change up to them. Older changes are ignored: after an outage
	// the store repeats changes that a list from another gateway already had.
	upstreamsListedAt   Revision
	evacuationsListedAt Revision
	listeners           []func(*View)
	// gathering is set while ChangeUpstreams gathers changes, and isChanged if there was one.
	gathering, isChanged bool
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{upstreams: make(map[string]*Member), departures: make(map[string]departure), outOfService: make(map[string]evacuation)}
	c.publish()
	return c
}

// View returns the current view.
func (c *Catalog) View() *View { return c.view.Load() }

// Revisions returns the store revisions of the catalog.
func (c *Catalog) Revisions() Revisions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Revisions{
		Configuration: c.configurationAt.Number, ConfigurationEpoch: c.configurationAt.Epoch,
		Upstreams: c.upstreamsAt.Number, UpstreamsEpoch: c.upstreamsAt.Epoch,
		Evacuations: c.evacuationsAt.Number, EvacuationsEpoch: c.evacuationsAt.Epoch,
	}
}

// OnChange registers fn to be called with each new view, under the catalog's lock and in
// order. It must be called before the first change.
func (c *Catalog) OnChange(fn func(*View)) { c.listeners = append(c.listeners, fn) }

// SetConfiguration replaces the configuration if the new one has a higher version, and
// reports whether it did.
func (c *Catalog) SetConfiguration(cfg Configuration, revision Revision) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configurationAt = c.configurationAt.latest(revision)
	if c.cfg != nil && cfg.Version <= c.cfg.Version {
		return false
	}
	c.cfg = &cfg
	c.publish()
	return true
}

// SetUpstream adds an upstream or replaces its registration. It returns the rule by which the
// registration isn't believed.
func (c *Catalog) SetUpstream(u Upstream, revision Revision) Rule {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !revision.isZero() && !revision.After(c.upstreamsListedAt) {
		return RuleNone
	}
	c.upstreamsAt = c.upstreamsAt.latest(revision)
	old := c.upstreams[u.ID]
	m, rule := c.judge(u, c.epochOf(revision), false)
	c.upstreams[u.ID] = m
	if old == nil || !m.looksLike(old) {
		c.publishUpstreams()
	}
	return rule
}

// ChangeUpstreams calls fn, which changes upstreams, and publishes one view with all its changes:
// a view costs by the number of upstreams, and the store reports many changes at once. Other
// changes that are made meanwhile are published at once. It must not be called by two goroutines
// at a time.
func (c *Catalog) ChangeUpstreams(fn func()) {
	c.gather(true)
	defer c.gather(false)
	fn()
}

// gather begins to gather changes of upstreams, or publishes those that were gathered.
func (c *Catalog) gather(begin bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isChanged := c.isChanged
	c.gathering, c.isChanged = begin, false
	if isChanged {
		c.publish()
	}
}

// publishUpstreams publishes a change of an upstream, unless ChangeUpstreams does. The caller
// holds mu.
func (c *Catalog) publishUpstreams() {
	if c.gathering {
		c.isChanged = true
		return
	}
	c.publish()
}

// looksLike reports whether a view with the member is the same as with the old one: only the
// revision differs, which views don't use.
func (m *Member) looksLike(old *Member) bool {
	return m.isSame(old.Upstream) && m.seen.Equal(old.seen) && m.coldUntil.Equal(old.coldUntil) && m.isAvailable() && old.isAvailable()
}

// epochOf returns the epoch of a change; the zero Revision is of the present one.
func (c *Catalog) epochOf(revision Revision) uint64 {
	if revision.isZero() {
		return c.upstreamsAt.Epoch
	}
	return revision.Epoch
}

// memberFor returns the member of the registration, with its earlier time if it didn't
// change.
func (c *Catalog) memberFor(u Upstream, epoch uint64) *Member {
	old := c.upstreams[u.ID]
	if old == nil || !old.isSame(u) || !old.heldUntil.IsZero() {
		return &Member{Upstream: u, seen: time.Now(), epoch: epoch}
	}
	if old.Upstream == u && old.epoch == epoch {
		return old
	}
	return &Member{Upstream: u, seen: old.seen, coldUntil: old.coldUntil, epoch: epoch}
}

// RemoveUpstream removes an upstream. The zero Revision counts as newer than all others.
func (c *Catalog) RemoveUpstream(id string, revision Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !revision.isZero() && !revision.After(c.upstreamsListedAt) {
		return
	}
	c.upstreamsAt = c.upstreamsAt.latest(revision)
	if m := c.upstreams[id]; m != nil {
		c.recordDeparture(m, c.epochOf(revision))
	}
	delete(c.upstreams, id)
	c.publishUpstreams()
}

// ReplaceUpstreams replaces all upstreams with a list, unless a newer list was set before. It
// returns the registrations that aren't believed.
func (c *Catalog) ReplaceUpstreams(list []Upstream, revision Revision) []Doubt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upstreamsListedAt.After(revision) {
		return nil
	}
	c.upstreamsListedAt = revision
	c.upstreamsAt = c.upstreamsAt.latest(revision)
	next := make(map[string]*Member, len(list))
	var doubts []Doubt
	for _, u := range list {
		m, rule := c.judge(u, revision.Epoch, true)
		next[u.ID] = m
		if rule != RuleNone {
			doubts = append(doubts, Doubt{Name: u.ID, Rule: rule})
		}
	}
	for id, m := range c.upstreams {
		if next[id] == nil {
			c.recordDeparture(m, revision.Epoch)
		}
	}
	c.upstreams = next
	c.publish()
	return doubts
}

// SetEvacuation takes a failure domain out of service or returns it to service.
func (c *Catalog) SetEvacuation(domain string, outOfService bool, revision Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !revision.After(c.evacuationsListedAt) {
		return
	}
	c.evacuationsAt = c.evacuationsAt.latest(revision)
	if outOfService {
		c.outOfService[domain] = evacuation{epoch: revision.Epoch}
	} else {
		delete(c.outOfService, domain)
	}
	c.publish()
}

// ReplaceEvacuations replaces the list of failure domains that are out of service, unless
// a newer list was set before. It returns those that stay in force without being in the list.
func (c *Catalog) ReplaceEvacuations(domains []string, revision Revision) []Doubt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evacuationsListedAt.After(revision) {
		return nil
	}
	c.evacuationsListedAt = revision
	c.evacuationsAt = c.evacuationsAt.latest(revision)
	var doubts []Doubt
	next := c.holdEvacuations(domains, revision.Epoch)
	for d := range next {
		doubts = append(doubts, Doubt{Name: d, Rule: RuleEvacuated})
	}
	for _, d := range domains {
		next[d] = evacuation{epoch: revision.Epoch}
	}
	c.outOfService = next
	c.publish()
	return doubts
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
		registered:         make(map[string]int),
		outOfService:       make(map[string]bool, len(c.outOfService)),
	}
	for d, e := range c.outOfService {
		v.outOfService[d] = true
		v.hasDoubts = v.hasDoubts || !e.heldUntil.IsZero()
	}
	if old := c.view.Load(); old != nil && old.cfg == c.cfg {
		v.routesByHost, v.services, v.organisationsByKey = old.routesByHost, old.services, old.organisationsByKey
	} else if c.cfg != nil {
		v.index(c.cfg)
	}
	for id, m := range c.upstreams {
		v.byID[id] = m
		v.registered[m.Service]++
		v.hasDoubts = v.hasDoubts || c.isDoubtful(m)
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

// AllUpstreams returns all upstreams, including those that may get no new work. Those that are
// kept out of use for a time count as draining.
func (c *Catalog) AllUpstreams() []Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Upstream, 0, len(c.upstreams))
	for _, m := range c.upstreams {
		u := m.Upstream
		u.Draining = !m.isAvailable()
		list = append(list, u)
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
