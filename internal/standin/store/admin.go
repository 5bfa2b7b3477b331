package store

import (
	"encoding/json"
	"maps"
	"net/http"
)

// SetFaults replaces the faults. Down also ends running watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(Counters, len(s.counters))
	for kind, verbs := range s.counters {
		c[kind] = maps.Clone(verbs)
	}
	return c
}

// ResetCounters sets the counters to zero.
func (s *Server) ResetCounters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters = make(Counters)
}

// Writes returns the number of creates, updates and deletes of the kind.
func (c Counters) Writes(kind string) int64 {
	return c[kind]["create"] + c[kind]["update"] + c[kind]["delete"]
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Faults())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		replyError(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	if f.DelayMs < 0 || f.LoseProbability < 0 || f.LoseProbability > 1 || f.LoseNextWrites < 0 {
		replyError(w, http.StatusBadRequest, "BadRequest", "delayMs and loseNextWrites must not be negative, loseProbability must be 0 to 1")
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, f)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Counters())
}

func (s *Server) resetCounters(w http.ResponseWriter, _ *http.Request) {
	s.ResetCounters()
	reply(w, http.StatusOK, Counters{})
}
