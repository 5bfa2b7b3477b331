package localfleet

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/roles"
	"bergamotrudder.example/bergamotrudder/internal/sidecar"
	"bergamotrudder.example/bergamotrudder/internal/standin/faultproxy"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// engineFleet is a fleet with one pipeline, "answer", of one chat stage.
type engineFleet struct {
	*Fleet
	entry    string
	sidecars []*roles.SidecarProcess
	// proxies are the fault proxies between the sidecars and their engines.
	proxies []*faultproxy.Proxy
}

const fleetSecret = "a shared secret of the fleet"

// startEngineFleet starts a sidecar for each handler and one entry, and waits until
// the sidecars have the descriptions of their engines.
func startEngineFleet(t *testing.T, capacity int, engines ...http.Handler) *engineFleet {
	t.Helper()
	ctx := context.Background()
	f, err := New(ctx, Config{Secret: fleetSecret, OperatorKey: "an operators' key of the fleet", LogLevel: "error"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	doc := testDocument()
	doc.Stages = []fleet.Stage{{Name: "generate", Protocol: fleet.ProtocolChat, Model: "small", Idempotent: true, Capacity: capacity, ColdCapacity: capacity}}
	doc.Pipelines = []fleet.Pipeline{{Name: "answer", Steps: []fleet.Step{{Stage: "generate"}}, DeadlineMs: 10_000}}
	if _, err := f.Platform().Commit(ctx, doc); err != nil {
		t.Fatal(err)
	}
	ef := &engineFleet{Fleet: f}
	for i, h := range engines {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		name := "generate-" + string(rune('1'+i))
		spec := SidecarSpec{Name: "sidecar-" + name, Upstream: name, Stage: "generate", FailureDomain: "fd-a", UpstreamURL: ef.proxied(t, server.Listener.Addr().String())}
		p, err := f.StartSidecar(ctx, spec)
		if err != nil {
			t.Fatal(err)
		}
		ef.sidecars = append(ef.sidecars, p)
		if err := f.Platform().PutInstance(ctx, SidecarRecord(spec, p)); err != nil {
			t.Fatal(err)
		}
	}
	spec := EntrySpec{Name: "entry-1", FailureDomain: "fd-a"}
	p, err := f.StartEntry(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	ef.entry = "http://" + p.CallerAddress()
	eventually(t, "the fleet serves", func() bool { return ef.request(t, "up", 1).status == http.StatusOK })
	eventually(t, "the sidecars describe their engines", func() bool {
		for _, s := range ef.sidecars {
			if s.Sidecar().State().Engine.Identity == "" {
				return false
			}
		}
		return true
	})
	return ef
}

// proxied starts a fault proxy for the address and returns its URL.
func (f *engineFleet) proxied(t *testing.T, address string) string {
	t.Helper()
	l, err := net.Listen("tcp", freePort)
	if err != nil {
		t.Fatal(err)
	}
	p := faultproxy.New(faultproxy.Config{Target: address})
	go func() { _ = p.Serve(l) }()
	t.Cleanup(p.Close)
	f.proxies = append(f.proxies, p)
	return "http://" + l.Addr().String()
}

type engineResponse struct {
	status int
	body   string
}

// request sends a request for n tokens with further headers.
func (f *engineFleet) request(t *testing.T, input string, n int, headers ...string) engineResponse {
	t.Helper()
	body, err := json.Marshal(map[string]any{"input": input, "maxTokens": n})
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(http.MethodPost, f.entry+"/v1/pipelines/answer/requests", strings.NewReader(string(body)))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return engineResponse{}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return engineResponse{status: resp.StatusCode, body: string(raw)}
}

// eventually waits up to 20 s for the condition, which is far above the time that a slow
// machine needs.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within 20 s: %s", what)
}

func newWarmEngine(cfg upstream.EngineConfig) *upstream.Engine {
	cfg.Name = "generate"
	cfg.Load.Capacity, cfg.Load.StartWarm = 8, true
	return upstream.NewEngine(cfg)
}

// Guards against abandoned work that continues at the engine, also after its slot was
// assigned to another attempt.
func TestAbandonedAttemptIsCancelled(t *testing.T) {
	e := newWarmEngine(upstream.EngineConfig{Tokens: 1000, PerToken: 10 * time.Millisecond, DisconnectLag: time.Minute})
	f := startEngineFleet(t, 1, e)
	e.ClearRecords()
	if a := f.request(t, "long", 1000, "Deadline-Ms", "300"); a.status == http.StatusOK {
		t.Fatalf("got %+v", a)
	}
	if a := f.request(t, "short", 1); a.status != http.StatusOK {
		t.Fatalf("got %+v", a)
	}
	records, state := e.Records(), e.State()
	if len(records) != 2 || records[0].State != upstream.RecordAborted || state.Peak != 1 {
		t.Fatalf("got %+v, peak %d", records, state.Peak)
	}
}

// Guards against a cancellation that cancels another attempt at the same engine, such as
// one whose id has the cancelled id as a prefix.
func TestCancelAffectsNoOtherAttempt(t *testing.T) {
	e := newWarmEngine(upstream.EngineConfig{Tokens: 200, PerToken: 10 * time.Millisecond, DisconnectLag: time.Minute})
	f := startEngineFleet(t, 4, e)
	e.ClearRecords()
	client := peer.NewClient(fleetSecret, nil)
	replies := make(chan peer.RunReply, 2)
	for _, attempt := range []string{"x.1", "x.10"} {
		go func() {
			var reply peer.RunReply
			err := client.Call(context.Background(), f.sidecars[0].Address(), peer.MethodRun, &peer.RunRequest{
				Attempt: attempt, Stage: "generate", Remaining: 10 * time.Second, Input: []byte(`"` + attempt + `"`)}, &reply)
			if err != nil {
				t.Error(err)
			}
			replies <- reply
		}()
	}
	eventually(t, "both attempts run", func() bool { return e.State().Running == 2 })
	if err := client.Call(context.Background(), f.sidecars[0].Address(), peer.MethodCancel, &peer.CancelRequest{Attempt: "x.1"}, &peer.Empty{}); err != nil {
		t.Fatal(err)
	}
	if reply := <-replies; reply.Attempt != "x.1" || reply.Reason != peer.ReasonCancelled {
		t.Fatalf("got %+v", reply)
	}
	if reply := <-replies; reply.Attempt != "x.10" || !reply.Succeeded() {
		t.Fatalf("got %+v", reply)
	}
}

// Guards against a slot that is assigned to other work while the engine may still run
// the abandoned work, and against one that is never released.
func TestSlotIsOccupiedUntilCancelled(t *testing.T) {
	e := newWarmEngine(upstream.EngineConfig{Tokens: 1000, PerToken: 10 * time.Millisecond})
	var f *engineFleet
	states := make(chan sidecar.State, cancelsSeen)
	f = startEngineFleet(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.CancelPath {
			states <- f.sidecars[0].Sidecar().State()
		}
		e.ServeHTTP(w, r)
	}))
	if a := f.request(t, "long", 1000, "Deadline-Ms", "100"); a.status == http.StatusOK {
		t.Fatalf("got %+v", a)
	}
	eventually(t, "the engine receives the cancellation", func() bool { return len(states) > 0 })
	if s := <-states; s.Limiter.InFlight != 1 || s.InProgress != 1 {
		t.Errorf("before the engine confirmed: %d slots in use, %d attempts in progress", s.Limiter.InFlight, s.InProgress)
	}
	eventually(t, "the slot is free", func() bool {
		s := f.sidecars[0].Sidecar().State()
		return s.Limiter.InFlight == 0 && s.InProgress == 0
	})
}

