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
			if m, ok := s.Take("overloaded"); ok {
				written, missed = written+1, missed+m
			}
			time.Sleep(10 * time.Millisecond)
		}
		if written != 3*SampledPerSecond {
			t.Fatalf("%d lines were written in 3 s", written)
		}
		if _, ok := s.Take("infeasible"); !ok {
			t.Fatal("another kind was left out")
		}
		if m, _ := s.Take("overloaded"); missed+m != 300-written {
			t.Fatalf("%d lines are said to be left out, want %d", missed+m, 300-written)
		}
	})
}
