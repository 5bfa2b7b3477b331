package catalogcheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Effect is what a change means for callers.
type Effect string

// Effects, from the one that callers notice most.
const (
	EffectRouteDropped     Effect = "routeDropped"
	EffectKeyDropped       Effect = "keyDropped"
	EffectAccessClosed     Effect = "accessClosed"
	EffectKeyMoved         Effect = "keyMoved"
	EffectRouteMoved       Effect = "routeMoved"
	EffectTimeoutShortened Effect = "timeoutShortened"
	EffectLimitLowered     Effect = "limitLowered"
	EffectServiceDropped   Effect = "serviceDropped"
	EffectChanged          Effect = "changed"
	EffectAdded            Effect = "added"
)

var effectOrder = []Effect{
	EffectRouteDropped, EffectKeyDropped, EffectAccessClosed, EffectKeyMoved, EffectRouteMoved,
	EffectTimeoutShortened, EffectLimitLowered, EffectServiceDropped, EffectChanged, EffectAdded,
}

// Change is a difference between two versions of the configuration.
type Change struct {
	Effect Effect
	// Path is the place in the next version, or the list that the entry is gone from.
	Path    string
	Subject string
	Detail  string
}

// comparison collects the changes between two configurations.
type comparison struct {
	current, next *catalog.Configuration
	changes       []Change
}

// Compare returns what differs in the next configuration, by what callers notice. Routes are the
// same if host and path prefix are.
func Compare(current, next *catalog.Configuration) []Change {
	c := &comparison{current: current, next: next}
	c.compareRoutes()
	c.compareServices()
	c.compareOrganisations()
	c.compareLimits()
	slices.SortStableFunc(c.changes, func(a, b Change) int {
		return cmp.Compare(slices.Index(effectOrder, a.Effect), slices.Index(effectOrder, b.Effect))
	})
	return c.changes
}

