// Package sidecar is the process beside one upstream and the only path to it.
//
// It counts every call in flight, so it can enforce limits that no entry can
// enforce alone: the concurrency limit with slow start, the queue with priorities
// and fairness, and at-most-once execution for tickets and attempts. It needs no
// connection to the platform; entries bring it the configuration.
//
// # Usage
//
//	s := sidecar.New(cfg, deps)
//	err := s.Register(peerServer)
//	...
//	s.Leave()          // refuse new work as not started
//	err = s.Drain(ctx) // wait until the work in progress has finished
//
// # Lock order
//
// Sidecar.mu is taken alone: no call into another package is made under it.
package sidecar
