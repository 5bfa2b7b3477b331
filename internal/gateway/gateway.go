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

// Config says where the gateway stands.
type Config struct {
	FailureDomain string
}

// Gateway serves callers. It is an http.Handler.
type Gateway struct {
	cfg     Config
	dialect *dialect.Dialect
	catalog *catalog.Catalog
	pool    *forward.Pool
	table   *placement.Table
	stages  *Stages
	budgets *retry.Budgets
	sizes   *pipeline.RouteSizes
	logger  *log.Logger
	ended   *instance.Counters[ending]
	latency *instance.Histograms[string]
	first   *instance.Histograms[string]

	leaving  atomic.Bool
	inFlight sync.WaitGroup
}

// ending labels the end of a request in metrics.
type ending struct {
	service string
	outcome string
}

// New returns a gateway that serves what the catalog holds.
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
		ended: instance.NewCounters(scope, "requests", func(e ending) map[string]string {
			return map[string]string{"service": e.service, "outcome": e.outcome}
		}),
		latency: instance.NewHistograms(scope, "requestTime", byService),
		first:   instance.NewHistograms(scope, "firstByteTime", byService),
	}
}

// Leave makes every answer close its connection, so that callers go to other gateways,
// and hands the queues of stages over.
func (g *Gateway) Leave() {
	g.leaving.Store(true)
	g.stages.roster.Leave()
}

// IsReady reports whether new callers should come here, and why not.
func (g *Gateway) IsReady() (bool, string) {
	switch {
	case g.leaving.Load():
		return false, reasonLeaving
	case !g.catalog.View().HasConfiguration():
		return false, reasonNoConfiguration
	}
	return true, ""
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Done()
	q := &request{g: g, w: w, r: r, started: time.Now(), view: g.catalog.View(), attrs: g.dialect.ReadRequest(r.Header)}
	defer q.finish()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if f := q.accept(); f != nil {
		q.refuse(f)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), q.deadline, errDeadline)
	defer cancel()
	q.serve(ctx)
}