func (c *comparison) add(effect Effect, path, subject, format string, args ...any) {
	c.changes = append(c.changes, Change{Effect: effect, Path: path, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// compareValue adds a change that callers don't notice at once.
func compareValue[T comparable](c *comparison, path, subject string, from, to T) {
	if from != to {
		c.add(EffectChanged, path, subject, "from %v to %v", from, to)
	}
}

// compareBound adds a change of a bound, of which 0 is none. A lower one has the effect.
func compareBound[T ~int | ~int64 | ~float64](c *comparison, effect Effect, path, subject string, from, to T) {
	if from == to {
		return
	}
	if height(to) >= height(from) {
		effect = EffectChanged
	}
	c.add(effect, path, subject, "from %v to %v", from, to)
}

func height[T ~int | ~int64 | ~float64](bound T) float64 {
	if bound == 0 {
		return math.Inf(1)
	}
	return float64(bound)
}

func (c *comparison) compareRoutes() {
	currentRoutes, nextRoutes := routesByMatch(c.current), routesByMatch(c.next)
	for i := range c.current.Routes {
		r := &c.current.Routes[i]
		if _, ok := nextRoutes[keyOf(r)]; ok || currentRoutes[keyOf(r)] != i {
			continue
		}
		detail := "its requests get 404"
		if other := match(c.next, r); other != nil {
			detail = "its requests go to " + routeSubject(other)
		}
		c.add(EffectRouteDropped, "routes", routeSubject(r), "%s", detail)
	}
	for i := range c.next.Routes {
		r := &c.next.Routes[i]
		if nextRoutes[keyOf(r)] != i {
			continue
		}
		path := fmt.Sprintf("routes[%d]", i)
		if j, ok := currentRoutes[keyOf(r)]; ok {
			c.compareRoute(&c.current.Routes[j], r, path)
			continue
		}
		detail := "served by " + shares(r.Targets)
		if other := match(c.current, r); other != nil {
			detail += "; takes its requests from " + routeSubject(other)
		}
		c.add(EffectAdded, path, routeSubject(r), "%s", detail)
	}
}

func (c *comparison) compareRoute(from, to *catalog.Route, path string) {
	subject := routeSubject(to)
	if before, after := shares(from.Targets), shares(to.Targets); before != after {
		effect := EffectRouteMoved
		if slices.Equal(serviceNames(from.Targets), serviceNames(to.Targets)) {
			effect = EffectChanged
		}
		c.add(effect, path+targetsField(to), subject, "from %s to %s", before, after)
	}
	// Without organisations no route needs a key.
	if from.Public != to.Public && len(c.next.Organisations) > 0 {
		if to.Public {
			c.add(EffectChanged, path+".public", subject, "needs no key any more")
		} else {
			c.add(EffectAccessClosed, path+".public", subject, "needs a key now")
		}
	}
	compareBound(c, EffectTimeoutShortened, path+".timeout", subject, from.Timeout, to.Timeout)
	compareBound(c, EffectLimitLowered, path+".attempts", subject, max(1, from.Attempts), max(1, to.Attempts))
	compareValue(c, path+".name", subject, from.Name, to.Name)
	compareValue(c, path+".kind", subject, kindName(from.Kind), kindName(to.Kind))
	compareValue(c, path+".objective", subject, from.Objective, to.Objective)
	compareValue(c, path+".gapObjective", subject, from.GapObjective, to.GapObjective)
	compareValue(c, path+".priority", subject, from.Priority, to.Priority)
	compareValue(c, path+".stages", subject, stagesText(from.Stages), stagesText(to.Stages))
	compareValue(c, path+".prefixAffinity", subject, from.PrefixAffinity, to.PrefixAffinity)
	compareValue(c, path+".resumable", subject, from.Resumable, to.Resumable)
}

func (c *comparison) compareServices() {
	currentServices, nextServices := servicesByName(c.current), servicesByName(c.next)
	for i, s := range c.current.Services {
		if _, ok := nextServices[s.Name]; !ok && currentServices[s.Name] == i {
			c.add(EffectServiceDropped, "services", serviceSubject(s.Name), "its upstreams get no more requests")
		}
	}
	for i, s := range c.next.Services {
		if nextServices[s.Name] != i {
			continue
		}
		path := fmt.Sprintf("services[%d]", i)
		if j, ok := currentServices[s.Name]; ok {
			c.compareService(&c.current.Services[j], &s, path)
			continue
		}
		c.add(EffectAdded, path, serviceSubject(s.Name), "new service")
	}
}

func (c *comparison) compareService(from, to *catalog.Service, path string) {
	subject := serviceSubject(to.Name)
	compareBound(c, EffectLimitLowered, path+".maxConnections", subject, from.MaxConnections, to.MaxConnections)
	compareBound(c, EffectLimitLowered, path+".coldRate", subject, from.ColdRate, to.ColdRate)
	compareValue(c, path+".coldTime", subject, from.ColdTime, to.ColdTime)
	compareValue(c, path+".healthPath", subject, from.HealthPath, to.HealthPath)
	switch a, b := from.Engine, to.Engine; {
	case (a == nil) != (b == nil):
		c.add(EffectChanged, path, subject, "became a service of engines: %t", b != nil)
	case a != nil:
		compareBound(c, EffectLimitLowered, path+".engine.slots", subject, a.Slots, b.Slots)
		compareBound(c, EffectLimitLowered, path+".engine.capacityTokens", subject, a.CapacityTokens, b.CapacityTokens)
	}
	switch a, b := from.Batch, to.Batch; {
	case (a == nil) != (b == nil):
		c.add(EffectChanged, path, subject, "became a service for pieces of stages: %t", b != nil)
	case a != nil:
		c.compareBatch(a, b, path+".batch", subject)
	}
}

func (c *comparison) compareBatch(from, to *catalog.Batch, path, subject string) {
	compareBound(c, EffectLimitLowered, path+".slots", subject, max(1, from.Slots), max(1, to.Slots))
	compareValue(c, path+".queue", subject, from.Queue, to.Queue)
	compareBound(c, EffectLimitLowered, path+".size", subject, max(1, from.Size), max(1, to.Size))
	compareBound(c, EffectLimitLowered, path+".resultCapacityBytes", subject, from.ResultCapacityBytes, to.ResultCapacityBytes)
	compareBound(c, EffectLimitLowered, path+".resultTTL", subject, from.ResultTTL, to.ResultTTL)
	compareValue(c, path+".callTime", subject, from.CallTime, to.CallTime)
	compareValue(c, path+".pieceTime", subject, from.PieceTime, to.PieceTime)
}

func (c *comparison) compareOrganisations() {
	switch before, after := len(c.current.Organisations), len(c.next.Organisations); {
	case before == 0 && after > 0:
		c.add(EffectAccessClosed, "organisations", "", "requests need a key now, except on public routes")
	case before > 0 && after == 0:
		c.add(EffectChanged, "organisations", "", "requests need no key any more")
		return
	}
	currentOwners, nextOwners := keyOwners(c.current), keyOwners(c.next)
	currentKeys, places := keysByOwner(currentOwners), make(map[string]int)
	for i, o := range c.next.Organisations {
		places[o.Name] = i
	}
	for _, o := range uniqueOrganisations(c.current) {
		path := "organisations"
		i, isKept := places[o.Name]
		if isKept {
			path = fmt.Sprintf("organisations[%d].keys", i)
		}
		subject := organisationSubject(o.Name)
		keys := currentKeys[o.Name]
		dropped, moved := 0, 0
		for _, key := range keys {
			switch owner, ok := nextOwners[key]; {
			case !ok:
				dropped++
			case owner != o.Name:
				moved++
			}
		}
		if dropped > 0 {
			c.add(EffectKeyDropped, path, subject, "%d of its %d keys are gone; their callers get 401", dropped, len(keys))
		}
		if moved > 0 {
			c.add(EffectKeyMoved, path, subject, "%d of its %d keys belong to another organisation now", moved, len(keys))
		}
		if !isKept {
			c.add(EffectChanged, path, subject, "is gone")
			continue
		}
		compareValue(c, fmt.Sprintf("organisations[%d].priority", i), subject, priorityText(o), priorityText(c.next.Organisations[i]))
	}
	c.addNewKeys(currentOwners, nextOwners, places)
}

func (c *comparison) addNewKeys(currentOwners, nextOwners map[string]string, places map[string]int) {
	nextKeys := keysByOwner(nextOwners)
	for _, o := range uniqueOrganisations(c.next) {
		added := 0
		for _, key := range nextKeys[o.Name] {
			if _, ok := currentOwners[key]; !ok {
				added++
			}
		}
		if added > 0 {
			c.add(EffectAdded, fmt.Sprintf("organisations[%d].keys", places[o.Name]), organisationSubject(o.Name), "%d new keys", added)
		}
	}
}

func (c *comparison) compareLimits() {
	from, to := c.current.Limits, c.next.Limits
	compareBound(c, EffectTimeoutShortened, "limits.headerTimeout", "", from.HeaderTimeout, to.HeaderTimeout)
	compareBound(c, EffectTimeoutShortened, "limits.idleTimeout", "", from.IdleTimeout, to.IdleTimeout)
	compareBound(c, EffectLimitLowered, "limits.headerBytes", "", from.HeaderBytes, to.HeaderBytes)
	compareBound(c, EffectLimitLowered, "limits.bodyBytes", "", from.BodyBytes, to.BodyBytes)
}

// routesByMatch returns the indices of the routes that can match.
func routesByMatch(cfg *catalog.Configuration) map[matchKey]int {
	indices := make(map[matchKey]int)
	for i := range cfg.Routes {
		key := keyOf(&cfg.Routes[i])
		if _, ok := indices[key]; !ok {
			indices[key] = i
		}
	}
	return indices
}

// match returns the route that requests of r would get without it, or nil.
func match(cfg *catalog.Configuration, r *catalog.Route) *catalog.Route {
	var best *catalog.Route
	for i := range cfg.Routes {
		o := &cfg.Routes[i]
		if strings.EqualFold(o.Host, r.Host) && strings.HasPrefix(r.PathPrefix, o.PathPrefix) && (best == nil || len(o.PathPrefix) > len(best.PathPrefix)) {
			best = o
		}
	}
	return best
}

func servicesByName(cfg *catalog.Configuration) map[string]int {
	indices := make(map[string]int)
	for i, s := range cfg.Services {
		indices[s.Name] = i
	}
	return indices
}

func keyOwners(cfg *catalog.Configuration) map[string]string {
	owners := make(map[string]string)
	for _, o := range cfg.Organisations {
		for _, key := range o.Keys {
			owners[key] = o.Name
		}
	}
	return owners
}

func keysByOwner(owners map[string]string) map[string][]string {
	keys := make(map[string][]string)
	for key, owner := range owners {
		keys[owner] = append(keys[owner], key)
	}
	return keys
}

// uniqueOrganisations returns the last organisation of each name.
func uniqueOrganisations(cfg *catalog.Configuration) []catalog.Organisation {
	last := make(map[string]int)
	for i, o := range cfg.Organisations {
		last[o.Name] = i
	}
	var list []catalog.Organisation
	for i, o := range cfg.Organisations {
		if last[o.Name] == i {
			list = append(list, o)
		}
	}
	return list
}

func priorityText(o catalog.Organisation) string {
	if !o.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(o.Priority)
}

func serviceNames(targets []catalog.Target) []string {
	var names []string
	for _, t := range targets {
		if t.Weight > 0 {
			names = append(names, t.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func targetsField(r *catalog.Route) string {
	if isSplit(r) {
		return ".targets"
	}
	return ".service"
}

// shares returns the services with their fractions of the requests.
func shares(targets []catalog.Target) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	if total <= 0 {
		total = 1
	}
	texts := make([]string, len(targets))
	for i, t := range targets {
		texts[i] = fmt.Sprintf("%s %.3g%%", t.Service, 100*t.Weight/total)
	}
	return strings.Join(texts, ", ")
}

func stagesText(stages []catalog.Stage) string {
	texts := make([]string, len(stages))
	for i, s := range stages {
		texts[i] = fmt.Sprintf("%s (after %v, %d bytes)", s.Service, s.After, s.ResultBytes)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}
