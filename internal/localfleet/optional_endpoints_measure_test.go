package localfleet

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

var measure = flag.Bool("measure", false, "run the measurements of the optional engine endpoints")

// TestMeasureCancel prints the completed requests, the busy time of useful work and of work
// whose response no caller received, and the collapses of the first engine. The fleet
// hedges and has four engines, the first of which is slowed by a factor of 10. The cases
// differ in the delay until an engine detects a disconnected client, in the time above the
// capacity after which it collapses (50 ms, or 1 min so that it sustains more), and in
// whether it has the cancel endpoint:
//
//	go test ./internal/localfleet -run MeasureCancel -v -measure
func TestMeasureCancel(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	kinds := []struct {
		name string
		cfg  upstream.EngineConfig
	}{
		{"detects at once", upstream.EngineConfig{}},
		{"detects after 0.5 s", upstream.EngineConfig{DisconnectLag: 500 * time.Millisecond}},
		{"detects after 2 s", upstream.EngineConfig{DisconnectLag: 2 * time.Second}},
	}
	for _, kind := range kinds {
		for _, tolerance := range []time.Duration{50 * time.Millisecond, time.Minute} {
			for _, lacks := range []engine.Capability{engine.CapabilityCancel, ""} {
				// An order to load the model would make the engine cold during the run.
				kind.cfg.DisabledCapabilities = []engine.Capability{engine.CapabilityLoadModel, lacks}
				kind.cfg.Tokens, kind.cfg.PerToken, kind.cfg.Load.Tolerance = 16, 5*time.Millisecond, tolerance
				name := fmt.Sprintf("%s, collapses %v, cancel %v", kind.name, tolerance < time.Second, lacks == "")
				t.Run(name, func(t *testing.T) { measureCancel(t, kind.cfg) })
			}
		}
	}
}

const (
	measuredRequests = 2000
	measuredCallers  = 16
)

// TestMeasureResume prints the number of complete responses and of their executions
// while the connections to all engines are cut every 200 ms:
//
//	go test ./internal/localfleet -run MeasureResume -v -measure
func TestMeasureResume(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, window := range []time.Duration{0, time.Minute} {
		for _, accept := range []string{"application/json", "text/event-stream"} {
			t.Run(fmt.Sprintf("%s, resume %v", accept, window > 0), func(t *testing.T) { measureResume(t, window, accept) })
		}
	}
}

func measureResume(t *testing.T, window time.Duration, accept string) {
	cfg := upstream.EngineConfig{Tokens: 16, PerToken: 5 * time.Millisecond, ResumeWindow: window,
		DisabledCapabilities: []engine.Capability{engine.CapabilityLoadModel}}
	cfg.Load.Tolerance = 50 * time.Millisecond
	engines := []*upstream.Engine{newWarmEngine(cfg), newWarmEngine(cfg)}
	f := startEngineFleet(t, 8, engines[0], engines[1])
	f.load(t, "warm", 200)
	for _, e := range engines {
		e.ClearRecords()
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-time.After(200 * time.Millisecond):
				for _, p := range f.proxies {
					p.Cut()
				}
			case <-stop:
				return
			}
		}
	})
	completed := f.load(t, "measured", measuredRequests, "Accept", accept)
	close(stop)
	wg.Wait()
	executions := 0
	for _, e := range engines {
		executions += len(e.Records())
	}
	t.Logf("complete responses %d of %d, %d executions, %d collapses", completed, measuredRequests, executions,
		engines[0].State().Collapses+engines[1].State().Collapses)
}

func measureCancel(t *testing.T, cfg upstream.EngineConfig) {
	engines := make([]*upstream.Engine, 4)
	handlers := make([]http.Handler, len(engines))
	for i := range engines {
		engines[i] = newWarmEngine(cfg)
		handlers[i] = engines[i]
	}
	f := startEngineFleet(t, 8, handlers...)
	f.load(t, "warm", 500)
	engines[0].SetFaults(upstream.Faults{SlowFactor: 10})
	for _, e := range engines {
		e.ClearRecords()
	}
	completed := f.load(t, "measured", measuredRequests)
	eventually(t, "all work has ended", func() bool { return running(engines) == 0 })
	useful, wasted := busyTimes(engines)
	t.Logf("completed %d of %d, useful %.1f s, wasted %.2f s in %d executions (%.1f %%), %d collapses", completed, measuredRequests,
		useful.Seconds(), wasted.time.Seconds(), wasted.count, 100*wasted.time.Seconds()/(useful+wasted.time).Seconds(), engines[0].State().Collapses)
}

// load sends requests with different inputs and returns the number of complete responses.
func (f *engineFleet) load(t *testing.T, prefix string, n int, headers ...string) int {
	t.Helper()
	var mu sync.Mutex
	completed, next := 0, 0
	var wg sync.WaitGroup
	for range measuredCallers {
		wg.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= n {
					return
				}
				a := f.request(t, fmt.Sprintf("%s %d", prefix, i), 16, append(headers, "Deadline-Ms", "2000")...)
				mu.Lock()
				if a.status == http.StatusOK && !strings.Contains(a.body, "event: error") {
					completed++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return completed
}

func running(engines []*upstream.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.State().Running
	}
	return n
}

type waste struct {
	time  time.Duration
	count int
}

// busyTimes splits the busy time of the engines into useful and wasted: of the executions
// of one input, the first that completed was useful.
func busyTimes(engines []*upstream.Engine) (time.Duration, waste) {
	first := make(map[string]upstream.Record)
	var all []upstream.Record
	for _, e := range engines {
		all = append(all, e.Records()...)
	}
	for _, r := range all {
		before, ok := first[r.Digest]
		if r.State == upstream.RecordDone && (!ok || r.EndedAt.Before(before.EndedAt)) {
			first[r.Digest] = r
		}
	}
	var useful time.Duration
	for _, r := range first {
		useful += r.EndedAt.Sub(r.StartedAt)
	}
	w := waste{count: len(all) - len(first)}
	for _, r := range all {
		w.time += r.EndedAt.Sub(r.StartedAt)
	}
	w.time -= useful
	return useful, w
}
