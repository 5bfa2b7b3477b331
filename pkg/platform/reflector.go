package platform

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// Reflector maintains a local copy of one kind by listing and watching. After a failure
// it retries with exponential back-off and full jitter, so that many processes don't
// list at the same time when the platform recovers.
type Reflector struct {
	kind                Kind
	list                func(ctx context.Context) (List, error)
	watch               func(ctx context.Context, epoch uint64, resourceVersion string, fn func(Event) error) error
	resume              func(ctx context.Context, epoch uint64, resourceVersion string, fn func(Event) error) error
	wait                func(ctx context.Context)
	replace             func(List)
	apply               func(Event)
	applyAll            func([]Event)
	rng                 *rand.Rand
	logger              *log.Logger
	minDelay            time.Duration
	maxDelay            time.Duration
	resetOnConfirmation bool
	longPolling         bool
	lastConfirmed       atomic.Pointer[time.Time]

	// Only Run uses the fields below.
	version string
	epoch   uint64
	// interrupted is set if the last watch failed and the next one continues from its version.
	interrupted bool
	delayBound  time.Duration
	// gathered are the changes of the present reply to a long poll.
	gathered []Event
}

// NewReflector returns a reflector of the kind. It calls replace with each complete list
// and apply with each later change, but not with bookmarks. Run makes these calls, one
// at a time.
func NewReflector(c *Client, share Share, kind Kind, replace func(List), apply func(Event), rng *rand.Rand, logger *log.Logger) *Reflector {
	return &Reflector{
		kind: kind,
		list: func(ctx context.Context) (List, error) {
			list, err := c.List(ctx, share, kind)
			c.recordSentinel(kind, isServed(err))
			return list, err
		},
		wait: func(ctx context.Context) { c.waitForSentinel(ctx, kind) },
		watch: func(ctx context.Context, epoch uint64, resourceVersion string, fn func(Event) error) error {
			return c.WatchEpoch(ctx, share, kind, epoch, resourceVersion, fn)
		},
		resume: func(ctx context.Context, epoch uint64, resourceVersion string, fn func(Event) error) error {
			return c.resumeWatch(ctx, share, kind, epoch, resourceVersion, fn)
		},
		replace:    replace,
		apply:      apply,
		rng:        rng,
		logger:     logger,
		minDelay:   MinRelistDelay,
		maxDelay:   MaxRelistDelay,
		delayBound: MinRelistDelay,

		longPolling: c.wire.UsesLongPolling,
	}
}

// SetBackoff sets the initial and the maximum upper bound of the random delay after a
// failure. After SetBackoff, a list and watch that received a list, a change or a bookmark
// resets the bound when it ends, even if it ran for less than BackoffResetAfter.
// SetBackoff must be called before Run.
func (r *Reflector) SetBackoff(initial, maximum time.Duration) {
	r.minDelay, r.maxDelay, r.delayBound, r.resetOnConfirmation = initial, maximum, initial, true
}

// GatherChanges makes the reflector call applyAll with all changes of one reply to a long poll,
// in place of apply with each. A streamed watch has no replies, so its changes are applied one by
// one. It must be called before Run.
func (r *Reflector) GatherChanges(applyAll func([]Event)) {
	if r.longPolling {
		r.applyAll = applyAll
	}
}

// LastConfirmed returns when the platform last sent a list, a change or a bookmark, or
// the zero time before the first list. The time has a monotonic clock reading, so that a
// step of the wall clock doesn't count as time without a response.
func (r *Reflector) LastConfirmed() time.Time {
	if t := r.lastConfirmed.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Run lists and watches until ctx ends.
func (r *Reflector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		err := r.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) >= BackoffResetAfter || r.resetOnConfirmation && r.LastConfirmed().After(started) {
			r.delayBound = r.minDelay
			if err == nil {
				continue
			}
		}
		r.backOff(ctx, err)
	}
}

// listAndWatch lists if there is no version to continue from, and watches until the watch ends.
func (r *Reflector) listAndWatch(ctx context.Context) error {
	if r.version == "" {
		list, err := r.list(ctx)
		if err != nil {
			return errors.Wrap(err, "listing")
		}
		r.version, r.epoch = list.ResourceVersion, list.Epoch
		r.recordConfirmation()
		r.replace(list)
	}
	watch := r.watch
	if r.interrupted {
		watch = r.resume
	}
	err := watch(ctx, r.epoch, r.version, r.handle)
	var statusErr *StatusError
	if errors.As(err, &statusErr) && !IsAmbiguous(err) && !statusErr.isBusy() {
		// The version has expired, or the platform's store was reset and doesn't know it.
		r.version = ""
	}
	if IsEpochOver(err) || isReplyUnreadable(err) {
		// The changes since the version can't be had, but a list has only the newest state of each
		// object. The store was reached, so a bound that grew in an outage doesn't apply.
		r.version, r.delayBound = "", r.minDelay
	}
	r.interrupted = err != nil && r.version != ""
	var malformed *malformedEventError
	if errors.As(err, &malformed) {
		r.version = ""
	}
	return errors.Wrap(err, "watching")
}

func (r *Reflector) handle(e Event) error {
	r.version = e.Object.ResourceVersion
	r.recordConfirmation()
	switch {
	case r.applyAll == nil && e.Type != EventBookmark:
		r.apply(e)
	case r.applyAll != nil && e.Type != EventBookmark:
		r.gathered = append(r.gathered, e)
	case len(r.gathered) > 0:
		// A reply ends with a bookmark.
		gathered := r.gathered
		r.gathered = nil
		r.applyAll(gathered)
	}
	return nil
}

func (r *Reflector) recordConfirmation() {
	now := time.Now()
	r.lastConfirmed.Store(&now)
}

// backOff waits for a random time up to delayBound and doubles delayBound, up to maxDelay.
func (r *Reflector) backOff(ctx context.Context, cause error) {
	delay := time.Duration(r.rng.Int64N(int64(r.delayBound)) + 1)
	r.delayBound = min(2*r.delayBound, r.maxDelay)
	r.logger.Warn().Err(cause).Str("kind", string(r.kind)).Dur("delay", delay).Msg("list and watch ended; retrying after the delay")
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		// The end of an epoch comes with a response of the store.
		if !IsEpochOver(cause) {
			r.wait(ctx)
		}
	case <-ctx.Done():
	}
}
