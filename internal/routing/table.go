package routing

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/peer"
)

// Config configures a table.
type Config struct {
	// Instance is the name of this process; it determines the subset.
	Instance string
	// FailureDomain is the local failure domain, which is preferred while it can handle
	// the load.
	FailureDomain string
	// Seed is the seed of the random choice between equal candidates.
	Seed uint64
	// SubsetSize is the number of upstreams used per stage; 0 means the constant SubsetSize.
	SubsetSize int
	// Uniform picks uniformly at random among the candidates in service. It is the
	// baseline of the measurements.
	Uniform bool
}

// Candidate is one upstream of a stage.
type Candidate struct {
	Name string
	// Address is the IP address and port of the sidecar's peer listener.
	Address       string
	FailureDomain string
	// IsRemote marks upstreams in a region other than that of this process.
	IsRemote bool
	// Incarnation identifies the incarnation of the sidecar's process, if known. An
	// upstream whose incarnation changes counts as new.
	Incarnation string
	// Capacity and ColdCapacity are the numbers of calls in flight that a warm and a
	// cold upstream can handle.
	Capacity     int
	ColdCapacity int
	InService    bool
	Leaving      bool
}

// Outcome is how a routed call ended.
type Outcome int

const (
	// Succeeded means that the upstream returned a response.
	Succeeded Outcome = iota
	// Failed means that the upstream or the connection to it failed or timed out.
	Failed
	// Refused means that the sidecar had no capacity for the call or couldn't meet its
	// deadline.
	Refused
	// Cancelled means that the outcome carries no information about the upstream.
	Cancelled
)

// Result is the result of a routed call.
type Result struct {
	Outcome Outcome
	// Duration is the time from the pick to the reply.
	Duration time.Duration
	// Load is the sidecar's load report, or nil.
	Load *peer.Load
}

// PickRequest are the parameters of Table.Pick.
type PickRequest struct {
	Stage string
	// AffinityKey selects a preferred upstream, the same one for the same key. It may be
	// a hash of the prompt's prefix; empty means no preference.
	AffinityKey string
	// Exclude lists the names of upstreams that were already tried.
	Exclude []string
	// Timeout is the maximum duration of the call; 0 means unknown.
	Timeout time.Duration
	// Slack is how long the call may take for the request to meet its deadline; 0 means
	// unknown. A warming upstream gets only calls with enough slack.
	Slack time.Duration
	// AvoidWarming keeps the call from warming upstreams while a warm one has free slots.
	AvoidWarming bool
}

// Table holds the routing state of all stages; it is safe for concurrent use.
type Table struct {
	cfg    Config
	logger *log.Logger
	scope  tally.Scope

	mu     sync.RWMutex
	stages map[string]*stage
}

// stage is the routing state of one stage.
type stage struct {
	name  string
	table *Table

	mu        sync.Mutex
	random    *rand.Rand
	upstreams map[string]*upstream
	subset    []*upstream
	// choices is a heap of the choices in flight by expiry.
	choices choiceHeap
	scores  []float64
	// domainFailures is the number of consecutive failures in each failure domain.
	domainFailures map[string]int
	// median is the median service time of the subset, in seconds, as of medianAt.
	median   float64
	medianAt time.Time
}

// New returns a table without candidates.
func New(cfg Config, logger *log.Logger, scope tally.Scope) *Table {
	if cfg.SubsetSize <= 0 {
		cfg.SubsetSize = SubsetSize
	}
	return &Table{cfg: cfg, logger: logger, scope: scope, stages: make(map[string]*stage)}
}

// Update replaces the candidates of the stage and keeps the routing state of those that
// stay. An update without candidates removes the stage.
func (t *Table) Update(name string, candidates []Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.stages[name]
	if !ok {
		s = &stage{
			name:           name,
			table:          t,
			random:         rand.New(rand.NewPCG(t.cfg.Seed, hash(name))),
			upstreams:      make(map[string]*upstream),
			domainFailures: make(map[string]int),
		}
		t.stages[name] = s
	}
	s.update(candidates)
	if len(candidates) == 0 {
		delete(t.stages, name)
	}
}

// Pick picks an upstream. The caller must call Done on the choice. The error is a
// *NoUpstreamError.
func (t *Table) Pick(r PickRequest) (*Choice, error) {
	t.mu.RLock()
	s, ok := t.stages[r.Stage]
	t.mu.RUnlock()
	if !ok {
		return nil, &NoUpstreamError{Stage: r.Stage}
	}
	return s.pick(r)
}

func (s *stage) update(candidates []Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		seen[c.Name] = true
		u, ok := s.upstreams[c.Name]
		if !ok || u.isReplacedBy(c) {
			u = newUpstream(c)
			s.upstreams[c.Name] = u
		}
		u.candidate = c
	}
	for name := range s.upstreams {
		if !seen[name] {
			delete(s.upstreams, name)
		}
	}
	s.subset = chooseSubset(s.table.cfg, s.upstreams)
}

func (s *stage) pick(r PickRequest) (*Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	ignoreEjection := s.table.cfg.Uniform || s.isInPanicMode(now)
	u, warmAlternative, err := s.best(r, now, ignoreEjection)
	if err != nil {
		return nil, err
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = maxTimeout
	}
	c := &Choice{stage: s, upstream: u, address: u.candidate.Address, expires: now.Add(timeout + choiceGrace), warmAlternative: warmAlternative}
	heap.Push(&s.choices, c)
	u.inFlight++
	u.skippedSince = time.Time{}
	if ignoreEjection {
		return c, nil
	}
	if u.state == StateEjected {
		u.state = StateProbing
		u.reason = reasonProbing
		s.log(u, u.reason)
	}
	c.probe = u.state == StateProbing
	return c, nil
}

