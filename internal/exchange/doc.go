// Package exchange spreads the configuration and the membership between processes.
//
// Every process serves the rpc service "Exchange". Entries also run a Node, which
// compares digests with one of a few other entries each round and with each sidecar
// that it owns every few seconds. Digests between entries carry changed parts of the
// records of instances, within a budget of bytes. Where digests differ, the node pulls what the peer has
// newer and pushes what the peer lacks. A sidecar starts no exchange. Each sidecar
// is owned by two live entries, chosen by rendezvous hash.
//
// A new generation or a changed instance starts some rounds at once, so news
// spreads in a few round trips; the periodic rounds repair what these missed. While
// the budget is used up, repairs of the table of instances wait; generations don't.
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
// The locks of configuration.Holder go before those of membership.Table, and those
// before Node.mu and Service.mu. None is held during a call.
package exchange
