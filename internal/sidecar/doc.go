// Package sidecar implements the process that runs beside one upstream and is the only
// path to it.
//
// It sees every call in flight, so it can enforce what no single entry can: the
// concurrency limit with slow start, the queue with priorities and fairness, and
// at-most-once execution for tickets and attempts. It needs no connection to the
// platform; entries push the configuration to it.
//
// # Usage
//
//	s := sidecar.New(id, deps)
//	err := s.Register(peerServer)
//	...
//	s.Leave()          // refuse new work as not started
//	err = s.Drain(ctx) // wait until the work in progress has finished
//
// # Lock order
//
// No call into another package is made while Sidecar.mu is held.
package sidecar
