package main

import (
	"slices"
	"testing"
)

// Guards against a baseline that can't be selected, and against a misspelt one that is
// silently ignored. The current version must come last, because the bounds apply to the
// last system.
func TestSystems(t *testing.T) {
	chosen, err := systems([]string{"roundRobin", "staticLimits"})
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, s := range chosen {
		names = append(names, s.Name)
	}
	if !slices.Equal(names, []string{"roundRobin", "staticLimits", "current"}) {
		t.Errorf("got %v", names)
	}
	if alone, err := systems([]string{noBaseline}); err != nil || len(alone) != 1 {
		t.Errorf("got %v, %v", alone, err)
	}
	if _, err := systems([]string{"roundrobin"}); err == nil {
		t.Error("a misspelt baseline is accepted")
	}
}
