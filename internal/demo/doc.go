// Package demo runs a small fleet in one process on loopback, applies load and faults
// to it, and reports what the callers received and what the upstreams executed.
//
// The counts of lost, doubled and misdelivered work come from the records of the
// stand-in upstreams and from the load generator, which are independent of each other
// and of the state that the system itself reports.
//
// # Usage
//
//	result, err := demo.Run(ctx, demo.Options{Seed: 1, Out: os.Stdout})
//	if !result.InvariantsHold() {
//		// An invariant was violated or no request completed.
//	}
package demo
