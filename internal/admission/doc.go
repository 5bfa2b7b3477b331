// Package admission decides which requests wait, run or are refused.
//
// A Queue is a bounded queue in front of slots. It serves priorities strictly,
// except that a lower priority gets one grant in every StarvationGrants; within
// a priority it shares the slots between organisations by weight. It refuses
// what can no longer start in time, serves the newest first while it is
// overloaded, and evicts the lowest priority when it is full.
//
// An Estimator learns what the stages of a pipeline cost and refuses early what
// cannot finish. A Gate limits the requests of a pipeline in progress, so that
// overload is shed before the first stage and not after stages were paid for.
//
// # Usage
//
//	q := admission.NewQueue(admission.QueueConfig{
//		MaxQueued: 200,
//		Take:      limiter.TryAcquire,
//		Give:      limiter.Return,
//	}, scope)
//	limiter.Subscribe(q.Recheck)
//	release, refusal := q.Acquire(ctx, admission.Request{Organisation: "o", Weight: 1, Deadline: deadline})
//	if refusal != nil {
//		return refusal
//	}
//	defer release()
//
// With Take, the holder of a slot gives it back to its owner (Limiter.Release)
// before it calls release. Without Take, the queue counts slots itself and
// SetLimit sets their number.
//
// # Lock order
//
// Queue.mu goes before the lock of the owner of the slots, because Take and Give
// are called with Queue.mu held. The owner calls Recheck without its lock.
package admission
