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

// maxBody is the largest request body that a proxy reads, in bytes.
const maxBody = 1 << 20

// RoundRobin is a baseline: entries that send each stage to the next upstream in
// turn and try one more upstream after a failure. They have no limits, queues,
// ejection or idempotency keys, and no sidecars or object API; configuration changes take
// effect immediately.
func RoundRobin() System { return proxySystem("roundRobin", false) }

// StaticLimits is a stronger baseline: like RoundRobin, but each entry limits its calls to
// an equal share of the capacity of each upstream, selects the least loaded upstream, and
// lets a call wait for a free slot until its deadline.
func StaticLimits() System { return proxySystem("staticLimits", true) }

func proxySystem(name string, limited bool) System {
	var mu sync.Mutex
	configurations := make(map[*Platform]*atomic.Pointer[fleet.Configuration])
	return System{
		Name: name,
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
			return startProxy(ctx, spec, newProxy(spec, current, env, limited))
		},
	}
}

// proxy is an entry of the baselines.
type proxy struct {
	name    string
	current *atomic.Pointer[fleet.Configuration]
	stages  map[string]*proxyStage
	attempt atomic.Uint64
}

func newProxy(spec EntrySpec, current *atomic.Pointer[fleet.Configuration], env Environment, limited bool) *proxy {
	dial := env.Network.Dialer(Endpoint{Process: spec.Name, FailureDomain: spec.FailureDomain})
	p := &proxy{name: spec.Name, current: current, stages: make(map[string]*proxyStage)}
	for _, u := range env.Upstreams {
		s, ok := p.stages[u.Stage.Name]
		if !ok {
			s = &proxyStage{changed: make(chan struct{})}
			p.stages[u.Stage.Name] = s
		}
		limit := 0
		if limited {
			limit = max(1, u.Stage.Capacity/env.Entries)
		}
		cfg := engine.Config{BaseURL: u.URL}
		c := engine.New(cfg, engine.NewHTTPClient(cfg, dial))
		s.upstreams = append(s.upstreams, &proxyUpstream{UpstreamAddress: u, client: c, limit: limit})
	}
	return p
}

// proxyStage selects the upstreams of a stage.
type proxyStage struct {
	mu        sync.Mutex
	nextIndex int
	upstreams []*proxyUpstream
	// changed is closed when a slot becomes free.
	changed chan struct{}
}

type proxyUpstream struct {
	UpstreamAddress
	client *engine.Client
	// limit is the maximum number of calls in flight; 0 means no limit.
	limit    int
	inFlight int
}

// acquire waits for an upstream in service with a free slot and takes the slot. It returns
// nil when no upstream is in service or ctx ends.
func (s *proxyStage) acquire(ctx context.Context, cfg *fleet.Configuration) *proxyUpstream {
	for {
		s.mu.Lock()
		u, anyInService := s.pick(cfg)
		if u != nil {
			u.inFlight++
		}
		changed := s.changed
		s.mu.Unlock()
		if u != nil || !anyInService {
			return u
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// pick returns the next upstream in turn, or the least loaded one with a free slot if there
// are limits, and whether any upstream is in service.
func (s *proxyStage) pick(cfg *fleet.Configuration) (best *proxyUpstream, anyInService bool) {
	s.nextIndex++
	for i := range s.upstreams {
		u := s.upstreams[(s.nextIndex+i)%len(s.upstreams)]
		if !cfg.IsInService(u.Name, u.FailureDomain) {
			continue
		}
		if u.limit == 0 {
			return u, true
		}
		anyInService = true
		if u.inFlight < u.limit && (best == nil || u.inFlight < best.inFlight) {
			best = u
		}
	}
	return best, anyInService
}

func (s *proxyStage) release(u *proxyUpstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.inFlight--
	close(s.changed)
	s.changed = make(chan struct{})
}

func startProxy(ctx context.Context, spec EntrySpec, p *proxy) (*Process, error) {
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

// run runs the stages in order. engine.ExecutionOf tells from the error whether the failed
// stage ran.
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

// call sends the call to an upstream of the stage and, after a failure that allows a retry,
// to another one.
func (p *proxy) call(ctx context.Context, cfg *fleet.Configuration, stage fleet.Stage, call engine.Call) (engine.Result, error) {
	var result engine.Result
	err := error(&engine.NotSentError{Cause: errors.New("no upstream is free")})
	for range 2 {
		u := p.stages[stage.Name].acquire(ctx, cfg)
		if u == nil {
			return result, err
		}
		result, err = u.client.Run(ctx, call)
		p.stages[stage.Name].release(u)
		if err == nil || ctx.Err() != nil {
			return result, err
		}
		if !stage.Idempotent && engine.ExecutionOf(err) != fleet.NotStarted {
			return result, err
		}
	}
	return result, err
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

// writeEvents writes the complete output as a stream with one token.
func writeEvents(w http.ResponseWriter, id string, output json.RawMessage) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "event: token\ndata: {\"text\":%s}\n\nevent: done\ndata: {\"requestId\":%q,\"tokens\":1}\n\n", output, id)
}
