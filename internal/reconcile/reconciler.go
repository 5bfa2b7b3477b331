package reconcile

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Config has the limits of a reconciler. A zero field takes its default.
type Config struct {
	// Period is the time between two reconciliations.
	Period time.Duration
	// MaxUnavailableFraction is the fraction of a stage's upstreams in one failure
	// domain, above 0 and up to 1, that may be unavailable.
	MaxUnavailableFraction float64
	// LoadsPerMinute is the maximum rate of load orders.
	LoadsPerMinute float64
	// OrderTimeout is the time after which an order without effect is repeated.
	OrderTimeout time.Duration
}

// Dependencies are the functions that a reconciler calls.
type Dependencies struct {
	// Configuration returns the configuration in force, or nil.
	Configuration func() *fleet.Configuration
	// Held is Lease.Held.
	Held func() (fencing uint64, ok bool)
	// Abandon is Lease.Abandon; it is called when an upstream has seen a higher fencing token.
	Abandon func()
	// Observe queries the states of the upstreams. Those that don't respond are
	// returned as unavailable.
	Observe func(ctx context.Context) ([]UpstreamState, error)
	// Send sends an order to an upstream.
	Send func(ctx context.Context, to UpstreamState, order Order) error
	// IsStale reports whether the upstream rejected an old fencing token.
	IsStale func(error) bool
}

// ErrNotHeld is returned when this process does not hold the lease.
var ErrNotHeld = errors.New("the lease is not held")

// Reconciler sends orders to upstreams while its process holds the lease. Only one
// goroutine may call Reconcile or Run.
type Reconciler struct {
	cfg    Config
	deps   Dependencies
	loads  *rate.Limiter
	logger *log.Logger
	scope  tally.Scope

	pending     map[string]pendingOrder
	lastOrderAt map[string]time.Time
}

// New returns a reconciler.
func New(cfg Config, deps Dependencies, logger *log.Logger, scope tally.Scope) *Reconciler {
	cfg = cfg.withDefaults()
	return &Reconciler{
		cfg:         cfg,
		deps:        deps,
		loads:       rate.NewLimiter(rate.Limit(cfg.LoadsPerMinute/60), 1),
		logger:      logger,
		scope:       scope,
		pending:     make(map[string]pendingOrder),
		lastOrderAt: make(map[string]time.Time),
	}
}

func (c Config) withDefaults() Config {
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	if c.MaxUnavailableFraction == 0 {
		c.MaxUnavailableFraction = DefaultMaxUnavailableFraction
	}
	if c.LoadsPerMinute == 0 {
		c.LoadsPerMinute = DefaultLoadsPerMinute
	}
	if c.OrderTimeout == 0 {
		c.OrderTimeout = DefaultOrderTimeout
	}
	return c
}

// Run reconciles once per period until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	tick := time.NewTicker(r.cfg.Period)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if err := r.Reconcile(ctx); err != nil && !errors.Is(err, ErrNotHeld) && ctx.Err() == nil {
			r.logger.Warn().Err(err).Msg("reconciliation failed")
		}
	}
}

// Reconcile compares the upstreams with the configuration and sends the orders that
// the limits allow. The error is ErrNotHeld without the lease, or one of Observe.
func (r *Reconciler) Reconcile(ctx context.Context) error {
	if _, ok := r.deps.Held(); !ok {
		return ErrNotHeld
	}
	cfg := r.deps.Configuration()
	if cfg == nil {
		return nil
	}
	observed, err := r.deps.Observe(ctx)
	if err != nil {
		return errors.Wrap(err, "observing the upstreams")
	}
	r.prunePending(cfg, observed)
	for _, s := range plan(cfg, observed, r.pending, r.lastOrderAt, r.cfg.MaxUnavailableFraction) {
		if s.order.Kind == LoadModel && !r.loads.Allow() {
			r.scope.Counter("reconcileLoadDelayed").Inc(1)
			continue
		}
		if err := r.sendOrder(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// prunePending removes pending orders that are complete or timed out, and all records of
// upstreams that were removed.
func (r *Reconciler) prunePending(cfg *fleet.Configuration, observed []UpstreamState) {
	byName := make(map[string]UpstreamState, len(observed))
	for _, o := range observed {
		byName[o.Upstream] = o
	}
	for name, p := range r.pending {
		o, ok := byName[name]
		if !ok || isComplete(cfg, o, p.order) || time.Since(p.sentAt) > r.cfg.OrderTimeout {
			delete(r.pending, name)
		}
	}
	for name := range r.lastOrderAt {
		if _, ok := byName[name]; !ok {
			delete(r.lastOrderAt, name)
		}
	}
}

// isComplete reports whether the order is complete: the upstream is in the ordered state
// or in the desired one.
func isComplete(cfg *fleet.Configuration, o UpstreamState, order Order) bool {
	if o.Unavailable {
		return false
	}
	if _, needsOrder := desiredOrder(cfg, o); !needsOrder {
		return true
	}
	return (order.Kind == LoadModel && o.Model == order.Target) || (order.Kind == ChangeRole && o.Role == order.Target)
}

// sendOrder sends one order under the lease. A failed call may have taken effect, so
// its order stays pending too.
func (r *Reconciler) sendOrder(ctx context.Context, s plannedOrder) error {
	fencing, ok := r.deps.Held()
	if !ok {
		return ErrNotHeld
	}
	r.pending[s.observed.Upstream] = pendingOrder{order: s.order, sentAt: time.Now()}
	r.lastOrderAt[s.observed.Upstream] = time.Now()
	s.order.Fencing = fencing
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	err := r.deps.Send(ctx, s.observed, s.order)
	r.logOrder(s, err)
	if err != nil && r.deps.IsStale(err) {
		r.deps.Abandon()
		return ErrNotHeld
	}
	return nil
}

func (r *Reconciler) logOrder(s plannedOrder, err error) {
	r.scope.Tagged(map[string]string{"kind": string(s.order.Kind)}).Counter("reconcileOrders").Inc(1)
	e := r.logger.Info()
	if err != nil {
		r.scope.Counter("reconcileOrdersFailed").Inc(1)
		e = r.logger.Warn().Err(err)
	}
	e.Str("upstream", s.observed.Upstream).Str("stage", s.observed.Stage).Str("failureDomain", s.observed.FailureDomain).
		Str("order", string(s.order.Kind)).Str("target", s.order.Target).Uint64("fencing", s.order.Fencing).Msg("order sent")
}
