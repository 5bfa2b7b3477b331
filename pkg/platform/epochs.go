package platform

import (
	"context"
	"sync"

	"github.com/uber-go/tally/v4"
)

// epochs tracks the epochs of the store. An epoch ends when the store returns to an earlier
// state: what was written since the copy is lost, and versions are given out again.
type epochs struct {
	rises tally.Counter
	stale tally.Counter

	mu      sync.Mutex
	current uint64
	// over is done when the current epoch is over; end ends it.
	over        context.Context
	end         context.CancelFunc
	subscribers []func(EpochChange)
}

// EpochChange is the begin of an epoch of the store.
type EpochChange struct {
	Before, After uint64
	// Kind and Verb are those of the call whose response stated the epoch first.
	Kind Kind
	Verb string
}

func newEpochs(scope tally.Scope) *epochs {
	e := &epochs{rises: scope.Counter("storeEpochs"), stale: scope.Counter("storeStaleResponses")}
	e.over, e.end = context.WithCancel(context.Background())
	return e
}

// Epoch returns the newest epoch of the store that a response has stated, or 0.
func (c *Client) Epoch() uint64 {
	epoch, _ := c.epochs.newest()
	return epoch
}

// OnEpoch calls fn after each begin of a later epoch than the first one seen, from the
// goroutine of the call that learnt of it. It must be called before the first call.
func (c *Client) OnEpoch(fn func(EpochChange)) {
	c.epochs.subscribers = append(c.epochs.subscribers, fn)
}

func (e *epochs) newest() (uint64, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.over
}

// observe records the epoch of a response to the call; 0 means that it states none. It returns
// an error for a response of an earlier epoch.
func (e *epochs) observe(epoch uint64, k call) error {
	change, err := e.advance(epoch, k)
	if err != nil || change.After == 0 {
		return err
	}
	for _, fn := range e.subscribers {
		fn(change)
	}
	return nil
}

func (e *epochs) advance(epoch uint64, k call) (EpochChange, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case epoch == 0 || epoch == e.current:
		return EpochChange{}, nil
	case epoch < e.current:
		e.stale.Inc(1)
		return EpochChange{}, &EpochError{Epoch: epoch, Newest: e.current}
	}
	change := EpochChange{Before: e.current, After: epoch, Kind: k.kind, Verb: k.verb}
	e.current = epoch
	if change.Before == 0 {
		// What was read before stated no epoch; its watches end by themselves.
		return EpochChange{}, nil
	}
	e.rises.Inc(1)
	e.end()
	e.over, e.end = context.WithCancel(context.Background())
	return change, nil
}
