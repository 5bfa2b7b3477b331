// Package fleet describes the fleet that bergamotrudder serves: pipelines, their
// stages, the upstreams and failure domains that serve them, the organisations that call
// them and the rules that define who may call which pipeline at which priority.
//
// There are two forms. A Document is the form that is stored and exchanged: plain
// structs with camelCase JSON names. A Configuration is a validated, immutable
// snapshot of a Document at one generation; it is safe for concurrent use and is the
// form that the request path uses.
//
// # Usage
//
//	cfg, err := fleet.New(generation, doc)
//	if err != nil {
//		// err is a *fleet.InvalidError that lists all faults of the document.
//	}
//	pipeline, ok := cfg.Pipeline("diagnosis")
//
// Durations in documents are whole milliseconds, sizes are bytes, and capacities
// are calls in flight.
package fleet
