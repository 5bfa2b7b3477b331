// Package entry implements the process that terminates HTTP requests of callers. It
// authenticates the organisation, admits the request, runs the stages of its pipeline on
// upstreams through their sidecars, and responds with the result or a problem document.
//
// # Usage
//
//	e := entry.New(id, bounds, deps)
//	server, err := instance.Listen(ctx, address, e.Handler(metrics))
//	...
//	e.Leave()          // readiness fails, requests are still served
//	err = e.Drain(ctx) // waits until the requests in progress have finished
//
// # Lock order
//
// Entry.mu and gates.mu are never held at the same time, nor during a call to another
// process. gates.mu is taken before the lock of an admission.Gate.
package entry
