// Package forward sends one request to one upstream and reports what is certain about
// its outcome.
//
// A Pool keeps connections to upstreams and runs one exchange at a time on each. It
// never retries a request. A failed exchange ends with an *Error whose State reports
// whether the request was not sent, was not executed according to the upstream, or may
// have run. Responses are matched with requests by the id of the caller's attempt if both
// state one, so that a late response is not treated as that of the next request; calls
// without an id are not matched, and their callers check the response. A connection with
// bytes that belong to no request is closed. The bytes before the end of the head of a response
// and the interim responses are bounded.
//
// # Usage
//
//	p := forward.New(forward.Config{ReadResponseInfo: d.ReadResponseInfo}, dial)
//	resp, err := p.Do(ctx, forward.Target{ID: id, Address: address}, &req)
//	var failed *forward.Error
//	if errors.As(err, &failed) && failed.State == forward.Unknown { ... }
//	defer resp.Close()
package forward
