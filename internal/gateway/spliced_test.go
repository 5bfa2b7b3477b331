package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/forward"
)

const errorText = "the text of an error"

// breakOff responds with the beginning of a body in the framing, and then ends the connection or
// writes nothing more.
func breakOff(framing forward.Framing, contentType, begin string, hang bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-First: 1\r\n%s: %s\r\n%s: seal\r\n", contentType, testID, r.Header.Get(testID), testSignature)
		switch framing {
		case forward.FramedByChunks:
			head += "Transfer-Encoding: chunked\r\n"
			if begin != "" {
				begin = fmt.Sprintf("%x\r\n%s\r\n", len(begin), begin)
			}
		case forward.FramedByLength:
			head += "Content-Length: 1000000\r\n"
		}
		_, _ = io.WriteString(c, head+"\r\n"+begin)
		if hang {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// rawResponse sends a request on a connection of its own and returns all bytes of the response.
func (f *fixture) rawResponse(t *testing.T, path string) string {
	t.Helper()
	c, err := f.net.Dial(t.Context(), "tcp", gatewayAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: host\r\n%s: r1\r\n%s: key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, testID, testKey)
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// errorsAfterwards are the responses of the next upstream.
var errorsAfterwards = map[string]http.HandlerFunc{
	"failure": func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusInternalServerError, errorText) },
	"refusal": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testNotExecuted, "1")
		respond(w, r, http.StatusServiceUnavailable, errorText)
	},
	"stream": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		respond(w, r, http.StatusOK, "id: 7\ndata: "+errorText+"\n\n")
	},
}

// Guards against a stream that has begun and broke off, and into which the response of the next
// upstream or an error of the gateway is written, or which ends as if it were complete.
func TestNothingFollowsAStreamThatBrokeOff(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	long := strings.Repeat("x", maxBufferedBytes+1)
	for _, framing := range framings {
		for next, respondNext := range errorsAfterwards {
			for name, tc := range map[string]struct {
				path, contentType, begin string
				hang                     bool
			}{
				"between events":        {path: "/resume/x", contentType: "text/event-stream", begin: event},
				"inside an event":       {path: "/resume/x", contentType: "text/event-stream", begin: event + "id: 2\n"},
				"at most once":          {path: "/stream/x", contentType: "text/event-stream", begin: event + "id: 2\n"},
				"no event comes":        {path: "/resume/x", contentType: "text/event-stream", begin: event, hang: true},
				"no bytes, to the end":  {path: "/safe/x", contentType: "text/plain", begin: long, hang: true},
				"long, without a frame": {path: "/safe/x", contentType: "text/plain", begin: long},
			} {
				if framing == forward.FramedByConnection && !tc.hang && !strings.HasSuffix(tc.begin, "id: 2\n") {
					continue // The end of the connection is the end of the body.
				}
				t.Run(fmt.Sprint(framing, " ", next, " ", name), func(t *testing.T) {
					withGateway(t, func(t *testing.T, f *fixture) {
						var sent atomic.Int32
						first := breakOff(framing, tc.contentType, tc.begin, tc.hang)
						h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
							if sent.Add(1) == 1 {
								first(w, r)
								return
							}
							respondNext(w, r)
						})
						for _, service := range []string{engineService, plainService} {
							f.upstream(service, h)
							f.upstream(service, h)
						}
						got := f.rawResponse(t, tc.path)
						if !strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") || strings.Count(got, "HTTP/1.") != 1 || strings.Contains(got, errorText) || strings.Contains(got, `"reason"`) {
							t.Errorf("got %.400q", got)
						}
						if strings.HasSuffix(got, "\r\n0\r\n\r\n") {
							t.Errorf("the broken-off response looks complete: %.400q", got)
						}
						if n := sent.Load(); n != 1 {
							t.Errorf("sent to %d upstreams after its header was written", n)
						}
					})
				})
			}
		}
	}
}

// Guards against header fields of a response that broke off before its first byte and stay for
// that of the next upstream, or for the gateway's own error.
func TestNoHeaderStaysOfAResponseThatBrokeOff(t *testing.T) {
	for _, framing := range framings {
		for next, respondNext := range errorsAfterwards {
			t.Run(fmt.Sprint(framing, " ", next), func(t *testing.T) {
				withGateway(t, func(t *testing.T, f *fixture) {
					var sent atomic.Int32
					first := breakOff(framing, "text/event-stream", "", false)
					h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if sent.Add(1) == 1 {
							first(w, r)
							return
						}
						respondNext(w, r)
					})
					f.upstream(engineService, h)
					f.upstream(engineService, h)
					got := f.rawResponse(t, "/resume/x")
					if strings.Count(got, "HTTP/1.") != 1 || strings.Contains(got, "X-First") || strings.Contains(got, "Content-Length: 1000000") {
						t.Errorf("got %.400q", got)
					}
					if n := sent.Load(); n != 2 {
						t.Errorf("sent to %d upstreams, want 2", n)
					}
				})
			})
		}
	}
}

// Guards against an error of the gateway inside a response whose caller's connection it must end:
// at the deadline, and when it shuts down.
func TestNoErrorOfTheGatewayInsideAStream(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"deadline": func(*fixture) {},
		"shutdown": func(f *fixture) { f.Leave(time.Now().Add(time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fixture) {
				cfg := testConfiguration()
				cfg.Version = 2
				for i := range cfg.Routes {
					// Only the deadline, or the shutdown, ends the stream.
					cfg.Routes[i].Objective, cfg.Routes[i].Kind = time.Minute, catalog.KindStreaming
				}
				f.cat.SetConfiguration(cfg, at(2))
				f.upstream(engineService, breakOff(forward.FramedByChunks, "text/event-stream", "id: 1\n\n", true))
				go func() {
					time.Sleep(100 * time.Millisecond)
					end(f)
				}()
				got := f.rawResponse(t, "/stream/x")
				if !strings.HasSuffix(got, "\r\n\r\n7\r\nid: 1\n\n\r\n") || strings.Count(got, "HTTP/1.") != 1 {
					t.Errorf("got %.400q", got)
				}
			})
		})
	}
}
