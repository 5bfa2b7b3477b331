package retry

import (
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Budgets holds one budget per stage and failure domain; it is safe for concurrent
// use.
type Budgets struct {
	scope tally.Scope

	mu      sync.RWMutex
	budgets map[key]*Budget
}

type key struct {
	stage         string
	failureDomain string
}

// New returns an empty set of budgets.
func New(scope tally.Scope) *Budgets {
	return &Budgets{scope: scope, budgets: make(map[key]*Budget)}
}

// For returns the budget of the stage and failure domain and creates it if necessary.
func (b *Budgets) For(stage, failureDomain string) *Budget {
	k := key{stage: stage, failureDomain: failureDomain}
	if budget := b.find(k); budget != nil {
		return budget
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget, ok := b.budgets[k]; ok {
		return budget
	}
	budget := newBudget(b.scope.Tagged(map[string]string{"stage": stage, "failureDomain": failureDomain}))
	b.budgets[k] = budget
	return budget
}

// find returns the budget, or nil if there is none.
func (b *Budgets) find(k key) *Budget {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.budgets[k]
}

// Retain drops the budgets for which keep returns false.
func (b *Budgets) Retain(keep func(stage, failureDomain string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.budgets {
		if !keep(k.stage, k.failureDomain) {
			delete(b.budgets, k)
		}
	}
}

// Budget limits retries and hedges; it is safe for concurrent use.
type Budget struct {
	retries tally.Counter
	hedges  tally.Counter
	refused tally.Counter

	mu         sync.Mutex
	current    int64
	subWindows [subWindowCount]counts
	sum        counts
	// durations is a ring buffer of the latest durations.
	durations         [maxDurations]time.Duration
	durationsRecorded int
	cachedHedgeDelay  time.Duration
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

// RecordFirst counts a first attempt sent to the failure domain.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSubWindow().first++
	b.sum.first++
}

// TryRetry reports whether the budget allows a retry, and counts it if so.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentSubWindow()
	if float64(b.sum.retries+b.sum.hedges+1) > max(RetryFloor, RetryFraction*float64(b.sum.first)) {
		b.refused.Inc(1)
		return false
	}
	w.retries++
	b.sum.retries++
	b.retries.Inc(1)
	return true
}

// TryHedge reports whether the budget allows a hedge, and counts it if so. Hedges have no
// floor: a hedge must not raise the number of hedges above 5 % of the recent first attempts,
// nor that of retries and hedges together above 10 %.
func (b *Budget) TryHedge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentSubWindow()
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

// RecordDuration records the duration of a successful attempt.
func (b *Budget) RecordDuration(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.durations[b.durationsRecorded%maxDurations] = d
	b.durationsRecorded++
	if b.durationsRecorded >= minDurations && (b.durationsRecorded-minDurations)%hedgeDelayInterval == 0 {
		b.cachedHedgeDelay = b.computeHedgeDelay()
	}
}

// HedgeDelay returns how long an attempt may take before it is hedged, and false
// until enough durations are recorded.
func (b *Budget) HedgeDelay() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cachedHedgeDelay, b.durationsRecorded >= minDurations
}

// computeHedgeDelay returns a high quantile of the recent durations, or a multiple of their
// median if that is longer. b.mu is held.
func (b *Budget) computeHedgeDelay() time.Duration {
	n := min(b.durationsRecorded, maxDurations)
	sorted := slices.Clone(b.durations[:n])
	slices.Sort(sorted)
	high := sorted[min(int(hedgeQuantile*float64(n)), n-1)]
	return max(high, hedgeMedianFactor*sorted[n/2])
}

// currentSubWindow clears the expired sub-windows and returns the current one. b.mu is held.
func (b *Budget) currentSubWindow() *counts {
	n := time.Now().UnixNano() / int64(subWindow)
	for steps := min(n-b.current, subWindowCount); steps > 0; steps-- {
		w := &b.subWindows[(n-steps+1)%subWindowCount]
		b.sum.first -= w.first
		b.sum.retries -= w.retries
		b.sum.hedges -= w.hedges
		*w = counts{}
	}
	b.current = max(b.current, n)
	return &b.subWindows[b.current%subWindowCount]
}
