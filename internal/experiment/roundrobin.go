package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// maxBody is the largest request that the plain proxy reads, in bytes.
const maxBody = 1 << 20

// RoundRobin is the baseline: entries that send each stage to the next upstream in
// turn and try one more upstream after a failure. They have no limits, queues,
// ejection or memory of keys, and no sidecars or object API; they know the
// configuration at once.
func RoundRobin() System {
	var mu sync.Mutex
	configurations := make(map[*Platform]*atomic.Pointer[fleet.Configuration])
	return System{
		Name: "roundRobin",
		StartPlatform: func(_ context.Context, doc fleet.Document, _ Environment) (*Platform, error) {
			current := &atomic.Pointer[fleet.Configuration]{}
			commit := func(_ context.Context, doc fleet.Document) error {
				cfg, err := fleet.New(1, doc)
				if err != nil {
					return err
				}
				current.Store(cfg)
				return nil
			}
			p := &Platform{Commit: commit}
			p.Close = func() {
				mu.Lock()
				defer mu.Unlock()
				delete(configurations, p)
			}
			mu.Lock()
			defer mu.Unlock()
			configurations[p] = current
			return p, commit(context.Background(), doc)
		},
		StartEntry: func(ctx context.Context, spec EntrySpec, p *Platform, env Environment) (*Process, error) {
			mu.Lock()
			current := configurations[p]
			mu.Unlock()
			return startProxy(ctx, spec, current, env)
		},
	}
}

// proxy is an entry of the baseline.
type proxy struct {
	name    string
	current *atomic.Pointer[fleet.Configuration]
	stages  map[string][]*proxied
	turn    atomic.Uint64
	attempt atomic.Uint64
}

type proxied struct {
	UpstreamAddress
	client *engine.Client
}

func startProxy(ctx context.Context, spec EntrySpec, current *atomic.Pointer[fleet.Configuration], env Environment) (*Process, error) {
	p := &proxy{name: spec.Name, current: current, stages: make(map[string][]*proxied)}
	for _, u := range env.Upstreams {
		c := engine.New(engine.Config{BaseURL: u.URL}, nil)
		p.stages[u.Stage.Name] = append(p.stages[u.Stage.Name], &proxied{UpstreamAddress: u, client: c})
	}
	address := spec.Listen
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}
	server := &http.Server{Handler: p.handler(), ReadHeaderTimeout: readyTimeout}
	go func() { _ = server.Serve(l) }()
	return &Process{
		Name:   spec.Name,
		URL:    "http://" + l.Addr().String(),
		Record: fleet.InstanceRecord{Name: spec.Name, Role: fleet.RoleEntry, FailureDomain: spec.FailureDomain},
		Leave:  server.Shutdown,
		Kill:   func() { _ = server.Close() },
	}, nil
}

func (p *proxy) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/requests", p.serve)
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/tickets", func(w http.ResponseWriter, _ *http.Request) {
		writeDocument(w, http.StatusOK, map[string]any{"ticket": "none", "expiresInSeconds": 1})
	})
	return mux
}

func (p *proxy) serve(w http.ResponseWriter, r *http.Request) {
	cfg := p.current.Load()
	pipeline, ok := cfg.Pipeline(r.PathValue("pipeline"))
	if !ok {
		writeProblem(w, http.StatusNotFound, fleet.NotStarted, "no such pipeline")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var in struct {
		Input     json.RawMessage `json:"input"`
		MaxTokens int             `json:"maxTokens"`
	}
	if err != nil || json.Unmarshal(body, &in) != nil {
		writeProblem(w, http.StatusBadRequest, fleet.NotStarted, "the body is no request")
		return
	}
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = int(pipeline.DeadlineMs)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	id := fmt.Sprintf("%s-%d", p.name, p.attempt.Add(1))
	output, err := p.run(ctx, cfg, pipeline, id, in.Input, in.MaxTokens)
	if err != nil {
		writeProblem(w, http.StatusBadGateway, engine.ExecutionOf(err), err.Error())
		return
	}
	if r.Header.Get("Accept") == "text/event-stream" {
		writeEvents(w, id, output)
		return
	}
	writeDocument(w, http.StatusOK, map[string]any{"requestId": id, "pipeline": pipeline.Name, "output": output})
}

// run runs the stages in order. A failure of a later stage is unknown, because an
// earlier one has run.
func (p *proxy) run(ctx context.Context, cfg *fleet.Configuration, pipeline fleet.Pipeline, id string, input json.RawMessage, maxTokens int) (json.RawMessage, error) {
	value := input
	for _, step := range pipeline.Steps {
		stage, _ := cfg.Stage(step.Stage)
		call := engine.Call{Protocol: stage.Protocol, Path: stage.Path, Model: stage.Model, Input: value, MaxTokens: maxTokens, Attempt: id}
		result, err := p.call(ctx, cfg, stage, call)
		if err != nil {
			return nil, err
		}
		value = result.Output
	}
	return value, nil
}

// call tries an upstream of the stage and, after a failure that allows it, the next one.
func (p *proxy) call(ctx context.Context, cfg *fleet.Configuration, stage fleet.Stage, call engine.Call) (engine.Result, error) {
	var result engine.Result
	err := error(&engine.NotContactedError{Cause: errors.New("no upstream in service")})
	for range 2 {
		u := p.next(cfg, stage.Name)
		if u == nil {
			return result, err
		}
		result, err = u.client.Run(ctx, call)
		if err == nil || ctx.Err() != nil {
			return result, err
		}
		if !stage.Idempotent && engine.ExecutionOf(err) != fleet.NotStarted {
			return result, err
		}
	}
	return result, err
}

// next returns the next upstream of the stage that is in service, or nil.
func (p *proxy) next(cfg *fleet.Configuration, stage string) *proxied {
	all := p.stages[stage]
	start := p.turn.Add(1)
	for i := range uint64(len(all)) {
		u := all[(start+i)%uint64(len(all))]
		if cfg.IsInService(u.Name, u.FailureDomain) {
			return u
		}
	}
	return nil
}

func writeDocument(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func writeProblem(w http.ResponseWriter, status int, e fleet.Execution, detail string) {
	writeDocument(w, status, map[string]any{"title": http.StatusText(status), "status": status, "detail": detail, "execution": e})
}

// writeEvents sends the whole text of an answer as one token.
func writeEvents(w http.ResponseWriter, id string, output json.RawMessage) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "event: token\ndata: {\"text\":%s}\n\nevent: done\ndata: {\"requestId\":%q,\"tokens\":1}\n\n", output, id)
}
