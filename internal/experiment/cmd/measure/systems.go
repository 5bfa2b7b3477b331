package main

import (
	"bergamotrudder.example/bergamotrudder/internal/experiment"
	"bergamotrudder.example/bergamotrudder/internal/localfleet"
)

// systems returns the systems to compare; the last one is judged.
func systems() []experiment.System {
	return []experiment.System{experiment.RoundRobin(), localfleet.System("current", nil)}
}
