package retry

import (
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Budgets holds the budget of each stage and failure domain; it is safe for
// concurrent use.
type Budgets struct {
	scope tally.Scope

	mu      sync.RWMutex
	budgets map[key]*Budget
}

type key struct {
	stage         string
	failureDomain string
}

// New returns budgets without any recent attempts.
func New(scope tally.Scope) *Budgets {
	return &Budgets{scope: scope, budgets: make(map[key]*Budget)}
}

// For returns the budget of the stage and failure domain.
func (b *Budgets) For(stage, failureDomain string) *Budget {
	k := key{stage: stage, failureDomain: failureDomain}
	b.mu.RLock()
	budget, ok := b.budgets[k]
	b.mu.RUnlock()
	if ok {
		return budget
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget, ok := b.budgets[k]; ok {
		return budget
	}
	budget = newBudget(b.scope.Tagged(map[string]string{"stage": stage, "failureDomain": failureDomain}))
	b.budgets[k] = budget
	return budget
}

// Retain drops the budgets that keep returns false for.
func (b *Budgets) Retain(keep func(stage, failureDomain string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.budgets {
		if !keep(k.stage, k.failureDomain) {
			delete(b.budgets, k)
		}
	}
}

// Budget allows extra runs; it is safe for concurrent use.
type Budget struct {
	retries tally.Counter
	hedges  tally.Counter
	refused tally.Counter

	mu      sync.Mutex
	current int64
	windows [spans]counts
	sum     counts
	// durations is a ring of the latest durations.
	durations [durationCount]time.Duration
	recorded  int
	delay     time.Duration
}

type counts struct {
	first   int
	retries int
	hedges  int
}

func newBudget(scope tally.Scope) *Budget {
	return &Budget{
		retries: scope.Counter("retries"),
		hedges:  scope.Counter("hedges"),
		refused: scope.Counter("retriesRefused"),
	}
}

// RecordFirst counts a first attempt that is sent to the failure domain.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window().first++
	b.sum.first++
}

// TryRetry counts and allows a retry, or reports that the budget is used up.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window()
	if float64(b.sum.retries+b.sum.hedges+1) > max(RetryFloor, RetryFraction*float64(b.sum.first)) {
		b.refused.Inc(1)
		return false
	}
	w.retries++
	b.sum.retries++
	b.retries.Inc(1)
	return true
}

// TryHedge counts and allows a hedge. Hedges have no floor: their number stays
// at or below 5 % of the recent first attempts.
func (b *Budget) TryHedge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window()
	first := float64(b.sum.first)
	if float64(b.sum.hedges+1) > HedgeFraction*first || float64(b.sum.retries+b.sum.hedges+1) > RetryFraction*first {
		b.refused.Inc(1)
		return false
	}
	w.hedges++
	b.sum.hedges++
	b.hedges.Inc(1)
	return true
}

// RecordDuration records how long a successful attempt took.
func (b *Budget) RecordDuration(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.durations[b.recorded%durationCount] = d
	b.recorded++
	if b.recorded >= durationMinimum && (b.recorded-durationMinimum)%delayInterval == 0 {
		b.delay = b.hedgeDelay()
	}
}

// HedgeDelay returns how long an attempt may take before it is hedged, and
// false while too few durations are known.
func (b *Budget) HedgeDelay() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delay, b.recorded >= durationMinimum
}

// hedgeDelay is a high quantile of the recent durations, and at least a multiple
// of their median. b.mu is held.
func (b *Budget) hedgeDelay() time.Duration {
	n := min(b.recorded, durationCount)
	sorted := slices.Clone(b.durations[:n])
	slices.Sort(sorted)
	high := sorted[min(int(hedgeQuantile*float64(n)), n-1)]
	return max(high, hedgeMedians*sorted[n/2])
}

// window returns the current sub-window after the passed ones were cleared. b.mu is held.
func (b *Budget) window() *counts {
	n := time.Now().UnixNano() / int64(span)
	for steps := min(n-b.current, spans); steps > 0; steps-- {
		w := &b.windows[(n-steps+1)%spans]
		b.sum.first -= w.first
		b.sum.retries -= w.retries
		b.sum.hedges -= w.hedges
		*w = counts{}
	}
	b.current = max(b.current, n)
	return &b.windows[b.current%spans]
}
