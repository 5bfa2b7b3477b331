package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// fakeEntry responds according to the name of the pipeline.
func fakeEntry(w http.ResponseWriter, r *http.Request) {
	pipeline := r.PathValue("pipeline")
	var body requestBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fail := func(status int, execution string) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"title":"no","execution":%q}`, execution)
	}
	switch pipeline {
	case "refused":
		fail(http.StatusServiceUnavailable, "notStarted")
	case "failed":
		fail(http.StatusBadGateway, "unknown")
	case "not-stored":
		fail(http.StatusGone, "completed")
	case "dropped":
		panic(http.ErrAbortHandler)
	case "stream", "stream-cut", "stream-error":
		w.Header().Set("Content-Type", contentTypeEvents)
		_, _ = fmt.Fprint(w, "event: token\ndata: {\"text\":\"a\"}\n\nevent: token\ndata: {\"text\":\"b\"}\n\n")
		if pipeline == "stream" {
			_, _ = fmt.Fprint(w, "event: done\ndata: {\"requestId\":\"r\",\"tokens\":2}\n\n")
		}
		if pipeline == "stream-error" {
			_, _ = fmt.Fprint(w, "event: error\ndata: {\"title\":\"no\",\"execution\":\"unknown\"}\n\n")
		}
	case "swapped":
		_, _ = fmt.Fprint(w, `{"requestId":"r","pipeline":"swapped","output":"other"}`)
	default:
		_, _ = fmt.Fprintf(w, `{"requestId":"r","pipeline":%q,"output":%s}`, pipeline, body.Input)
	}
}

func serveEntry(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/requests", h)
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/tickets", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"ticket":"tkt1.x","expiresInSeconds":900}`)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func sameInput(input json.RawMessage, a Response) error {
	if !a.Streamed && string(a.Output) != string(input) {
		return errors.Errorf("output is %s", a.Output)
	}
	if a.Streamed && (string(a.Output) != `"ab"` || a.Tokens != 2) {
		return errors.Errorf("streamed output is %s", a.Output)
	}
	return nil
}

func run(t *testing.T, cfg Config) *Report {
	t.Helper()
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return g.Run(context.Background())
}

// Guards against failures that are counted as a better outcome.
func TestOutcomes(t *testing.T) {
	url := serveEntry(t, fakeEntry)
	want := map[string]Outcome{
		"echo": Completed, "refused": NotStarted, "failed": Unknown, "not-stored": CompletedNoAnswer, "dropped": Unknown,
		"stream": Completed, "stream-cut": Unknown, "stream-error": Unknown, "swapped": WrongAnswer,
	}
	var mix []RequestClass
	for pipeline := range want {
		mix = append(mix, RequestClass{Pipeline: pipeline, Stream: strings.HasPrefix(pipeline, "stream"), Check: sameInput, Deadline: time.Minute})
	}
	var mu sync.Mutex
	seen := 0
	r := run(t, Config{
		Targets: []string{url}, Mix: mix, Seed: 1, Phases: []Phase{{Rate: 400, Duration: 500 * time.Millisecond}},
		OnResult: func(r Result) {
			mu.Lock()
			defer mu.Unlock()
			seen++
			if r.Outcome != want[r.Pipeline] || r.WithinDeadline != (r.Outcome == Completed) {
				t.Errorf("%s has outcome %s (%s)", r.Pipeline, r.Outcome, r.Reason)
			}
		},
	})
	if len(r.Groups) != len(want) || r.Total.Sent != seen || r.Total.Completed != int(r.Total.Latency.Count) {
		t.Fatalf("got %d groups and %+v of %d", len(r.Groups), r.Total, seen)
	}
	if c := r.Total.Counts; c.Completed+c.NotStarted+c.Unknown+c.WrongAnswer+c.CompletedNoAnswer != c.Sent {
		t.Fatalf("the outcomes don't add up: %+v", c)
	}
	var text, doc bytes.Buffer
	if err := r.WriteText(&text); err != nil || !strings.Contains(text.String(), "swapped") {
		t.Fatalf("got %v and %s", err, text.String())
	}
	if err := r.WriteJSON(&doc); err != nil || !json.Valid(doc.Bytes()) {
		t.Fatalf("got %v", err)
	}
}

