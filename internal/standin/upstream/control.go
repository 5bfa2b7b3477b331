package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// State is the state that a stand-in reports on its admin path.
type State struct {
	Name      string    `json:"name"`
	Identity  string    `json:"identity"`
	StartedAt time.Time `json:"startedAt"`
	// Starts is the number of starts of the stand-in, including restarts.
	Starts            int     `json:"starts"`
	InFlight          int     `json:"inFlight"`
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	Peak              int     `json:"peak"`
	EffectiveCapacity int     `json:"bearable"`
	Warmth            float64 `json:"warmth"`
	// Collapses counts overload collapses.
	Collapses int  `json:"fallOvers"`
	Collapsed bool `json:"fallen"`
	// Failed and Refused count calls that did not run.
	Failed         int    `json:"failed"`
	Refused        int    `json:"refused"`
	Records        int    `json:"records"`
	RecordsDropped int    `json:"recordsDropped"`
	Faults         Faults `json:"faults"`
}

// standin is the part that the engine and the service share.
type standin struct {
	name     string
	capacity *capacity
	recorder *recorder
	mux      *http.ServeMux
	// onCold clears the caches. SetCold and Restart call it; an overload collapse, which
	// makes the stand-in cold too, leaves the caches.
	onCold func()
}

func newStandin(name string, cfg LoadConfig, maxRecords int) *standin {
	s := &standin{
		name:     name,
		capacity: newCapacity(cfg, name),
		recorder: &recorder{limit: orDefault(maxRecords, DefaultMaxRecords)},
		mux:      http.NewServeMux(),
		onCold:   func() {},
	}
	s.mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.State()) })
	s.mux.HandleFunc("GET /admin/records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Records()) })
	s.mux.HandleFunc("DELETE /admin/records", func(http.ResponseWriter, *http.Request) { s.recorder.clear() })
	s.mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.capacity.current()) })
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("POST /admin/cold", func(http.ResponseWriter, *http.Request) { s.SetCold() })
	s.mux.HandleFunc("POST /admin/warm", func(http.ResponseWriter, *http.Request) { s.SetWarm() })
	s.mux.HandleFunc("POST /admin/restart", func(http.ResponseWriter, *http.Request) { s.Restart() })
	return s
}

// ServeHTTP serves calls and the admin paths.
func (s *standin) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *standin) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// SetFaults replaces the faults. Calls that already hang are not released.
func (s *standin) SetFaults(f Faults) {
	s.capacity.mu.Lock()
	defer s.capacity.mu.Unlock()
	s.capacity.faults = f
}

// SetCold makes the stand-in cold without notice to its clients.
func (s *standin) SetCold() {
	s.onCold()
	c := s.capacity
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCold()
}

// SetWarm makes the stand-in warm immediately.
func (s *standin) SetWarm() {
	c := s.capacity
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.cfg.WarmUp
	c.checkOverload()
}

// Restart aborts all calls and starts again, cold and with a new identity.
func (s *standin) Restart() {
	s.onCold()
	c := s.capacity
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endEpoch(errRestarted)
	c.collapsedUntil = time.Time{}
	c.start(s.name)
}

// Records returns the records of all executions.
func (s *standin) Records() []Record { return s.recorder.all() }

// ClearRecords removes the records of all executions.
func (s *standin) ClearRecords() { s.recorder.clear() }

// State returns the current state of the stand-in.
func (s *standin) State() State {
	c := s.capacity
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, dropped := s.recorder.counts()
	return State{
		Name:              s.name,
		Identity:          c.identity,
		StartedAt:         c.startedAt,
		Starts:            c.starts,
		InFlight:          c.inFlight,
		Running:           c.running,
		Waiting:           len(c.waiting),
		Peak:              c.peak,
		EffectiveCapacity: c.effectiveCapacity(),
		Warmth:            min(1, c.warmth()),
		Collapses:         c.collapses,
		Collapsed:         time.Now().Before(c.collapsedUntil),
		Failed:            c.failed,
		Refused:           c.refused,
		Records:           kept,
		RecordsDropped:    dropped,
		Faults:            c.faults,
	}
}

func newIdentity(name string, start int) string {
	return fmt.Sprintf("%s-%d-%x", name, start, time.Now().UnixNano())
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(contentType, contentTypeJSON)
	_, _ = w.Write(body)
}
