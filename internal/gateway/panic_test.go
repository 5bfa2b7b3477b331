package gateway

import (
	"net/http"
	"strings"
	"testing"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against a process that ends because of one request or one call of another gateway
// that can't be handled: that one fails, the log has the stack, and the next one is served.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(plainService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "done") }))
		forward := f.dialect.Forward
		f.dialect.Forward = func(in http.Header, out dialect.Outgoing) http.Header {
			if in.Get(testID) == "r1" {
				panic("malformed")
			}
			return forward(in, out)
		}
		if resp, body, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"}); err != nil || resp.StatusCode != http.StatusBadGateway || !strings.Contains(body, reasonInternal) || !strings.Contains(body, string(fleet.Unknown)) {
			t.Errorf("got %+v, %q, %v, want a response that leaves open whether the request ran", resp, body, err)
		}
		if resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r2"}); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("the next request got %+v, %v", resp, err)
		}
		if logs := f.logs.String(); !strings.Contains(logs, "panic_test.go") || !strings.Contains(logs, reasonInternal) {
			t.Errorf("the log lacks the stack or the reason: %s", logs)
		}
		// This gateway has no syncer.
		if err := f.peers.get(gatewayAddress).Snapshot(&SnapshotRequest{}, &Snapshot{}); err == nil {
			t.Error("a call that panicked returned no error")
		}
	})
}

// Guards against a request whose handling panics after an upstream responded: its response has
// nothing of the upstream's, and one that has begun ends incomplete.
func TestPanicAfterAnUpstreamRespondedIsAnswered(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(plainService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "done") }))
		for _, when := range []string{"header", "body"} {
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				f.ServeHTTP(&panickingWriter{ResponseWriter: w, when: when}, r)
			})
			stop := f.net.Serve(gatewayAddress, h)
			resp, body, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
			switch when {
			case "header":
				if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(testSignature) != "" || !strings.Contains(body, string(fleet.Unknown)) {
					t.Errorf("got %+v, %q, %v", resp, body, err)
				}
			case "body":
				if err == nil {
					t.Errorf("got %+v, %q, want an incomplete response", resp, body)
				}
			}
			stop()
		}
	})
}

// panickingWriter panics once, before the status or the body of a response is written.
type panickingWriter struct {
	http.ResponseWriter
	when string
}

func (w *panickingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *panickingWriter) panicOnce(when string) {
	if w.when == when {
		w.when = ""
		panic("malformed")
	}
}

func (w *panickingWriter) Header() http.Header {
	h := w.ResponseWriter.Header()
	if h.Get(testSignature) != "" {
		w.panicOnce("header")
	}
	return h
}

func (w *panickingWriter) Write(b []byte) (int, error) {
	w.panicOnce("body")
	return w.ResponseWriter.Write(b)
}
