package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
)

// Guards against more retries and hedges than their fraction of the first attempts and the
// floor allow.
func TestBudgetBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(tally.NoopScope).For("s", "fd")
		retries, hedges := 0, 0
		for range 1000 {
			b.RecordFirst()
			time.Sleep(time.Millisecond)
			if b.TryHedge() {
				hedges++
			}
			if b.TryRetry() {
				retries++
			}
		}
		if hedges > 50 || hedges+retries > 100 || retries < RetryFloor {
			t.Fatalf("%d hedges and %d retries for 1000 first attempts", hedges, retries)
		}
		time.Sleep(6 * time.Second)
		for range RetryFloor {
			if !b.TryRetry() {
				t.Fatal("the floor is not available after the window has passed")
			}
		}
		if b.TryRetry() || b.TryHedge() {
			t.Fatal("more than the floor is available without first attempts")
		}
	})
}

// Guards against budgets of removed stages that are never dropped.
func TestRetain(t *testing.T) {
	b := New(tally.NoopScope)
	b.For("old", "fd")
	b.For("new", "fd").RecordFirst()
	b.Retain(func(stage, _ string) bool { return stage == "new" })
	if s := b.Snapshot(); len(s) != 1 || s[0].Stage != "new" || s[0].First != 1 {
		t.Fatalf("budgets are %+v", s)
	}
}

// Guards against hedges when all calls take about the same time.
func TestHedgeDelay(t *testing.T) {
	b := New(tally.NoopScope).For("s", "fd")
	for i := range 200 {
		if _, ok := b.HedgeDelay(); ok != (i >= minDurations) {
			t.Fatalf("a delay is known after %d durations: %v", i, ok)
		}
		b.RecordDuration(time.Duration(90+i%20) * time.Millisecond)
	}
	if d, _ := b.HedgeDelay(); d < 290*time.Millisecond || d > 310*time.Millisecond {
		t.Fatalf("delay %s, want three medians of 100 ms", d)
	}
}