// cancelsSeen is above the number of cancellations that one attempt can send.
const cancelsSeen = 16

// completeEvents returns the events of a complete streamed response to the input.
func completeEvents(input string, n int) string {
	var b strings.Builder
	for _, token := range upstream.ChatTokens(input, n) {
		text, _ := json.Marshal(token)
		b.WriteString(`event: token` + "\n" + `data: {"text":` + string(text) + "}\n\n")
	}
	return b.String() + "event: done\n"
}

// Guards against a lost response or a second execution although the engine still stores
// the stream whose connection broke, and against chunks that are repeated, skipped or
// out of order.
func TestBrokenStreamIsResumed(t *testing.T) {
	e := newWarmEngine(upstream.EngineConfig{Tokens: 40, ResumeWindow: time.Minute})
	f := startEngineFleet(t, 4, e)
	e.SetFaults(upstream.Faults{CutStreams: true})
	e.ClearRecords()
	if a := f.request(t, "streamed", 40, "Accept", "text/event-stream"); !strings.HasPrefix(a.body, completeEvents("streamed", 40)) {
		t.Errorf("got %+v", a)
	}
	complete, _ := json.Marshal(upstream.ChatOutput("whole", 40))
	if a := f.request(t, "whole", 40); a.status != http.StatusOK || !strings.Contains(a.body, string(complete)) {
		t.Errorf("got %+v", a)
	}
	if n := len(e.Records()); n != 2 {
		t.Errorf("%d executions, want 2", n)
	}
}

const perToken = time.Millisecond

// Guards against a response that is spliced from two starts of the engine or from two
// attempts, also when the engine doesn't check the attempt and identity of a resume.
func TestStreamIsNeverSpliced(t *testing.T) {
	const events = "data: {\"choices\":[{\"delta\":{\"content\":\" other\"}}]}\n\n" +
		"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
	for name, restart := range map[string]bool{"restarted": true, "another stream": false} {
		t.Run(name, func(t *testing.T) {
			e := newWarmEngine(upstream.EngineConfig{Tokens: 40, ResumeWindow: time.Minute, PerToken: perToken})
			f := startEngineFleet(t, 4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, engine.StreamsPath) {
					e.ServeHTTP(w, r)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, events)
			}))
			if restart {
				e.SetFaults(upstream.Faults{SlowFactor: 200})
				go func() {
					for e.State().Running == 0 {
						time.Sleep(time.Millisecond)
					}
					// The engine has generated at least one and not all of its 40 tokens, which take 200 ms each.
					time.Sleep(500 * perToken)
					e.Restart()
				}()
			} else {
				e.SetFaults(upstream.Faults{CutStreams: true})
			}
			a := f.request(t, "streamed", 40, "Accept", "text/event-stream")
			if strings.Contains(a.body, "event: done") || strings.Contains(a.body, "other") || !strings.Contains(a.body, `"reason":"streamCut"`) {
				t.Fatalf("got %+v", a)
			}
		})
	}
}
