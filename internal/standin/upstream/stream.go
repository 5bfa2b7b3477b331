package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
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

// stream sends the tokens one by one.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, v *visit, model string, tokens []string) (int, error) {
	w.Header().Set(contentType, contentTypeEvents)
	out := http.NewResponseController(w)
	for i, token := range tokens {
		if err := v.work(ctx, e.perToken()); err != nil {
			return i, streamFailure(i, err)
		}
		if i >= len(tokens)/2 && e.capacity.current().CutStreams {
			return i, errStreamCut
		}
		event := chatReply{Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{{Delta: &chatMessage{Content: token}}}}
		if err := sendEvent(w, event); err != nil {
			return i, errStreamCut
		}
		if err := out.Flush(); err != nil {
			return i, errStreamCut
		}
	}
	end := chatReply{Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{{Delta: &chatMessage{}, FinishReason: &finishStop}}}
	_ = sendEvent(w, end)
	_ = sendEvent(w, chatReply{Object: "chat.completion.chunk", Model: model, Choices: []chatChoice{}, Usage: &chatUsage{CompletionTokens: len(tokens)}})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	return len(tokens), nil
}

// streamFailure cuts a stream that has begun, because its status was already sent.
func streamFailure(sent int, err error) error {
	if sent > 0 {
		return errStreamCut
	}
	return err
}

func sendEvent(w http.ResponseWriter, event chatReply) error {
	body, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", body)
	return err
}
