package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

// EngineConfig describes a stand-in for a model engine. Zero values take the defaults.
type EngineConfig struct {
	// Name is the prefix of the identity.
	Name string
	Load LoadConfig
	// Model is the model served from the start; an empty one serves every model
	// until the first order.
	Model string
	// PrefillPerByte is the time for each byte of input.
	PrefillPerByte time.Duration
	// PerToken is the time for each generated token.
	PerToken time.Duration
	// BatchSlope is the relative increase of PerToken for each other running call.
	BatchSlope float64
	// Tokens is the length of a response in tokens; max_tokens limits it.
	Tokens int
	// IgnoreFencing accepts orders with a stale fencing token.
	IgnoreFencing bool
	// Plain disables all endpoints beyond the two OpenAI-compatible calls.
	Plain bool
	// DisabledCapabilities are the capabilities that it neither describes nor serves;
	// priority is only left out of the description.
	DisabledCapabilities []engine.Capability
	// ResumeWindow lets a streamed call continue without its client for this long
	// and stores its output for as long; 0 disables resuming.
	ResumeWindow time.Duration
	// DisconnectLag is the delay until the engine detects that the client of a call
	// that is not streamed has disconnected; 0 detects it immediately.
	DisconnectLag time.Duration
	// CacheBlocks bounds the number of blocks in the prefix cache.
	CacheBlocks int
	// MaxRecords bounds the number of stored records.
	MaxRecords int
}

// Engine is a stand-in for a model engine.
type Engine struct {
	*standin
	cfg      EngineConfig
	optional optionalEndpoints
	cache    *prefixCache
}

// NewEngine returns a stand-in for a model engine, which is an http.Handler.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.Tokens = orDefault(cfg.Tokens, DefaultTokens)
	e := &Engine{
		standin: newStandin(cfg.Name, cfg.Load, cfg.MaxRecords),
		cfg:     cfg,
		cache:   newPrefixCache(orDefault(cfg.CacheBlocks, DefaultCacheBlocks)),
		optional: optionalEndpoints{
			model:   cfg.Model,
			cancels: make(map[string]context.CancelCauseFunc),
			streams: make(map[string]*storedStream),
		},
	}
	e.standin.onCold = e.cache.clear
	e.mux.HandleFunc("POST "+engine.ChatPath, e.serveChat)
	e.mux.HandleFunc("POST "+engine.EmbeddingsPath, e.serveEmbeddings)
	e.handleOptionalEndpoints()
	return e
}

