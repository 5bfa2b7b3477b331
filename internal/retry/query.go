package retry

import (
	"maps"
	"time"
)

// Snapshot is the state of one budget for the status and dump commands.
type Snapshot struct {
	Stage         string `json:"stage"`
	FailureDomain string `json:"failureDomain"`
	// First, Retries and Hedges are the numbers of attempts in the last 5 s.
	First   int `json:"first"`
	Retries int `json:"retries"`
	Hedges  int `json:"hedges"`
	// HedgeDelayMs is in milliseconds, and 0 until it is known.
	HedgeDelayMs int64 `json:"hedgeDelayMs"`
}

// Snapshot returns the state of every budget in no particular order.
func (b *Budgets) Snapshot() []Snapshot {
	budgets := b.all()
	out := make([]Snapshot, 0, len(budgets))
	for k, v := range budgets {
		s := v.snapshot()
		s.Stage, s.FailureDomain = k.stage, k.failureDomain
		out = append(out, s)
	}
	return out
}

func (b *Budgets) all() map[key]*Budget {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return maps.Clone(b.budgets)
}

func (b *Budget) snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSubWindow()
	return Snapshot{
		First:        b.sum.first,
		Retries:      b.sum.retries,
		Hedges:       b.sum.hedges,
		HedgeDelayMs: int64(b.cachedHedgeDelay / time.Millisecond),
	}
}
