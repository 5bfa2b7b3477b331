package gateway

import (
	"fmt"
	"slices"
	"sync"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// resultSet has one result of each piece of a stage, all made by one run of the stage. A rerun
// makes another set. The lock of the stageResults guards all fields but results.
type resultSet struct {
	results []pieces.Result
	// readers is the number of runs that read the set.
	readers int
	// isLost is set if a run found a result missing that may be one of these.
	isLost     bool
	isReleased bool
}

// stageResults are the results of one stage of a request and the stages that need them. A set
// is released once, when it is no longer the current one and no run reads it.
type stageResults struct {
	stage   int
	service string
	pieces  int
	// isFinal is set if the engine needs the results, and no other stage does.
	isFinal bool
	release func(service string, results []pieces.Result)

	mu sync.Mutex
	// users are the stages that haven't read the results yet, or read them again in a rerun.
	users map[int]bool
	// current is nil if the results were not made yet or have been released.
	current *resultSet
	// unused are results to release once mu is free.
	unused []pieces.Result
}

func newStageResults(stage int, service string, count int, release func(string, []pieces.Result)) *stageResults {
	return &stageResults{stage: stage, service: service, pieces: count, release: release, users: make(map[int]bool)}
}

// update runs fn under the lock, and then releases the sets that fn discarded.
func (s *stageResults) update(fn func()) {
	if unused := s.updateLocked(fn); len(unused) > 0 {
		s.release(s.service, unused)
	}
}

func (s *stageResults) updateLocked(fn func()) (unused []pieces.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	unused, s.unused = s.unused, nil
	return unused
}

// discard marks the set to be released unless it is still needed. The caller is fn of update.
func (s *stageResults) discard(set *resultSet) {
	if set == nil || set == s.current || set.readers > 0 || set.isReleased {
		return
	}
	set.isReleased = true
	s.unused = append(s.unused, set.results...)
}

func (s *stageResults) setCurrent(set *resultSet) {
	previous := s.current
	s.current = set
	s.discard(previous)
}

// addUser keeps the results until removeUser is called for the same stage.
func (s *stageResults) addUser(stage int) {
	s.update(func() { s.users[stage] = true })
}

// removeUser releases the results if no other stage needs them.
func (s *stageResults) removeUser(stage int) {
	s.update(func() {
		delete(s.users, stage)
		s.dropUnneeded()
	})
}

func (s *stageResults) dropUnneeded() {
	if len(s.users) == 0 && !s.isFinal {
		s.setCurrent(nil)
	}
}

// publish makes the results of one run the current set. It returns an error if a piece has no
// result: what was made is released then, and the earlier set stays.
func (s *stageResults) publish(results []pieces.Result) error {
	failed := slices.IndexFunc(results, func(r pieces.Result) bool { return r.Failure != dialect.FailureNone || r.Handle == "" })
	if len(results) != s.pieces || failed >= 0 {
		s.release(s.service, results)
		if failed < 0 {
			return fmt.Errorf("%d results of %d pieces of stage %d", len(results), s.pieces, s.stage)
		}
		return &pieceError{stage: s.stage, piece: failed, failure: results[failed].Failure}
	}
	s.update(func() {
		s.setCurrent(&resultSet{results: results})
		s.dropUnneeded()
	})
	return nil
}

// isUsable reports whether the stage needs no rerun for its results to be read.
func (s *stageResults) isUsable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pieces == 0 || s.current != nil && !s.current.isLost
}

// peek returns the current results without keeping them.
func (s *stageResults) peek() []pieces.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil
	}
	return s.current.results
}

// stageRead is a set that a run reads.
type stageRead struct {
	from *stageResults
	set  *resultSet
	// isSole is set if no other stage needs the set.
	isSole bool
}

// beginRead returns the current set, which the caller keeps until endRead. It reports false if
// there is none.
func (s *stageResults) beginRead(stage int) (stageRead, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return stageRead{}, false
	}
	s.current.readers++
	isSole := !s.isFinal && s.current.readers == 1 && len(s.users) == 1 && s.users[stage]
	return stageRead{from: s, set: s.current, isSole: isSole}, true
}

func (r stageRead) endRead() {
	r.from.update(func() {
		r.set.readers--
		r.from.discard(r.set)
	})
}

// markLost records that a result of the set may be missing.
func (r stageRead) markLost() {
	r.from.update(func() { r.set.isLost = true })
}

// markReleased records that the set has been released.
func (r stageRead) markReleased() {
	r.from.update(func() {
		r.set.isReleased = true
		if r.from.current == r.set {
			r.from.current = nil
		}
	})
}

// stageReads are the inputs of one run of a stage.
type stageReads []stageRead

// readInputs returns the results of all stages that the given one depends on. It fails if some
// are missing: pieces must not run with only a part of their inputs.
func readInputs(runs []*stageRun, run *stageRun) (stageReads, error) {
	var reads stageReads
	for _, dependency := range run.stage.After {
		results := runs[dependency].results
		if results.pieces == 0 {
			continue
		}
		read, ok := results.beginRead(run.index)
		if !ok {
			reads.end()
			return nil, &pieceError{stage: run.index, failure: dialect.FailureInputMissing}
		}
		reads = append(reads, read)
	}
	return reads, nil
}

func (reads stageReads) handles() []string {
	var handles []string
	for _, read := range reads {
		for _, r := range read.set.results {
			handles = append(handles, r.Handle)
		}
	}
	return handles
}

// sole returns the reads of sets that no other stage needs.
func (reads stageReads) sole() stageReads {
	return slices.DeleteFunc(slices.Clone(reads), func(r stageRead) bool { return !r.isSole })
}

// sources describes the sets to the owner of the queue, which may release them.
func (reads stageReads) sources() *stageInputs {
	inputs := &stageInputs{}
	for _, read := range reads {
		inputs.sources = append(inputs.sources, Source{Service: read.from.service, Results: read.set.results})
	}
	return inputs
}

func (reads stageReads) end() {
	for _, read := range reads {
		read.endRead()
	}
}

func (reads stageReads) markLost() {
	for _, read := range reads {
		read.markLost()
	}
}

func (reads stageReads) markReleased() {
	for _, read := range reads {
		read.markReleased()
	}
}
