package instance

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against flooding the log under overload, and against lines dropped without being
// counted.
func TestSamplerLimitsLinesOfAKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSampler[string]()
		written, dropped := 0, 0
		for range 300 {
			if m, ok := s.Allow("overloaded"); ok {
				written, dropped = written+1, dropped+m
			}
			time.Sleep(10 * time.Millisecond)
		}
		if written != 3*MaxLinesPerSecond {
			t.Fatalf("%d lines were written in 3 s", written)
		}
		if _, ok := s.Allow("infeasible"); !ok {
			t.Fatal("a line of another kind was dropped")
		}
		if m, _ := s.Allow("overloaded"); dropped+m != 300-written {
			t.Fatalf("%d lines are reported as dropped, want %d", dropped+m, 300-written)
		}
	})
}
