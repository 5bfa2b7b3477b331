package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)

type requestBody struct {
	Input     json.RawMessage `json:"input"`
	MaxTokens int             `json:"maxTokens,omitempty"`
}

type responseBody struct {
	RequestID     string          `json:"requestId"`
	Pipeline      string          `json:"pipeline"`
	Output        json.RawMessage `json:"output"`
	SkippedStages []string        `json:"skippedStages"`
}

// problem is an RFC 9457 problem document.
type problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail"`
	Execution fleet.Execution `json:"execution"`
}

// failure describes an attempt without a response.
type failure struct {
	outcome Outcome
	status  int
	reason  string
}

// Error returns the outcome and the reason.
func (f *failure) Error() string { return fmt.Sprintf("%s: %s", f.outcome, f.reason) }

// send runs one request with its retries and returns its result.
func (g *Generator) send(ctx context.Context, a arrival, start time.Time) Result {
	due := start.Add(a.due)
	class := a.class
	r := Result{
		ID:           a.id,
		Pipeline:     class.Pipeline,
		Organisation: class.Organisation,
		Priority:     class.Priority,
		Input:        a.input,
		Key:          a.key,
		Due:          due,
	}
	deadline := due.Add(class.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(g.cfg.Grace))
	defer cancel()
	for try := 0; ; try++ {
		target := g.cfg.Targets[(a.target+try)%len(g.cfg.Targets)]
		f := g.attempt(ctx, target, class, &r, deadline)
		r.Latency = time.Since(due)
		if f == nil {
			r.setOutcome(class)
			return r
		}
		r.Outcome, r.Reason, r.Status = f.outcome, f.reason, f.status
		// After an attempt with an unknown outcome the request stays unknown, even when a later attempt was rejected as not started.
		if f.outcome != NotStarted {
			r.unresolvedAttempts++
		} else if r.unresolvedAttempts > 0 {
			r.Outcome = Unknown
		}
		if try >= g.cfg.Retries || !class.canRetry(f.outcome, r.Key) || time.Until(deadline) <= 0 {
			return r
		}
	}
}

// setOutcome sets the outcome of a request that received a response.
func (r *Result) setOutcome(class *RequestClass) {
	if err := r.checkResponse(class); err != nil {
		r.Outcome, r.Reason = WrongAnswer, err.Error()
		return
	}
	r.Outcome, r.Reason = Completed, ""
	r.WithinDeadline = r.Latency <= class.Deadline
}

func (r *Result) checkResponse(class *RequestClass) error {
	if r.Response.RequestID == "" {
		return errors.New("response has no requestId")
	}
	if !r.Response.Streamed && r.Response.Pipeline != class.Pipeline {
		return errors.Errorf("response is from pipeline %q", r.Response.Pipeline)
	}
	return class.Check(r.Input, r.Response)
}

// canRetry reports whether a caller may send the request to another target. With a
// key that is safe after an unknown outcome, because the request runs at most once.
func (c *RequestClass) canRetry(o Outcome, key string) bool {
	return o == NotStarted || (o == Unknown && (c.Idempotent || key != ""))
}

// attempt sends the request once.
func (g *Generator) attempt(ctx context.Context, target string, class *RequestClass, r *Result, deadline time.Time) *failure {
	if class.Ticket && r.Key == "" {
		ticket, err := g.ticket(ctx, target, class)
		if err != nil {
			return &failure{outcome: NotStarted, reason: "no ticket: " + err.Error()}
		}
		r.Key = ticket
	}
	body, err := json.Marshal(requestBody{Input: r.Input, MaxTokens: class.MaxTokens})
	if err != nil {
		return &failure{outcome: NotStarted, reason: err.Error()}
	}
	remaining := time.Until(deadline)
	if remaining < time.Millisecond {
		return &failure{outcome: NotStarted, reason: "the deadline passed before the request was sent"}
	}
	r.Attempts++
	header := http.Header{
		"Authorization": {"Bearer " + class.Key},
		"Content-Type":  {contentTypeJSON},
		"Priority":      {class.Priority.String()},
		"Deadline-Ms":   {strconv.FormatInt(remaining.Milliseconds(), 10)},
	}
	if r.Key != "" {
		header.Set("Idempotency-Key", r.Key)
		header.Set("Idempotency-Attempt", strconv.Itoa(1+r.unresolvedAttempts))
	}
	if class.Stream {
		header.Set("Accept", contentTypeEvents)
	}
	resp, f := g.post(ctx, target+"/v1/pipelines/"+url.PathEscape(class.Pipeline)+"/requests", body, header)
	if f != nil {
		return f
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp)
	}
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind == contentTypeEvents {
		return r.readEvents(resp.Body)
	}
	return r.readResponse(resp)
}

func (g *Generator) post(ctx context.Context, address string, body []byte, header http.Header) (*http.Response, *failure) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, &failure{outcome: NotStarted, reason: err.Error()}
	}
	// Without GetBody the transport can't resend the request on its own.
	r.GetBody = nil
	r.Header = header
	resp, err := g.cfg.HTTP.Do(r)
	if err == nil {
		return resp, nil
	}
	if connected.Load() {
		return nil, &failure{outcome: Unknown, reason: err.Error()}
	}
	return nil, &failure{outcome: NotStarted, reason: err.Error()}
}

// ticket fetches a ticket for one request.
func (g *Generator) ticket(ctx context.Context, target string, class *RequestClass) (string, error) {
	header := http.Header{"Authorization": {"Bearer " + class.Key}, "Content-Type": {contentTypeJSON}}
	resp, f := g.post(ctx, target+"/v1/pipelines/"+url.PathEscape(class.Pipeline)+"/tickets", []byte("{}"), header)
	if f != nil {
		return "", f
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		return "", readProblem(resp)
	}
	var reply struct {
		Ticket string `json:"ticket"`
	}
	body, err := readAll(resp.Body)
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(body, &reply); err != nil || reply.Ticket == "" {
		return "", errors.New("response contains no ticket")
	}
	return reply.Ticket, nil
}

func readAll(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > MaxResponseBytes {
		return nil, errors.New("response exceeds the size limit")
	}
	return text, nil
}

func readProblem(resp *http.Response) *failure {
	text, err := readAll(resp.Body)
	if err != nil {
		return &failure{outcome: Unknown, status: resp.StatusCode, reason: err.Error()}
	}
	f := problemFailure(text)
	f.status = resp.StatusCode
	return f
}

func problemFailure(text []byte) *failure {
	var p problem
	if err := json.Unmarshal(text, &p); err != nil {
		return &failure{outcome: Unknown, reason: "error response is not a problem document: " + truncate(text)}
	}
	reason := p.Detail
	if reason == "" {
		reason = p.Title
	}
	return &failure{outcome: outcomeOf(p.Execution), status: p.Status, reason: reason}
}

const maxReasonBytes = 200

func truncate(text []byte) string { return string(text[:min(len(text), maxReasonBytes)]) }

func (r *Result) readResponse(resp *http.Response) *failure {
	r.Status = resp.StatusCode
	text, err := readAll(resp.Body)
	if err != nil {
		return &failure{outcome: Unknown, status: resp.StatusCode, reason: err.Error()}
	}
	var a responseBody
	if err := json.Unmarshal(text, &a); err != nil {
		return &failure{outcome: WrongAnswer, status: resp.StatusCode, reason: err.Error()}
	}
	r.Response = Response{RequestID: a.RequestID, Pipeline: a.Pipeline, Output: a.Output, SkippedStages: a.SkippedStages}
	return nil
}
