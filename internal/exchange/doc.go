// Package exchange distributes the configuration and the membership between processes by
// gossip and anti-entropy.
//
// Every process serves the rpc service "Exchange". Entries also run a Node, which
// compares digests with one of a few other entries in each round and with each sidecar
// that it owns every few seconds. Digests between entries carry the changed parts of the
// records of instances, within a budget of bytes. If the digests differ, the node pulls
// what is newer at the peer and pushes what the peer lacks. A sidecar starts no exchange.
// Each sidecar is owned by two live entries, chosen by rendezvous hash.
//
// A new generation or a changed instance starts some rounds immediately, so that updates
// spread in a few round trips; the periodic rounds repair what these missed. While the
// budget is exhausted, repairs of the table of instances wait; generations don't.
//
// # Usage
//
//	fresh := exchange.NewFreshness()
//	service := exchange.NewService(holder, table, fresh, scope)
//	err := server.Register(exchange.ServiceName, service)
//
//	// In an entry:
//	node := exchange.NewNode(exchange.Config{}, holder, table, fresh, client.Call, rng, logger, scope)
//	err = node.Bootstrap(ctx, loader.Load)
//	go node.Run(ctx)
//	...
//	if !fresh.IsFresh() {
//		err = node.Refresh(ctx, loader.Load)
//	}
//
// # Lock order
//
// The locks of configuration.Holder are taken before those of membership.Table, and
// those before Node.mu and Service.mu. No lock is held during a call.
package exchange
