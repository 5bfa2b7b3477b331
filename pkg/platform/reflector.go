package platform

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// Reflector keeps a local copy of one kind by listing and watching. After a
// failure it waits for a random time under a growing bound, so that many processes
// don't call at once when the platform returns.
type Reflector struct {
	kind      Kind
	list      func(ctx context.Context) (List, error)
	watch     func(ctx context.Context, resourceVersion string, fn func(Event) error) error
	replace   func(List)
	apply     func(Event)
	rng       *rand.Rand
	logger    *log.Logger
	minDelay  time.Duration
	maxDelay  time.Duration
	eager     bool
	confirmed atomic.Pointer[time.Time]

	// Only Run uses the fields below.
	version string
	bound   time.Duration
}

// NewReflector returns a reflector of the kind. replace gets each whole list; apply
// gets each later change and no bookmarks. Both are called by Run, one at a time.
func NewReflector(c *Client, share Share, kind Kind, replace func(List), apply func(Event), rng *rand.Rand, logger *log.Logger) *Reflector {
	return &Reflector{
		kind: kind,
		list: func(ctx context.Context) (List, error) { return c.List(ctx, share, kind) },
		watch: func(ctx context.Context, resourceVersion string, fn func(Event) error) error {
			return c.Watch(ctx, share, kind, resourceVersion, fn)
		},
		replace:  replace,
		apply:    apply,
		rng:      rng,
		logger:   logger,
		minDelay: MinRelistDelay,
		maxDelay: MaxRelistDelay,
		bound:    MinRelistDelay,
	}
}

// SetBackoff sets the first and the last upper bound of the random delay after a
// failure. The bound starts again from the first as soon as the platform has answered.
// It must be called before Run.
func (r *Reflector) SetBackoff(first, last time.Duration) {
	r.minDelay, r.maxDelay, r.bound, r.eager = first, last, first, true
}

// LastConfirmed returns when the platform last sent a list, a change or a bookmark. It
// is the zero time before the first list. It has a monotonic reading, so that a step of
// the time of day doesn't count as silence.
func (r *Reflector) LastConfirmed() time.Time {
	if t := r.confirmed.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Run lists and watches until ctx ends.
func (r *Reflector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		err := r.round(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) >= BackoffResetAfter || r.eager && r.LastConfirmed().After(started) {
			r.bound = r.minDelay
			if err == nil {
				continue
			}
		}
		r.pause(ctx, err)
	}
}

// round lists if there is no version to go on from, and watches until the watch ends.
func (r *Reflector) round(ctx context.Context) error {
	if r.version == "" {
		list, err := r.list(ctx)
		if err != nil {
			return errors.Wrap(err, "listing")
		}
		r.version = list.ResourceVersion
		r.confirm()
		r.replace(list)
	}
	err := r.watch(ctx, r.version, r.handle)
	var refused *StatusError
	if errors.As(err, &refused) && !IsAmbiguous(err) && !refused.isBusy() {
		// The version is too old, or of another life of the platform's store.
		r.version = ""
	}
	return errors.Wrap(err, "watching")
}

func (r *Reflector) handle(e Event) error {
	r.version = e.Object.ResourceVersion
	r.confirm()
	if e.Type != EventBookmark {
		r.apply(e)
	}
	return nil
}

func (r *Reflector) confirm() {
	now := time.Now()
	r.confirmed.Store(&now)
}

// pause waits for a random time up to the bound and doubles the bound.
func (r *Reflector) pause(ctx context.Context, cause error) {
	delay := time.Duration(r.rng.Int64N(int64(r.bound)) + 1)
	r.bound = min(2*r.bound, r.maxDelay)
	r.logger.Warn().Err(cause).Str("kind", string(r.kind)).Dur("delay", delay).Msg("list and watch start again")
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
