package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func startEngine(t *testing.T, cfg EngineConfig) (*Engine, *engine.Client) {
	t.Helper()
	e := NewEngine(cfg)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return e, engine.New(engine.Config{BaseURL: server.URL}, nil)
}

func startService(t *testing.T, cfg ServiceConfig) (*Service, *engine.Client) {
	t.Helper()
	s := NewService(cfg)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, engine.New(engine.Config{BaseURL: server.URL}, nil)
}

func chat(input string) engine.Call {
	quoted, _ := json.Marshal(input)
	return engine.Call{Protocol: fleet.ProtocolChat, Model: "m", Input: quoted, Attempt: "a-" + input}
}

func booking(n int) engine.Call {
	return engine.Call{Protocol: fleet.ProtocolJSON, Path: BookingPath, Input: fmt.Appendf(nil, `{"n":%d}`, n), Attempt: fmt.Sprint(n)}
}

func discard(engine.Chunk) error { return nil }

// Guards against outputs that differ from the computed ones, and against records that
// differ from the work done.
func TestOutputsAndRecords(t *testing.T) {
	e, c := startEngine(t, EngineConfig{Tokens: 5})
	ctx := context.Background()
	var text strings.Builder
	call := chat("why?")
	streamed, err := c.Stream(ctx, call, func(p engine.Chunk) error { text.WriteString(p.Text); return nil })
	if err != nil || text.String() != ChatOutput("why?", 5) || streamed.Tokens != 5 {
		t.Fatalf("got %q, %+v, %v", text.String(), streamed, err)
	}
	complete, err := c.Run(ctx, call)
	if err != nil || string(complete.Output) != string(streamed.Output) {
		t.Fatalf("got %s, want %s (%v)", complete.Output, streamed.Output, err)
	}
	vector, err := c.Run(ctx, engine.Call{Protocol: fleet.ProtocolEmbeddings, Model: "m", Input: json.RawMessage(`"why?"`)})
	want, _ := json.Marshal(EmbeddingOutput([]byte(`"why?"`)))
	if err != nil || string(vector.Output) != string(want) {
		t.Fatalf("got %s, want %s (%v)", vector.Output, want, err)
	}
	records := e.Records()
	if len(records) != 3 || records[0].Attempt != call.Attempt || records[0].Input != "why?" || records[0].State != RecordDone {
		t.Fatalf("got records %+v", records)
	}
	if records[0].Digest != records[2].Digest {
		t.Fatal("the digests of the same input differ")
	}
}

// Guards against a stand-in that sustains more calls than its capacity, or that never
// recovers from a collapse.
func TestOverloadCollapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacity(LoadConfig{Capacity: 10, WarmUp: time.Minute, CollapseTime: time.Second}, "c")
		var calls []*activeCall
		for range 2 {
			call, err := c.admit()
			if err != nil {
				t.Fatal(err)
			}
			calls = append(calls, call)
		}
		if _, err := c.admit(); !errors.Is(err, errCollapsed) {
			t.Fatalf("got %v, want a collapse above 20 %% of the capacity", err)
		}
		if err := calls[0].work(t.Context(), time.Hour); !errors.Is(err, errCollapsed) {
			t.Fatalf("a call in flight got %v", err)
		}
		for _, call := range calls {
			call.finish()
		}
		time.Sleep(2 * time.Second)
		call, err := c.admit()
		if err != nil {
			t.Fatal(err)
		}
		if c.effectiveCapacity() != 2 {
			t.Fatalf("effective capacity is %d calls after the collapse, want 2", c.effectiveCapacity())
		}
		time.Sleep(time.Minute)
		if c.effectiveCapacity() != 10 {
			t.Fatalf("effective capacity is %d calls after a minute of work, want 10", c.effectiveCapacity())
		}
		call.finish()
		time.Sleep(time.Hour)
		if c.inFlight != 0 || c.running != 0 || c.collapses != 1 {
			t.Fatalf("got %+v", c.load())
		}
	})
}

// Guards against a collapse before the end of Tolerance, and against an overload
// that is tolerated for longer.
func TestOverloadTolerance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacity(LoadConfig{Capacity: 1, Tolerance: time.Second, StartWarm: true}, "c")
		a, _ := c.admit()
		b, _ := c.admit()
		time.Sleep(900 * time.Millisecond)
		b.finish()
		time.Sleep(time.Second)
		synctest.Wait()
		if c.collapses != 0 {
			t.Fatal("collapsed although the overload ended within the tolerance")
		}
		if _, err := c.admit(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		if c.collapses != 1 || a.epoch.Err() == nil {
			t.Fatalf("collapsed %d times, want 1", c.collapses)
		}
	})
}

