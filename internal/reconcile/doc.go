// Package reconcile drives the models and roles of upstreams to the state that the
// configuration specifies. The role of an upstream is the name of the stage that it
// serves, unlike fleet.Role, which is the role of an instance.
//
// Of all entries, the one that holds the lease does this. The lease is one object in
// the store. It contains the holder's incarnation and a fencing token that increases
// with each new holder. To another process the lease has expired when that process
// has observed it unchanged for the lease duration on its own clock. To the holder it
// expires earlier, counted from the time before the last renewal was sent. A holder
// that was paused therefore finds its lease expired before it sends another order, and
// an order that was in flight carries an old fencing token. Upstreams that check the
// token reject such an order. For those that don't, an order specifies the desired
// state and is idempotent, and the next holder corrects it.
//
// # Usage
//
//	lease := reconcile.NewLease(store, "reconciler", incarnation, reconcile.DefaultLeaseDuration, logger, scope)
//	r := reconcile.New(reconcile.Config{}, reconcile.Dependencies{
//		Configuration: holder.Current,
//		Held:          lease.Held,
//		Abandon:       lease.Abandon,
//		Observe:       observe,
//		Send:          send,
//		IsStale:       isStale,
//	}, logger, scope)
//	go lease.Run(ctx)
//	go r.Run(ctx)
//
// The desired model of an upstream is the model of its stage. The desired role is the
// name of its stage, and applies only to upstreams that report a role.
package reconcile