type chatCall struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	Priority  int  `json:"priority"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var call chatCall
	if err := readJSON(w, r, &call); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if len(call.Messages) == 0 {
		writeError(w, http.StatusBadRequest, errors.New("messages is empty"))
		return
	}
	if !e.hasModel(call.Model) {
		writeError(w, http.StatusNotFound, errors.Errorf("model %q is not loaded", call.Model))
		return
	}
	content := call.Messages[len(call.Messages)-1].Content
	rec := Record{
		Path:     engine.ChatPath,
		Input:    content,
		Digest:   contentDigest(content),
		Priority: fmt.Sprint(call.Priority),
		Stream:   call.Stream,
	}
	attempt := r.Header.Get(engine.AttemptHeader)
	e.run(w, r, rec, call.Priority, func(ctx context.Context, a *activeCall) (int, error) {
		lag := e.cfg.DisconnectLag
		if call.Stream {
			lag = e.cfg.ResumeWindow
		}
		ctx, cancel := withDelayedCancel(ctx, lag)
		defer cancel(nil)
		ctx, done := e.withCancelByAttempt(ctx, attempt)
		defer done()
		cached := e.cache.use(content, e.capacity.current().CacheGap)
		if err := a.work(ctx, time.Duration(len(content)-cached)*e.cfg.PrefillPerByte); err != nil {
			return 0, err
		}
		tokens := ChatTokens(content, e.tokenCount(call.MaxTokens))
		if call.Stream {
			return e.stream(ctx, w, a, attempt, call.Model, tokens)
		}
		if err := a.work(ctx, time.Duration(len(tokens))*e.perToken()); err != nil {
			return 0, err
		}
		return len(tokens), e.reply(w, chatDocument(call.Model, tokens))
	})
}

// tokenCount returns the number of tokens of a response.
func (e *Engine) tokenCount(maxTokens int) int {
	if maxTokens > 0 {
		return min(e.cfg.Tokens, maxTokens)
	}
	return e.cfg.Tokens
}

func (e *Engine) perToken() time.Duration {
	e.capacity.mu.Lock()
	others := max(0, e.capacity.running-1)
	e.capacity.mu.Unlock()
	return time.Duration(float64(e.cfg.PerToken) * (1 + e.cfg.BatchSlope*float64(others)))
}

func (e *Engine) serveEmbeddings(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Model string          `json:"model"`
		Input json.RawMessage `json:"input"`
	}
	if err := readJSON(w, r, &call); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	rec := Record{Path: engine.EmbeddingsPath, Input: string(call.Input), Digest: Digest(call.Input)}
	e.run(w, r, rec, 0, func(ctx context.Context, a *activeCall) (int, error) {
		if err := a.work(ctx, time.Duration(len(call.Input))*e.cfg.PrefillPerByte+e.cfg.PerToken); err != nil {
			return 0, err
		}
		return 0, e.reply(w, embeddingDocument(call.Model, EmbeddingOutput(call.Input)))
	})
}

// run admits, records and executes one call.
func (s *standin) run(w http.ResponseWriter, r *http.Request, rec Record, priority int, work func(context.Context, *activeCall) (int, error)) {
	a, err := s.capacity.admit()
	if err != nil {
		s.fail(w, err)
		return
	}
	defer a.finish()
	ctx := r.Context()
	if s.capacity.current().Hang {
		s.fail(w, a.hang(ctx))
		return
	}
	if err := a.acquire(ctx, priority); err != nil {
		s.fail(w, err)
		return
	}
	rec.Attempt = r.Header.Get(engine.AttemptHeader)
	rec.Identity = s.identity()
	w.Header().Set(engine.AttemptHeader, rec.Attempt)
	end := s.recorder.begin(rec)
	tokens, err := work(ctx, a)
	if err != nil && !errors.Is(err, errReplyLost) {
		end(RecordAborted, tokens)
		s.fail(w, err)
		return
	}
	end(RecordDone, tokens)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *standin) identity() string {
	s.capacity.mu.Lock()
	defer s.capacity.mu.Unlock()
	return s.capacity.identity
}

// errReplyLost ends a call that took effect and whose response a fault truncates or drops.
var errReplyLost = errors.New("response truncated or dropped by a fault")

// errStreamCut ends a stream that has started, without its last events.
var errStreamCut = errors.New("stream truncated")

// reply writes the document completely, truncated or not at all, as the faults require.
func (s *standin) reply(w http.ResponseWriter, doc any) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	f := s.capacity.current()
	if f.DropReplies {
		return errReplyLost
	}
	w.Header().Set(contentType, contentTypeJSON)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if f.CutReplies {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		return errReplyLost
	}
	// The work took effect, whether or not the client still reads.
	_, _ = w.Write(body)
	return nil
}

// fail sends the response of a call that did not complete.
func (s *standin) fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errStreamCut), errors.Is(err, errRestarted):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errQueueFull):
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, err)
	case errors.Is(err, errInjected):
		f := s.capacity.current()
		if f.FailStated {
			w.Header().Set(engine.ExecutionHeader, "notStarted")
		}
		writeError(w, orDefault(f.FailStatus, http.StatusInternalServerError), err)
	default:
		writeError(w, http.StatusInternalServerError, err)
	}
}

// writeError writes the error document of the engine protocol.
func writeError(w http.ResponseWriter, status int, err error) {
	writeStatus(w, status, map[string]any{"error": map[string]any{"message": err.Error(), "code": status}})
}

func writeStatus(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	w.Header().Set(contentType, contentTypeJSON)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}
