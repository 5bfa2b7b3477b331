package main

import (
	"encoding/json"
	"fmt"
	"sync"
)

// source is the piece that a result was made for.
type source struct {
	request      string
	stage, piece int
}

// results follows the results of all stage runners, and checks what pieces are given.
type results struct {
	log *record
	// after are the stages whose results each stage needs, and pieces the number of pieces of
	// each stage, of the requests whose inputs are checked.
	after  [][]int
	pieces map[string][]int

	mu sync.Mutex
	// made are all results that were ever made, and held those that their makers still hold.
	made  map[string]source
	held  map[string]*runner
	wrong []string
}

func newResults(log *record, after [][]int) *results {
	return &results{log: log, after: after, pieces: make(map[string][]int), made: make(map[string]source), held: make(map[string]*runner)}
}

func (s *results) add(handle string, maker *runner, it item) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made[handle], s.held[handle] = source{request: it.ID, stage: it.Stage, piece: it.Piece}, maker
}

// free drops the results that a call names.
func (s *results) free(body []byte) {
	var in struct {
		Handles []string `json:"handles"`
	}
	if s == nil || json.Unmarshal(body, &in) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range in.Handles {
		if from, ok := s.made[h]; ok && s.pieces[from.request] != nil {
			s.log.printf("the result of stage %d piece %d of request %s is freed", from.stage, from.piece, from.request)
		}
		delete(s.held, h)
	}
}

func (s *results) loseAll(maker *runner) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, m := range s.held {
		if m == maker {
			delete(s.held, h)
		}
	}
}

// fetch reports whether all inputs of the piece are held, and checks that they are those that
// the piece needs.
func (s *results) fetch(it item) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range it.Inputs {
		if s.held[h] == nil {
			return false
		}
	}
	pieces := s.pieces[it.ID]
	if pieces == nil {
		return true
	}
	need := make(map[source]int)
	for _, stage := range s.after[it.Stage] {
		for n := range pieces[stage] {
			need[source{request: it.ID, stage: stage, piece: n}]++
		}
	}
	wanted := len(need)
	for _, h := range it.Inputs {
		need[s.made[h]]--
	}
	for from, n := range need {
		if n != 0 {
			s.wrong = append(s.wrong, fmt.Sprintf("stage %d piece %d of request %s is given %d inputs instead of %d: the result of stage %d piece %d is missing or not one of them",
				it.Stage, it.Piece, it.ID, len(it.Inputs), wanted, from.stage, from.piece))
			s.log.printf("WRONG INPUTS: %s", s.wrong[len(s.wrong)-1])
		}
	}
	return true
}

// wrongInputs returns what pieces were given wrongly.
func (s *results) wrongInputs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.wrong...)
}
