// Package membership keeps the table of the fleet's instances.
//
// A record of the table joins two states: the instance's state in the platform's
// instance list, ordered by the platform's resource version, and the state that the
// process reports itself, ordered by its epoch, which is the time of its start.
// The join of two records takes the later state of each kind, and "leaving" is final
// for an incarnation. Processes that exchange records in any order therefore converge
// on the same table, and a lagging list can't bring back an instance that is leaving.
//
// Only the entries that rank first by rendezvous hash watch the platform. The others
// receive rumours by gossip with their peers, which are the changed parts of records.
// Where the digests of two tables still differ, the peers repair them: they compare the
// hashes of buckets of records and exchange the records of the differing buckets, as far
// as the budget allows. Rumours and repairs share this budget, a token bucket of bytes.
// Rumours that an instance is leaving are sent first.
//
// # Usage
//
//	table := membership.NewTable(self, epoch, scope)
//	table.Subscribe(func() { routes.Update(table.Live(fleet.RoleSidecar)) })
//	elector := membership.NewWatchElector(table, reflector.Run, reflector.LastConfirmed)
//	go elector.Run(ctx)
//	...
//	table.Leave() // on shutdown
//
// Resource versions are compared as numbers, which Kubernetes documents for its
// API ("Comparable Resource Version", KEP-5504).
package membership
