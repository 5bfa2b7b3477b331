package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

const (
	// endlessBytes stands for bytes without end: a failing test ends, but far above any bound.
	endlessBytes = 32 << 20
	// boundSlackBytes is what an exchange may read beyond a bound: its read buffer.
	boundSlackBytes = readBuffer
)

// sendEndless writes the text again and again until the peer closes, and returns the number
// of bytes that were read.
func sendEndless(c net.Conn, text string) int {
	block := []byte(strings.Repeat(text, max(1, 4096/len(text))))
	sent := 0
	for sent < endlessBytes {
		n, err := c.Write(block)
		sent += n
		if err != nil {
			break
		}
	}
	return sent
}

// Guards against an upstream that sends bytes without end before its response is complete:
// the exchange must end at its bound, report that the request may have run, close the
// connection and leave the pool usable.
func TestEndlessResponseHeadsAreBounded(t *testing.T) {
	forms := map[string]struct{ prefix, endless string }{
		"header fields":         {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"one header field":      {"HTTP/1.1 200 OK\r\nX-Field: ", "v"},
		"status line":           {"HTTP/1.1 200 ", "OK "},
		"no HTTP, one line":     {"", "x"},
		"no HTTP, lines":        {"", "x\r\n"},
		"empty lines":           {"", "\r\n"},
		"interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim with fields":   {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"late responses":        {"", "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 2\r\n\r\nok"},
		"late response, length": {"HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 1000000000\r\n\r\n", "x"},
	}
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			first := true
			serve := func(c net.Conn, br *bufio.Reader) {
				id := readRequest(br)
				if !first {
					respond(c, id, "")
					return
				}
				first = false
				_, _ = io.WriteString(c, form.prefix)
				sent <- sendEndless(c, form.endless)
			}
			withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
				err := exchange(t, p, "r0")
				if stateOf(err) != Unknown.String() {
					t.Errorf("got %v, want an exchange whose request may have run", err)
				}
				if n := <-sent; n > maxHeadBytes+maxLateResponses*maxSkippedBytes+boundSlackBytes {
					t.Errorf("%d bytes were read", n)
				}
				if err := exchange(t, p, "r1"); err != nil {
					t.Errorf("the next exchange failed: %v", err)
				}
				if dials := n.Dials(target.Address); dials != 2 {
					t.Errorf("%d connections, want 2", dials)
				}
			})
		})
	}
}

// Guards against interim responses that keep an exchange alive for ever, one by one.
func TestInterimResponsesAreCounted(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		for range 1000 {
			if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}
	withPool(t, serve, func(t *testing.T, p *Pool, _ *pipe.Network) {
		started := time.Now()
		err := exchange(t, p, "r0")
		var bound *BoundError
		if !errors.As(err, &bound) || bound.Bound != boundInterim || stateOf(err) != Unknown.String() {
			t.Errorf("got %v", err)
		}
		if took := time.Since(started); took > (maxInterimResponses+1)*time.Second {
			t.Errorf("ended after %v", took)
		}
		time.Sleep(2 * time.Second) // until the upstream has seen the end of the connection
	})
}

// Guards against a connection that is used again although the rest of a refusal's body is
// still to come: the next request would take it for its response.
func TestRefusalWithLongBodyClosesItsConnection(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		id := readRequest(br)
		if id == "r0" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n%s", maxSkippedBytes+3, bytes.Repeat([]byte("x"), maxSkippedBytes))
			if id = readRequest(br); id == "" {
				return
			}
			// The rest of the first body, and a response for which the next request is not meant.
			_, _ = io.WriteString(c, "xxx")
		}
		respond(c, id, "")
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		if err := exchange(t, p, "r0"); stateOf(err) != NotExecuted.String() {
			t.Errorf("got %v", err)
		}
		if err := exchange(t, p, "r1"); err != nil {
			t.Errorf("the next exchange failed: %v", err)
		}
		if dials := n.Dials(target.Address); dials != 2 {
			t.Errorf("%d connections, want 2", dials)
		}
	})
}

// Guards against a late refusal without an id, on a connection in use again, that is taken for
// the response to the next request: its claim that the request has not run would be false.
func TestRefusalWithoutIDProvesNothingOnAReusedConnection(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		respond(c, readRequest(br), "")
		readRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		if err := exchange(t, p, "r0"); err != nil {
			t.Fatal(err)
		}
		if err := exchange(t, p, "r1"); stateOf(err) != Unknown.String() {
			t.Errorf("got %v, want an exchange whose request may have run", err)
		}
		if dials := n.Dials(target.Address); dials != 1 {
			t.Errorf("%d connections, want 1", dials)
		}
	})
}

// Guards against a body that is kept in memory, or that goes on for ever once its reader has
// gone.
func TestEndlessBodyEndsWithItsReader(t *testing.T) {
	sent := make(chan int, 1)
	serve := func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r0\r\n\r\n")
		sent <- sendEndless(c, "x")
	}
	withPool(t, serve, func(t *testing.T, p *Pool, _ *pipe.Network) {
		resp, err := p.Do(t.Context(), target, request("r0", "body"))
		if err != nil {
			t.Fatal(err)
		}
		const read = 100 << 10
		if _, err := io.CopyN(io.Discard, resp, read); err != nil {
			t.Fatal(err)
		}
		resp.Close()
		if n := <-sent; n > read+boundSlackBytes {
			t.Errorf("%d bytes were read, %d by the reader", n, read)
		}
	})
}

// FuzzResponse feeds bytes to the reader of responses: it must end within its bounds and
// never return a response of another request.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nId: r0\r\nNot-Run: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 421 Misdirected\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(server))
			_, _ = server.Write(b)
			_ = server.Close()
		}()
		r := newResponse(New(Config{ReadResponseInfo: readResponseInfo}, nil), target, newConn(client, target))
		r.stopWatch = func() bool { return true }
		defer r.Close()
		req := &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "r0", Header: func() http.Header { return nil }}
		if err := r.send(req); err != nil {
			return
		}
		err := r.receive(req)
		var failed *Error
		if errors.As(err, &failed) && failed.State == NotExecuted && r.Info.ID != "r0" && r.Info.ID != "" {
			t.Errorf("a refusal with id %q counts as that of r0", r.Info.ID)
		}
		if err == nil && r.Info.ID != "" && r.Info.ID != "r0" {
			t.Errorf("a response with id %q counts as that of r0", r.Info.ID)
		}
	})
}

// pausedContext is a context whose deadline has passed without its timer having run, as after
// a pause of the process.
type pausedContext struct {
	context.Context
	deadline time.Time
}

func (c pausedContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Guards against a request that is sent after its deadline, or with more time than is left,
// because the process was paused or waited for a connection.
func TestTimeIsCheckedAfterTheLastWait(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for id := readRequest(br); id != ""; id = readRequest(br) {
			respond(c, id, "")
		}
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		p.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(200 * time.Millisecond)
			return n.Dial(ctx, network, address)
		}
		started := time.Now()
		ctx := pausedContext{Context: t.Context(), deadline: started.Add(100 * time.Millisecond)}
		if _, err := p.Do(ctx, target, request("r0", "")); stateOf(err) != NotSent.String() {
			t.Errorf("got %v, want a request that was not sent", err)
		}
		var written time.Time
		req := request("r1", "")
		header := req.Header
		req.Header = func() http.Header {
			written = time.Now()
			return header()
		}
		started = time.Now()
		resp, err := p.Do(t.Context(), target, req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Close()
		if waited := written.Sub(started); waited < 200*time.Millisecond {
			t.Errorf("the header is from %v after the start, before the connection", waited)
		}
	})
}
