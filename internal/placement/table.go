package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

const (
	// prefillRate is how many prompt tokens an engine reads in a millisecond, from the
	// deployments' sheets (112 to 157).
	prefillRate = 110.0
	// runCost is what each request in progress adds to the time of the next one.
	runCost = 1.5
	// readWeight is how much more a token that must be read again counts than its time:
	// it also takes memory and delays all other requests at the engine.
	readWeight = 4.0
	// transferCost is what a megabyte of inputs from another failure domain costs, in
	// milliseconds of waiting that it is worth.
	transferCost = 14.0
	// foreignCost prefers upstreams of the gateway's own failure domain.
	foreignCost = 0.6
	// failureCost is what an upstream's share of recent failures costs.
	failureCost = 400.0
	// failureWeight is the weight of the newest outcome in that share.
	failureWeight = 0.25
	// delayWeight is the weight of the newest answer in an upstream's delay.
	delayWeight = 0.3
	// minRest and maxRest bound how long an upstream that can't be reached rests.
	minRest = 300 * time.Millisecond
	maxRest = 4 * time.Second
	// restartDoubt is how long an upstream that answers again after it could not be reached
	// is taken for cold: it may have started anew, and its entry says so only after its
	// next heartbeat.
	restartDoubt = 2 * time.Second
	// coldBurst is the number of requests that a cold upstream may get at once from one
	// gateway.
	coldBurst = 1
	// silentAfter is how long beyond its prediction a request may be without a first byte
	// before it counts against its upstream, and silentCost what each such request costs.
	silentAfter = 400 * time.Millisecond
	silentCost  = 60.0
	// affinityShare is how much of the prompt is expected to be in the memory of the
	// upstream that the prompt's parts prefer, if this gateway has not sent them there.
	affinityShare = 0.95
)

// ErrNoUpstream says that no upstream of the service may get the request now.
var ErrNoUpstream = errors.New("no upstream may get the request now")

// Request is what matters for the choice.
type Request struct {
	// Prompt are the parts of the prompt, in order.
	Prompt []dialect.Part
	// Tokens is the size of the whole prompt.
	Tokens int
	// InputBytes is the size of the inputs by failure domain.
	InputBytes map[string]int64
	// Exclude are upstreams that must not be chosen.
	Exclude []string
	// Domain is the gateway's own failure domain.
	Domain string
}

// Outcome is how a request ended at its upstream.
type Outcome int

// Outcomes.
const (
	// Answered requests brought an answer.
	Answered Outcome = iota
	// Failed requests brought the upstream's own failure.
	Failed
	// Refused requests were not run for lack of room.
	Refused
	// Unreachable upstreams took no connection.
	Unreachable
	// Broken exchanges ended without a usable answer.
	Broken
	// Silent upstreams brought no byte until the request's time was over.
	Silent
	// Abandoned requests were given up by their caller.
	Abandoned
)

// Table weighs the upstreams of all services. It is safe for concurrent use.
type Table struct {
	gateways func() int

	mu        sync.Mutex
	upstreams map[string]*upstream
}

type upstream struct {
	member  *catalog.Member
	running int
	// prefill are the prompt tokens of requests without a first byte, and waiting these
	// requests.
	prefill float64
	waiting map[*Choice]struct{}
	cache   *cache
	// delay is the excess of recent times to the first byte, in milliseconds.
	delay    float64
	failed   float64
	failures int
	resting  time.Time
	// trial is set while one request finds out whether a rested upstream answers.
	trial bool
	// coldAt and coldTokens are the bucket of a cold upstream.
	coldAt     time.Time
	coldTokens float64
	// coldUntil is until when the upstream's own answers say that it is cold.
	coldUntil time.Time
}

// New returns an empty table. gateways returns how many gateways share the upstreams.
func New(gateways func() int) *Table {
	return &Table{gateways: gateways, upstreams: make(map[string]*upstream)}
}

// Forget drops the upstreams that keep returns false for.
func (t *Table) Forget(keep func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.upstreams {
		if u.running == 0 && !keep(id) {
			delete(t.upstreams, id)
		}
	}
}

// Choice is a chosen upstream. Done must be called once.
type Choice struct {
	table    *Table
	upstream *upstream
	member   *catalog.Member
	started  time.Time
	predict  float64
	prefill  float64
	first    bool
	trial    bool
}

// Member returns the chosen upstream.
func (c *Choice) Member() *catalog.Member { return c.member }

// Pick chooses an upstream and counts the request there.
func (t *Table) Pick(now time.Time, service *catalog.Service, members []*catalog.Member, req Request) (*Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []*catalog.Member
	for _, m := range members {
		if t.of(m).isOpen(now, service, t.gateways()) && !slices.Contains(req.Exclude, m.ID) {
			open = append(open, m)
		}
	}
	var best *upstream
	bestCost := math.Inf(1)
	preferred := t.preferred(open, req.Prompt)
	for _, m := range open {
		u := t.of(m)
		if cost := u.cost(now, req, m.ID == preferred); cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return nil, ErrNoUpstream
	}
	return t.take(now, best, service, req, best.member.ID == preferred), nil
}

// Domain returns the failure domain of the upstream that a request with the prompt is
// likely to go to, or empty if nothing speaks for one.
func (t *Table) Domain(now time.Time, service *catalog.Service, members []*catalog.Member, prompt []dialect.Part) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []*catalog.Member
	for _, m := range members {
		if t.of(m).isOpen(now, service, t.gateways()) {
			open = append(open, m)
		}
	}
	id := t.preferred(open, prompt)
	for _, m := range open {
		if m.ID == id {
			return m.FailureDomain
		}
	}
	return ""
}