// Guards against an immediate collapse on a cold transition under load, and against a
// grace period that never ends.
func TestGraceAfterColdTransition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacity(LoadConfig{Capacity: 10, ColdGrace: time.Second, StartWarm: true, WarmUp: time.Hour}, "c")
		var calls []*activeCall
		for range 8 {
			call, err := c.admit()
			if err != nil {
				t.Fatal(err)
			}
			calls = append(calls, call)
		}
		c.mu.Lock()
		c.setCold()
		c.mu.Unlock()
		time.Sleep(900 * time.Millisecond)
		for _, call := range calls[:6] {
			call.finish()
		}
		time.Sleep(time.Second)
		if calls[7].epoch.Err() != nil {
			t.Fatal("collapsed although the load was within the cold capacity at the end of the grace period")
		}
		if _, err := c.admit(); !errors.Is(err, errCollapsed) {
			t.Fatalf("got %v, want a collapse by new work after the grace period", err)
		}
	})
}

// Guards against a slot that is lost when its waiter is cancelled, and against a wrong
// order of waiters.
func TestSlotsByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacity(LoadConfig{Capacity: 10, Slots: 1, StartWarm: true}, "c")
		first, _ := c.admit()
		if err := first.acquire(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []int
		cancelled, cancel := context.WithCancel(t.Context())
		for _, priority := range []int{3, 1, 2} {
			call, _ := c.admit()
			ctx := t.Context()
			if priority == 2 {
				ctx = cancelled
			}
			go func() {
				defer call.finish()
				if err := call.acquire(ctx, priority); err != nil {
					return
				}
				mu.Lock()
				order = append(order, priority)
				mu.Unlock()
			}()
		}
		synctest.Wait()
		cancel()
		synctest.Wait()
		first.finish()
		synctest.Wait()
		if fmt.Sprint(order) != "[1 3]" || c.running != 0 || c.inFlight != 0 {
			t.Fatalf("got order %v, running %d, in flight %d", order, c.running, c.inFlight)
		}
	})
}

// Guards against faults that have no effect, or that hide work that took effect.
func TestBookingFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		want   fleet.Execution
		done   int
	}{
		{"healthy", Faults{}, fleet.Completed, 1},
		{"dropped reply", Faults{DropReplies: true}, fleet.Unknown, 1},
		{"cut reply", Faults{CutReplies: true}, fleet.Unknown, 1},
		{"failing", Faults{FailRatio: 1}, fleet.Unknown, 0},
		{"rejecting", Faults{FailRatio: 1, FailStatus: 503, FailStated: true}, fleet.NotStarted, 0},
		{"hanging", Faults{Hang: true}, fleet.Unknown, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, c := startService(t, ServiceConfig{Kind: "dispatch"})
			s.SetFaults(tc.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if tc.faults.Hang {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			_, err := c.Run(ctx, booking(1))
			if got := engine.ExecutionOf(err); got != tc.want {
				t.Fatalf("got %s (%v), want %s", got, err, tc.want)
			}
			done := 0
			for _, r := range s.Records() {
				if r.State == RecordDone {
					done++
				}
			}
			if done != tc.done {
				t.Fatalf("%d executions took effect, want %d", done, tc.done)
			}
		})
	}
}

