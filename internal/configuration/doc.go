// Package configuration stores, distributes and holds the fleet's configuration.
//
// The store has one head object, configurations/active, and many section objects. A
// section contains one shard of one kind of item. Its name is the hash of its content,
// so it is immutable. The head lists the sections of one generation. A commit writes
// the changed sections and then updates the head on condition that it has not changed
// since it was read. With this update the commit is accepted.
//
// Publisher commits configurations, Loader reads the head and missing sections from
// the store, and Holder keeps the snapshot that is in force in a process. A Holder
// never returns to a lower generation.
//
// # Usage
//
//	holder := configuration.NewHolder(logger, scope)
//	holder.Subscribe(func(c *fleet.Configuration) { routes.Update(c) })
//	loader := configuration.NewLoader(store, holder)
//	generation, err := loader.Load(ctx)
//
//	publisher := configuration.NewPublisher(store, holder, configuration.NewOperationID, logger, scope)
//	generation, err := publisher.Commit(ctx, holder.Generation(), doc)
//	if configuration.IsConflict(err) {
//		// Another commit was accepted first: plan again on the current generation.
//	}
//
// # Errors of a commit
//
// *ConflictError, *fleet.InvalidError, *SizeError and *NotWrittenError mean that the
// commit is not in force and never will be. *UnresolvedError means that the store did
// not respond in time, so the commit may be in force or come into force later.
package configuration
