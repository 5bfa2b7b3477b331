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
	Prompt []dialect.PromptPart
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
	// Interrupted exchanges ended without a usable answer.
	Interrupted
	// TimedOut upstreams brought no byte until the request's time was over.
	TimedOut
	// Cancelled requests were given up by their caller.
	Cancelled
)

// Table weighs the upstreams of all services. It is safe for concurrent use.
type Table struct {
	gateways func() int

	mu        sync.Mutex
	upstreams map[string]*upstream
}

// New returns an empty table. gateways returns how many gateways share the upstreams.
func New(gateways func() int) *Table {
	return &Table{gateways: gateways, upstreams: make(map[string]*upstream)}
}

// Retain drops the upstreams that keep returns false for.
func (t *Table) Retain(keep func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.upstreams {
		if u.running == 0 && !keep(id) {
			delete(t.upstreams, id)
		}
	}
}

// Pick chooses an upstream and counts the request there.
func (t *Table) Pick(now time.Time, service *catalog.Service, members []*catalog.Member, req Request) (*Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := t.open(now, service, members, req.Exclude)
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

// PreferredDomain returns the failure domain of the upstream that a request with the prompt is
// likely to go to, or empty if nothing speaks for one.
func (t *Table) PreferredDomain(now time.Time, service *catalog.Service, members []*catalog.Member, prompt []dialect.PromptPart) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := t.open(now, service, members, nil)
	id := t.preferred(open, prompt)
	for _, m := range open {
		if m.ID == id {
			return m.FailureDomain
		}
	}
	return ""
}

// open returns the members that may get a request now.
func (t *Table) open(now time.Time, service *catalog.Service, members []*catalog.Member, exclude []string) []*catalog.Member {
	var open []*catalog.Member
	for _, m := range members {
		if t.of(m).isOpen(now, service, t.gateways()) && !slices.Contains(exclude, m.ID) {
			open = append(open, m)
		}
	}
	return open
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
func (t *Table) preferred(members []*catalog.Member, prompt []dialect.PromptPart) string {
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
