// Package limits decides how many calls one upstream may have in flight.
//
// A Limiter is used where all calls to the upstream pass. Its limit never exceeds
// the capacity that the operators configured, begins at the cold capacity after a
// start, a restart or a cold transition, in which a warm upstream becomes cold
// without a restart, and is lowered while calls fail.
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
// Every slot is returned once: with Release, with Cancel when its call never
// reached the upstream, or with Return by a queue that holds its own lock. A
// limiter may be created before its configuration is known: without a warm-up
// time it stays in StateWarming until a call has succeeded, so that a SetConfig
// before that still begins a slow start.
//
// # Lock order
//
// Limiter.mu is a leaf lock: subscribers are called after it is released.
package limits
