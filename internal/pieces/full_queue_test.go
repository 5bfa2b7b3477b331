package pieces

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// Guards against a gateway that answers no request with stages any more: the last queued piece
// is past its time when its request's other results fill an upstream, and the queue is empty when
// it is looked up which piece waits for room.
func TestQueueThatEndsAtAFullUpstreamGoesOn(t *testing.T) {
	batch := testBatch
	batch.ResultCapacityBytes = 1000
	for _, background := range []bool{false, true} {
		s := newSimulation(batch, 1)
		end := s.now.Add(time.Hour)
		s.b.Add((Job{Bytes: 1000, Due: end, GiveUp: end, Deadline: end, finish: func(Result) {}}).Copies(1))
		s.b.Finish(s.now, s.b.Next(s.now), []dialect.Result{{Handle: "h"}}, nil)
		var got []Result
		s.b.Add((Job{Bytes: 1000, Due: s.now, GiveUp: s.now.Add(-time.Second), Deadline: end, Background: background, finish: func(r Result) { got = append(got, r) }}).Copies(1))
		if c := s.b.Next(s.now.Add(time.Second)); c != nil {
			t.Errorf("background %t: a call for a piece past its time", background)
		}
		if len(got) != 1 || got[0].Failure != dialect.FailureExpired {
			t.Errorf("background %t: got %+v, want one expired piece", background, got)
		}
	}
}

// Guards against a panic that leaves the dispatcher's lock behind, so that all requests with
// stages, the heartbeats and the catalog wait for it without end.
func TestPanicLeavesNoLockBehind(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for batch := readBatch(br); batch != nil; batch = readBatch(br) {
			respondBatch(c, batch)
		}
	}
	withDispatcher(t, serve, func(t *testing.T, d *Dispatcher) {
		b := d.batcher
		job := Job{Piece: dialect.Piece{ID: "r"}, Bytes: 10, Due: time.Now().Add(time.Second), GiveUp: time.Now().Add(20 * time.Second), Deadline: time.Now().Add(20 * time.Second)}
		for name, fn := range map[string]func(){
			"Run":          func() { _, _ = d.Run(t.Context(), job.Copies(1)) },
			"Estimate":     func() { d.Estimate() },
			"SetUpstreams": func() { d.SetUpstreams(testBatch, members(1)) },
			"Release":      func() { d.Release([]Result{{Handle: "h", Maker: "u0"}}) },
			"HandOver":     func() { d.HandOver() },
		} {
			d.batcher = nil
			err := instance.Guard(fn)
			d.batcher = b
			if !d.mu.TryLock() {
				t.Fatalf("%s leaves the lock behind", name)
			}
			d.mu.Unlock()
			if err == nil || !strings.Contains(err.Error(), "nil pointer") {
				t.Errorf("%s without a queue: got %v, want a panic", name, err)
			}
		}
		results, err := d.Run(t.Context(), job.Copies(1))
		if err != nil || results[0].Handle != "result of r" {
			t.Errorf("after the panics: got %+v, %v", results, err)
		}
	})
}
