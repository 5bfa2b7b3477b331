package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against a stream that is accepted as complete without its end, or whose result
// differs from the chunks passed to the sink.
func FuzzStream(f *testing.F) {
	f.Add(completeStream)
	f.Add(strings.ReplaceAll(completeStream, "\n", "\r\n"))
	f.Add("data: [DONE]\n\n")
	f.Add("data:{\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata:[DONE]\n\n")
	f.Add("data: {\"error\":{\"message\":\"x\"}}\n\n")
	f.Add("data: {\ndata: \"choices\":[]}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		var text strings.Builder
		result, err := readStream(strings.NewReader(body), func(c Chunk) error { text.WriteString(c.Text); return nil })
		if err != nil {
			var truncated *TruncatedError
			var invalid *InvalidReplyError
			if !errors.As(err, &truncated) && !errors.As(err, &invalid) && !errors.Is(err, ErrReplyTooLarge) {
				t.Fatalf("error %v has none of the documented types", err)
			}
			return
		}
		if !strings.Contains(body, doneEvent) || result.FinishReason == "" {
			t.Fatalf("a stream without its end is accepted as complete: %q", body)
		}
		var output string
		if err := json.Unmarshal(result.Output, &output); err != nil || output != text.String() {
			t.Fatalf("the output %s differs from the chunks %q (%v)", result.Output, text.String(), err)
		}
	})
}

// Guards against a complete stream that is rejected, and against one truncated at any byte that is accepted.
func FuzzCutStream(f *testing.F) {
	f.Add("a", "b", uint16(0))
	f.Add("line\nbreak", "\u2028 \" \\", uint16(9))
	f.Fuzz(func(t *testing.T, first, second string, cut uint16) {
		var body strings.Builder
		for _, part := range []string{first, second} {
			text, err := json.Marshal(part)
			if err != nil {
				t.Skip()
			}
			_, _ = fmt.Fprintf(&body, "data: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", text)
		}
		body.WriteString("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
		keep := func(Chunk) error { return nil }
		complete := body.String()
		result, err := readStream(strings.NewReader(complete), keep)
		want := decoded(t, first) + decoded(t, second)
		var output string
		if err != nil || json.Unmarshal(result.Output, &output) != nil || output != want {
			t.Fatalf("a complete stream returned %q and %v, want %q", output, err, want)
		}
		part := complete[:int(cut)%len(complete)]
		if _, err := readStream(strings.NewReader(part), keep); err == nil {
			t.Fatalf("a truncated stream is accepted as complete: %q", part)
		}
	})
}

// decoded returns the text after a JSON round trip, which replaces invalid UTF-8.
func decoded(t *testing.T, s string) string {
	t.Helper()
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var out string
	if err := json.Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against replies that crash the parser, are accepted as complete without their
// finish reason, or result in output that is not JSON.
func FuzzReply(f *testing.F) {
	f.Add(`{"choices":[{"message":{"content":"x"},"finish_reason":"stop"}],"usage":{"completion_tokens":1}}`)
	f.Add(`{"choices":[{"message":{"content":null},"finish_reason":"stop"}]}`)
	f.Add(`{"data":[{"embedding":[1,2]}]}`)
	f.Add(`{"title":"no","execution":"notStarted"}`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, body string) {
		for _, protocol := range []fleet.Protocol{fleet.ProtocolChat, fleet.ProtocolEmbeddings, fleet.ProtocolJSON} {
			result, err := parseResponse(protocol, []byte(body))
			if err != nil {
				continue
			}
			if !json.Valid(result.Output) {
				t.Fatalf("%s: the output %q is not JSON", protocol, result.Output)
			}
			if protocol == fleet.ProtocolChat && !isCompleteReason(result.FinishReason) {
				t.Fatalf("a response without finish reason is accepted as complete: %s", body)
			}
		}
		p, _ := parseProblem([]byte(body))
		if len(p.message([]byte(body))) > MaxMessageBytes {
			t.Fatal("the message exceeds MaxMessageBytes")
		}
	})
}

func benchmarkClient(b *testing.B, contentType, reply string) *Client {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, reply)
	}))
	b.Cleanup(server.Close)
	b.ReportAllocs()
	return New(Config{BaseURL: server.URL}, nil)
}

func BenchmarkRun(b *testing.B) {
	c := benchmarkClient(b, contentTypeJSON, `{"choices":[{"message":{"content":"`+strings.Repeat("x", 1024)+`"},"finish_reason":"stop"}]}`)
	for b.Loop() {
		if _, err := c.Run(context.Background(), chatCall()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStream(b *testing.B) {
	event := `data: {"choices":[{"delta":{"content":"token "}}]}` + "\n\n"
	c := benchmarkClient(b, contentTypeEvents, strings.Repeat(event, 62)+completeStream)
	for b.Loop() {
		if _, err := c.Stream(context.Background(), chatCall(), func(Chunk) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
