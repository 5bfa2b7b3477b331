package pieces

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// stagesOnTime sends 94 % of the capacity of full calls of two stages for 6 s and returns the
// fraction of requests on time. An upstream of the first stage has room for the results of two
// full calls, and each result is an input of all pieces of its request in the second stage.
// Inputs that were read are released early if releaseRead is set and the first stage is short
// of room, and when the second stage has ended otherwise.
func stagesOnTime(releaseRead bool) float64 {
	const requests, firstPieces, secondPieces = 500, 6, 10
	const period, objective, deadline = 11, 1400 * time.Millisecond, 5 * time.Second
	const firstBytes, secondBytes = 60_000, 6_000
	first := newSimulation(catalog.Batch{Slots: 1, Size: 36, CallTime: 200 * time.Millisecond, PieceTime: 4800 * time.Microsecond, ResultCapacityBytes: 4_700_000, ResultTTL: 4 * time.Second}, 6)
	second := newSimulation(catalog.Batch{Slots: 1, Size: 52, CallTime: 200 * time.Millisecond, PieceTime: 3300 * time.Microsecond, ResultCapacityBytes: 690_000, ResultTTL: 4 * time.Second}, 7)
	add := func(s *simulation, name string, n int, bytes int64, due time.Time, inputsRead func(), done func([]Result)) {
		var results []Result
		unread := n
		jobs := (Job{Bytes: bytes, Due: due, GiveUp: due.Add(deadline - objective), Deadline: due.Add(deadline - objective)}).Copies(n)
		for _, j := range jobs {
			j.Piece.ID = fmt.Sprint(name, "-", j.Piece.Index)
			j.inputsRead = func() {
				if unread--; unread == 0 && inputsRead != nil {
					inputsRead()
				}
			}
			j.finish = func(r Result) {
				if results = append(results, r); len(results) == n {
					done(results)
				}
			}
		}
		s.b.Add(jobs)
	}
	onTime := 0
	step := func() {
		first.step()
		second.step()
	}
	for i := range requests {
		due := first.now.Add(objective)
		firstDue := due.Add(-second.b.Estimate(second.now).Wait(secondPieces))
		add(first, fmt.Sprint("a", i), firstPieces, firstBytes, firstDue, nil, func(inputs []Result) {
			readEarly := func() {
				if releaseRead && first.b.Estimate(first.now).ShortOfRoom {
					release(first.b, inputs)
				}
			}
			add(second, fmt.Sprint("b", i), secondPieces, secondBytes, due, readEarly, func(results []Result) {
				release(first.b, inputs)
				release(second.b, results)
				if !hasFailed(append(inputs, results...)) && !second.now.After(due) {
					onTime++
				}
			})
		})
		for range period {
			step()
		}
	}
	for range int(deadline / time.Millisecond) {
		step()
	}
	return float64(onTime) / requests
}

func hasFailed(results []Result) bool {
	for _, r := range results {
		if r.Failure != dialect.FailureNone {
			return true
		}
	}
	return false
}

// Guards against a burst within the capacity of the stages that is late because results fill
// the upstreams of a stage while the calls of the next one, which have read them, go on.
func TestRoomForResultsDoesNotBoundABurst(t *testing.T) {
	before, now := stagesOnTime(false), stagesOnTime(true)
	t.Logf("on time: %.3f, and %.3f if inputs are kept until the next stage has ended", now, before)
	if now < 0.95 {
		t.Errorf("%.3f of the requests are on time at 94 %% of the capacity, want 0.95", now)
	}
}

// Guards against inputs that are released although hardly a piece waits for room, so that a
// piece that fails makes its request begin anew.
func TestRoomIsShortOnlyWherePiecesWait(t *testing.T) {
	for _, c := range []struct {
		waiting int
		short   bool
	}{{waiting: 3}, {waiting: 30, short: true}} {
		batch := testBatch
		batch.ResultCapacityBytes = 14_000
		s := newSimulation(batch, 5)
		s.b.Add((Job{Bytes: 1000, Due: s.now.Add(time.Hour), Deadline: s.now.Add(time.Hour)}).Copies(5*batch.Size + c.waiting))
		for _, j := range s.b.queue {
			j.finish = func(Result) {}
		}
		for range 400 {
			s.step()
		}
		if short := s.b.Estimate(s.now).ShortOfRoom; short != c.short {
			t.Errorf("%d pieces wait for the room of 5 upstreams: short of room %t, want %t", c.waiting, short, c.short)
		}
	}
}

// Guards against inputs that are released although their pieces are likely to be run again:
// those of calls to upstreams that were found full or that fail.
func TestInputsOfDoubtfulCallsAreKept(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure dialect.Failure
		err     error
		read    bool
	}{{name: "sound", read: true}, {name: "full", failure: dialect.FailureNoCapacity}, {name: "failing", err: errors.New("connection reset")}} {
		s := newSimulation(testBatch, 1)
		job := Job{Bytes: 1000, Due: s.now.Add(time.Hour), Deadline: s.now.Add(time.Hour), finish: func(Result) {}}
		s.b.Add(job.Copies(1))
		s.b.Finish(s.now, s.b.Next(s.now), []dialect.Result{{Handle: "h", Failure: c.failure}}, c.err)
		now := s.now.Add(300 * time.Millisecond)
		read := false
		job.inputsRead = func() { read = true }
		s.b.Add(job.Copies(1))
		if s.b.Next(now) == nil {
			t.Fatalf("%s: no call", c.name)
		}
		s.b.MarkInputsRead(now.Add(inputReadTime - time.Millisecond))
		if read {
			t.Errorf("%s: inputs count as read before inputReadTime", c.name)
		}
		s.b.MarkInputsRead(now.Add(inputReadTime))
		if read != c.read {
			t.Errorf("%s: inputs read %t, want %t", c.name, read, c.read)
		}
	}
}
