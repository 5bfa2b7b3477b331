package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/urfave/negroni/v3"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
)

// Answer is the response body of a completed request.
type Answer struct {
	RequestID string `json:"requestId"`
	Pipeline  string `json:"pipeline"`
	// Output is the output of the last stage.
	Output json.RawMessage `json:"output"`
	// SkippedStages are the optional stages that failed.
	SkippedStages []string `json:"skippedStages,omitempty"`
}

// Handler returns the handler of the caller API. metrics serves GET /metrics.
func (e *Entry) Handler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/requests", e.serveRequest)
	mux.HandleFunc("POST /v1/pipelines/{pipeline}/tickets", e.serveTicket)
	mux.HandleFunc("GET /healthz", e.serveHealth)
	mux.HandleFunc("GET /readyz", e.serveReadiness)
	mux.Handle("GET /metrics", metrics)
	n := negroni.New()
	n.UseFunc(e.recoverPanic)
	n.UseFunc(setBodyReadDeadline)
	n.UseHandler(mux)
	return n
}

// recoverPanic responds with an internal error if a handler panics, so that the process
// keeps serving other requests.
func (e *Entry) recoverPanic(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		e.Scope.Counter("panics").Inc(1)
		e.Logger.Error().Any("cause", cause).Str("path", r.URL.Path).Stack().Msg("request handler panicked")
		p := problem.New(http.StatusInternalServerError, string(reasonInternal), "internal error")
		p.Execution = fleet.Unknown
		p.Write(w)
	}()
	next(w, r)
}

// setBodyReadDeadline limits the time for receiving the body of a request. readBody
// removes the limit once it has the whole body. After a refusal the limit stays, because
// the HTTP server reads the rest of the body before it sends the response.
func setBodyReadDeadline(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	// Not every connection type supports a read deadline; the header time-out limits the others.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	next(w, r)
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (e *Entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.IsLeaving():
		problem.New(http.StatusServiceUnavailable, string(peer.ReasonLeaving), "the entry is shutting down").Write(w)
	case e.Holder.Current() == nil:
		problem.New(http.StatusServiceUnavailable, string(peer.ReasonNoConfiguration), "the entry has no configuration yet").Write(w)
	case !e.knowsSidecars():
		// A load balancer that sent requests now would only get refusals.
		problem.New(http.StatusServiceUnavailable, string(reasonNoUpstream), "the entry knows no sidecar yet").Write(w)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// serveRequest serves one pipeline request.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	id := e.nextID()
	w.Header().Set(HeaderRequestID, id)
	req, failure := e.accept(w, r, received)
	if req != nil {
		defer req.held.Release()
	}
	if failure != nil {
		e.writeFailure(w, r, id, req, failure, received)
		return
	}
	req.id = id
	if req.stream {
		e.serveStream(w, r, req, received)
		return
	}
	answer, failure := e.executeUnary(r.Context(), req)
	if failure != nil {
		e.writeFailure(w, r, id, req, failure, received)
		return
	}
	e.recordCompletion(req, received)
	w.Header().Set("Content-Type", "application/json")
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		e.Logger.Debug().Err(err).Str(instance.KeyRequest, id).Msg("writing the response failed; the caller disconnected")
	}
}

// executeUnary runs a request whose response is not streamed.
func (e *Entry) executeUnary(ctx context.Context, req *request) (*Answer, *RequestError) {
	if req.cfg.IsIdempotent(req.pipeline) {
		return e.execute(ctx, req, nil)
	}
	return e.executeAtMostOnce(ctx, req)
}

// accept validates a request without contacting any upstream. On failure the returned
// request holds what was read before, or is nil.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request, received time.Time) (*request, *RequestError) {
	if e.InFlight() > e.bounds.MaxInFlight {
		f := refused(http.StatusServiceUnavailable, reasonOverloaded, "the entry holds %d requests", e.bounds.MaxInFlight)
		f.RetryAfter = queueRetryAfter
		return nil, f
	}
	e.EnsureFresh(r.Context())
	req, failure := e.authorise(r, e.Holder.Current())
	if failure != nil {
		return req, failure
	}
	if failure := req.readHeaders(r, received); failure != nil {
		return req, failure
	}
	return req, req.readBody(w, r, e.bounds.MaxBodyBytes, e.Intake)
}

// writeFailure responds with a problem document and records the failure.
func (e *Entry) writeFailure(w http.ResponseWriter, r *http.Request, id string, req *request, f *RequestError, received time.Time) {
	if mayHaveRunBefore(f, r.Header, req) {
		f.Execution = fleet.Unknown
		f.Detail += "; an earlier attempt with this key may have run"
	}
	e.recordFailure(id, req, f, received)
	f.problem(id, r.URL.Path, e.Holder.Generation()).Write(w)
}

func (e *Entry) recordFailure(id string, req *request, f *RequestError, received time.Time) {
	pipeline, organisation := "", ""
	if req != nil {
		pipeline, organisation = req.pipeline.Name, req.organisation.Name
	}
	kind := failureKind{pipeline: pipeline, reason: f.Reason, execution: f.Execution}
	e.metrics.failures.Inc(kind)
	missed, ok := sampleLog(e.logSamplers.failures, kind, f.Execution)
	if !ok {
		return
	}
	e.Logger.Info().Int(instance.KeyMissed, missed).Str(instance.KeyRequest, id).Str(instance.KeyOrganisation, organisation).
		Str(instance.KeyPipeline, pipeline).Str(instance.KeyStage, f.Stage).
		Uint64(instance.KeyGeneration, e.Holder.Generation()).Str(instance.KeyReason, string(f.Reason)).
		Str("execution", string(f.Execution)).Dur("took", time.Since(received)).Str("detail", f.Detail).
		Msg("request failed")
}

func (e *Entry) recordCompletion(req *request, received time.Time) {
	kind := completedKind{pipeline: req.pipeline.Name, priority: req.priority}
	e.metrics.completed.Inc(kind)
	e.metrics.times.Record(kind, time.Since(received))
}
