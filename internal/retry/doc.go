// Package retry limits the extra stage runs caused by retries and hedges.
//
// A Budget applies to one stage and to the failure domain whose upstream failed or
// was slow. It limits retries and hedges to a fraction of the recent first attempts,
// so that a failing domain can't multiply the load on the others.
//
// # Usage
//
//	budgets := retry.New(scope)
//	b := budgets.For("rerank", "fd-a")
//	b.RecordFirst()
//	if failed && b.TryRetry() {
//		// Run the stage again.
//	}
//
// # Lock order
//
// Budgets.mu and Budget.mu are never held together.
package retry
