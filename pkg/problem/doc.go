// Package problem contains the error body of the HTTP interfaces: problem documents as
// defined in RFC 9457, with extension members that report whether the request was run
// and whether a caller may safely retry it.
//
// # Usage
//
//	p := problem.New(http.StatusServiceUnavailable, "queueFull", "the queue of pipeline diagnosis is full")
//	p.Execution = fleet.NotStarted
//	p.RetryAfterMs = 250
//	p.Write(w)
//
//	if p, err := problem.FromResponse(resp); err == nil {
//		// p.Execution reports whether the request may be resent.
//	}
package problem
