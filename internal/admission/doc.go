// Package admission decides which requests wait, run or are refused.
//
// A Queue is a bounded queue for slots. It serves priorities strictly, except
// that a waiting lower priority gets one grant in every StarvationGrants; within
// a priority it shares the slots fairly between organisations by weight. It
// refuses requests that can no longer meet their deadline, serves the newest
// request first while it is overloaded, and evicts from the lowest priority when
// it is full.
//
// An Estimator records how long the stages of a pipeline take, so that requests
// that can't meet their deadline are refused early. A Gate limits the requests of
// a pipeline in progress, so that overload is shed before the first stage and not
// after stages have already run.
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
// With Take, the caller returns its slot to the slot's owner (Limiter.Release)
// before it calls release. Without Take, the queue counts slots itself and
// SetLimit sets their number.
//
// # Lock order
//
// Queue.mu is acquired before the lock of the owner of the slots, because Take and
// Give are called with Queue.mu held. The owner must not hold its lock when it calls
// Recheck.
package admission
