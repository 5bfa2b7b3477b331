package placement

import (
	"math"
	"time"
)

const (
	// demandWindow is the time over which the demand for a prompt part is averaged, and
	// minDemandWindow the least time of it after the first request.
	demandWindow    = 20 * time.Second
	minDemandWindow = 2 * time.Second
	// maxEngineDemand is the fraction of an engine's time up to which the requests with a
	// prompt part are all sent to one engine.
	maxEngineDemand = 0.2
)

// demand estimates how much time of an engine the requests with each prompt part take.
type demand struct {
	since time.Time
	parts map[string]*partDemand
	swept time.Time
}

// partDemand is the engine time of the requests with a part, which decays with the time
// constant demandWindow.
type partDemand struct {
	ms float64
	at time.Time
}

func newDemand() *demand { return &demand{parts: make(map[string]*partDemand)} }

// decayed returns the engine time at the time, in milliseconds.
func (p *partDemand) decayed(now time.Time) float64 {
	return p.ms * math.Exp(-max(now.Sub(p.at), 0).Seconds()/demandWindow.Seconds())
}

// add adds engine time of a request with the part.
func (d *demand) add(now time.Time, id string, ms float64) {
	if d.since.IsZero() {
		d.since, d.swept = now, now
	}
	p := d.parts[id]
	if p == nil {
		p = &partDemand{}
		d.parts[id] = p
	}
	p.ms, p.at = p.decayed(now)+ms, now
	if now.Sub(d.swept) > demandWindow {
		d.sweep(now)
	}
}

// sweep removes parts that have no demand any more.
func (d *demand) sweep(now time.Time) {
	d.swept = now
	for id, p := range d.parts {
		if now.Sub(p.at) > 2*demandWindow {
			delete(d.parts, id)
		}
	}
}

// with returns the fraction of an engine's time that the requests of one gateway with the part
// take, including a new one that takes the time.
func (d *demand) with(now time.Time, id string, ms float64) float64 {
	if p := d.parts[id]; p != nil {
		ms += p.decayed(now)
	}
	window := minDemandWindow
	if !d.since.IsZero() {
		window = max(min(now.Sub(d.since), demandWindow), minDemandWindow)
	}
	return ms / float64(window.Milliseconds())
}
