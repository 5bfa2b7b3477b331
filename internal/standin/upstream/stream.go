package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type chatReply struct {
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

var finishStop = "stop"

const objectChunk = "chat.completion.chunk"

func chatDocument(model string, tokens []string) chatReply {
	return chatReply{
		Object: "chat.completion",
		Model:  model,
		Choices: []chatChoice{{
			Message:      &chatMessage{Role: "assistant", Content: strings.Join(tokens, "")},
			FinishReason: &finishStop,
		}},
		Usage: &chatUsage{CompletionTokens: len(tokens)},
	}
}

func embeddingDocument(model string, values []float64) map[string]any {
	return map[string]any{
		"object": "list",
		"model":  model,
		"data":   []any{map[string]any{"object": "embedding", "index": 0, "embedding": values}},
	}
}

// stream generates the tokens and sends them one by one. With a ResumeWindow it
// continues for that long after its client has disconnected.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, a *activeCall, attempt, model string, tokens []string) (int, error) {
	s := e.storeStream(attempt, model)
	defer e.expireStream(attempt, s)
	w.Header().Set(contentType, contentTypeEvents)
	clientLost := false
	for i, token := range tokens {
		if err := a.work(ctx, e.perToken()); err != nil {
			s.end(err)
			return i, streamFailure(i, err)
		}
		s.add(token)
		cut := i >= len(tokens)/2 && e.capacity.current().CutStreams
		if cut && e.cfg.ResumeWindow <= 0 {
			s.end(errStreamCut)
			return i, errStreamCut
		}
		if cut && !clientLost {
			dropConnection(w)
		}
		clientLost = clientLost || cut || sendToken(w, model, token) != nil
		if clientLost && e.cfg.ResumeWindow <= 0 {
			s.end(errStreamCut)
			return i, errStreamCut
		}
	}
	s.end(nil)
	if clientLost {
		return len(tokens), nil
	}
	sendEnd(w, model, len(tokens))
	return len(tokens), nil
}

// withDelayedCancel returns a context that ends after the delay d following the end of ctx.
func withDelayedCancel(ctx context.Context, d time.Duration) (context.Context, context.CancelCauseFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		time.AfterFunc(d, func() { cancel(context.Cause(ctx)) })
	})
	return detached, cancel
}

// dropConnection closes the connection of a response while its handler continues.
func dropConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// streamFailure returns errStreamCut for a stream whose status was already sent.
func streamFailure(sent int, err error) error {
	if sent > 0 {
		return errStreamCut
	}
	return err
}

func sendToken(w http.ResponseWriter, model, token string) error {
	event := chatReply{Object: objectChunk, Model: model, Choices: []chatChoice{{Delta: &chatMessage{Content: token}}}}
	if err := sendEvent(w, event); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// sendEnd sends the finish reason, the usage and the last event.
func sendEnd(w http.ResponseWriter, model string, tokens int) {
	_ = sendEvent(w, chatReply{Object: objectChunk, Model: model, Choices: []chatChoice{{Delta: &chatMessage{}, FinishReason: &finishStop}}})
	_ = sendEvent(w, chatReply{Object: objectChunk, Model: model, Choices: []chatChoice{}, Usage: &chatUsage{CompletionTokens: tokens}})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func sendEvent(w http.ResponseWriter, event chatReply) error {
	body, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", body)
	return err
}
