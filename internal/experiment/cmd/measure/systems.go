package main

import "bergamotrudder.example/bergamotrudder/internal/experiment"

// systems returns the systems to compare; the last one is judged.
func systems() []experiment.System {
	return []experiment.System{experiment.RoundRobin()}
}
