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
// goes on for that long after its client has gone.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, v *visit, attempt, model string, tokens []string) (int, error) {
	h := e.hold(attempt, model)
	defer e.release(attempt, h)
	w.Header().Set(contentType, contentTypeEvents)
	lost := false
	for i, token := range tokens {
		if err := v.work(ctx, e.perToken()); err != nil {
			h.end(err)
			return i, streamFailure(i, err)
		}
		h.add(token)
		cut := i >= len(tokens)/2 && e.capacity.current().CutStreams
		if cut && e.cfg.ResumeWindow <= 0 {
			h.end(errStreamCut)
			return i, errStreamCut
		}
		if cut && !lost {
			dropConnection(w)
		}
		lost = lost || cut || sendToken(w, model, token) != nil
		if lost && e.cfg.ResumeWindow <= 0 {
			h.end(errStreamCut)
			return i, errStreamCut
		}
	}
	h.end(nil)
	if lost {
		return len(tokens), nil
	}
	sendEnd(w, model, len(tokens))
	return len(tokens), nil
}

// outlive returns a context that ends this long after ctx.
func outlive(ctx context.Context, d time.Duration) (context.Context, context.CancelCauseFunc) {
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		time.AfterFunc(d, func() { cancel(context.Cause(ctx)) })
	})
	return own, cancel
}

// dropConnection closes the connection of a reply while its handler goes on.
func dropConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// streamFailure cuts a stream that has begun, because its status was already sent.
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
