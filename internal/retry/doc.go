// Package retry bounds the extra runs that retries and hedges cause.
//
// A Budget belongs to one stage and the failure domain whose upstream failed or
// was slow. It allows retries and hedges as a fraction of the recent first
// attempts, so that a failing domain can't multiply the load on the others.
//
// # Usage
//
//	budgets := retry.New(scope)
//	b := budgets.For("rerank", "fd-a")
//	b.RecordFirst()
//	if failed && b.TryRetry() {
//		// Run the stage once more.
//	}
//
// # Lock order
//
// Budgets.mu and Budget.mu are never held together.
package retry
