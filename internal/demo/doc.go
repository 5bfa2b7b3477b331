// Package demo runs a small fleet in one process on loopback, puts a load with
// faults on it, and reports what the callers got and what the upstreams ran.
//
// The counts of lost, doubled and misdelivered work come from the records of the
// stand-in upstreams and from the load generator, which know nothing of each other
// or of the system's own opinion.
//
// # Usage
//
//	result, err := demo.Run(ctx, demo.Options{Seed: 1, Out: os.Stdout})
//	if !result.IsSound() {
//		// An invariant was broken.
//	}
package demo
