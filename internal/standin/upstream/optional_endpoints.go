package upstream

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

// EngineOrder is one order that an engine received.
type EngineOrder struct {
	Path     string `json:"path"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Version  string `json:"version,omitempty"`
	Role     string `json:"role,omitempty"`
	Fencing  uint64 `json:"fencing"`
	Accepted bool   `json:"accepted"`
}

// optionalEndpoints is the state of the endpoints beyond the two OpenAI-compatible calls.
type optionalEndpoints struct {
	mu      sync.Mutex
	model   string
	adapter string
	version string
	role    string
	fencing uint64
	orders  []EngineOrder
	cancels map[string]context.CancelCauseFunc
	streams map[string]*storedStream
}

// storedStream is the output of a streamed call, stored so that it can be resumed.
type storedStream struct {
	mu       sync.Mutex
	identity string
	model    string
	tokens   []string
	finished bool
	err      error
	changed  chan struct{}
}

var (
	errCancelled       = errors.New("call cancelled by attempt id")
	errStreamNotStored = errors.New("stream is not stored by this engine identity")
)

func (e *Engine) handleOptionalEndpoints() {
	if e.cfg.Plain {
		return
	}
	handle := map[engine.Capability]func(){
		engine.CapabilityLoad: func() { e.mux.HandleFunc("GET "+engine.LoadPath, e.serveLoad) },
		engine.CapabilityCacheEvents: func() {
			e.mux.HandleFunc("GET "+engine.CacheEventsPath, e.serveCacheEvents)
		},
		engine.CapabilityResume: func() {
			e.mux.HandleFunc("GET "+engine.StreamsPath+"{attempt}", e.serveResume)
		},
		engine.CapabilityCancel:     func() { e.mux.HandleFunc("POST "+engine.CancelPath, e.serveCancel) },
		engine.CapabilityLoadModel:  func() { e.mux.HandleFunc("POST "+engine.ModelPath, e.serveModel) },
		engine.CapabilityChangeRole: func() { e.mux.HandleFunc("POST "+engine.RolePath, e.serveRole) },
	}
	for _, c := range e.capabilities() {
		if f, ok := handle[c]; ok {
			f()
		}
	}
	e.mux.HandleFunc("GET "+engine.DescriptionPath, e.serveDescription)
	e.mux.HandleFunc("GET /admin/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Orders()) })
}

func (e *Engine) capabilities() []engine.Capability {
	all := []engine.Capability{
		engine.CapabilityPriority,
		engine.CapabilityCancel,
		engine.CapabilityCacheEvents,
		engine.CapabilityLoad,
		engine.CapabilityLoadModel,
		engine.CapabilityChangeRole,
	}
	if e.cfg.ResumeWindow > 0 {
		all = append(all, engine.CapabilityResume)
	}
	return slices.DeleteFunc(all, func(c engine.Capability) bool { return slices.Contains(e.cfg.DisabledCapabilities, c) })
}

// Orders returns all orders that the engine received, including rejected ones.
func (e *Engine) Orders() []EngineOrder {
	e.optional.mu.Lock()
	defer e.optional.mu.Unlock()
	return append([]EngineOrder(nil), e.optional.orders...)
}

func (e *Engine) serveDescription(w http.ResponseWriter, _ *http.Request) {
	s := e.State()
	opt := &e.optional
	opt.mu.Lock()
	defer opt.mu.Unlock()
	writeJSON(w, engine.Description{
		Identity:     s.Identity,
		StartedAt:    s.StartedAt,
		Model:        opt.model,
		Adapter:      opt.adapter,
		Version:      opt.version,
		Role:         opt.role,
		Capabilities: e.capabilities(),
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.capacity.report()) }

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	lag := time.Duration(e.capacity.current().CacheLagMs) * time.Millisecond
	writeJSON(w, engine.CacheEvents{Events: e.cache.since(after, lag)})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Attempt string `json:"attempt"`
	}
	if err := readJSON(w, r, &in); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	e.optional.mu.Lock()
	cancel, ok := e.optional.cancels[in.Attempt]
	e.optional.mu.Unlock()
	if ok {
		cancel(errCancelled)
	}
	writeJSON(w, map[string]bool{"cancelled": ok})
}

// withCancelByAttempt returns a context that the cancel endpoint ends by the attempt
// id; done unregisters the attempt.
func (e *Engine) withCancelByAttempt(ctx context.Context, attempt string) (cancellable context.Context, done func()) {
	cancellable, cancel := context.WithCancelCause(ctx)
	if attempt == "" {
		return cancellable, func() { cancel(nil) }
	}
	e.optional.mu.Lock()
	defer e.optional.mu.Unlock()
	e.optional.cancels[attempt] = cancel
	return cancellable, func() {
		cancel(nil)
		e.optional.mu.Lock()
		defer e.optional.mu.Unlock()
		delete(e.optional.cancels, attempt)
	}
}

func (e *Engine) serveModel(w http.ResponseWriter, r *http.Request) {
	var in engine.ModelOrder
	if err := readJSON(w, r, &in); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	o := EngineOrder{Path: engine.ModelPath, Model: in.Model, Adapter: in.Adapter, Version: in.Version, Fencing: in.Fencing}
	accepted := e.applyOrder(w, o, func(opt *optionalEndpoints) { opt.model, opt.adapter, opt.version = in.Model, in.Adapter, in.Version })
	if accepted {
		e.SetCold()
	}
}

func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	var in engine.RoleOrder
	if err := readJSON(w, r, &in); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	e.applyOrder(w, EngineOrder{Path: engine.RolePath, Role: in.Role, Fencing: in.Fencing}, func(opt *optionalEndpoints) { opt.role = in.Role })
}

// applyOrder records the order and applies it unless its fencing token is stale.
func (e *Engine) applyOrder(w http.ResponseWriter, o EngineOrder, apply func(*optionalEndpoints)) bool {
	opt := &e.optional
	opt.mu.Lock()
	defer opt.mu.Unlock()
	o.Accepted = e.cfg.IgnoreFencing || o.Fencing >= opt.fencing
	opt.orders = append(opt.orders, o)
	if !o.Accepted {
		writeStatus(w, http.StatusConflict, map[string]any{"fencing": opt.fencing})
		return false
	}
	opt.fencing = max(opt.fencing, o.Fencing)
	apply(opt)
	writeJSON(w, map[string]bool{"accepted": true})
	return true
}

// hasModel reports whether the engine serves the model; without a configured model it serves every model.
func (e *Engine) hasModel(name string) bool {
	e.optional.mu.Lock()
	defer e.optional.mu.Unlock()
	return e.optional.model == "" || e.optional.model == name
}

// storeStream returns the stored stream of a new attempt and registers it when it can
// be resumed.
func (e *Engine) storeStream(attempt, model string) *storedStream {
	s := &storedStream{identity: e.identity(), model: model, changed: make(chan struct{})}
	if attempt == "" || e.cfg.ResumeWindow <= 0 {
		return s
	}
	e.optional.mu.Lock()
	defer e.optional.mu.Unlock()
	e.optional.streams[attempt] = s
	return s
}

// expireStream removes the stored stream of an ended attempt after ResumeWindow.
func (e *Engine) expireStream(attempt string, s *storedStream) {
	time.AfterFunc(e.cfg.ResumeWindow, func() {
		e.optional.mu.Lock()
		defer e.optional.mu.Unlock()
		if e.optional.streams[attempt] == s {
			delete(e.optional.streams, attempt)
		}
	})
}

// add appends a token and wakes the readers of the stream.
func (s *storedStream) add(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	close(s.changed)
	s.changed = make(chan struct{})
}

// end marks the end of the stream.
func (s *storedStream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished, s.err = true, err
	close(s.changed)
	s.changed = make(chan struct{})
}

// streamTail is the content of a stored stream from an offset on.
type streamTail struct {
	tokens   []string
	finished bool
	err      error
	// changed is closed by the next change of the stream.
	changed <-chan struct{}
}

func (s *storedStream) from(offset int) streamTail {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := streamTail{finished: s.finished, err: s.err, changed: s.changed}
	if offset < len(s.tokens) {
		p.tokens = s.tokens[offset:]
	}
	return p
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("attempt")
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, errors.New("offset must be a number of tokens of at least 0"))
		return
	}
	e.optional.mu.Lock()
	s, ok := e.optional.streams[attempt]
	e.optional.mu.Unlock()
	if !ok || s.identity != r.URL.Query().Get("identity") || s.identity != e.identity() {
		writeError(w, http.StatusGone, errStreamNotStored)
		return
	}
	w.Header().Set(engine.AttemptHeader, attempt)
	w.Header().Set(contentType, contentTypeEvents)
	s.follow(r.Context(), w, offset)
}

// follow sends the tokens from the offset on until the stream ends.
func (s *storedStream) follow(ctx context.Context, w http.ResponseWriter, offset int) {
	for {
		p := s.from(offset)
		for _, token := range p.tokens {
			if err := sendToken(w, s.model, token); err != nil {
				return
			}
		}
		offset += len(p.tokens)
		if p.finished {
			if p.err != nil {
				panic(http.ErrAbortHandler)
			}
			sendEnd(w, s.model, offset)
			return
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return
		}
	}
}
