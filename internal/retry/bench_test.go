package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// BenchmarkBudgetAttempt measures the bookkeeping of a first attempt: its count, its hedge
// delay and its duration.
func BenchmarkBudgetAttempt(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			budgets := New(tally.NoopScope)
			for i := range n {
				budgets.For(fmt.Sprint("stage-", i), "fd").RecordFirst()
			}
			b.ReportAllocs()
			for b.Loop() {
				budget := budgets.For("stage-7", "fd")
				budget.RecordFirst()
				budget.HedgeDelay()
				budget.RecordDuration(time.Millisecond)
			}
		})
	}
}
