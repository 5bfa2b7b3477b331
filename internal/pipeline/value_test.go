package pipeline

import (
	"testing"
	"time"
)

// Guards against a worth that depends on the unit of sizes, on other routes, or on
// requests that state no size.
func TestWorthIsRelativeToTheRoute(t *testing.T) {
	s := NewRouteSizes()
	for range 400 {
		s.Value("short", 100, 0)
		s.Value("long", 9000, 100)
	}
	if w := s.Value("short", 100, 0); w < 0.99 || w > 1.01 {
		t.Errorf("a mean request is worth %v", w)
	}
	if w := s.Value("long", 4000, 100); w < 0.64 || w > 0.66 {
		t.Errorf("half of the mean is worth %v, want 0.3 + 0.7/2", w)
	}
	if w := s.Value("long", 1_000_000, 0); w != largestWorth {
		t.Errorf("the largest is worth %v", w)
	}
	if w := s.Value("long", 0, 0); w != 1 {
		t.Errorf("one without size is worth %v", w)
	}
}

// Guards against small requests that count as late on an idle fleet, and against large
// ones that leave time to others.
func TestReserveLeavesTimeToWait(t *testing.T) {
	spare := 500 * time.Millisecond
	if r := Reserve(0.3, spare); r <= 0 || r >= spare {
		t.Errorf("the smallest request leaves %v of %v", r, spare)
	}
	if r := Reserve(1.3, spare); r != 0 {
		t.Errorf("a large request leaves %v", r)
	}
	if r := Reserve(0.3, -spare); r != 0 {
		t.Errorf("a request without time to spare leaves %v", r)
	}
}
