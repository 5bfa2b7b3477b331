package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// respondCutHead reads one request on each connection and responds with the first bytes of a
// response, up to the nth, before it closes the connection.
func respondCutHead(response func(id string) string, n int) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_, _ = io.WriteString(c, response(r.Header.Get(testID))[:n])
	}
}

// Guards against a response whose head was cut by its upstream, and that reaches the caller as a
// complete success with an empty or a short body. The head is cut after each of its bytes.
func TestResponseWithACutHeadIsNoSuccess(t *testing.T) {
	framings := map[string]string{
		"length":      "Content-Length: 4\r\n",
		"no body":     "Content-Length: 0\r\n",
		"chunks":      "Transfer-Encoding: chunked\r\n",
		"connection":  "",
		"closing":     "Connection: close\r\n",
		"late length": "X-Filler: " + strings.Repeat("f", 100) + "\r\nContent-Length: 4\r\n",
	}
	for name, framing := range framings {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, newline := range []string{"\r\n", "\n"} {
				response := func(id string) string {
					head := fmt.Sprintf("%s 200 OK\r\n%s: %s\r\n%s: seal\r\n%s\r\n", protocol, testID, id, testSignature, framing)
					return strings.ReplaceAll(head, "\r\n", newline)
				}
				synctest.Test(t, func(t *testing.T) {
					f := newConfiguredFixture(t)
					defer f.close()
					for n := range len(response("r1")) {
						for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x"} {
							f.checkCutHead(t, path, fmt.Sprintf("%s, %s, %q after %d bytes", name, protocol, newline, n), respondCutHead(response, n))
						}
					}
				})
			}
		}
	}
}

// checkCutHead sends one request to upstreams that all respond in the same way.
func (f *fixture) checkCutHead(t *testing.T, path, what string, handle func(net.Conn)) {
	t.Helper()
	service := plainService
	if path == "/stream/x" || path == "/resume/x" {
		service = engineService
	}
	var ids []string
	for range 2 {
		f.upstreams++
		u := catalog.Upstream{ID: fmt.Sprint("cut-", f.upstreams), Service: service, Address: fmt.Sprintf("10.2.%d.%d:80", f.upstreams/250, f.upstreams%250), FailureDomain: "a", Slots: 8}
		stop := f.net.Handle(u.Address, handle)
		defer stop()
		f.cat.SetUpstream(u, at(0))
		ids = append(ids, u.ID)
	}
	resp, body, err := f.send(t.Context(), callerRequest{path: path, id: "r1", body: "b"})
	if err == nil && resp.StatusCode/100 == 2 {
		t.Errorf("%s, %s: the caller got status %d with %q", path, what, resp.StatusCode, body)
	}
	if err == nil && resp.Header.Get(testSignature) != "" {
		t.Errorf("%s, %s: status %d is signed", path, what, resp.StatusCode)
	}
	for _, id := range ids {
		f.cat.RemoveUpstream(id, catalog.Revision{})
	}
}