// Guards against retries of a request that is not idempotent, retries with another
// key, and against a later rejection that hides an unknown outcome.
func TestRetriesAtOtherTargets(t *testing.T) {
	var mu sync.Mutex
	keys := make(map[string]int)
	broken := serveEntry(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	good := serveEntry(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		keys[r.Header.Get("Idempotency-Key")]++
		mu.Unlock()
		fakeEntry(w, r)
	})
	phases := []Phase{{Rate: 200, Duration: 200 * time.Millisecond}}
	try := func(s RequestClass, targets ...string) Counts {
		s.Deadline = time.Minute
		return run(t, Config{Targets: targets, Mix: []RequestClass{s}, Seed: 2, Phases: phases, Retries: 1}).Total.Counts
	}
	if c := try(RequestClass{Pipeline: "echo"}, broken, good); c.Unknown == 0 || c.Retries != 0 || c.Completed == 0 {
		t.Errorf("without a key: %+v", c)
	}
	if c := try(RequestClass{Pipeline: "echo", Idempotent: true}, broken, good); c.Completed != c.Sent || c.Retries == 0 {
		t.Errorf("idempotent: %+v", c)
	}
	if c := try(RequestClass{Pipeline: "refused", Idempotent: true}, broken, good); c.Unknown+c.NotStarted != c.Sent || c.Unknown < c.Sent/3 {
		t.Errorf("an unknown outcome and a rejection: %+v", c)
	}
	clear(keys)
	if c := try(RequestClass{Pipeline: "echo", Keyed: true}, broken, good); c.Completed != c.Sent || len(keys) != c.Sent {
		t.Errorf("keyed: %+v with %d keys", c, len(keys))
	}
	clear(keys)
	if c := try(RequestClass{Pipeline: "echo", Ticket: true}, good); c.Completed != c.Sent || keys["tkt1.x"] != c.Sent {
		t.Errorf("ticket: %+v with keys %v", c, keys)
	}
	if c := try(RequestClass{Pipeline: "echo"}, "http://127.0.0.1:1"); c.NotStarted != c.Sent || c.Sent == 0 {
		t.Errorf("unreachable target: %+v", c)
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against coordinated omission: a slow target must not delay arrivals or hide
// waiting time.
func TestLatencyCountsFromScheduledTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hc := &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Second)
			body := io.NopCloser(strings.NewReader(`{"requestId":"r","pipeline":"p","output":1}`))
			return &http.Response{StatusCode: 200, Header: http.Header{"Content-Type": {contentTypeJSON}}, Body: body, Request: r}, nil
		})}
		start := time.Now()
		cfg := Config{
			Targets: []string{"http://x"}, Mix: []RequestClass{{Pipeline: "p", Deadline: 900 * time.Millisecond}}, Seed: 3,
			Phases: []Phase{{Rate: 100, Duration: 10 * time.Second}, {Rate: 0, Duration: time.Second}, {Rate: 300, Duration: 10 * time.Second}},
			HTTP:   hc,
		}
		r := run(t, cfg)
		if took := time.Since(start); took > 22*time.Second {
			t.Errorf("the run took %s", took)
		}
		if r.Total.Completed != r.Total.Sent || r.Total.WithinDeadline != 0 || math.Abs(r.Total.Latency.P50-1000) > 1 {
			t.Errorf("got %+v", r.Total)
		}
		if n := float64(r.Total.Sent); math.Abs(n-4000) > 250 {
			t.Errorf("%v arrivals, want 4000 within four standard deviations", n)
		}
		if r.Seconds[10].Sent != 0 || r.Seconds[15].Sent < 200 {
			t.Errorf("the arrival rates of the phases are wrong: %+v", r.Seconds)
		}
		cfg.MaxInFlight = 10
		if r := run(t, cfg); r.Total.Unsent == 0 || r.Total.Sent+r.Total.Unsent == 0 || r.Total.Attainment != 0 {
			t.Errorf("the limit of requests in flight has no effect: %+v", r.Total)
		}
	})
}

// Guards against arrivals that are not reproducible from the seed.
func TestArrivalsAreSeeded(t *testing.T) {
	list := func(seed uint64) string {
		g, err := New(Config{Targets: []string{"x", "y"}, Seed: seed, Phases: []Phase{{Rate: 50, Duration: time.Second}}, Mix: []RequestClass{{Pipeline: "a"}, {Pipeline: "b", Weight: 3, Priority: fleet.PriorityHigh}}})
		if err != nil {
			t.Fatal(err)
		}
		var all strings.Builder
		for source := g.arrivals(); ; {
			a, ok := source.next()
			if !ok {
				return all.String()
			}
			_, _ = fmt.Fprintln(&all, a.id, a.due, a.class.Pipeline, a.target, string(a.input))
		}
	}
	first, again := list(1), list(1)
	if first != again || first == list(2) {
		t.Fatal("the arrivals don't depend on the seed alone")
	}
}

// Guards against an invalid configuration that New accepts, and against an error that
// reports only one of several faults.
func TestInvalidConfiguration(t *testing.T) {
	_, err := New(Config{Phases: []Phase{{Rate: 1}}, Mix: []RequestClass{{Keyed: true, Ticket: true}}})
	for _, want := range []string{"no target", "phase 0", "request class 0: the pipeline", "request class 0: keyed"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want it to name %q", err, want)
		}
	}
}

// Guards against reports that list one reason many times with different numbers.
func TestReasonsAreMasked(t *testing.T) {
	s := newStats()
	for _, reason := range []string{
		"stage \"generate\" failed: refused, retry after 3.37615854s",
		"stage \"generate\" failed: refused, retry after 84.238566ms",
		"stage \"generate\" failed: refused, retry after 1m2s",
	} {
		s.countReason(reason)
	}
	s.countReason("no reply from 127.0.0.1:33763")
	s.countReason("no reply from 127.0.0.1:1")
	// Two reasons for the refusals, because "1m2s" becomes "1m#", and one for the missing reply.
	if len(s.reasons) > 3 || s.reasons["no reply from #"] != 2 {
		t.Fatalf("got %v", s.reasons)
	}
}
