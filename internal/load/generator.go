package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// Generator sends the requests of one configuration.
type Generator struct {
	cfg   Config
	total float64
}

// New returns a generator. The error lists every fault of the configuration.
func New(cfg Config) (*Generator, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	g := &Generator{cfg: cfg.withDefaults()}
	for _, class := range g.cfg.Mix {
		g.total += class.Weight
	}
	return g, nil
}

func newHTTPClient(connections int) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			Protocols:           protocols,
			DisableCompression:  true,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
		},
	}
}

// arrival is one request before it is sent.
type arrival struct {
	id    string
	class *RequestClass
	// due is the scheduled send time, relative to the start of the run.
	due   time.Duration
	input json.RawMessage
	key   string
	// target is the index of the first target.
	target int
}

// arrivalSource generates the arrivals of a run in order.
type arrivalSource struct {
	g     *Generator
	rng   *rand.Rand
	n     int
	phase int
	// now is the time of the last arrival and end the end of the phase, both relative to the start of the run.
	now, end time.Duration
}

func (g *Generator) arrivals() *arrivalSource {
	return &arrivalSource{g: g, rng: rand.New(rand.NewPCG(g.cfg.Seed, 0)), end: g.cfg.Phases[0].Duration}
}

// next returns the next arrival, or false at the end of the last phase.
func (a *arrivalSource) next() (arrival, bool) {
	for {
		p := a.g.cfg.Phases[a.phase]
		if p.Rate > 0 {
			a.now += time.Duration(a.rng.ExpFloat64() / p.Rate * float64(time.Second))
		}
		if p.Rate > 0 && a.now < a.end {
			return a.newArrival(), true
		}
		// A Poisson process is memoryless, so the next phase can start without a pending arrival.
		a.now = a.end
		a.phase++
		if a.phase == len(a.g.cfg.Phases) {
			return arrival{}, false
		}
		a.end += a.g.cfg.Phases[a.phase].Duration
	}
}

func (a *arrivalSource) newArrival() arrival {
	class := a.g.chooseClass(a.rng.Float64())
	id := fmt.Sprintf("%d-%d", a.g.cfg.Seed, a.n)
	r := arrival{
		id:     id,
		class:  class,
		due:    a.now,
		input:  class.Input(id, a.rng),
		target: a.n % len(a.g.cfg.Targets),
	}
	if class.Keyed {
		r.key = newKey(time.Now(), a.rng)
	}
	a.n++
	return r
}

func (g *Generator) chooseClass(draw float64) *RequestClass {
	at := draw * g.total
	for i := range g.cfg.Mix {
		at -= g.cfg.Mix[i].Weight
		if at < 0 {
			return &g.cfg.Mix[i]
		}
	}
	return &g.cfg.Mix[len(g.cfg.Mix)-1]
}

// newKey returns a UUID version 7, which contains a timestamp (RFC 9562, section 5.7).
func newKey(now time.Time, rng *rand.Rand) string {
	ms := uint64(now.UnixMilli())
	a := 0x7000 | rng.Uint64()&0x0fff
	b := 0x8000_0000_0000_0000 | rng.Uint64()>>2
	return fmt.Sprintf("%08x-%04x-%04x-%04x-%012x", ms>>16, ms&0xffff, a, b>>48, b&0xffff_ffff_ffff)
}

// Run sends the requests and returns when every request has an outcome. The end of
// ctx stops further arrivals and fails the requests in flight.
func (g *Generator) Run(ctx context.Context) *Report {
	stats := newStats()
	start := time.Now()
	slots := make(chan struct{}, g.cfg.MaxInFlight)
	var wg sync.WaitGroup
	source := g.arrivals()
	for {
		a, ok := source.next()
		if !ok || !sleepUntil(ctx, start.Add(a.due)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			stats.addUnsent(a)
			continue
		}
		stats.addLag(time.Since(start.Add(a.due)))
		wg.Go(func() {
			defer func() { <-slots }()
			result := g.send(ctx, a, start)
			stats.add(result, a.due)
			g.cfg.OnResult(result)
		})
	}
	wg.Wait()
	return stats.report(g.cfg, start)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return instance.Pause(ctx, wait)
}
