// Package roles assembles the long-running processes: the entry, the sidecar and the
// gateway. google/wire generates the assembly in wire_gen.go from wire.go.
//
// # Usage
//
//	err := roles.RunEntry(ctx, cfg)   // returns when ctx has ended and the shutdown is complete
//	err := roles.RunSidecar(ctx, cfg)
//
// StartEntry and StartSidecar return the running process, for tests and the demonstration.
package roles