func (t *Table) of(m *catalog.Member) *upstream {
	u := t.upstreams[m.ID]
	if u == nil || u.member.Born != m.Born || u.member.Address != m.Address {
		u = &upstream{cache: newCache(), waiting: make(map[*Choice]struct{})}
		t.upstreams[m.ID] = u
	}
	u.member = m
	return u
}

// preferred returns the upstream that all gateways prefer for the prompt's last shared
// part, by rendezvous hashing.
func (t *Table) preferred(members []*catalog.Member, prompt []dialect.Part) string {
	if len(prompt) < 2 {
		return ""
	}
	key := prompt[len(prompt)-2].ID
	var best string
	var most uint64
	for _, m := range members {
		if h := xxhash.Sum64String(key + "\x00" + m.ID); h >= most {
			best, most = m.ID, h
		}
	}
	return best
}

// isOpen reports whether the upstream may get a request now.
func (u *upstream) isOpen(now time.Time, service *catalog.Service, gateways int) bool {
	if u.failures > 0 && (now.Before(u.resting) || u.trial) {
		return false
	}
	return !u.isCold(now, service) || u.coldLeft(now, service, gateways) >= 1
}

func (u *upstream) isCold(now time.Time, service *catalog.Service) bool {
	return service != nil && service.ColdRate > 0 && (u.member.IsCold(now) || now.Before(u.coldUntil))
}

// coldLeft returns the requests that this gateway may send to the cold upstream. The
// upstream's rate is split evenly, so that all gateways together stay within it.
func (u *upstream) coldLeft(now time.Time, service *catalog.Service, gateways int) float64 {
	rate := service.ColdRate / float64(max(gateways, 1))
	left := u.coldTokens + rate*now.Sub(u.coldAt).Seconds()
	if u.coldAt.IsZero() {
		left = coldBurst
	}
	return min(left, max(coldBurst, rate/4))
}

// cost is the expected time to the first byte in milliseconds, with what else counts.
func (u *upstream) cost(now time.Time, req Request, preferred bool) float64 {
	cost := (u.prefill+readWeight*u.missing(req, preferred))/prefillRate + float64(u.running)*runCost + u.delay + u.failed*failureCost
	if u.member.FailureDomain != req.Domain {
		cost += foreignCost
	}
	for c := range u.waiting {
		if now.Sub(c.started)-time.Duration(c.predict*float64(time.Millisecond)) > silentAfter {
			cost += silentCost
		}
	}
	for domain, bytes := range req.InputBytes {
		if domain != u.member.FailureDomain {
			cost += float64(bytes) / 1e6 * transferCost
		}
	}
	return cost
}

// missing returns the prompt tokens that the upstream would have to read.
func (u *upstream) missing(req Request, preferred bool) float64 {
	tokens, shared := 0, 0
	for i, p := range req.Prompt {
		tokens += p.Tokens
		if i < len(req.Prompt)-1 {
			shared += p.Tokens
		}
	}
	tokens = max(tokens, req.Tokens)
	kept := float64(u.cache.kept(req.Prompt))
	if preferred {
		kept = max(kept, affinityShare*float64(shared))
	}
	return float64(tokens) - kept
}

func (t *Table) take(now time.Time, u *upstream, service *catalog.Service, req Request, preferred bool) *Choice {
	c := &Choice{table: t, upstream: u, member: u.member, started: now}
	c.prefill = u.missing(req, preferred)
	c.predict = (u.prefill+c.prefill)/prefillRate + float64(u.running)*runCost
	c.trial = u.failures > 0
	u.trial = c.trial
	if u.isCold(now, service) {
		u.coldTokens = u.coldLeft(now, service, t.gateways()) - 1
		u.coldAt = now
	}
	u.running++
	u.prefill += c.prefill
	u.waiting[c] = struct{}{}
	u.cache.add(req.Prompt)
	return c
}

// FirstByte records that the answer has begun.
func (c *Choice) FirstByte(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.first {
		return
	}
	c.first = true
	u := c.upstream
	u.prefill -= c.prefill
	delete(u.waiting, c)
	excess := now.Sub(c.started).Seconds()*1000 - c.predict
	u.delay += delayWeight * (max(excess, 0) - u.delay)
}

// ColdFor records that the upstream said how much longer it is cold.
func (c *Choice) ColdFor(now time.Time, d time.Duration) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.upstream.coldUntil = now.Add(d)
}

// Done ends the request at the upstream.
func (c *Choice) Done(now time.Time, outcome Outcome) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	u := c.upstream
	u.running--
	if !c.first {
		u.prefill -= c.prefill
		delete(u.waiting, c)
	}
	if c.trial {
		u.trial = false
	}
	switch outcome {
	case Answered:
		u.back(now)
		u.failed -= failureWeight * u.failed
	case Failed:
		u.back(now)
		u.failed += failureWeight * (1 - u.failed)
	case Refused:
		u.delay += 20
	case Unreachable, Broken:
		u.failed += failureWeight * (1 - u.failed)
		u.rest(now, c.started)
	case Silent:
		u.failed += failureWeight * (1 - u.failed)
	case Abandoned:
		// It says nothing on the upstream.
	}
}

// back ends the rest of an upstream that answered.
func (u *upstream) back(now time.Time) {
	if u.failures == 0 {
		return
	}
	u.failures = 0
	if until := now.Add(restartDoubt); until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// rest keeps the upstream without requests for a growing time. Failures of requests that
// were sent before the last one failed say nothing new.
func (u *upstream) rest(now, started time.Time) {
	if started.Before(u.resting) && u.failures > 0 {
		return
	}
	u.failures++
	u.resting = now.Add(min(minRest<<min(u.failures-1, 5), maxRest))
	u.cache = newCache()
}
