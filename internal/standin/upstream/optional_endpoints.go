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

// EngineOrder is one order that an engine got.
type EngineOrder struct {
	Path     string `json:"path"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Version  string `json:"version,omitempty"`
	Role     string `json:"role,omitempty"`
	Fencing  uint64 `json:"fencing"`
	Accepted bool   `json:"accepted"`
}

// extras holds what an engine offers beyond the two OpenAI-compatible calls.
type extras struct {
	mu      sync.Mutex
	model   string
	adapter string
	version string
	role    string
	fencing uint64
	orders  []EngineOrder
	cancels map[string]context.CancelCauseFunc
	streams map[string]*heldStream
}

// heldStream is the answer of a streamed call, kept so that it can be resumed.
type heldStream struct {
	mu       sync.Mutex
	identity string
	model    string
	tokens   []string
	finished bool
	err      error
	changed  chan struct{}
}

var (
	errCancelled = errors.New("the call was cancelled by its id")
	errGone      = errors.New("the stream is not held by this identity")
)

func (e *Engine) handleExtras() {
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

// Orders returns the orders that the engine got, accepted or not.
func (e *Engine) Orders() []EngineOrder {
	e.extras.mu.Lock()
	defer e.extras.mu.Unlock()
	return append([]EngineOrder(nil), e.extras.orders...)
}

func (e *Engine) serveDescription(w http.ResponseWriter, _ *http.Request) {
	s := e.State()
	x := &e.extras
	x.mu.Lock()
	defer x.mu.Unlock()
	writeJSON(w, engine.Description{
		Identity:     s.Identity,
		StartedAt:    s.StartedAt,
		Model:        x.model,
		Adapter:      x.adapter,
		Version:      x.version,
		Role:         x.role,
		Capabilities: e.capabilities(),
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.capacity.report()) }

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
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
		refuse(w, http.StatusBadRequest, err)
		return
	}
	e.extras.mu.Lock()
	cancel, ok := e.extras.cancels[in.Attempt]
	e.extras.mu.Unlock()
	if ok {
		cancel(errCancelled)
	}
	writeJSON(w, map[string]bool{"cancelled": ok})
}

// cancellable registers the attempt until done is called.
func (e *Engine) cancellable(ctx context.Context, attempt string) (own context.Context, done func()) {
	own, cancel := context.WithCancelCause(ctx)
	if attempt == "" {
		return own, func() { cancel(nil) }
	}
	e.extras.mu.Lock()
	defer e.extras.mu.Unlock()
	e.extras.cancels[attempt] = cancel
	return own, func() {
		cancel(nil)
		e.extras.mu.Lock()
		defer e.extras.mu.Unlock()
		delete(e.extras.cancels, attempt)
	}
}

func (e *Engine) serveModel(w http.ResponseWriter, r *http.Request) {
	var in engine.ModelOrder
	if err := readJSON(w, r, &in); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	o := EngineOrder{Path: engine.ModelPath, Model: in.Model, Adapter: in.Adapter, Version: in.Version, Fencing: in.Fencing}
	accepted := e.order(w, o, func(x *extras) { x.model, x.adapter, x.version = in.Model, in.Adapter, in.Version })
	if accepted {
		e.SetCold()
	}
}

func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	var in engine.RoleOrder
	if err := readJSON(w, r, &in); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	e.order(w, EngineOrder{Path: engine.RolePath, Role: in.Role, Fencing: in.Fencing}, func(x *extras) { x.role = in.Role })
}

// order records the order and applies it unless its fencing number is old.
func (e *Engine) order(w http.ResponseWriter, o EngineOrder, apply func(*extras)) bool {
	x := &e.extras
	x.mu.Lock()
	defer x.mu.Unlock()
	o.Accepted = e.cfg.IgnoreFencing || o.Fencing >= x.fencing
	x.orders = append(x.orders, o)
	if !o.Accepted {
		writeStatus(w, http.StatusConflict, map[string]any{"fencing": x.fencing})
		return false
	}
	x.fencing = max(x.fencing, o.Fencing)
	apply(x)
	writeJSON(w, map[string]bool{"accepted": true})
	return true
}

// hasModel reports whether the engine serves the model; one without orders serves every model.
func (e *Engine) hasModel(name string) bool {
	e.extras.mu.Lock()
	defer e.extras.mu.Unlock()
	return e.extras.model == "" || e.extras.model == name
}

// hold keeps the stream of the attempt for ResumeWindow after its end.
func (e *Engine) hold(attempt, model string) *heldStream {
	h := &heldStream{identity: e.identity(), model: model, changed: make(chan struct{})}
	if attempt == "" || e.cfg.ResumeWindow <= 0 {
		return h
	}
	e.extras.mu.Lock()
	defer e.extras.mu.Unlock()
	e.extras.streams[attempt] = h
	return h
}

func (e *Engine) release(attempt string, h *heldStream) {
	time.AfterFunc(e.cfg.ResumeWindow, func() {
		e.extras.mu.Lock()
		defer e.extras.mu.Unlock()
		if e.extras.streams[attempt] == h {
			delete(e.extras.streams, attempt)
		}
	})
}

// add appends a token; end marks the end of the stream.
func (h *heldStream) add(token string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = append(h.tokens, token)
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *heldStream) end(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finished, h.err = true, err
	close(h.changed)
	h.changed = make(chan struct{})
}

// streamPart is what a held stream has after an offset.
type streamPart struct {
	tokens   []string
	finished bool
	err      error
	// changed is closed on the next change.
	changed <-chan struct{}
}

func (h *heldStream) from(offset int) streamPart {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := streamPart{finished: h.finished, err: h.err, changed: h.changed}
	if offset < len(h.tokens) {
		p.tokens = h.tokens[offset:]
	}
	return p
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	attempt := r.PathValue("attempt")
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		refuse(w, http.StatusBadRequest, errors.New("offset is not a number of tokens"))
		return
	}
	e.extras.mu.Lock()
	h, ok := e.extras.streams[attempt]
	e.extras.mu.Unlock()
	if !ok || h.identity != r.URL.Query().Get("identity") || h.identity != e.identity() {
		refuse(w, http.StatusGone, errGone)
		return
	}
	w.Header().Set(engine.AttemptHeader, attempt)
	w.Header().Set(contentType, contentTypeEvents)
	h.follow(r.Context(), w, offset)
}

// follow sends the tokens from the offset on until the stream ends.
func (h *heldStream) follow(ctx context.Context, w http.ResponseWriter, offset int) {
	for {
		p := h.from(offset)
		for _, token := range p.tokens {
			if err := sendToken(w, h.model, token); err != nil {
				return
			}
		}
		offset += len(p.tokens)
		if p.finished {
			if p.err != nil {
				panic(http.ErrAbortHandler)
			}
			sendEnd(w, h.model, offset)
			return
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return
		}
	}
}