// expire removes choices that were not ended within their timeout.
func (s *stage) expire(now time.Time) {
	for len(s.choices) > 0 && now.After(s.choices[0].expires) {
		c := heap.Pop(&s.choices).(*Choice)
		c.upstream.inFlight--
		s.table.scope.Counter("choicesExpired").Inc(1)
		s.table.logger.Warn().Str("stage", s.name).Str("upstream", c.upstream.candidate.Name).Msg("call did not end within its timeout and no longer counts as in flight")
	}
}

// best returns the usable upstream with the lowest score or, within a tolerance, the one
// preferred by the affinity key. It also reports whether a warm upstream has free slots.
func (s *stage) best(r PickRequest, now time.Time, ignoreEjection bool) (*upstream, bool, error) {
	s.scores = s.scores[:0]
	excluded, usable, warm := 0, 0, 0
	median := s.medianServiceTime(now)
	for _, u := range s.subset {
		score := math.Inf(1)
		switch {
		case !u.isUsable(now, ignoreEjection):
		case slices.Contains(r.Exclude, u.candidate.Name):
			excluded++
		default:
			usable++
			score = u.score(now, median, s.table.cfg.FailureDomain)
			if !u.warming && u.state == StateActive && u.load(now) < fullLoad {
				warm++
			}
		}
		s.scores = append(s.scores, score)
	}
	if usable == 0 {
		return nil, false, &NoUpstreamError{Stage: s.name, Candidates: len(s.upstreams), Excluded: excluded}
	}
	if s.table.cfg.Uniform {
		return s.uniform(usable), warm > 0, nil
	}
	if warm > 0 {
		s.excludeWarming(r, median, now)
	}
	lowest := s.lowest()
	if r.AffinityKey != "" {
		if i := s.preferred(r.AffinityKey); s.scores[i] <= s.scores[lowest]+affinityTolerance {
			lowest = i
		}
	}
	return s.subset[lowest], warm > 0, nil
}

// excludeWarming excludes the warming upstreams on which the call could miss its deadline,
// or all of them with AvoidWarming. At least one warm upstream must have free slots.
func (s *stage) excludeWarming(r PickRequest, median float64, now time.Time) {
	for i, u := range s.subset {
		if !u.warming || math.IsInf(s.scores[i], 1) {
			continue
		}
		isSlow := !u.isFastEnough(r.Slack, median, now)
		if isSlow && u.skippedSince.IsZero() {
			u.skippedSince = now
		}
		if isSlow || r.AvoidWarming {
			s.scores[i] = math.Inf(1)
		}
	}
}

func (s *stage) uniform(usable int) *upstream {
	n := s.random.IntN(usable)
	for i, score := range s.scores {
		if math.IsInf(score, 1) {
			continue
		}
		if n == 0 {
			return s.subset[i]
		}
		n--
	}
	return nil
}

// lowest returns the index of the lowest score. The search starts at a random index
// to break ties.
func (s *stage) lowest() int {
	start := s.random.IntN(len(s.scores))
	best := start
	for n := range s.scores {
		i := (start + n) % len(s.scores)
		if s.scores[i] < s.scores[best] {
			best = i
		}
	}
	return best
}

// preferred returns the index of the usable upstream that the key hashes to.
func (s *stage) preferred(key string) int {
	best, most := 0, uint64(0)
	k := hash(key)
	for i, u := range s.subset {
		if math.IsInf(s.scores[i], 1) {
			continue
		}
		if h := mix(k ^ u.hash); h >= most {
			best, most = i, h
		}
	}
	return best
}

// medianServiceTime returns the median of the subset's mean service times, or 0.
func (s *stage) medianServiceTime(now time.Time) float64 {
	if now.Sub(s.medianAt) < medianTTL {
		return s.median
	}
	s.medianAt, s.median = now, 0
	var buf [SubsetSize]float64
	values := buf[:0]
	for _, u := range s.subset {
		if u.serviceTime > 0 && u.state != StateEjected {
			values = append(values, u.serviceTime)
		}
	}
	if len(values) > 0 {
		slices.Sort(values)
		s.median = values[(len(values)-1)/2]
	}
	return s.median
}

// isInPanicMode reports whether so many upstreams look unhealthy that the cause is probably
// not the upstreams, so that ejections are ignored.
func (s *stage) isInPanicMode(now time.Time) bool {
	total, unhealthy := 0, 0
	for _, u := range s.subset {
		if !u.candidate.InService || u.candidate.Leaving || u.leaving {
			continue
		}
		total++
		if u.state == StateEjected || u.failureRate(now) > unhealthyRate {
			unhealthy++
		}
	}
	return total > 0 && float64(unhealthy) > panicFraction*float64(total)
}

func (s *stage) log(u *upstream, reason string) {
	s.table.scope.Tagged(map[string]string{"stage": s.name, "reason": reason}).Counter("upstreamChanges").Inc(1)
	s.table.logger.Info().Str("stage", s.name).Str("upstream", u.candidate.Name).Str("failureDomain", u.candidate.FailureDomain).Str("reason", reason).Msg("upstream state changed")
}
