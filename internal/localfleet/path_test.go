package localfleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const callerKey = "caller-key"

func testDocument() fleet.Document {
	sum := sha256.Sum256([]byte(callerKey))
	return fleet.Document{
		Stages: []fleet.Stage{
			{Name: "retrieve", Protocol: fleet.ProtocolJSON, Path: upstream.LookupPath, Idempotent: true, Capacity: 8, ColdCapacity: 2},
			{Name: "generate", Protocol: fleet.ProtocolChat, Model: "small", Idempotent: true, Capacity: 8, ColdCapacity: 2},
			{Name: "book", Protocol: fleet.ProtocolJSON, Path: upstream.BookingPath, Capacity: 8, ColdCapacity: 2},
		},
		Pipelines: []fleet.Pipeline{
			{Name: "diagnosis", Steps: []fleet.Step{{Stage: "retrieve"}, {Stage: "generate"}}, DeadlineMs: 5000},
			{Name: "booking", Steps: []fleet.Step{{Stage: "retrieve"}, {Stage: "book"}}, DeadlineMs: 5000},
		},
		FailureDomains: []fleet.FailureDomain{{Name: "fd-a"}, {Name: "fd-b"}},
		Organisations:  []fleet.Organisation{{Name: "okafor", KeySHA256: hex.EncodeToString(sum[:]), Weight: 1}},
		Rules:          []fleet.Rule{{Organisation: "okafor", Pipeline: fleet.AnyPipeline, MaxPriority: fleet.PriorityCritical, DefaultPriority: fleet.PriorityNormal}},
	}
}

type testFleet struct {
	*Fleet
	entries  []string
	bookings *upstream.Service
}

func startFleet(t *testing.T) *testFleet {
	t.Helper()
	ctx := context.Background()
	f, err := New(ctx, Config{Secret: "a shared secret of the fleet", OperatorKey: "an operators' key of the fleet", LogLevel: "error"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	tf := &testFleet{Fleet: f, bookings: upstream.NewService(upstream.ServiceConfig{Name: "book-1", Kind: "book", Load: upstream.LoadConfig{Capacity: 8, StartWarm: true}})}
	if _, err := f.Platform().Commit(ctx, testDocument()); err != nil {
		t.Fatal(err)
	}
	lookup := upstream.NewService(upstream.ServiceConfig{Name: "retrieve-1", Kind: "lookup", Load: upstream.LoadConfig{Capacity: 8, StartWarm: true}})
	model := upstream.NewEngine(upstream.EngineConfig{Name: "generate-1", Tokens: 4, PerToken: time.Millisecond, Load: upstream.LoadConfig{Capacity: 8, StartWarm: true}})
	for stage, h := range map[string]http.Handler{"retrieve": lookup, "generate": model, "book": tf.bookings} {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		spec := SidecarSpec{Name: "sidecar-" + stage, Upstream: stage + "-1", Stage: stage, FailureDomain: "fd-a", UpstreamURL: server.URL}
		p, err := f.StartSidecar(ctx, spec)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Platform().PutInstance(ctx, SidecarRecord(spec, p)); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		spec := EntrySpec{Name: name, FailureDomain: "fd-a"}
		p, err := f.StartEntry(ctx, spec)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Platform().PutInstance(ctx, EntryRecord(spec, p)); err != nil {
			t.Fatal(err)
		}
		tf.entries = append(tf.entries, "http://"+p.CallerAddress())
	}
	return tf
}

func (f *testFleet) post(t *testing.T, entry int, path, body string, headers ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.entries[entry]+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(raw)
}

// postUntil repeats a request until the fleet has converged and serves it.
func (f *testFleet) postUntil(t *testing.T, entry int, path, body string, headers ...string) string {
	t.Helper()
	for range 200 {
		status, response := f.post(t, entry, path, body, headers...)
		if status == http.StatusOK {
			return response
		}
		time.Sleep(25 * time.Millisecond)
	}
	status, response := f.post(t, entry, path, body, headers...)
	t.Fatalf("status %d: %s", status, response)
	return ""
}

// Guards against a path that loses or mixes up the output of a stage.
func TestPipelineServesCompleteResponse(t *testing.T) {
	f := startFleet(t)
	for entry := range f.entries {
		var response struct {
			Pipeline string
			Output   string
		}
		raw := f.postUntil(t, entry, "/v1/pipelines/diagnosis/requests", `{"input": {"pump": "P-7"}}`)
		if err := json.Unmarshal([]byte(raw), &response); err != nil {
			t.Fatal(err)
		}
		if response.Pipeline != "diagnosis" || response.Output == "" {
			t.Fatalf("got %s", raw)
		}
	}
	stream := f.postUntil(t, 0, "/v1/pipelines/diagnosis/requests", `{"input": "why"}`, "Accept", "text/event-stream")
	if !strings.Contains(stream, "event: token\n") || !strings.Contains(stream, "event: done\n") {
		t.Fatalf("got the stream %s", stream)
	}
}

// Guards against a booking that runs again when its caller retries at another entry.
func TestRetriedBookingRunsOnce(t *testing.T) {
	f := startFleet(t)
	first := f.postUntil(t, 0, "/v1/pipelines/booking/requests", `{"input": {"visit": 1}}`, "Idempotency-Key", "visit-1")
	second := f.postUntil(t, 1, "/v1/pipelines/booking/requests", `{"input": {"visit": 1}}`, "Idempotency-Key", "visit-1")
	if first != second {
		t.Fatalf("the retry got another response: %s and %s", first, second)
	}
	var ticket struct{ Ticket string }
	if err := json.Unmarshal([]byte(f.postUntil(t, 0, "/v1/pipelines/booking/tickets", "")), &ticket); err != nil {
		t.Fatal(err)
	}
	f.postUntil(t, 0, "/v1/pipelines/booking/requests", `{"input": {"visit": 2}}`, "Idempotency-Key", ticket.Ticket)
	f.postUntil(t, 1, "/v1/pipelines/booking/requests", `{"input": {"visit": 2}}`, "Idempotency-Key", ticket.Ticket)
	if n := len(f.bookings.Records()); n != 2 {
		t.Fatalf("%d bookings ran, want 2", n)
	}
}
