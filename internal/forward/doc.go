// Package forward sends one request to one upstream and says for certain what became
// of it.
//
// A Pool keeps connections to upstreams and runs one exchange at a time on each. It
// never sends a request a second time. A failed exchange ends with an *Error whose State
// says whether the request was not sent, was not executed by the upstream's own word,
// or may have run. Answers are matched with requests by the attempt's id, so that an
// answer that arrives late is never taken for that of the next request. A connection
// with bytes that belong to no request is closed.
//
// # Usage
//
//	p := forward.New(forward.Config{ReadResponseInfo: d.ReadResponseInfo}, dial)
//	resp, err := p.Do(ctx, forward.Target{ID: id, Address: address}, &req)
//	var failed *forward.Error
//	if errors.As(err, &failed) && failed.State == forward.Unknown { ... }
//	defer resp.Close()
package forward
