package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// callerKey is the bearer key of the organisation in testConfiguration.
const callerKey = "key"

func testConfiguration(t testing.TB) *fleet.Configuration {
	t.Helper()
	cfg, err := fleet.New(1, fleet.Document{
		Stages: []fleet.Stage{
			{Name: "generate", Protocol: fleet.ProtocolChat, Model: "m", Idempotent: true, Capacity: 8, ColdCapacity: 1},
			{Name: "book", Protocol: fleet.ProtocolJSON, Path: "/", Capacity: 8, ColdCapacity: 1},
		},
		Pipelines: []fleet.Pipeline{
			{Name: "diagnosis", Steps: []fleet.Step{{Stage: "generate"}}, DeadlineMs: 3000},
			{Name: "booking", Steps: []fleet.Step{{Stage: "generate"}, {Stage: "book"}}, DeadlineMs: 3000},
		},
		// The SHA-256 of callerKey.
		Organisations: []fleet.Organisation{{Name: "okafor", KeySHA256: "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683", Weight: 1}},
		Rules:         []fleet.Rule{{Organisation: "okafor", Pipeline: fleet.AnyPipeline, MaxPriority: fleet.PriorityNormal}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

var testIntake = intake.New(intake.Config{MemoryBytes: 1 << 30}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, tally.NoopScope)

// parse reads a request as accept does, without the limits of the process.
func parse(cfg *fleet.Configuration, pipeline, body string, headers http.Header, received time.Time) (*request, *RequestError) {
	r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/p/requests", strings.NewReader(body))
	r.SetPathValue("pipeline", pipeline)
	r.Header = headers
	req, failure := (&Entry{}).authorise(r, cfg)
	if failure == nil {
		failure = req.readHeaders(r, received)
	}
	if failure == nil {
		failure = req.readBody(httptest.NewRecorder(), r, 1<<10, testIntake)
	}
	return req, failure
}

// Guards against accepting a request that violates a limit, a refusal without notStarted,
// and a panic on invalid input.
func FuzzRequest(f *testing.F) {
	f.Add("diagnosis", "Bearer key", "high", "100", "k", "", `{"input": 1}`)
	f.Add("booking", "Bearer key", "normal", "3000", "tkt1.x", "text/event-stream", `{"input": {"a": []}, "maxTokens": 5}`)
	f.Add("diagnosis", "Bearer key", "", "-1", strings.Repeat("k", 300), "text/event-stream", `{"input": null, "maxTokens": -1}`)
	f.Add("none", "Basic key", "9", "1e3", "", "", `{"input"`)
	f.Fuzz(func(t *testing.T, pipeline, authorization, priority, deadline, key, accept, body string) {
		headers := http.Header{"Authorization": {authorization}, "Accept": {accept}}
		headers.Set(HeaderPriority, priority)
		headers.Set(HeaderDeadline, deadline)
		headers.Set(HeaderIdempotencyKey, key)
		received := time.Now()
		req, failure := parse(testConfiguration(t), pipeline, body, headers, received)
		if failure != nil {
			if failure.Execution != fleet.NotStarted || failure.Status < 400 || failure.Status > 499 {
				t.Fatalf("got refusal %+v, want notStarted and a status from 400 to 499", failure)
			}
			return
		}
		limit := received.Add(req.pipeline.Deadline())
		switch {
		case !strings.HasPrefix(authorization, "Bearer ") || req.organisation.Name != "okafor":
			t.Fatalf("header %q was authorised as organisation %q", authorization, req.organisation.Name)
		case req.priority > fleet.PriorityNormal:
			t.Fatalf("accepted priority %v, above the maximum of the rule", req.priority)
		case !req.deadline.After(received) || req.deadline.After(limit):
			t.Fatalf("accepted deadline %v for a request received at %v", req.deadline, received)
		case len(req.key) > MaxKeyBytes || len(body) > 1<<10 || !json.Valid(req.input):
			t.Fatalf("accepted a key of %d bytes and a body of %d bytes with input %q", len(req.key), len(body), req.input)
		case req.maxTokens < 0 || req.maxTokens > MaxTokens:
			t.Fatalf("accepted maxTokens %d", req.maxTokens)
		case req.stream && req.pipeline.Name == "booking":
			t.Fatal("accepted streaming of a stage that is not idempotent")
		}
	})
}

// Guards against refusals with a wrong status or reason, on which callers base retries.
func TestRequestsAreRefused(t *testing.T) {
	valid := `{"input": 1}`
	for _, c := range []struct {
		name, pipeline, body string
		header, value        string
		status               int
		reason               peer.Reason
	}{
		{"no bearer key", "diagnosis", valid, "Authorization", "", 401, reasonUnauthenticated},
		{"unknown bearer key", "diagnosis", valid, "Authorization", "Bearer other", 401, reasonUnauthenticated},
		{"unknown pipeline", "none", valid, "", "", 404, reasonUnknownPipeline},
		{"unknown priority", "diagnosis", valid, HeaderPriority, "urgent", 400, reasonInvalidRequest},
		{"priority above the rule", "diagnosis", valid, HeaderPriority, fleet.PriorityHigh.String(), 403, reasonForbidden},
		{"deadline of 0", "diagnosis", valid, HeaderDeadline, "0", 400, reasonInvalidRequest},
		{"deadline above the pipeline's", "diagnosis", valid, HeaderDeadline, "3001", 400, reasonInvalidRequest},
		{"idempotency key too long", "diagnosis", valid, HeaderIdempotencyKey, strings.Repeat("k", MaxKeyBytes+1), 400, reasonInvalidRequest},
		{"streamed booking", "booking", valid, "Accept", "text/event-stream", 406, reasonNotStreamable},
		{"body too large", "diagnosis", `{"input": "` + strings.Repeat("x", 1<<10) + `"}`, "", "", 413, reasonBodyTooLarge},
		{"no input", "diagnosis", `{}`, "", "", 400, reasonInvalidRequest},
		{"too many tokens", "diagnosis", fmt.Sprintf(`{"input": 1, "maxTokens": %d}`, MaxTokens+1), "", "", 400, reasonInvalidRequest},
	} {
		headers := http.Header{"Authorization": {"Bearer " + callerKey}}
		if c.header != "" {
			headers.Set(c.header, c.value)
		}
		_, f := parse(testConfiguration(t), c.pipeline, c.body, headers, time.Now())
		if f == nil || f.Status != c.status || f.Reason != c.reason || f.Execution != fleet.NotStarted {
			t.Errorf("%s: got %+v, want status %d and reason %s", c.name, f, c.status, c.reason)
		}
	}
}

// Guards against "notStarted" in a response although an attempt may have run, after
// which a caller would retry and book twice.
func TestNotStartedIsReportedOnlyIfNothingRan(t *testing.T) {
	notStarted := peer.RunReply{Attempt: "2", Execution: fleet.NotStarted, Reason: peer.ReasonQueueFull}
	unknown := peer.RunReply{Attempt: "1", Execution: fleet.Unknown, Reason: peer.ReasonConnectionLost}
	completed := booking.Outcome{Execution: fleet.Completed, Dropped: true}
	_, dropped := recordedAnswer(completed)
	_, recorded := recordedAnswer(booking.Outcome{Execution: fleet.NotStarted})
	for _, c := range []struct {
		name string
		got  fleet.Execution
		want fleet.Execution
	}{
		{"only attempt refused", (&stageRun{last: notStarted}).failure("").Execution, fleet.NotStarted},
		{"refused after an attempt that may have run", (&stageRun{last: notStarted, started: true}).failure("").Execution, fleet.Unknown},
		{"first stage refused", adjustExecution(refused(503, reasonNoUpstream, ""), false).Execution, fleet.NotStarted},
		{"later stage refused", adjustExecution(refused(503, reasonNoUpstream, ""), true).Execution, fleet.Unknown},
		{"later stage completed", adjustExecution(&RequestError{Execution: fleet.Completed}, true).Execution, fleet.Completed},
		{"booking refused", (&stageRun{last: notStarted}).lastAttemptFailure(nil).Execution, fleet.NotStarted},
		{"booking with lost reply", (&stageRun{last: unknown}).lastAttemptFailure(nil).Execution, fleet.Unknown},
		{"call not sent", replyFromError("1", &peer.NotSentError{Cause: http.ErrServerClosed}).Execution, fleet.NotStarted},
		{"reply lost", replyFromError("1", &peer.NoReplyError{Cause: http.ErrServerClosed}).Execution, fleet.Unknown},
		{"other error", replyFromError("1", http.ErrServerClosed).Execution, fleet.Unknown},
		{"same key, recorded as other than completed", recorded.Execution, fleet.Unknown},
		{"same key, answer dropped", dropped.Execution, fleet.Completed},
		{"same key in progress", inProgress().Execution, fleet.Unknown},
	} {
		if c.got != c.want {
			t.Errorf("%s: execution %s, want %s", c.name, c.got, c.want)
		}
	}
	if (&stageRun{last: notStarted}).lastAttemptFailure(nil).mayHaveRun || !(&stageRun{last: unknown}).lastAttemptFailure(nil).mayHaveRun {
		t.Error("mayHaveRun does not match the execution: a claim would be released after a run, or kept for ever without one")
	}
}

// Guards against a problem document without the status, reason, execution or Retry-After
// time that callers depend on.
func TestFailureAsProblem(t *testing.T) {
	for reason, status := range map[peer.Reason]int{
		peer.ReasonDeadline: 504, peer.ReasonRejected: 422, peer.ReasonUpstreamFailed: 502, peer.ReasonConnectionLost: 502,
		peer.ReasonStreamTruncated: 502, peer.ReasonQueueFull: 503, reasonNoUpstream: 503,
	} {
		p := stageFailure("generate", fleet.Unknown, reason, "detail").problem("id", "/path", 7)
		if p.Status != status || p.Reason != string(reason) || p.Execution != fleet.Unknown || p.RequestID != "id" || p.Generation != 7 {
			t.Errorf("%s: got %+v, want status %d", reason, p, status)
		}
		if (p.RetryAfterMs > 0) != (reason == peer.ReasonQueueFull) {
			t.Errorf("%s: got retryAfterMs %d", reason, p.RetryAfterMs)
		}
	}
}
