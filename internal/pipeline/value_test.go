package pipeline

import (
	"testing"
	"time"
)

// Guards against a value that depends on the unit of sizes, on other routes, or on
// requests without a stated size.
func TestValueIsRelativeToRoute(t *testing.T) {
	s := NewRouteSizes()
	for range 400 {
		s.Value("short", 100, 0)
		s.Value("long", 9000, 100)
	}
	if w := s.Value("short", 100, 0); w < 0.99 || w > 1.01 {
		t.Errorf("a mean request has value %v", w)
	}
	if w := s.Value("long", 4000, 100); w < 0.64 || w > 0.66 {
		t.Errorf("a request of half the mean size has value %v, want 0.3 + 0.7/2", w)
	}
	if w := s.Value("long", 1_000_000, 0); w != maxValue {
		t.Errorf("the largest request has value %v", w)
	}
	if w := s.Value("long", 0, 0); w != 1 {
		t.Errorf("a request without a size has value %v", w)
	}
}

// Guards against small requests that count as missing their objective on an idle fleet, and
// against large requests that reserve time for others.
func TestReserveLeavesTimeToWait(t *testing.T) {
	slack := 500 * time.Millisecond
	if r := Reserve(0.3, slack); r <= 0 || r >= slack {
		t.Errorf("the smallest request reserves %v of %v", r, slack)
	}
	if r := Reserve(1.3, slack); r != 0 {
		t.Errorf("a large request reserves %v", r)
	}
	if r := Reserve(0.3, -slack); r != 0 {
		t.Errorf("a request without slack reserves %v", r)
	}
}
