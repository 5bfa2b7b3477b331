package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
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
	cfg           Config
	dialect       *dialect.Dialect
	catalog       *catalog.Catalog
	pool          *forward.Pool
	table         *placement.Table
	stages        *Stages
	budgets       *retry.Budgets
	sizes         *pipeline.RouteSizes
	logger        *log.Logger
	requests      *instance.CounterVec[requestLabels]
	latency       *instance.HistogramVec[string]
	firstByteTime *instance.HistogramVec[string]

	leaving  atomic.Bool
	inFlight sync.WaitGroup
}

// requestLabels are the metric labels of an ended request.
type requestLabels struct {
	service string
	outcome string
}

// New returns a gateway that serves the routes of the catalog.
func New(cfg Config, d *dialect.Dialect, cat *catalog.Catalog, pool *forward.Pool, table *placement.Table, stages *Stages, budgets *retry.Budgets, logger *log.Logger, scope tally.Scope) *Gateway {
	byService := func(service string) map[string]string { return map[string]string{"service": service} }
	return &Gateway{
		cfg:     cfg,
		dialect: d,
		catalog: cat,
		pool:    pool,
		table:   table,
		stages:  stages,
		budgets: budgets,
		sizes:   pipeline.NewRouteSizes(),
		logger:  logger,
		requests: instance.NewCounterVec(scope, "requests", func(labels requestLabels) map[string]string {
			return map[string]string{"service": labels.service, "outcome": labels.outcome}
		}),
		latency:       instance.NewHistogramVec(scope, "requestTime", byService),
		firstByteTime: instance.NewHistogramVec(scope, "firstByteTime", byService),
	}
}

// Leave makes every response close its connection, so that callers reconnect to other
// gateways, and hands over the queues of stages.
func (g *Gateway) Leave() {
	g.leaving.Store(true)
	g.stages.roster.Leave()
}

// IsReady reports whether new callers may be sent to this gateway, with a reason if not.
func (g *Gateway) IsReady() (bool, string) {
	switch {
	case g.leaving.Load():
		return false, reasonLeaving
	case !g.catalog.View().HasConfiguration():
		return false, reasonNoConfiguration
	}
	return true, ""
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Done()
	q := &request{g: g, w: w, r: r, started: time.Now(), view: g.catalog.View(), attrs: g.dialect.ReadRequest(r.Header)}
	defer q.finish()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if failure := q.accept(); failure != nil {
		q.respondError(failure)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errDeadline)
	defer cancel()
	q.serve(ctx)
}
