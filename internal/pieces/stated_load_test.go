package pieces

import (
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
)

// Guards against calls to an upstream that has just said that its machine is slow, while others
// are free, and against one that is avoided for a report that is old, ended or lies: it gets calls
// when no other is free.
func TestStatedLoadIsWeighedByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		judge := newJudge()
		b := NewBatcher(judge)
		all := members(2)
		b.SetUpstreams(testBatch, all)
		report := func(work float64) {
			judge.Observe(forward.Observation{Target: forward.Target{ID: "u0", Address: all[0].Address}, Status: 200, Info: dialect.ResponseInfo{Load: dialect.Load{Running: 1, Slots: 1, WorkTime: work}}})
		}
		first := func() string {
			free, _ := b.freeUpstreams(time.Now())
			if len(free) != 2 {
				t.Fatalf("%d upstreams are free", len(free))
			}
			return free[0].member.ID
		}
		if got := first(); got != "u0" {
			t.Fatalf("%s is first without reports", got)
		}
		report(3)
		if got := first(); got != "u1" {
			t.Errorf("%s is first although u0 said that its machine is slow", got)
		}
		time.Sleep(time.Second)
		if got := first(); got != "u0" {
			t.Errorf("%s is first a second after the report", got)
		}
		report(3)
		report(1)
		if got := first(); got != "u0" {
			t.Errorf("%s is first after u0 said that its machine is as usual", got)
		}
	})
}
