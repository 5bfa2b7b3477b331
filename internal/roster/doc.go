// Package roster tracks which gateways are live.
//
// The platform's store lists all gateways that ever registered; nothing removes the
// registration of one that failed. Liveness comes from heartbeats between the gateways:
// one that has not replied within a timeout counts as lost, and one that was just listed
// is presumed to be live for that time. The live ones determine the
// owner of each shared queue, by rendezvous hashing, and the number by which shared
// limits are split. A wrong view of one gateway costs efficiency only: two owners of a
// queue compete for the same upstreams, which refuse work beyond their capacity; and
// limits are split by a number that decreases slowly.
//
// # Usage
//
//	r := roster.New(self)
//	r.Put(g, time.Now()) // for each listed gateway
//	r.RecordHeartbeat(name, incarnation, leaving, time.Now())
//	if owner := r.Owner("billing"); owner.Name != r.Self().Name {
//		select { case <-r.Lost(owner.Name): ... }
//	}
package roster