// Guards against a booking that is aborted when its client disconnects, which real
// services don't do.
func TestBookingOutlivesItsClient(t *testing.T) {
	s, c := startService(t, ServiceConfig{Time: 100 * time.Millisecond, Load: LoadConfig{StartWarm: true}})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := c.Run(ctx, booking(1)); engine.ExecutionOf(err) != fleet.Unknown {
		t.Fatalf("got %v", err)
	}
	for range 500 {
		if r := s.Records(); len(r) == 1 && r[0].State == RecordDone {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("got records %+v", s.Records())
}

// Guards against a truncated stream that looks complete, and against a resumed one that
// repeats or skips text.
func TestTruncateAndResume(t *testing.T) {
	e, c := startEngine(t, EngineConfig{Tokens: 6})
	e.SetFaults(Faults{CutStreams: true})
	if _, err := c.Stream(context.Background(), chat("x"), discard); engine.ExecutionOf(err) != fleet.Unknown {
		t.Fatalf("got %v", err)
	}
	e, c = startEngine(t, EngineConfig{Tokens: 6, ResumeWindow: time.Minute})
	e.SetFaults(Faults{CutStreams: true})
	var got []string
	sink := func(p engine.Chunk) error { got = append(got, p.Text); return nil }
	if _, err := c.Stream(context.Background(), chat("x"), sink); err == nil {
		t.Fatal("the stream was not truncated")
	}
	d, ok, err := c.Describe(context.Background())
	if err != nil || !ok || !d.Has(engine.CapabilityResume) {
		t.Fatalf("got %+v, %v, %v", d, ok, err)
	}
	if _, _, err := c.Resume(context.Background(), "a-x", "other", len(got), sink); err == nil {
		t.Fatal("another identity resumed the stream")
	}
	if _, ok, err := c.Resume(context.Background(), "a-x", d.Identity, len(got), sink); err != nil || !ok {
		t.Fatalf("got %v, %v", ok, err)
	}
	if strings.Join(got, "") != ChatOutput("x", 6) {
		t.Fatalf("got %q", got)
	}
}

// Guards against a missing capability that is reported as an error, and against an
// error that is reported as a missing capability.
func TestMissingCapabilities(t *testing.T) {
	_, plain := startEngine(t, EngineConfig{Plain: true})
	ctx := context.Background()
	for name, f := range map[string]func() (bool, error){
		"describe": func() (bool, error) { _, ok, err := plain.Describe(ctx); return ok, err },
		"load":     func() (bool, error) { _, ok, err := plain.Load(ctx, ""); return ok, err },
		"cache":    func() (bool, error) { _, ok, err := plain.CacheEvents(ctx, 0); return ok, err },
		"resume":   func() (bool, error) { _, ok, err := plain.Resume(ctx, "a", "i", 0, discard); return ok, err },
		"cancel":   func() (bool, error) { _, ok, err := plain.Cancel(ctx, "a"); return ok, err },
		"model":    func() (bool, error) { return plain.LoadModel(ctx, engine.ModelOrder{Fencing: 1}) },
		"role":     func() (bool, error) { return plain.ChangeRole(ctx, engine.RoleOrder{Fencing: 1}) },
	} {
		if ok, err := f(); ok || err != nil {
			t.Errorf("%s: got %v, %v", name, ok, err)
		}
	}
	unreachable := engine.New(engine.Config{BaseURL: "http://127.0.0.1:1"}, nil)
	if _, _, err := unreachable.Describe(ctx); engine.ExecutionOf(err) != fleet.NotStarted {
		t.Errorf("an unreachable engine returned %v", err)
	}
}

// Guards against orders with the fencing token of a lost lease that take effect.
func TestFencing(t *testing.T) {
	ctx := context.Background()
	for _, ignores := range []bool{false, true} {
		e, c := startEngine(t, EngineConfig{IgnoreFencing: ignores})
		if _, err := c.LoadModel(ctx, engine.ModelOrder{Model: "new", Fencing: 7}); err != nil {
			t.Fatal(err)
		}
		_, err := c.LoadModel(ctx, engine.ModelOrder{Model: "old", Fencing: 6})
		var stale *engine.StaleFencingError
		if isStale := errors.As(err, &stale) && stale.Highest == 7; isStale == ignores {
			t.Fatalf("got %v with ignores=%v", err, ignores)
		}
		d, _, err := c.Describe(ctx)
		if err != nil || (d.Model == "new") == ignores || len(e.Orders()) != 2 {
			t.Fatalf("got %+v, %v", d, err)
		}
	}
}

// Guards against cancelled calls that continue, cache events that are inconsistent
// with the cache, and gaps that are not detected.
func TestCancelAndCacheEvents(t *testing.T) {
	e, c := startEngine(t, EngineConfig{Tokens: 1000, PerToken: 10 * time.Millisecond, CacheBlocks: 2})
	ctx := context.Background()
	long := strings.Repeat("a", 3*cacheBlock)
	_, err := c.Stream(ctx, chat(long), func(engine.Chunk) error {
		if cancelled, ok, err := c.Cancel(ctx, "a-"+long); !ok || err != nil || !cancelled {
			t.Errorf("got %v, %v, %v", cancelled, ok, err)
		}
		return nil
	})
	if engine.ExecutionOf(err) != fleet.Unknown || e.Records()[0].State != RecordAborted {
		t.Fatalf("got %v, %+v", err, e.Records())
	}
	got, _, err := c.CacheEvents(ctx, 0)
	if err != nil || got.Gap || len(got.Events) != 4 || got.Events[3].Kind != engine.CacheRemoved {
		t.Fatalf("got %+v, %v", got, err)
	}
	e.SetFaults(Faults{CacheGap: true})
	e.SetCold()
	_, _ = c.Run(ctx, engine.Call{Protocol: fleet.ProtocolChat, Input: []byte(`"` + long + `"`), MaxTokens: 1})
	if got, _, err := c.CacheEvents(ctx, 4); err != nil || !got.Gap {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// Guards against admin paths whose effect differs from that of the methods.
func TestAdminPaths(t *testing.T) {
	s := NewService(ServiceConfig{Name: "s"})
	server := httptest.NewServer(s)
	defer server.Close()
	do := func(method, path, body string) (int, string) {
		r, _ := http.NewRequestWithContext(t.Context(), method, server.URL+path, bytes.NewBufferString(body))
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	if status, _ := do("PUT", "/admin/faults", `{"slowFactor":3,"loadLagMs":5}`); status != 200 || s.State().Faults.SlowFactor != 3 {
		t.Fatalf("got status %d and %+v", status, s.State().Faults)
	}
	if status, _ := do("PUT", "/admin/faults", `{"slow":3}`); status != 400 {
		t.Fatalf("an unknown fault returned status %d", status)
	}
	before := s.State().Identity
	if status, _ := do("POST", "/admin/restart", ""); status != 200 || s.State().Identity == before {
		t.Fatal("the identity is the same after a restart")
	}
	_, _ = do("POST", LookupPath, `{"q":1}`)
	if _, text := do("GET", "/admin/records", ""); !strings.Contains(text, Digest([]byte(`{"q":1}`))) {
		t.Fatalf("got records %s", text)
	}
	if _, _ = do("DELETE", "/admin/records", ""); len(s.Records()) != 0 {
		t.Fatal("records are left")
	}
	do("POST", "/admin/warm", "")
	if _, text := do("GET", "/admin/state", ""); !strings.Contains(text, `"warmth":1`) {
		t.Fatalf("got state %s", text)
	}
	do("POST", "/admin/cold", "")
	if w := s.State().Warmth; w != 0 {
		t.Fatalf("got warmth %v", w)
	}
}

// Guards against expected outputs that differ from those of the stand-ins, with which
// the check would reject correct outputs or accept wrong ones.
func TestExpectedPipelineMatchesStandins(t *testing.T) {
	_, chatClient := startEngine(t, EngineConfig{Tokens: 5})
	_, serviceClient := startService(t, ServiceConfig{Kind: "k", Padding: 3})
	pipeline := ExpectedPipeline{
		{Stage: "encode", Protocol: fleet.ProtocolEmbeddings},
		{Stage: "look", Protocol: fleet.ProtocolJSON, Kind: "k", Padding: 3},
		{Stage: "say", Protocol: fleet.ProtocolChat, Tokens: 5},
		{Stage: "say-again", Protocol: fleet.ProtocolChat, Tokens: 5},
	}
	for _, input := range []string{`{"id":"1","text":"a < b & \u00e9"}`, `"plain"`, `"[1]"`, `7`, `null`, `""`} {
		for _, skipped := range [][]string{nil, {"encode"}, {"encode", "look"}} {
			value := json.RawMessage(input)
			for _, stage := range pipeline {
				if len(skipped) > 0 && strings.Contains(strings.Join(skipped, " "), stage.Stage) {
					continue
				}
				c := chatClient
				if stage.Protocol == fleet.ProtocolJSON {
					c = serviceClient
				}
				got, err := c.Run(context.Background(), engine.Call{Protocol: stage.Protocol, Path: LookupPath, Input: value, MaxTokens: 4})
				if err != nil {
					t.Fatal(err)
				}
				value = got.Output
			}
			if err := pipeline.Check(json.RawMessage(input), value, 4, skipped); err != nil {
				t.Errorf("input %s without %v: %v", input, skipped, err)
			}
			if err := pipeline.Check(json.RawMessage(`"other"`), value, 4, skipped); err == nil {
				t.Errorf("the output for %s passes the check of another input", input)
			}
		}
	}
}

// Guards against a cancellation that a resumable stream ignores after its client has
// disconnected.
func TestCancelAfterDisconnect(t *testing.T) {
	e, c := startEngine(t, EngineConfig{Tokens: 1000, PerToken: 10 * time.Millisecond, ResumeWindow: time.Minute})
	if _, err := c.Stream(context.Background(), chat("x"), func(engine.Chunk) error { return io.EOF }); err == nil {
		t.Fatal("the client did not disconnect")
	}
	time.Sleep(50 * time.Millisecond)
	if cancelled, _, err := c.Cancel(context.Background(), "a-x"); !cancelled || err != nil {
		t.Fatalf("got %v, %v", cancelled, err)
	}
	for range 200 {
		if e.State().Running == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the stream still runs 2 s after its cancellation")
}
