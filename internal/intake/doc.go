// Package intake bounds what a gateway holds for its callers: the memory of bodies, long heads and
// buffered responses, and the number of connections.
//
// A Budget has two parts, both derived from the memory limit of the process. Ordinary memory is for
// heads and the first smallBytes of each body, bulk memory for the rest of bodies and for buffered
// responses, so that a crowd of large bodies leaves room for small requests. A Share is what one
// request or response holds of it. Memory is taken as bytes arrive and not as they are announced.
//
// A share that can't take memory waits a moment. Meanwhile the shares that have made no progress
// for longest yield: their connections time out, and their requests are refused as not executed. A
// share that is settled, because its body is complete, doesn't yield any more.
//
// The state of a budget is that of its process; nothing is shared with other gateways or stored.
//
// # Usage
//
//	budget := intake.New(intake.Config{MemoryBytes: 256 << 20, Descriptors: 4096}, logger, scope)
//	tasks.Every(time.Second, budget.Report)
//
//	var share intake.Share
//	share.Open(budget)
//	defer share.Release()
//	share.AllowYield(conn.SetReadDeadline)
//	body, err := intake.ReadBody(ctx, r.Body, r.ContentLength, maxBytes, &share)
package intake
