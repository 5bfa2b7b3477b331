package admission

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// GateConfig configures the gate of one pipeline.
type GateConfig struct {
	// Pipeline is the name of the pipeline for log messages.
	Pipeline string
	// MaxQueued is the maximum number of waiting requests.
	MaxQueued int
	// MinLimit, MaxLimit and Limit are the lower bound, the upper bound and the initial
	// value of the limit on requests in progress.
	MinLimit int
	MaxLimit int
	Limit    int
}

// Outcome is how an admitted request ended.
type Outcome struct {
	// Shed marks a request that a stage refused for lack of capacity, or that
	// missed its deadline, after at least one upstream had run a stage for it.
	Shed bool
	// Ignored marks a request whose outcome carries no information about the load, such
	// as an invalid one.
	Ignored bool
}

// Permit admits one request until Done is called.
type Permit struct {
	gate    *Gate
	release func()
	once    sync.Once
}

// Gate limits the requests of a pipeline in progress at one entry. The limit
// decreases while stages shed admitted requests and increases while they shed few.
type Gate struct {
	logger *log.Logger
	cfg    GateConfig
	queue  *Queue
	gauge  tally.Gauge

	mu    sync.Mutex
	limit float64
	// since is the start of the current interval, to which ended, shed and maxInUse
	// belong.
	since    time.Time
	ended    int
	shed     int
	maxInUse int
	inUse    int
	// peak is the decaying maximum of requests in progress.
	peak float64
	// limitBeforeDecrease and shedBeforeDecrease are the limit and the shed fraction before
	// the current series of decreases; limitBeforeDecrease is 0 outside one.
	limitBeforeDecrease float64
	shedBeforeDecrease  float64
	// noDecreaseUntil is set after decreases that did not lower the shed fraction.
	noDecreaseUntil time.Time
}

// NewGate returns a gate with its own queue.
func NewGate(cfg GateConfig, logger *log.Logger, scope tally.Scope) *Gate {
	cfg.MinLimit = max(cfg.MinLimit, 1)
	cfg.MaxLimit = max(cfg.MaxLimit, cfg.MinLimit)
	g := &Gate{
		logger: logger,
		cfg:    cfg,
		queue:  NewQueue(QueueConfig{MaxQueued: cfg.MaxQueued}, scope),
		gauge:  scope.Gauge("limit"),
		limit:  float64(min(max(cfg.Limit, cfg.MinLimit), cfg.MaxLimit)),
		since:  time.Now(),
	}
	g.queue.SetLimit(int(g.limit))
	return g
}

// Acquire waits until the request is admitted. The caller must call Done on the permit.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, *Refusal) {
	release, refusal := g.queue.Acquire(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse++
	g.maxInUse = max(g.maxInUse, g.inUse)
	return &Permit{gate: g, release: release}, nil
}

// Done records the outcome and releases the permit; calls after the first have no effect.
func (p *Permit) Done(o Outcome) {
	p.once.Do(func() {
		if limit, changed := p.gate.recordOutcome(o); changed {
			p.gate.queue.SetLimit(limit)
		}
		p.release()
	})
}

// Close refuses all waiting and later requests.
func (g *Gate) Close() { g.queue.Close() }

// Limit returns the current limit on requests in progress.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(g.limit)
}

// Snapshot returns the state of the gate's queue.
func (g *Gate) Snapshot() Snapshot { return g.queue.Snapshot() }

// recordOutcome counts an outcome and adjusts the limit at the end of an interval. It
// reports whether the limit changed, with its new value.
func (g *Gate) recordOutcome(o Outcome) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse--
	if !o.Ignored {
		g.ended++
	}
	if o.Shed {
		g.shed++
	}
	now := time.Now()
	age := now.Sub(g.since)
	if age < gateInterval || g.ended < gateMinSamples && age < gateMaxInterval {
		return 0, false
	}
	old := int(g.limit)
	g.adjustLimit(now)
	if int(g.limit) != old {
		g.gauge.Update(g.limit)
		g.logger.Debug().Str("pipeline", g.cfg.Pipeline).Int("limit", int(g.limit)).Int("ended", g.ended).Int("shed", g.shed).Msg("pipeline limit changed")
	}
	g.since = now
	g.ended, g.shed, g.maxInUse = 0, 0, g.inUse
	return int(g.limit), int(g.limit) != old
}

// adjustLimit adjusts the limit according to the outcomes of the interval.
func (g *Gate) adjustLimit(now time.Time) {
	shed := float64(g.shed) / float64(max(g.ended, 1))
	paused := now.Before(g.noDecreaseUntil)
	g.peak = max(g.peak*gatePeakDecay, float64(g.maxInUse))
	used := float64(g.maxInUse) >= gateMinUtilisation*min(g.limit, g.peak)
	switch {
	case shed > gateTolerance && !paused:
		// With few ended requests, a high shed fraction may be due to chance. With few in
		// progress, the shed requests were admitted under an earlier load.
		if g.ended >= gateMinSamples && used {
			g.decreaseLimit(shed, now)
		}
	case paused || shed < gateTolerance/2:
		g.limitBeforeDecrease = 0
		if used {
			g.limit = min(g.limit+max(1, g.limit*gateIncrease), float64(g.cfg.MaxLimit))
		}
	}
}

// decreaseLimit lowers the limit. When halving the limit doesn't lower the shed fraction
// enough, load is not the cause: the limit is restored and not decreased for a while.
func (g *Gate) decreaseLimit(shed float64, now time.Time) {
	if g.limitBeforeDecrease == 0 {
		g.limit = max(min(g.limit, g.peak), float64(g.cfg.MinLimit))
		g.limitBeforeDecrease, g.shedBeforeDecrease = g.limit, shed
	}
	g.limit = max(g.limit*gateDecrease, float64(g.cfg.MinLimit))
	if g.limit > g.limitBeforeDecrease/2 {
		return
	}
	if shed > gateIneffectiveRatio*g.shedBeforeDecrease {
		g.logger.Info().Str("pipeline", g.cfg.Pipeline).Int("limit", int(g.limitBeforeDecrease)).Float64("shed", shed).Msg("pipeline limit restored: lowering it did not reduce the fraction of shed requests")
		g.limit = g.limitBeforeDecrease
		g.noDecreaseUntil = now.Add(gateDecreasePause)
	}
	g.limitBeforeDecrease = 0
}
