package engine

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	Priority      int            `json:"priority"`
}

type embeddingsRequest struct {
	Model string          `json:"model"`
	Input json.RawMessage `json:"input"`
}

// encodeCall returns the URL path and the request body of the call.
func encodeCall(call Call, stream bool) (string, []byte, error) {
	if !json.Valid(call.Input) {
		return "", nil, errors.New("input is not a valid JSON value")
	}
	switch call.Protocol {
	case fleet.ProtocolChat:
		body, err := json.Marshal(newChatRequest(call, stream))
		return ChatPath, body, err
	case fleet.ProtocolEmbeddings:
		body, err := json.Marshal(embeddingsRequest{Model: call.Model, Input: call.Input})
		return EmbeddingsPath, body, err
	case fleet.ProtocolJSON:
		if !strings.HasPrefix(call.Path, "/") {
			return "", nil, errors.Errorf("path %q does not start with /", call.Path)
		}
		return call.Path, call.Input, nil
	default:
		return "", nil, errors.Errorf("protocol %q is not one of chat, embeddings, json", call.Protocol)
	}
}

func newChatRequest(call Call, stream bool) chatRequest {
	r := chatRequest{
		Model:     call.Model,
		Messages:  []chatMessage{{Role: "user", Content: chatContent(call.Input)}},
		MaxTokens: call.MaxTokens,
		Stream:    stream,
		Priority:  enginePriority(call.Priority),
	}
	if stream {
		r.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	return r
}

// chatContent returns the text of a JSON string, or the JSON text of another value.
func chatContent(input json.RawMessage) string {
	var text string
	if err := json.Unmarshal(input, &text); err == nil && string(input) != "null" {
		return text
	}
	return string(input)
}

// enginePriority maps a priority to the engines' scale, on which a lower number is served first.
func enginePriority(p fleet.Priority) int { return int(fleet.PriorityCritical - p) }
