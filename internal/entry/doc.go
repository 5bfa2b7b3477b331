// Package entry is the process that terminates caller HTTP. It authenticates the
// organisation, admits the request, runs the stages of its pipeline on upstreams
// through their sidecars, and answers with the whole result or a problem document.
//
// # Usage
//
//	e := entry.New(id, deps)
//	server, err := instance.Listen(ctx, address, e.Handler())
//	...
//	e.Leave()          // readiness fails, requests are still served
//	err = e.Drain(ctx) // wait until the requests in progress have finished
//
// # Lock order
//
// Entry.mu and gates.mu are each taken alone: no call into another package is
// made under them.
package entry
