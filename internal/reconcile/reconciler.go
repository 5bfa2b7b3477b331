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

// Config bounds a reconciler. A zero field takes its default.
type Config struct {
	// Period is the time between two rounds.
	Period time.Duration
	// MaxUnavailableFraction is the part of a stage's upstreams in one failure domain, above 0 and
	// up to 1, that may be unavailable.
	MaxUnavailableFraction float64
	// LoadsPerMinute bounds the load orders.
	LoadsPerMinute float64
	// OrderTimeout is the time after which an order without effect is repeated.
	OrderTimeout time.Duration
}

// Dependencies are what a reconciler reads and calls.
type Dependencies struct {
	// Configuration returns the configuration in force, or nil.
	Configuration func() *fleet.Configuration
	// Held is Lease.Held.
	Held func() (fencing uint64, ok bool)
	// Abandon is Lease.Abandon; it is called when an upstream has seen a higher fencing number.
	Abandon func()
	// Observe asks the upstreams for their state. Those that don't answer are listed
	// as unavailable.
	Observe func(ctx context.Context) ([]UpstreamState, error)
	// Send brings an order to an upstream.
	Send func(ctx context.Context, to UpstreamState, order Order) error
	// IsStale reports that the upstream refused an old fencing number.
	IsStale func(error) bool
}

// ErrNotHeld says that this process does not hold the lease.
var ErrNotHeld = errors.New("the lease is not held")

// Reconciler gives orders while its process holds the lease. Only one goroutine may
// call Round or Run.
type Reconciler struct {
	cfg    Config
	seams  Dependencies
	loads  *rate.Limiter
	logger *log.Logger
	scope  tally.Scope

	busy    map[string]progress
	ordered map[string]time.Time
}

// New returns a reconciler.
func New(cfg Config, seams Dependencies, logger *log.Logger, scope tally.Scope) *Reconciler {
	cfg = cfg.withDefaults()
	return &Reconciler{
		cfg:     cfg,
		seams:   seams,
		loads:   rate.NewLimiter(rate.Limit(cfg.LoadsPerMinute/60), 1),
		logger:  logger,
		scope:   scope,
		busy:    make(map[string]progress),
		ordered: make(map[string]time.Time),
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

// Run makes a round each period until ctx ends.
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
			r.logger.Warn().Err(err).Msg("reconciliation round failed")
		}
	}
}

// Reconcile compares the upstreams with the configuration and gives the orders that the
// limits allow. The error is ErrNotHeld without the lease, or that of Observe.
func (r *Reconciler) Reconcile(ctx context.Context) error {
	if _, ok := r.seams.Held(); !ok {
		return ErrNotHeld
	}
	cfg := r.seams.Configuration()
	if cfg == nil {
		return nil
	}
	observed, err := r.seams.Observe(ctx)
	if err != nil {
		return errors.Wrap(err, "observing the upstreams")
	}
	r.settle(cfg, observed)
	for _, s := range plan(cfg, observed, r.busy, r.ordered, r.cfg.MaxUnavailableFraction) {
		if s.order.Kind == LoadModel && !r.loads.Allow() {
			r.scope.Counter("reconcileLoadDelayed").Inc(1)
			continue
		}
		if err := r.give(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// settle ends the orders whose effect shows, that timed out, or whose upstream is gone.
func (r *Reconciler) settle(cfg *fleet.Configuration, observed []UpstreamState) {
	there := make(map[string]UpstreamState, len(observed))
	for _, o := range observed {
		there[o.Upstream] = o
	}
	for name, p := range r.busy {
		o, ok := there[name]
		if !ok || isDone(cfg, o, p.order) || time.Since(p.at) > r.cfg.OrderTimeout {
			delete(r.busy, name)
		}
	}
	for name := range r.ordered {
		if _, ok := there[name]; !ok {
			delete(r.ordered, name)
		}
	}
}

// isDone reports whether the upstream shows the ordered state or the wanted one.
func isDone(cfg *fleet.Configuration, o UpstreamState, order Order) bool {
	if o.Unavailable {
		return false
	}
	if _, more := wanted(cfg, o); !more {
		return true
	}
	return (order.Kind == LoadModel && o.Model == order.Target) || (order.Kind == ChangeRole && o.Role == order.Target)
}

// give sends one order under the lease. An order that failed may have taken effect,
// so it counts as under way.
func (r *Reconciler) give(ctx context.Context, s step) error {
	fencing, ok := r.seams.Held()
	if !ok {
		return ErrNotHeld
	}
	r.busy[s.observed.Upstream] = progress{order: s.order, at: time.Now()}
	r.ordered[s.observed.Upstream] = time.Now()
	s.order.Fencing = fencing
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	err := r.seams.Send(ctx, s.observed, s.order)
	r.report(s, err)
	if err != nil && r.seams.IsStale(err) {
		r.seams.Abandon()
		return ErrNotHeld
	}
	return nil
}

func (r *Reconciler) report(s step, err error) {
	r.scope.Tagged(map[string]string{"kind": string(s.order.Kind)}).Counter("reconcileOrders").Inc(1)
	e := r.logger.Info()
	if err != nil {
		r.scope.Counter("reconcileOrdersFailed").Inc(1)
		e = r.logger.Warn().Err(err)
	}
	e.Str("upstream", s.observed.Upstream).Str("stage", s.observed.Stage).Str("failureDomain", s.observed.FailureDomain).
		Str("order", string(s.order.Kind)).Str("target", s.order.Target).Uint64("fencing", s.order.Fencing).Msg("order given")
}
