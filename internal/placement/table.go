package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/engines"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
)

const (
	// runningCost is the time that each request in progress adds to that of the next one,
	// in milliseconds, on an upstream of usual speed.
	runningCost = 1.5
	// uncachedWeight multiplies the time of reading the uncached tokens of a new request:
	// uncached tokens also take memory and delay all other requests on the engine.
	uncachedWeight = 4.0
	// transferCost is the cost of each megabyte of inputs from another failure domain, as
	// the equivalent wait in milliseconds.
	transferCost = 14.0
	// crossDomainCost is the cost in milliseconds of an upstream outside the gateway's
	// failure domain, so that local ones are preferred.
	crossDomainCost = 0.6
	// failureCost is the cost in milliseconds of a failure rate of 1.
	failureCost = 400.0
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.25
	// excessWeight is the weight of the newest response in an upstream's excess time.
	excessWeight = 0.3
	// excessAge is the time constant with which the excess time loses its weight.
	excessAge = 4 * time.Second
	// restartColdTime is how long an upstream that responds again after it could not be
	// reached is treated as cold: it may have restarted, and its registration shows that
	// only after its next heartbeat.
	restartColdTime = 2 * time.Second
	// A request is overdue if its first byte is later than predicted by more than
	// overdueMargin. Each overdue request adds overdueCost milliseconds to the cost of its
	// upstream.
	overdueMargin = 400 * time.Millisecond
	overdueCost   = 60.0
	// affinityFraction is the fraction of the shared prompt parts that the preferred upstream
	// of the prompt is expected to have cached, even if this gateway has not sent them there.
	affinityFraction = 0.95
)

// backoffBounds bound the back-off of an upstream that can't be reached.
var backoffBounds = availability.Backoff{Min: 300 * time.Millisecond, Max: 4 * time.Second}

// ErrNoUpstream means that no upstream of the service is available.
var ErrNoUpstream = errors.New("no upstream of the service is available")

// Request has the properties of a request that determine its cost.
type Request struct {
	// Prompt lists the parts of the prompt in order.
	Prompt []dialect.PromptPart
	// Tokens is the size of the whole prompt.
	Tokens int
	// InputBytes is the size of the inputs by failure domain.
	InputBytes map[string]int64
	// Exclude lists the ids of upstreams that must not be selected.
	Exclude []string
	// Domain is the failure domain of the gateway.
	Domain string
}

// Outcome is how a request ended on its upstream.
type Outcome int

// Outcomes.
const (
	// Answered requests got a successful response.
	Answered Outcome = iota
	// Failed requests got an error response from the upstream.
	Failed
	// Refused requests were not run because the upstream was full.
	Refused
	// Unreachable upstreams accepted no connection.
	Unreachable
	// Interrupted exchanges ended without a usable response.
	Interrupted
	// TimedOut requests got no byte of the response before their deadline.
	TimedOut
	// Cancelled requests were cancelled by their caller.
	Cancelled
)

// Table tracks the load and health of the upstreams of all services, and selects one for
// each request. It is safe for concurrent use.
type Table struct {
	judge    *availability.Judge
	share    func() ratelimit.Share
	rollouts *rollout.Table
	// promptMemory bounds the memory for the parts of prompts.
	promptMemory int64

	mu        sync.Mutex
	upstreams map[string]*upstream
	// models has what is known of the engines of each service.
	models map[string]*engines.Service
}

// New returns an empty table. share returns the part of cold upstreams' rates that belongs to
// this gateway.
func New(judge *availability.Judge, share func() ratelimit.Share) *Table {
	return &Table{judge: judge, share: share, promptMemory: defaultPromptMemory, upstreams: make(map[string]*upstream), models: make(map[string]*engines.Service)}
}

// UseRollouts sets the roll-outs that the choice follows. It must be called before the first Pick.
func (t *Table) UseRollouts(r *rollout.Table) { t.rollouts = r }

// Retain removes idle upstreams for which keep returns false.
func (t *Table) Retain(keep func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.upstreams {
		if u.running == 0 && !keep(id) {
			delete(t.upstreams, id)
		}
	}
}

// Pick selects an upstream and counts the request there.
func (t *Table) Pick(now time.Time, service *catalog.Service, members []*catalog.Member, req Request) (*Choice, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, rest := t.rollouts.Split(now, service.Name, members)
	available := t.available(now, service, first, req.Exclude)
	if len(available) == 0 {
		available = t.available(now, service, rest, req.Exclude)
	}
	var best *upstream
	bestCost := math.Inf(1)
	preferred := t.preferred(now, available, req.Prompt)
	for _, m := range available {
		u := t.upstreamOf(m)
		cost := u.cost(now, req, m.ID == preferred)
		if u.record.IsLimitStale(now) {
			// Only its answers tell that the limit has ended.
			cost = math.Inf(-1)
		}
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	if best == nil {
		return nil, ErrNoUpstream
	}
	t.rollouts.Place(best.member, 1)
	return t.assign(now, best, service, req, best.member.ID == preferred), nil
}

// PreferredDomain returns the failure domain of the upstream that a request with the prompt
// is likely to be sent to, or empty if the prompt prefers none.
func (t *Table) PreferredDomain(now time.Time, service *catalog.Service, members []*catalog.Member, prompt []dialect.PromptPart) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, _ := t.rollouts.Split(now, service.Name, members)
	available := t.available(now, service, first, nil)
	id := t.preferred(now, available, prompt)
	for _, m := range available {
		if m.ID == id {
			return m.FailureDomain
		}
	}
	return ""
}

// available returns the members that may get a request now.
func (t *Table) available(now time.Time, service *catalog.Service, members []*catalog.Member, exclude []string) []*catalog.Member {
	share := t.share()
	available := make([]*catalog.Member, 0, len(members))
	for _, m := range members {
		if t.upstreamOf(m).isAvailable(now, service, share) && !slices.Contains(exclude, m.ID) {
			available = append(available, m)
		}
	}
	return available
}

func (t *Table) upstreamOf(m *catalog.Member) *upstream {
	u := t.upstreams[m.ID]
	if u == nil || u.member.Start() != m.Start() {
		u = &upstream{record: t.judge.Upstream(m), engine: t.model(m.Service).NewEngine(), cache: newCache(), waiting: make(map[*Choice]struct{})}
		t.upstreams[m.ID] = u
	}
	u.member = m
	return u
}

func (t *Table) model(service string) *engines.Service {
	s := t.models[service]
	if s == nil {
		s = engines.NewService()
		t.models[service] = s
	}
	return s
}

func (t *Table) assign(now time.Time, u *upstream, service *catalog.Service, req Request, preferred bool) *Choice {
	c := &Choice{table: t, upstream: u, member: u.member, started: now, preferred: preferred}
	c.prefillTokens = u.uncachedTokens(req, preferred)
	c.aheadTokens = u.prefillTokens
	c.predictedMs = u.predictedMs(now, service.Engine != nil, u.prefillTokens+c.prefillTokens)
	if u.isCold(now, service) {
		u.cold.Take(now, u.member.ID, service.ColdRate, t.share())
	}
	c.grant = u.record.Begin(now)
	u.running++
	u.prefillTokens += c.prefillTokens
	u.waiting[c] = struct{}{}
	c.isFirstRead = u.isFirstRead(req.Prompt)
	u.cache.add(req.Prompt, t.cacheTokens(service), t.maxCachedParts())
	return c
}
