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

// Config sets up a table.
type Config struct {
	// Instance is the name of this process, which chooses its subset.
	Instance string
	// FailureDomain is the local one, preferred while it can bear the load.
	FailureDomain string
	// Seed seeds the random choice between equal candidates.
	Seed uint64
	// SubsetSize is the number of upstreams used per stage; 0 takes SubsetSize.
	SubsetSize int
	// Uniform picks at random among all candidates in service; it is the baseline
	// of the measurements.
	Uniform bool
}

// Candidate is one upstream of a stage.
type Candidate struct {
	Name string
	// Address is the IP address and port of the sidecar's peer listener.
	Address       string
	FailureDomain string
	// IsRemote marks upstreams in another region than this process.
	IsRemote bool
	// Incarnation identifies the start of the sidecar, where known. Another
	// one makes the upstream new.
	Incarnation string
	// Capacity and ColdCapacity are the calls in flight that a warm and a cold
	// upstream can bear.
	Capacity     int
	ColdCapacity int
	InService    bool
	Leaving      bool
}

// Outcome is how a routed call ended.
type Outcome int

const (
	// Succeeded means that the upstream answered.
	Succeeded Outcome = iota
	// Failed means that the upstream or the way to it failed or was too slow.
	Failed
	// Refused means that the sidecar had no room or no time for the call.
	Refused
	// Cancelled means that the outcome says nothing of the upstream.
	Cancelled
)

// Result is the end of a routed call.
type Result struct {
	Outcome Outcome
	// Duration is the time from the pick to the reply.
	Duration time.Duration
	// Load is the sidecar's report, or nil.
	Load *peer.Load
}

// PickRequest asks for an upstream.
type PickRequest struct {
	Stage string
	// AffinityKey prefers the same upstream for the same key, such as a hash
	// of the prompt's prefix; empty means no preference.
	AffinityKey string
	// Exclude names upstreams that were already tried.
	Exclude []string
	// Timeout bounds the call; 0 means unknown.
	Timeout time.Duration
	// Slack is the time that the call may take for the request to end in time; 0
	// means unknown. A warming upstream gets only calls with enough of it.
	Slack time.Duration
	// AvoidWarming keeps the call from warming upstreams while a warm one has room.
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
	// failRuns counts the failures in a row of each failure domain.
	failRuns map[string]int
	// typical is the typical service time, in seconds, as of typicalAt.
	typical   float64
	typicalAt time.Time
}

// New returns a table without candidates.
func New(cfg Config, logger *log.Logger, scope tally.Scope) *Table {
	if cfg.SubsetSize <= 0 {
		cfg.SubsetSize = SubsetSize
	}
	return &Table{cfg: cfg, logger: logger, scope: scope, stages: make(map[string]*stage)}
}

// Update replaces the candidates of the stage. What is known of candidates that
// stay is kept. An update without candidates forgets the stage.
func (t *Table) Update(name string, candidates []Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.stages[name]
	if !ok {
		s = &stage{
			name:      name,
			table:     t,
			random:    rand.New(rand.NewPCG(t.cfg.Seed, hash(name))),
			upstreams: make(map[string]*upstream),
			failRuns:  make(map[string]int),
		}
		t.stages[name] = s
	}
	s.update(candidates)
	if len(candidates) == 0 {
		delete(t.stages, name)
	}
}

// Pick chooses an upstream; Done must be called on the choice. The error is a
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
	s.subset = choose(s.table.cfg, s.upstreams)
}

func (s *stage) pick(r PickRequest) (*Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	ignoreEjection := s.table.cfg.Uniform || s.isInDoubt(now)
	u, elsewhere, err := s.best(r, now, ignoreEjection)
	if err != nil {
		return nil, err
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = maxTimeout
	}
	c := &Choice{stage: s, upstream: u, address: u.candidate.Address, expires: now.Add(timeout + choiceGrace), elsewhere: elsewhere}
	heap.Push(&s.choices, c)
	u.inFlight++
	u.sparedSince = time.Time{}
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

// expire stops counting choices that were never ended.
func (s *stage) expire(now time.Time) {
	for len(s.choices) > 0 && now.After(s.choices[0].expires) {
		c := heap.Pop(&s.choices).(*Choice)
		c.upstream.inFlight--
		s.table.scope.Counter("choicesExpired").Inc(1)
		s.table.logger.Warn().Str("stage", s.name).Str("upstream", c.upstream.candidate.Name).Msg("call was not ended within its timeout")
	}
}

// best returns the usable upstream with the lowest score, and whether a warm one has room.
func (s *stage) best(r PickRequest, now time.Time, ignoreEjection bool) (*upstream, bool, error) {
	s.scores = s.scores[:0]
	excluded, usable, warm := 0, 0, 0
	typical := s.typicalService(now)
	for _, u := range s.subset {
		score := math.Inf(1)
		switch {
		case !u.isUsable(now, ignoreEjection):
		case slices.Contains(r.Exclude, u.candidate.Name):
			excluded++
		default:
			usable++
			score = u.score(now, typical, s.table.cfg.FailureDomain)
			if !u.warming && u.state == StateActive && u.load(now) < roomLoad {
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
		s.spareWarming(r, typical, now)
	}
	least := s.least()
	if r.AffinityKey != "" {
		if i := s.preferred(r.AffinityKey); s.scores[i] <= s.scores[least]+affinityExtra {
			least = i
		}
	}
	return s.subset[least], warm > 0, nil
}

// spareWarming keeps the call from warming upstreams on which it could miss its
// deadline. At least one warm upstream must have room.
func (s *stage) spareWarming(r PickRequest, typical float64, now time.Time) {
	for i, u := range s.subset {
		if !u.warming || math.IsInf(s.scores[i], 1) {
			continue
		}
		isSlow := !u.isFastEnough(r.Slack, typical, now)
		if isSlow && u.sparedSince.IsZero() {
			u.sparedSince = now
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

// least returns the place of the lowest score; ties are broken by a random start.
func (s *stage) least() int {
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

// preferred returns the place of the usable upstream that the key hashes to.
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

// typicalService returns the median of the subset's mean service times, or 0.
func (s *stage) typicalService(now time.Time) float64 {
	if now.Sub(s.typicalAt) < typicalInterval {
		return s.typical
	}
	s.typicalAt, s.typical = now, 0
	var buf [SubsetSize]float64
	values := buf[:0]
	for _, u := range s.subset {
		if u.service > 0 && u.state != StateEjected {
			values = append(values, u.service)
		}
	}
	if len(values) > 0 {
		slices.Sort(values)
		s.typical = values[(len(values)-1)/2]
	}
	return s.typical
}

// isInDoubt reports whether so many upstreams look sick that the fault is
// probably elsewhere.
func (s *stage) isInDoubt(now time.Time) bool {
	total, sick := 0, 0
	for _, u := range s.subset {
		if !u.candidate.InService || u.candidate.Leaving || u.leaving {
			continue
		}
		total++
		if u.state == StateEjected || u.failureRate(now) > sickRate {
			sick++
		}
	}
	return total > 0 && float64(sick) > panicFraction*float64(total)
}

func (s *stage) log(u *upstream, reason string) {
	s.table.scope.Tagged(map[string]string{"stage": s.name, "reason": reason}).Counter("upstreamChanges").Inc(1)
	s.table.logger.Info().Str("stage", s.name).Str("upstream", u.candidate.Name).Str("failureDomain", u.candidate.FailureDomain).Str("reason", reason).Msg("upstream state changed")
}
