package roles

import (
	"context"
	"net/http"
	"sync/atomic"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/peer"
)

// settableHandler allows a listener to be opened before its handler exists, because
// assembling the handler needs the listener's address.
type settableHandler struct {
	handler atomic.Pointer[http.Handler]
}

func (h *settableHandler) set(next http.Handler) { h.handler.Store(&next) }

// ServeHTTP passes the request to the handler, or returns 503 if it is not set yet.
func (h *settableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	next := h.handler.Load()
	if next == nil {
		http.Error(w, "the process is starting", http.StatusServiceUnavailable)
		return
	}
	(*next).ServeHTTP(w, r)
}

// process is a running role.
type process interface {
	Shutdown(ctx context.Context) error
	Close()
}

// runUntil shuts the process down when ctx ends, and closes it when a listener fails.
func runUntil(ctx context.Context, p process, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return p.Shutdown(context.Background())
	case err := <-failed:
		p.Close()
		return err
	}
}

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// stateService is the rpc service "State" of every process.
type stateService struct {
	holder *configuration.Holder
	dump   func() ([]byte, error)
}

func registerState(server *peer.Server, holder *configuration.Holder, dump func() ([]byte, error)) error {
	return server.Register("State", &stateService{holder: holder, dump: dump})
}

// Dump returns the state of the process as JSON.
func (s *stateService) Dump(_ *peer.DumpRequest, reply *peer.DumpReply) error {
	state, err := s.dump()
	reply.State = state
	return err
}

// Generation returns the generation in force in the process.
func (s *stateService) Generation(_ *peer.Empty, reply *peer.GenerationReply) error {
	reply.Generation = s.holder.Generation()
	return nil
}
