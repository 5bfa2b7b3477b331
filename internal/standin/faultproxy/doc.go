// Package faultproxy is a TCP proxy that injects network faults between two
// processes: delay, cut, half-close, blocked delivery in one or both directions, lost
// replies and truncation.
//
// # Usage
//
//	p := faultproxy.New(faultproxy.Config{Target: "127.0.0.1:9000"})
//	go p.Serve(listener)
//	p.SetFaults(faultproxy.Faults{DropReplies: true})
//	p.Cut()
//
// Faults apply immediately, to open connections too. A blocked direction delivers
// its bytes after the fault ends, as TCP does by retransmission. Bytes are never
// modified, and delivered bytes have no gaps.
//
// The admin handler serves GET and PUT /admin/faults, POST /admin/cut and GET
// /admin/state.
package faultproxy
