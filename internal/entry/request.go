package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// requestBody is the body of a pipeline request.
type requestBody struct {
	// Input is the input of the first stage.
	Input json.RawMessage `json:"input"`
	// MaxTokens is the maximum number of tokens that each stage generates; 0 leaves the
	// limit to the engine.
	MaxTokens int `json:"maxTokens"`
}

// request is a validated request of a caller.
type request struct {
	id           string
	cfg          *fleet.Configuration
	organisation fleet.Organisation
	pipeline     fleet.Pipeline
	priority     fleet.Priority
	deadline     time.Time
	key          string
	// keyGranted is set once this request has the claim of its key or the reservation of
	// its ticket, so that no earlier attempt with the key has run.
	keyGranted bool
	stream     bool
	input      json.RawMessage
	maxTokens  int
	// held is the memory for the body.
	held intake.Share
	// ticket is the reserved ticket for the last stage, or nil.
	ticket *reservedTicket
}

// remaining returns the time until the deadline.
func (r *request) remaining() time.Duration { return time.Until(r.deadline) }

// authorise looks up the organisation, the pipeline and the rule of a request.
func (e *Entry) authorise(r *http.Request, cfg *fleet.Configuration) (*request, *RequestError) {
	if cfg == nil {
		f := refused(http.StatusServiceUnavailable, peer.ReasonNoConfiguration, "the entry has no configuration yet")
		f.RetryAfter = time.Second
		return nil, f
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, refused(http.StatusUnauthorized, reasonUnauthenticated, "the header Authorization must carry a bearer key")
	}
	organisation, ok := cfg.OrganisationByKey(key)
	if !ok {
		return nil, refused(http.StatusUnauthorized, reasonUnauthenticated, "the bearer key is not known")
	}
	name := r.PathValue("pipeline")
	pipeline, ok := cfg.Pipeline(name)
	if !ok {
		return nil, refused(http.StatusNotFound, reasonUnknownPipeline, "pipeline %q does not exist", name)
	}
	rule, ok := cfg.Rule(organisation.Name, name)
	if !ok {
		return nil, refused(http.StatusForbidden, reasonForbidden, "organisation %q may not call pipeline %q", organisation.Name, name)
	}
	req := &request{cfg: cfg, organisation: organisation, pipeline: pipeline}
	return req, req.readPriority(r, rule)
}

func (r *request) readPriority(hr *http.Request, rule fleet.Rule) *RequestError {
	r.priority = rule.DefaultPriority
	name := hr.Header.Get(HeaderPriority)
	if name == "" {
		return nil
	}
	p, err := fleet.ParsePriority(name)
	if err != nil {
		return refused(http.StatusBadRequest, reasonInvalidRequest, "header %s: %v", HeaderPriority, err)
	}
	if p > rule.MaxPriority {
		return refused(http.StatusForbidden, reasonForbidden, "organisation %q may call pipeline %q with priority %s at most",
			r.organisation.Name, r.pipeline.Name, rule.MaxPriority)
	}
	r.priority = p
	return nil
}

// readHeaders reads the deadline, the idempotency key and whether the response is streamed.
func (r *request) readHeaders(hr *http.Request, received time.Time) *RequestError {
	limit := r.pipeline.Deadline()
	if s := hr.Header.Get(HeaderDeadline); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms < 1 || ms > r.pipeline.DeadlineMs {
			return refused(http.StatusBadRequest, reasonInvalidRequest, "header %s is %q, allowed are 1 to %d", HeaderDeadline, s, r.pipeline.DeadlineMs)
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	r.deadline = received.Add(limit)
	r.key = hr.Header.Get(HeaderIdempotencyKey)
	if len(r.key) > MaxKeyBytes {
		return refused(http.StatusBadRequest, reasonInvalidRequest, "header %s is longer than %d bytes", HeaderIdempotencyKey, MaxKeyBytes)
	}
	if s := hr.Header.Get(HeaderAttempt); s != "" {
		if n, err := strconv.Atoi(s); err != nil || n < 1 {
			return refused(http.StatusBadRequest, reasonInvalidRequest, "header %s is %q, allowed are whole numbers from 1", HeaderAttempt, s)
		}
	}
	r.stream = strings.Contains(hr.Header.Get("Accept"), "text/event-stream")
	if last := r.lastStage(); r.stream && (last.Protocol != fleet.ProtocolChat || !last.Idempotent) {
		return refused(http.StatusNotAcceptable, reasonNotStreamable, "stage %q, the last of the pipeline, can't stream", last.Name)
	}
	return nil
}

func (r *request) lastStage() fleet.Stage {
	stage, _ := r.cfg.Stage(r.pipeline.Steps[len(r.pipeline.Steps)-1].Stage)
	return stage
}

// readBody reads and validates the body. Its memory is held until the request ends.
func (r *request) readBody(w http.ResponseWriter, hr *http.Request, limit int64, budget *intake.Budget) *RequestError {
	r.held.Open(budget)
	r.held.AllowYield(http.NewResponseController(w).SetReadDeadline)
	parts, err := r.receive(hr, limit)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		budget.Count(intake.CauseTooLarge)
		w.Header().Set("Connection", "close")
		return refused(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, intake.ErrSpent):
		budget.Count(intake.CauseMemory)
		return overloaded(w, "the entry has no memory for the request")
	case errors.Is(err, intake.ErrYielded):
		budget.Count(intake.CauseStalled)
		return overloaded(w, "the body didn't arrive while others waited for memory")
	case err != nil:
		return refused(http.StatusBadRequest, reasonInvalidRequest, "reading the body: %v", err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	body, err := parseBody(bytes.Join(parts, nil))
	if err != nil {
		return refused(http.StatusBadRequest, reasonInvalidRequest, "%v", err)
	}
	r.input, r.maxTokens = body.Input, body.MaxTokens
	return nil
}

// receive reads the body. The head of a request of HTTP/1 was taken with its connection; on one of HTTP/2
// there are several at a time, each with goroutines and buffers of its own.
func (r *request) receive(hr *http.Request, limit int64) ([][]byte, error) {
	if hr.ProtoMajor == 2 {
		if err := r.held.TakeWhole(hr.Context(), streamBytes+intake.RequestCost(hr, 0)); err != nil {
			return nil, err
		}
	}
	parts, err := intake.ReadBody(hr.Context(), hr.Body, hr.ContentLength, limit, &r.held)
	if err != nil {
		return nil, err
	}
	// The fields of trailers have no meaning here, and would stay for as long as the request.
	hr.Trailer = nil
	return parts, r.held.Settle()
}

// overloaded refuses a request for which there is no memory, and closes its connection.
func overloaded(w http.ResponseWriter, detail string) *RequestError {
	w.Header().Set("Connection", "close")
	f := refused(http.StatusServiceUnavailable, reasonOverloaded, "%s", detail)
	f.RetryAfter = queueRetryAfter
	return f
}

// parseBody parses and validates the JSON body of a pipeline request.
func parseBody(raw []byte) (requestBody, error) {
	var body requestBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, errors.Wrap(err, "the body is not the expected JSON")
	}
	if len(body.Input) == 0 {
		return body, errors.New("the member input is missing")
	}
	if body.MaxTokens < 0 || body.MaxTokens > MaxTokens {
		return body, errors.Errorf("maxTokens is %d, allowed are 0 to %d", body.MaxTokens, MaxTokens)
	}
	return body, nil
}
