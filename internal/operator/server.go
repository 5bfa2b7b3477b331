package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/negroni/v3"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
)

// CommitFailure is the kind of a failed commit.
type CommitFailure int

// Kinds of failed commits.
const (
	// CommitFailed is a failure of none of the kinds below; the commit is not in force.
	CommitFailed CommitFailure = iota
	// CommitConflict means that another commit was accepted first.
	CommitConflict
	// CommitNotWritten means that the store did not receive the write, or rejected it.
	CommitNotWritten
	// CommitUnresolved means that the commit may be in force.
	CommitUnresolved
)

// Dependencies are the functions of the entry that the API uses. All are required.
type Dependencies struct {
	// Key returns the bearer key of the API.
	Key func() (string, error)
	// Current returns the configuration in force, or nil.
	Current func() *fleet.Configuration
	// Commit commits doc as the generation after base, sets ChangedAt of the changed
	// items and returns the new generation. An invalid document gives a
	// *fleet.InvalidError.
	Commit func(ctx context.Context, base uint64, doc fleet.Document) (uint64, error)
	// Classify returns the kind of a commit that failed with err.
	Classify func(err error) CommitFailure
	// Status returns the status without its failure domains, which are derived.
	Status func(ctx context.Context) (Status, error)
	// Dump returns the state of the process as JSON without secrets. An empty
	// address means this process, others are peer addresses from Status.
	Dump   func(ctx context.Context, address string) ([]byte, error)
	Logger *log.Logger
	Scope  tally.Scope
}

// Server serves the operators' API.
type Server struct {
	deps    Dependencies
	handler http.Handler
	pause   func(ctx context.Context, d time.Duration)
}

type handlerFunc func(w http.ResponseWriter, r *http.Request) *problem.Problem

type methods map[string]handlerFunc

// New returns a server of the API.
func New(deps Dependencies) *Server {
	s := &Server{deps: deps, pause: pause}
	mux := http.NewServeMux()
	routes := map[string]methods{
		"/v1/configuration": {http.MethodGet: s.getConfiguration, http.MethodPut: s.putConfiguration},
		"/v1/sheet":         {http.MethodGet: s.getSheet, http.MethodPut: s.putSheet},
		"/v1/status":        {http.MethodGet: s.getStatus},
		"/v1/dump":          {http.MethodGet: s.getDump},
	}
	for path, m := range routes {
		mux.HandleFunc(path, s.route(m))
	}
	mux.HandleFunc("/", s.handle(unknownPath))
	s.handler = negroni.New(
		negroni.HandlerFunc(s.recover),
		negroni.HandlerFunc(s.authorize),
		negroni.Wrap(mux),
	)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// recover converts a panic of a handler to a problem response.
func (s *Server) recover(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		if v := recover(); v != nil {
			s.deps.Logger.Error().Str("path", r.URL.Path).Str("panic", fmt.Sprint(v)).Msg("operator request panicked")
			s.refuse(w, r, problem.New(http.StatusInternalServerError, ReasonInternal, "the handler failed; the log has the cause"))
		}
	}()
	next(w, r)
}

// authorize compares digests in constant time, so that the response time reveals nothing
// about the key or its length.
func (s *Server) authorize(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	key, err := s.deps.Key()
	if err != nil {
		s.deps.Logger.Error().Err(err).Msg("reading the operators' key failed")
		s.refuse(w, r, problem.New(http.StatusServiceUnavailable, ReasonKeyUnavailable, "the operators' key can't be read"))
		return
	}
	want := sha256.Sum256([]byte("Bearer " + key))
	got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
	if key == "" || subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		w.Header().Set("WWW-Authenticate", "Bearer")
		s.refuse(w, r, problem.New(http.StatusUnauthorized, ReasonWrongKey, "the operators' key is missing or wrong"))
		return
	}
	next(w, r)
}

func (s *Server) route(m methods) http.HandlerFunc {
	allowed := make([]string, 0, len(m))
	for method := range m {
		allowed = append(allowed, method)
	}
	slices.Sort(allowed)
	return func(w http.ResponseWriter, r *http.Request) {
		method := r.Method
		if method == http.MethodHead {
			method = http.MethodGet
		}
		h, ok := m[method]
		if !ok {
			w.Header().Set("Allow", strings.Join(allowed, ", "))
			s.refuse(w, r, problem.New(http.StatusMethodNotAllowed, ReasonWrongMethod, "allowed are "+strings.Join(allowed, ", ")))
			return
		}
		s.handle(h)(w, r)
	}
}

func (s *Server) handle(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p := h(w, r); p != nil {
			s.refuse(w, r, p)
			return
		}
		s.deps.Scope.Counter("operatorServed").Inc(1)
	}
}

// refuse writes the problem as the response, counts it and logs it with its reason.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, p *problem.Problem) {
	s.deps.Scope.Tagged(map[string]string{"reason": p.Reason}).Counter("operatorRefused").Inc(1)
	s.deps.Logger.Warn().Str("method", r.Method).Str("path", r.URL.Path).Int("status", p.Status).
		Str("reason", p.Reason).Str("detail", p.Detail).Msg("operator request refused")
	p.Instance = r.URL.Path
	p.Write(w)
}

func unknownPath(_ http.ResponseWriter, r *http.Request) *problem.Problem {
	return problem.New(http.StatusNotFound, ReasonUnknownPath, r.URL.Path+" is no resource of the operators' API")
}

// current returns the configuration in force.
func (s *Server) current() (*fleet.Configuration, *problem.Problem) {
	cfg := s.deps.Current()
	if cfg == nil {
		p := problem.New(http.StatusServiceUnavailable, ReasonNoConfiguration, "this entry has no configuration yet")
		p.Execution = fleet.NotStarted
		p.RetryAfterMs = retryAfterMs
		return nil, p
	}
	return cfg, nil
}

func setETag(w http.ResponseWriter, generation uint64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(generation, 10)))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
