package roles

import (
	"net/http"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/gateway"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/peer"
)

const (
	// internalDivisor defines what each listener that isn't for callers may use: such a part of the
	// memory and of the descriptors bounds its connections as those of callers are bounded.
	internalDivisor = 16
	// internalHeaderBytes limits the header that such a listener reads; net/http adds 4 KiB.
	internalHeaderBytes = 4 << 10
	// inspectionWriteTimeout is how long a reader of the metrics or the state may take, and
	// maxInspections how many of them are served at a time: each has all of its response in memory.
	inspectionWriteTimeout = 10 * time.Second
	maxInspections         = 4
	// sidecarListenerMemory stands in for the memory limit of a sidecar, which has no setting for it.
	sidecarListenerMemory = 256 << 20
)

// guardListener bounds the connections of a listener that isn't for callers, and the memory for their
// heads. At the bound, the connection that has waited longest without a request gives way to a new one,
// so that a crowd doesn't keep the balancer, other processes or operators out. It must be called before
// Serve.
func guardListener(s *instance.Server, name string, memoryBytes int64, descriptors int, logger *log.Logger, scope tally.Scope) {
	named := *logger
	named.Context = log.NewContext(slices.Clone(logger.Context)).Str("listener", name).Value()
	cfg := intake.Config{MemoryBytes: memoryBytes / internalDivisor, Descriptors: descriptorsLimit(descriptors, logger) / internalDivisor}
	budget := intake.New(cfg, &named, scope.SubScope("internal").Tagged(map[string]string{"listener": name}))
	idle := gateway.NewIdleConns(func() time.Duration { return 0 }, budget, &named)
	s.Apply(func(hs *http.Server) {
		hs.Handler, hs.ConnState, hs.ConnContext = idle.Handler(hs.Handler), idle.Track, gateway.WithConn
		hs.MaxHeaderBytes = min(hs.MaxHeaderBytes, internalHeaderBytes)
	})
	s.WrapListener(idle.Listener)
}

// trustAuthorized ends the bound of guardListener for connections whose client has the shared secret.
func trustAuthorized(s *peer.Server) { s.OnAuthorized(gateway.TrustConn) }

// limitInspections refuses requests while maxInspections are being served.
func limitInspections(h http.Handler) http.Handler {
	served := make(chan struct{}, maxInspections)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case served <- struct{}{}:
			defer func() { <-served }()
			h.ServeHTTP(w, r)
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "others are being served", http.StatusServiceUnavailable)
		}
	})
}

func withWriteTimeout(s *http.Server) { s.WriteTimeout = inspectionWriteTimeout }
