package admission

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// GateConfig sets up the gate of one pipeline.
type GateConfig struct {
	// Pipeline is a log field.
	Pipeline string
	// MaxQueued is the largest number of waiting requests.
	MaxQueued int
	// MinLimit, MaxLimit and Limit bound and start the number of requests in progress.
	MinLimit int
	MaxLimit int
	Limit    int
}

// Outcome is how an admitted request ended.
type Outcome struct {
	// Shed marks a request that a stage refused for lack of capacity, or that
	// missed its deadline, after at least one upstream had worked for it.
	Shed bool
	// Ignored marks a request that says nothing of the load, such as an invalid one.
	Ignored bool
}

// Permit is the right of one request to be in progress.
type Permit struct {
	gate    *Gate
	release func()
	once    sync.Once
}

// Gate limits the requests of a pipeline in progress at one entry. The limit
// falls while admitted requests are shed by stages and rises while none is.
type Gate struct {
	logger *log.Logger
	cfg    GateConfig
	queue  *Queue
	gauge  tally.Gauge

	mu    sync.Mutex
	limit float64
	// since is the start of the current interval; the counts belong to it.
	since    time.Time
	ended    int
	shed     int
	mostUsed int
	inUse    int
	// peak is the recent largest number of requests in progress.
	peak float64
	// cutFrom and cutShed are the limit and the part shed before the current
	// cut; cutFrom is 0 while there is none.
	cutFrom float64
	cutShed float64
	// pausedUntil is set after a cut that did not help.
	pausedUntil time.Time
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

// Acquire waits until the request may be in progress. Done must be called on the permit.
func (g *Gate) Acquire(ctx context.Context, r Request) (*Permit, *Refusal) {
	release, refusal := g.queue.Acquire(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse++
	g.mostUsed = max(g.mostUsed, g.inUse)
	return &Permit{gate: g, release: release}, nil
}

// Done ends the request; calls after the first have no effect.
func (p *Permit) Done(o Outcome) {
	p.once.Do(func() {
		if limit, changed := p.gate.end(o); changed {
			p.gate.queue.SetLimit(limit)
		}
		p.release()
	})
}

// Close refuses waiting and later requests.
func (g *Gate) Close() { g.queue.Close() }

// Limit returns the largest number of requests in progress.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int(g.limit)
}

// Snapshot returns the state of the gate's queue.
func (g *Gate) Snapshot() Snapshot { return g.queue.Snapshot() }

// end counts an outcome and judges the interval when it is over.
func (g *Gate) end(o Outcome) (int, bool) {
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
	if age < gateInterval || g.ended < gateMinimum && age < gateMaxInterval {
		return 0, false
	}
	old := int(g.limit)
	g.judge(now)
	if int(g.limit) != old {
		g.gauge.Update(g.limit)
		g.logger.Debug().Str("pipeline", g.cfg.Pipeline).Int("limit", int(g.limit)).Int("ended", g.ended).Int("shed", g.shed).Msg("pipeline limit changed")
	}
	g.since = now
	g.ended, g.shed, g.mostUsed = 0, 0, g.inUse
	return int(g.limit), int(g.limit) != old
}

// judge adapts the limit to the outcomes of the interval.
func (g *Gate) judge(now time.Time) {
	shed := float64(g.shed) / float64(max(g.ended, 1))
	paused := now.Before(g.pausedUntil)
	g.peak = max(g.peak*gatePeakDecay, float64(g.mostUsed))
	used := float64(g.mostUsed) >= gateUse*min(g.limit, g.peak)
	switch {
	case shed > gateTolerance && !paused:
		// With few ended requests, chance can't be told from load. With few in
		// progress, those that were late were admitted under an earlier load.
		if g.ended >= gateMinimum && used {
			g.cut(shed, now)
		}
	case paused || shed < gateTolerance/2:
		g.cutFrom = 0
		if used {
			g.limit = min(g.limit+max(1, g.limit*gateIncrease), float64(g.cfg.MaxLimit))
		}
	}
}

// cut lowers the limit. When a cut to the half does not lower the part that is
// shed, then load is not its cause: the limit is restored and left for a while.
func (g *Gate) cut(shed float64, now time.Time) {
	if g.cutFrom == 0 {
		g.limit = max(min(g.limit, g.peak), float64(g.cfg.MinLimit))
		g.cutFrom, g.cutShed = g.limit, shed
	}
	g.limit = max(g.limit*gateDecrease, float64(g.cfg.MinLimit))
	if g.limit > g.cutFrom/2 {
		return
	}
	if shed > gateHelped*g.cutShed {
		g.logger.Info().Str("pipeline", g.cfg.Pipeline).Int("limit", int(g.cutFrom)).Float64("shed", shed).Msg("pipeline limit restored, because requests are shed for other causes than load")
		g.limit = g.cutFrom
		g.pausedUntil = now.Add(gatePause)
	}
	g.cutFrom = 0
}
