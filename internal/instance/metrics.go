package instance

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes metrics to the reporter.
const reportInterval = time.Second

// Metrics is the root scope of a process with the handler that exposes it.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// NewMetrics returns metrics in the Prometheus text format. Each call creates a separate
// registry, so that several roles can run in one process.
func NewMetrics() *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		// A metric that conflicts with another is omitted; by default the reporter panics.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "bergamotrudder",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return errors.Wrap(m.closer.Close(), "closing metrics") }
