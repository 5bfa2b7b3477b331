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

// Store is the part of the platform's object API that a lease needs, for objects of KindLeases.
type Store struct {
	Get func(ctx context.Context, name string) (Object, error)
	// Create fails if the object exists.
	Create func(ctx context.Context, obj Object) (Object, error)
	// Update fails if the stored object has another ResourceVersion.
	Update     func(ctx context.Context, obj Object) (Object, error)
	IsNotFound func(error) bool
}

// State is the content of a lease object.
type State struct {
	// Holder is the incarnation of the holder, or empty after a release.
	Holder string `json:"holder"`
	// Fencing is the fencing token. It increases by one with each new holder.
	Fencing uint64 `json:"fencing"`
	// Renewals counts the renewals, so that each of them changes the stored object.
	Renewals uint64 `json:"renewals"`
	// DurationMs is the time without renewal after which the lease expires, in milliseconds.
	DurationMs int64 `json:"durationMs"`
}

// Lease acquires, renews and releases a lease for this process. It is safe for concurrent use.
type Lease struct {
	store       Store
	name        string
	incarnation string
	duration    time.Duration
	logger      *log.Logger
	scope       tally.Scope

	// stepMu serialises AcquireOrRenew and Release.
	stepMu sync.Mutex

	mu sync.Mutex
	// observed is the object as last read; observedAt is when this version was read first.
	observed   Object
	observedAt time.Time
	// fencing is the fencing token under which this process holds the lease, or 0.
	fencing uint64
	// renewedAt is when the last successful renewal was sent, which is before it took
	// effect in the store.
	renewedAt time.Time
}

// NewLease returns a lease that this process does not hold yet. incarnation must be
// unique for each start of each process.
func NewLease(store Store, name, incarnation string, duration time.Duration, logger *log.Logger, scope tally.Scope) *Lease {
	return &Lease{store: store, name: name, incarnation: incarnation, duration: duration, logger: logger, scope: scope}
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (l *Lease) Run(ctx context.Context) {
	tick := time.NewTicker(l.duration / renewalsPerDuration)
	defer tick.Stop()
	for ctx.Err() == nil {
		if err := l.AcquireOrRenew(ctx); err != nil && ctx.Err() == nil {
			l.logger.Warn().Str("lease", l.name).Err(err).Msg("could not acquire or renew the lease")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		l.logger.Warn().Str("lease", l.name).Err(err).Msg("could not release the lease")
	}
}

// AcquireOrRenew reads the lease, and renews it if this process holds it or acquires
// it if it is free or expired. It returns errors of the store.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
	obj, state, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.recordObserved(obj)
	next, ok := l.next(obj, state)
	if !ok {
		l.Abandon()
		return nil
	}
	return l.write(ctx, obj, next)
}

// read returns the stored object and its state; both are zero if there is no object.
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

// recordObserved records the object and when its version was first read.
func (l *Lease) recordObserved(obj Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observedAt.IsZero() || obj.ResourceVersion != l.observed.ResourceVersion {
		l.observed, l.observedAt = obj, time.Now()
	}
}

// next returns the state to write, or false if another process holds the lease.
func (l *Lease) next(obj Object, state State) (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired := time.Since(l.observedAt) >= time.Duration(state.DurationMs)*time.Millisecond
	switch {
	case state.Holder == l.incarnation && state.Fencing == l.fencing:
	case obj.ResourceVersion == "" || state.Holder == "" || state.Holder == l.incarnation || expired:
		state.Fencing++
	default:
		return State{}, false
	}
	state.Holder = l.incarnation
	state.Renewals++
	state.DurationMs = l.duration.Milliseconds()
	return state, true
}

// write stores the state on condition that the object has not changed since it was
// read. Only a write that is known to have taken effect counts as a renewal.
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
	l.recordRenewal(state.Fencing, before)
	return nil
}

func (l *Lease) recordRenewal(fencing uint64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencing != fencing {
		l.scope.Counter("leaseAcquired").Inc(1)
		l.logger.Info().Str("lease", l.name).Uint64("fencing", fencing).Msg("lease acquired")
	}
	l.fencing, l.renewedAt = fencing, at
}

// Abandon stops treating the lease as held, such as after an upstream rejected its
// fencing token. The stored object is not changed.
func (l *Lease) Abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencing != 0 {
		l.scope.Counter("leaseLost").Inc(1)
		l.logger.Warn().Str("lease", l.name).Uint64("fencing", l.fencing).Msg("lease no longer held")
	}
	l.fencing, l.renewedAt = 0, time.Time{}
}

// Release clears the holder in the store if this process holds the lease.
func (l *Lease) Release(ctx context.Context) error {
	l.stepMu.Lock()
	defer l.stepMu.Unlock()
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
