// Package faultproxy is a TCP proxy that injects the faults of a network between
// two processes: delay, cut, half-close, black hole, loss in one direction, lost
// replies and truncation.
//
// # Usage
//
//	p := faultproxy.New(faultproxy.Config{Target: "127.0.0.1:9000"})
//	go p.Serve(listener)
//	p.SetFaults(faultproxy.Faults{DropReplies: true})
//	p.Cut()
//
// Faults apply at once, to open connections too. A direction that is held
// delivers its bytes after the fault ends, as TCP does by sending them again.
// Bytes are never changed, and none is missing before one that is delivered.
//
// The admin handler serves GET and PUT /admin/faults, POST /admin/cut and GET
// /admin/state.
package faultproxy
