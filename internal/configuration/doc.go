// Package configuration stores, distributes and holds the fleet's configuration.
//
// The store holds one head object, configurations/active, and many section
// objects. A section holds one shard of one kind of item and is named by the hash
// of its content, so it never changes. The head lists the sections of one
// generation. A commit writes the sections that changed and then updates the head
// under the condition that nobody else has: that update is the acceptance.
//
// Publisher commits, Loader reads head and missing sections from the store, and
// Holder keeps the snapshot that a process serves on. A Holder never goes back to
// a lower generation.
//
// # Usage
//
//	holder := configuration.NewHolder(logger, scope)
//	holder.Subscribe(func(c *fleet.Configuration) { routes.Update(c) })
//	loader := configuration.NewLoader(store, holder)
//	generation, err := loader.Load(ctx)
//
//	publisher := configuration.NewPublisher(store, holder, configuration.NewOperation, logger, scope)
//	generation, err := publisher.Commit(ctx, holder.Generation(), doc)
//	if configuration.IsConflict(err) {
//		// Another commit was accepted first: plan again on the current generation.
//	}
//
// # Errors of a commit
//
// *ConflictError, *fleet.InvalidError, *SizeError and *NotWrittenError say that
// the commit is not and never will be in force. *UnresolvedError says that the
// store did not answer in time, so the commit may be in force or come into force.
package configuration
