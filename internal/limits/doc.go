// Package limits decides how many calls one upstream may have in flight.
//
// A Limiter is used where all work of the upstream passes. It never exceeds the
// operators' capacity, starts at the cold capacity after a start, a restart or a
// cold turn, and lowers the limit while calls fail.
//
// # Usage
//
//	l := limits.New(limits.Config{Capacity: 10, ColdCapacity: 2, WarmUp: 5 * time.Second}, logger, scope)
//	l.Subscribe(queue.Recheck)
//	if l.TryAcquire() {
//		start := time.Now()
//		err := call()
//		l.Release(limits.Observation{Duration: time.Since(start), Work: tokens, Failed: err != nil})
//	}
//
// Every slot is given back once: with Release, with Cancel when its call never
// reached the upstream, or with Return by a queue that holds its own lock. A
// limiter may be made before its configuration is known: without a warm-up time
// it stays warming until a call has succeeded, so that SetConfig still starts
// slowly.
//
// # Lock order
//
// Limiter.mu is a leaf: subscribers are called after it is released.
package limits
