// Package problem is the error body of the HTTP interfaces: problem documents as
// of RFC 9457 with members that say whether the request ran and what a caller may
// safely do next.
//
// # Usage
//
//	p := problem.New(http.StatusServiceUnavailable, "queueFull", "the queue of pipeline diagnosis is full")
//	p.Execution = fleet.NotStarted
//	p.RetryAfterMs = 250
//	p.Write(w)
//
//	if p, err := problem.FromResponse(resp); err == nil {
//		// p.Execution tells whether the request may be sent again.
//	}
package problem
