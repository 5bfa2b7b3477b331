// Package availability judges whether upstreams may be sent to.
//
// A Judge keeps a record for each start of an upstream: the state of its registration and
// what its own responses say of it. It is the only place that combines these; placement, the
// queues of stages and the check right before a request is written ask it. It decides nothing
// about load.
//
// # Usage
//
//	j := availability.New(logger, scope)
//	catalog.OnChange(j.Update)
//	u := j.Upstream(member)
//	if v := u.Check(time.Now()); v.IsOpen() { ... }
//
// # Lock order
//
// Judge.mu is taken before Upstream.mu. The owners of queues and of placement ask records with
// their own locks held; no record calls back.
package availability
