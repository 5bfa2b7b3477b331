// Package reconcile brings the models and roles of upstreams to what the
// configuration asks for.
//
// Any entry may do this, and the one that holds the lease does. The lease is one
// object in the store. It names the holder's incarnation and a fencing number that
// grows with each new holder. A lease counts as lapsed for another process when it
// has watched it unchanged for the lease's duration on its own clock; the holder
// counts it as lapsed earlier than that, from the time before its last renewal was
// sent. A holder that was paused therefore finds the lease lapsed before its next
// order, and an order that was on its way carries an old fencing number. Upstreams
// that check the number refuse such an order. For those that don't, an order states
// the wanted state and may be repeated, and the next holder corrects it.
//
// # Usage
//
//	lease := reconcile.NewLease(store, "reconciler", incarnation, reconcile.DefaultLeaseDuration, logger, scope)
//	r := reconcile.New(reconcile.Config{}, reconcile.Seams{
//		Configuration: holder.Current,
//		Held:          lease.Held,
//		Lose:          lease.Lose,
//		Observe:       observe,
//		Send:          send,
//		IsStale:       isStale,
//	}, logger, scope)
//	go lease.Run(ctx)
//	go r.Run(ctx)
//
// The wanted model of an upstream is the model of its stage. The wanted role is the
// name of its stage, and applies only to upstreams that report a role.
package reconcile
