package reconcile

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// Object is a stored lease.
type Object struct {
	Name string
	// ResourceVersion is opaque.
	ResourceVersion string
	// Spec is the JSON form of State.
	Spec json.RawMessage
}

// Store is the part of the platform's object API that a lease uses, for the kind KindLeases.
type Store struct {
	Get func(ctx context.Context, name string) (Object, error)
	// Create fails if the object exists.
	Create func(ctx context.Context, obj Object) (Object, error)
	// Update fails if the object's ResourceVersion is another one.
	Update     func(ctx context.Context, obj Object) (Object, error)
	IsNotFound func(error) bool
}

// State is the content of a lease object.
type State struct {
	// Holder is the incarnation of the holder, or empty after a release.
	Holder string `json:"holder"`
	// Fencing grows by one with each new holder.
	Fencing uint64 `json:"fencing"`
	// Renewals counts the renewals, so that each of them changes the object.
	Renewals uint64 `json:"renewals"`
	// DurationMs is the time without renewal after which the lease lapses, in milliseconds.
	DurationMs int64 `json:"durationMs"`
}

// Lease is this process's side of a lease. It is safe for concurrent use.
type Lease struct {
	store       Store
	name        string
	incarnation string
	duration    time.Duration
	logger      *log.Logger
	scope       tally.Scope

	// step keeps steps apart.
	step sync.Mutex

	mu sync.Mutex
	// seen is the object as last read, and since when it has been so.
	seen   Object
	seenAt time.Time
	// fencing is the number under which this process holds the lease, or 0.
	fencing uint64
	// renewedAt is a time before the last renewal took effect.
	renewedAt time.Time
}

// NewLease returns a lease that this process does not hold. incarnation must be
// unique among all starts of all processes.
func NewLease(store Store, name, incarnation string, duration time.Duration, logger *log.Logger, scope tally.Scope) *Lease {
	return &Lease{store: store, name: name, incarnation: incarnation, duration: duration, logger: logger, scope: scope}
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (l *Lease) Run(ctx context.Context) {
	tick := time.NewTicker(l.duration / renewals)
	defer tick.Stop()
	for ctx.Err() == nil {
		if err := l.AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
			l.logger.Warn().Str("lease", l.name).Err(err).Msg("lease not renewed")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		l.logger.Warn().Str("lease", l.name).Err(err).Msg("lease not released")
	}
}

// AcquireOrRenew reads the lease and renews it if this process holds it, or takes it if it is
// free or has lapsed. The error is that of the store.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l.step.Lock()
	defer l.step.Unlock()
	obj, state, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.observe(obj)
	next, ok := l.next(obj, state)
	if !ok {
		l.Abandon()
		return nil
	}
	return l.write(ctx, obj, next)
}

// read returns the object and its content; both are zero when there is none.
func (l *Lease) read(ctx context.Context) (Object, State, error) {
	obj, err := l.store.Get(ctx, l.name)
	if err != nil {
		if l.store.IsNotFound(err) {
			return Object{}, State{}, nil
		}
		return Object{}, State{}, errors.Wrap(err, "reading the lease")
	}
	var state State
	if err := json.Unmarshal(obj.Spec, &state); err != nil {
		return Object{}, State{}, errors.Wrap(err, "decoding the lease")
	}
	return obj, state, nil
}

// observe notes since when the object has been as it is.
func (l *Lease) observe(obj Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seenAt.IsZero() || obj.ResourceVersion != l.seen.ResourceVersion {
		l.seen, l.seenAt = obj, time.Now()
	}
}

// next returns the content to write, or false when another process holds the lease.
func (l *Lease) next(obj Object, state State) (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lapsed := time.Since(l.seenAt) >= time.Duration(state.DurationMs)*time.Millisecond
	switch {
	case state.Holder == l.incarnation && state.Fencing == l.fencing:
	case obj.ResourceVersion == "" || state.Holder == "" || state.Holder == l.incarnation || lapsed:
		state.Fencing++
	default:
		return State{}, false
	}
	state.Holder = l.incarnation
	state.Renewals++
	state.DurationMs = l.duration.Milliseconds()
	return state, true
}

// write stores the content on the condition that the object is still as read. Only
// a write that is known to have taken effect counts as a renewal.
func (l *Lease) write(ctx context.Context, obj Object, state State) error {
	spec, err := json.Marshal(state)
	if err != nil {
		return errors.Wrap(err, "encoding the lease")
	}
	put := l.store.Update
	if obj.ResourceVersion == "" {
		put = l.store.Create
	}
	before := time.Now()
	if _, err := put(ctx, Object{Name: l.name, ResourceVersion: obj.ResourceVersion, Spec: spec}); err != nil {
		return errors.Wrap(err, "writing the lease")
	}
	l.renewed(state.Fencing, before)
	return nil
}

func (l *Lease) renewed(fencing uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencing != fencing {
		l.scope.Counter("leaseAcquired").Inc(1)
		l.logger.Info().Str("lease", l.name).Uint64("fencing", fencing).Msg("lease acquired")
	}
	l.fencing, l.renewedAt = fencing, at
}

// Abandon gives up the lease here, such as after an upstream refused its fencing number.
// The store is not told.
func (l *Lease) Abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencing != 0 {
		l.scope.Counter("leaseLost").Inc(1)
		l.logger.Warn().Str("lease", l.name).Uint64("fencing", l.fencing).Msg("lease lost")
	}
	l.fencing, l.renewedAt = 0, time.Time{}
}

// Release frees the lease in the store if this process holds it.
func (l *Lease) Release(ctx context.Context) error {
	l.step.Lock()
	defer l.step.Unlock()
	fencing, ok := l.Held()
	l.Abandon()
	if !ok {
		return nil
	}
	obj, state, err := l.read(ctx)
	if err != nil || state.Holder != l.incarnation || state.Fencing != fencing {
		return err
	}
	state.Holder = ""
	spec, err := json.Marshal(state)
	if err != nil {
		return errors.Wrap(err, "encoding the lease")
	}
	_, err = l.store.Update(ctx, Object{Name: l.name, ResourceVersion: obj.ResourceVersion, Spec: spec})
	return errors.Wrap(err, "releasing the lease")
}
