// Package pieces runs the pieces of requests' stages on upstreams that accept them in
// batched calls.
//
// A call costs a fixed time plus a small time per piece, and an upstream works on one
// call per slot at a time, so a service keeps up with a burst only if pieces of
// different requests share full calls. A Batcher makes the scheduling decision: it is
// pure state and returns the pieces that an upstream runs next. Pieces are queued by
// rank and due time, an upstream gets a call as soon as it is free, and the call takes
// all queued pieces, up to its maximum size and to the upstream's free capacity for
// results. At low load calls are small and no piece waits for a call to fill; at high
// load calls fill up without a batching delay. Pieces with time left in a short queue are
// an exception: they may wait for an upstream in the failure domain where their result is
// needed while another one is free.
//
// A Dispatcher does the input and output around a Batcher: it sends calls, retries
// pieces whose upstream failed or is overdue, and releases results.
//
// # Usage
//
//	d := pieces.NewDispatcher(service, pool, dialect, logger, scope)
//	d.SetUpstreams(batch, members)
//	results, err := d.Run(ctx, jobs)
//	d.Release(results)
package pieces
