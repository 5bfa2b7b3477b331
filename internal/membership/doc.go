// Package membership keeps the table of the fleet's instances.
//
// A record of the table joins two statements: what the platform's instance list
// says of the instance, ordered by the platform's resource version, and what the
// process says of itself, ordered by its epoch, which is the time of its start.
// The join of two records takes the later statement of each, and "leaving" sticks
// to an incarnation, so processes that exchange records in any order end with the
// same table, and a lagging list can't bring back an instance that is leaving.
//
// Few entries watch the platform: those that rank first by rendezvous hash. The
// others learn from their peers by rumours, which are the changed parts of records,
// and where digests still differ, by the buckets that differ and then the records.
// A token bucket bounds the bytes of both; an instance that is leaving goes first.
//
// # Usage
//
//	table := membership.NewTable(self, epoch, scope)
//	table.Subscribe(func() { routes.Update(table.Live(fleet.RoleSidecar)) })
//	duty := membership.NewDuty(table, reflector.Run, reflector.LastConfirmed)
//	go duty.Run(ctx)
//	...
//	table.Leave() // on shutdown
//
// Resource versions are compared as numbers, which Kubernetes documents for its
// API ("Comparable Resource Version", KEP-5504).
package membership
