// Package roster knows which gateways live.
//
// The platform's store lists the gateways that ever registered; nothing removes the
// entry of one that died. Liveness comes from heartbeats between the gateways: one that
// has not answered for a time counts as lost. From the live ones follow the owner of
// each shared queue, by rendezvous hashing, and the number by which shared limits are
// split. A wrong view on one side does no harm beyond lost efficiency: two owners of a
// queue compete for the same upstreams, which refuse what they can't take; and limits
// are split by a number that falls only slowly.
//
// # Usage
//
//	r := roster.New(self)
//	r.Set(listed)
//	r.RecordHeartbeat(name, incarnation, leaving, time.Now())
//	owner := r.Owner("billing")
//	select { case <-r.Lost(owner.Name): ... }
package roster
