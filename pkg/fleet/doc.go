// Package fleet describes the fleet that bergamotrudder serves: pipelines, their
// stages, the upstreams and failure domains that serve them, the organisations
// that call them and the rules for who may call what and how urgently.
//
// There are two forms. A Document is the form that is stored and exchanged: plain
// structs with camelCase JSON names. A Configuration is a checked, immutable
// snapshot of a Document at one generation; it is safe for concurrent use and is
// what the serving code reads.
//
// # Usage
//
//	cfg, err := fleet.New(generation, doc)
//	if err != nil {
//		// err is a *fleet.InvalidError that lists every fault of the document.
//	}
//	pipeline, ok := cfg.Pipeline("diagnosis")
//
// Durations in documents are whole milliseconds, sizes are bytes, and capacities
// are calls in flight.
package fleet
