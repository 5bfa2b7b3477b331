package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// Event names of a streamed response. A stream is complete only with EventDone.
const (
	EventToken = "token"
	EventDone  = "done"
	EventError = "error"
)

// TokenEvent is the data of EventToken.
type TokenEvent struct {
	Text string `json:"text"`
}

// DoneEvent is the data of EventDone.
type DoneEvent struct {
	RequestID string `json:"requestId"`
	Pipeline  string `json:"pipeline"`
	// Tokens is the number of preceding token events.
	Tokens        int      `json:"tokens"`
	SkippedStages []string `json:"skippedStages,omitempty"`
}

// eventWriter writes server-sent events (WHATWG HTML, section 9.2).
type eventWriter struct {
	w       http.ResponseWriter
	started bool
	tokens  int
}

func (s *eventWriter) token(text string) error {
	s.tokens++
	return s.send(EventToken, TokenEvent{Text: text})
}

func (s *eventWriter) send(event string, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	control := http.NewResponseController(s.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", event, raw); err != nil {
		return err
	}
	return control.Flush()
}

// serveStream streams the chunks of the last stage's output as they arrive. A failure
// before the first chunk is returned as a plain problem document.
func (e *Entry) serveStream(w http.ResponseWriter, r *http.Request, req *request, received time.Time) {
	events := &eventWriter{w: w}
	answer, failure := e.execute(r.Context(), req, events.token)
	switch {
	case failure != nil && !events.started:
		e.writeFailure(w, r, req.id, req, failure, received)
		return
	case failure != nil:
		e.recordFailure(req.id, req, failure, received)
		if err := events.send(EventError, failure.problem(req.id, r.URL.Path, e.Holder.Generation())); err != nil {
			e.Logger.Debug().Err(err).Str(instance.KeyRequest, req.id).Msg("writing the event failed; the caller disconnected")
		}
		return
	}
	e.recordCompletion(req, received)
	done := DoneEvent{RequestID: req.id, Pipeline: answer.Pipeline, Tokens: events.tokens, SkippedStages: answer.SkippedStages}
	if err := events.send(EventDone, done); err != nil {
		e.Logger.Debug().Err(err).Str(instance.KeyRequest, req.id).Msg("writing the event failed; the caller disconnected")
	}
}
