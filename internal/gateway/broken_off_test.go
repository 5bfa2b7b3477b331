package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bergamotrudder.example/bergamotrudder/internal/forward"
)

// Streams that end inside an event, and sound ones.
var (
	brokenStreams = map[string]string{
		"in a line":             "id: 1\ndata: a\n\nid: 2\ndat",
		"after a line":          "id: 1\ndata: a\n\nid: 2\n",
		"before the first line": "id",
	}
	soundStreams = map[string]string{
		"LF":             "id: 1\ndata: a\n\nid: 2\n\n",
		"CRLF":           "id: 1\r\ndata: a\r\n\r\n",
		"with a comment": "id: 1\n\n: end\n",
	}
	framings = []forward.Framing{forward.FramedByConnection, forward.FramedByChunks, forward.FramedByLength}
)

// respondFramed answers each request with the body and the end of its framing, and closes the
// connection, as after a crash of the process.
func respondFramed(contentType string, framing forward.Framing, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%s: %s\r\n%s: seal\r\n", contentType, testID, r.Header.Get(testID), testSignature)
		switch framing {
		case forward.FramedByChunks:
			head += "Transfer-Encoding: chunked\r\n"
			if body != "" {
				body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			body += "0\r\n\r\n"
		case forward.FramedByLength:
			head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		_, _ = io.WriteString(c, head+"\r\n"+body)
	}
}

// Guards against a stream that was broken off inside an event and reaches its caller as a
// complete response, because its upstream closed the connection or ended the framing.
func TestStreamThatEndsInsideAnEventIsIncomplete(t *testing.T) {
	for _, framing := range framings {
		for name, body := range brokenStreams {
			t.Run(string(framing)+" "+name, func(t *testing.T) {
				withGateway(t, func(t *testing.T, f *fixture) {
					f.upstream(engineService, respondFramed("text/event-stream", framing, body))
					resp, got, err := f.send(t.Context(), callerRequest{path: "/stream/x", id: "r1"})
					if err == nil && resp.StatusCode == http.StatusOK {
						t.Errorf("the broken-off stream %q looks complete", got)
					}
				})
			})
		}
	}
}

// Guards against sound streams that are cut because the end of their connection is their end.
func TestSoundStreamIsCompleteInEachFraming(t *testing.T) {
	for _, framing := range framings {
		for name, body := range soundStreams {
			t.Run(string(framing)+" "+name, func(t *testing.T) {
				withGateway(t, func(t *testing.T, f *fixture) {
					f.upstream(engineService, respondFramed("text/event-stream; charset=utf-8", framing, body))
					resp, got, err := f.send(t.Context(), callerRequest{path: "/stream/x", id: "r1"})
					if err != nil || resp.StatusCode != http.StatusOK || got != body {
						t.Errorf("got %+v, %q, %v, want the stream %q", resp, got, err, body)
					}
				})
			})
		}
	}
}

// Guards against a crash before the first event that looks like a stream without events, since
// the response ends with its connection.
func TestUnframedStreamWithoutEventsIsIncomplete(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &countingUpstream{handler: respondFramed("text/event-stream", forward.FramedByConnection, "")}
		f.upstream(engineService, up)
		resp, got, err := f.send(t.Context(), callerRequest{path: "/stream/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusBadGateway || up.count() != 1 {
			t.Errorf("got %+v, %q, %v after %d runs, want 502 after one", resp, got, err, up.count())
		}
	})
}

// Guards against a broken-off response that a caller of HTTP/1.0 takes for a whole one: without
// chunks, only a reset tells it from the end of the response.
func TestBrokenOffResponseIsResetForHTTP10(t *testing.T) {
	for name, test := range map[string]struct {
		body  string
		whole bool
	}{
		"broken off": {body: "id: 1\n\nid: 2\n"},
		"whole":      {body: "id: 1\n\nid: 2\n\n", whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newConfiguredFixture(t)
			defer f.close()
			f.upstream(engineService, respondFramed("text/event-stream", forward.FramedByConnection, test.body))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: f.Gateway, ConnContext: WithConn}
			defer func() { _ = server.Close() }()
			go func() { _ = server.Serve(l) }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "POST /stream/x HTTP/1.0\r\nHost: host\r\n%s: r1\r\n%s: key\r\nContent-Length: 0\r\n\r\n", testID, testKey)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				if test.whole {
					t.Fatal(err)
				}
				return
			}
			defer func() { _ = resp.Body.Close() }()
			var got strings.Builder
			_, err = io.Copy(&got, resp.Body)
			if complete := err == nil && resp.StatusCode == http.StatusOK; complete != test.whole {
				t.Errorf("got %q, %v; complete is %t, want %t", got.String(), err, complete, test.whole)
			}
		})
	}
}
