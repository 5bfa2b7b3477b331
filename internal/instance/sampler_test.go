package instance

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an overload that floods the log, and against lines that are left out
// without being counted.
func TestSamplerBoundsLinesOfAKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSampler[string]()
		written, missed := 0, 0
		for range 300 {
			if m, ok := s.Allow("overloaded"); ok {
				written, missed = written+1, missed+m
			}
			time.Sleep(10 * time.Millisecond)
		}
		if written != 3*MaxLinesPerSecond {
			t.Fatalf("%d lines were written in 3 s", written)
		}
		if _, ok := s.Allow("infeasible"); !ok {
			t.Fatal("another kind was left out")
		}
		if m, _ := s.Allow("overloaded"); missed+m != 300-written {
			t.Fatalf("%d lines are said to be left out, want %d", missed+m, 300-written)
		}
	})
}
