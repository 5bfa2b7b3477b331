// Package roles assembles the long-running processes: the entry and the sidecar.
// google/wire generates the assembly in wire_gen.go from wire.go.
//
// # Usage
//
//	err := roles.RunEntry(ctx, cfg)   // returns after ctx ended and the shutdown is complete
//	err := roles.RunSidecar(ctx, cfg)
//
// StartEntry and StartSidecar do the same in steps, for tests and the demonstration.
package roles
