package peer

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"net/rpc"
	"strconv"

	"github.com/pkg/errors"
)

// Server performs the handshake and serves the registered rpc services and HTTP handlers.
type Server struct {
	secrets *secrets
	rpc     *rpc.Server
	mux     *http.ServeMux
	// onAuthorized is called with each request that has the secret, before it is served.
	onAuthorized func(*http.Request)
}

// NewServer returns a server without services that requires the secret on each request.
func NewServer(secret string) *Server {
	s := &Server{secrets: newSecrets(secret), rpc: rpc.NewServer(), mux: http.NewServeMux()}
	s.mux.HandleFunc(rpcPath, s.serveRPC)
	s.onAuthorized = func(*http.Request) {}
	return s
}

// OnAuthorized sets a function that is called with each request that has the secret, before it is
// served. It must be called before the first request.
func (s *Server) OnAuthorized(f func(*http.Request)) { s.onAuthorized = f }

// AddSecret makes the server accept the secret too.
func (s *Server) AddSecret(secret string) { s.secrets.add(secret) }

// Register registers service as the rpc service with the name.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "registering the rpc service %s", name)
}

// Handle registers an HTTP handler. The secret and the version are checked before it runs.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// ServeHTTP checks the secret and the version and passes the request to its handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.isAuthorized(r) {
		http.Error(w, "wrong shared secret", http.StatusUnauthorized)
		return
	}
	s.onAuthorized(r)
	if v := r.Header.Get(versionHeader); v != strconv.Itoa(Version) {
		http.Error(w, fmt.Sprintf("protocol version %q is not supported, this process speaks %d", v, Version), http.StatusUpgradeRequired)
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) isAuthorized(r *http.Request) bool {
	accepted := 0
	for _, secret := range s.secrets.all() {
		accepted |= subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+secret))
	}
	return accepted == 1
}

func (s *Server) serveRPC(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.Error(w, "CONNECT is required", http.StatusMethodNotAllowed)
		return
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "HTTP/1.1 is required", http.StatusHTTPVersionNotSupported)
		return
	}
	conn, buf, err := hijacker.Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	timed := newTimedConn(conn)
	if _, err := fmt.Fprintf(timed, "HTTP/1.1 %s\r\n\r\n", connectedLine); err != nil {
		_ = conn.Close()
		return
	}
	codec := &serverCodec{gobStream: newGobStream(timed, buf.Reader), slots: make(chan struct{}, MaxCallsPerConnection)}
	s.rpc.ServeCodec(codec)
}

// Authorize sets the secret and the version on a request to another process.
func Authorize(r *http.Request, secret string) {
	r.Header.Set("Authorization", "Bearer "+secret)
	r.Header.Set(versionHeader, strconv.Itoa(Version))
}
