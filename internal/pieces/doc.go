// Package pieces runs the pieces of requests' stages at upstreams that take them in
// batched calls.
//
// A call costs a fixed time and a little for each piece, and an upstream works on one
// call at a time, so that a service keeps up with a burst only if pieces of different
// requests share full calls. A Batcher is the decision: it is pure state and answers
// which pieces an upstream gets next. Pieces wait in the order in which their requests
// must go on, an upstream gets a call as soon as it is free, and the call takes all that
// waits, up to its size and to the room for results. At low load calls are small and
// nothing waits; at high load calls fill by themselves.
//
// A Dispatcher does the input and output around a Batcher: it sends calls, repeats
// pieces whose upstream failed or is overdue, and releases results.
//
// # Usage
//
//	d := pieces.NewDispatcher(service, pool, dialect, logger, scope)
//	d.SetUpstreams(batch, members)
//	results, err := d.Run(ctx, jobs)
//	d.Release(results)
package pieces
