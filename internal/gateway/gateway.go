package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/pipeline"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/retry"
)

// Config has the gateway's own settings.
type Config struct {
	// FailureDomain is the one in which the gateway runs.
	FailureDomain string
}

// Gateway is the http.Handler for callers.
type Gateway struct {
	cfg     Config
	dialect *dialect.Dialect
	catalog *catalog.Catalog
	judge   *availability.Judge
	pool    *forward.Pool
	table   *placement.Table
	stages  *Stages
	budgets *retry.Budgets
	crashes *Crashes
	sizes   *pipeline.RouteSizes
	intake  *intake.Budget
	// refusalLines limits the log lines for requests that were refused for their bodies.
	refusalLines  *rate.Limiter
	logger        *log.Logger
	requests      *instance.CounterVec[requestLabels]
	bodies        *instance.CounterVec[bodyLabels]
	latency       *instance.HistogramVec[string]
	firstByteTime *instance.HistogramVec[string]
	// limited counts the requests that were refused because of the limits of upstreams, by service.
	limited *instance.CounterVec[string]

	// isConfirmed reports whether the configuration was known to be the newest one of late.
	isConfirmed func(now time.Time) bool

	departure *departure
	inFlight  atomic.Int64
	// ended counts the requests that have ended since the departure began, by outcome.
	ended departureCounts
}

// departureCounts counts how requests ended during a departure.
type departureCounts struct {
	answered, refused, brokenOff, callerGone atomic.Int64
}

// add counts a request that ended with the outcome.
func (c *departureCounts) add(outcome string) {
	switch outcome {
	case outcomeAnswered:
		c.answered.Add(1)
	case outcomeRefused:
		c.refused.Add(1)
	case outcomeCallerGone:
		c.callerGone.Add(1)
	default:
		c.brokenOff.Add(1)
	}
}

// requestLabels are the metric labels of an ended request.
type requestLabels struct {
	service string
	outcome string
}

// New returns a gateway that serves the routes of the catalog.
func New(cfg Config, d *dialect.Dialect, cat *catalog.Catalog, judge *availability.Judge, pool *forward.Pool, table *placement.Table, stages *Stages, budgets *retry.Budgets, crashes *Crashes, budget *intake.Budget, logger *log.Logger, scope tally.Scope) *Gateway {
	byService := func(service string) map[string]string { return map[string]string{"service": service} }
	stages.useMemory(budget)
	return &Gateway{
		cfg:          cfg,
		dialect:      d,
		catalog:      cat,
		judge:        judge,
		pool:         pool,
		table:        table,
		stages:       stages,
		budgets:      budgets,
		crashes:      crashes,
		sizes:        pipeline.NewRouteSizes(),
		intake:       budget,
		refusalLines: rate.NewLimiter(refusalLinesPerSecond, refusalLinesPerSecond),
		logger:       logger,
		departure:    newDeparture(),
		isConfirmed:  func(time.Time) bool { return true },
		requests: instance.NewCounterVec(scope, "requests", func(labels requestLabels) map[string]string {
			return map[string]string{"service": labels.service, "outcome": labels.outcome}
		}),
		bodies: instance.NewCounterVec(scope, "responseBodies", func(labels bodyLabels) map[string]string {
			return map[string]string{"service": labels.service, "framing": string(labels.framing), "end": string(labels.end)}
		}),
		latency:       instance.NewHistogramVec(scope, "requestTime", byService),
		firstByteTime: instance.NewHistogramVec(scope, "firstByteTime", byService),
		limited:       instance.NewCounterVec(scope, "limitRefusals", byService),
	}
}

// UseConfirmation sets the function that reports whether the configuration was known to be the
// newest one of late. Without it, it counts as such. It must be called before the first request.
func (g *Gateway) UseConfirmation(isConfirmed func(now time.Time) bool) { g.isConfirmed = isConfirmed }

// Leave begins the departure of this gateway, which ends at the given time: every response
// closes its connection, so that callers reconnect to other gateways, and the queues of stages
// are handed over.
func (g *Gateway) Leave(end time.Time) {
	g.stages.roster.Leave()
	g.departure.begin(time.Now(), end)
}

// RefuseNew makes the gateway refuse further streams and requests with stages, as not
// executed. Short requests are still served: they hardly delay the end.
func (g *Gateway) RefuseNew() { g.departure.refuseNew() }

// WaitIdle waits until no request is in progress or ctx ends, and makes the gateway refuse all
// further requests, as not executed: there is no time left to serve one.
func (g *Gateway) WaitIdle(ctx context.Context) error {
	isIdle := func() bool { return g.inFlight.Load() == 0 }
	err := instance.WaitUntil(ctx, isIdle)
	g.departure.refuseAll()
	if err != nil {
		return err
	}
	// A request that came before the refusals is served.
	return instance.WaitUntil(ctx, isIdle)
}

// LogDeparture logs how the requests of the departure ended.
func (g *Gateway) LogDeparture(took time.Duration, err error) {
	g.logger.Info().Err(err).Dur("took", took).Int64("answered", g.ended.answered.Load()).Int64("refused", g.ended.refused.Load()).
		Int64("brokenOff", g.ended.brokenOff.Load()).Int64("callerGone", g.ended.callerGone.Load()).Int64("inFlight", g.inFlight.Load()).Msg("gateway stopped")
}

// IsReady reports whether new callers may be sent to this gateway, with a reason if not.
func (g *Gateway) IsReady() (bool, string) {
	switch {
	case g.departure.isLeaving():
		return false, reasonLeaving
	case !g.catalog.View().HasConfiguration():
		return false, reasonNoConfiguration
	}
	return true, ""
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	q := &request{g: g, w: w, r: r, started: time.Now(), view: g.catalog.View(), attrs: g.dialect.ReadRequest(r.Header)}
	q.prompt = partIDs(q.attrs.Parts)
	defer q.releaseBody()
	defer q.heldHead.Release()
	defer q.heldResults.Release()
	defer func() {
		// net/http closes the connection of a handler that panics, and the process goes on.
		v := recover()
		if v != nil && v != http.ErrAbortHandler {
			q.outcome, q.reason = outcomeBrokenOff, reasonInternal
			instance.LogPanic(g.logger, "request", &instance.PanicError{Value: v, Stack: debug.Stack()})
			if !q.headerWritten {
				v = nil
				q.respondPanicked()
			}
		}
		q.finish()
		if v == nil && q.resetOnClose && q.outcome == outcomeAnswered {
			q.setResetOnClose(false)
		}
		if v != nil {
			panic(http.ErrAbortHandler)
		}
	}()
	if g.departure.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	if failure := q.accept(); failure != nil {
		// The server may wait for the rest of the body before it writes.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusedBodyWait + callerWriteGrace))
		q.respondError(failure)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errDeadline)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(g.departure.noWaits, func() { stop(errLeaving) })()
	q.serve(ctx)
}
