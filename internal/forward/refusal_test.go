package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

func refuse(w io.Writer, id string) {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 503 Full\r\n%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// Guards against a copy of an earlier refusal that is taken for the response to the next request,
// which runs: the copy must be skipped by its id.
func TestCopyOfAnEarlierRefusalIsSkipped(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		refuse(c, readRequest(br))
		for id := readRequest(br); id != ""; id = readRequest(br) {
			refuse(c, "r0")
			respond(c, id, "")
		}
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		if err := exchange(t, p, "r0"); stateOf(err) != NotExecuted.String() {
			t.Errorf("got %v", err)
		}
		for i := range 3 {
			if err := exchange(t, p, fmt.Sprint("r", i+1)); err != nil {
				t.Error(err)
			}
		}
		if dials := n.Dials(target.Address); dials != 1 {
			t.Errorf("%d connections, want 1", dials)
		}
	})
}

// Guards against a copy of an earlier refusal with the id of a request that is sent once more on
// the connection, and runs: its caller would be told that it has not run.
func TestCopyOfARefusalOfTheSameAttemptProvesNothing(t *testing.T) {
	var executed atomic.Int32
	serve := func(c net.Conn, br *bufio.Reader) {
		id := readRequest(br)
		refuse(c, id)
		for readRequest(br) == id {
			executed.Add(1)
			refuse(c, id)
		}
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		for i := range 3 {
			ran := executed.Load()
			if err := exchange(t, p, "r0"); stateOf(err) == NotExecuted.String() && executed.Load() != ran {
				t.Errorf("sending %d has run: %v", i, err)
			}
		}
		if dials := n.Dials(target.Address); dials != 3 {
			t.Errorf("%d connections, want one for each sending", dials)
		}
	})
}

// Guards against a connection that remembers refusals without end.
func TestConnectionWithManyRefusalsIsClosed(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for id := readRequest(br); id != ""; id = readRequest(br) {
			refuse(c, id)
		}
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		for i := range 2 * maxRefusals {
			if err := exchange(t, p, fmt.Sprint("r", i)); stateOf(err) != NotExecuted.String() {
				t.Fatal(err)
			}
		}
		if dials := n.Dials(target.Address); dials != 2 {
			t.Errorf("%d connections for %d refusals, want 2", dials, 2*maxRefusals)
		}
	})
}

// Guards against a refusal without an id that is taken for the response to the first request on
// a connection, although responses to other requests come on it.
func TestRefusalWithoutIDProvesNothingAfterALateResponse(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		respond(c, "earlier", "")
		refuse(c, "")
	}
	withPool(t, serve, func(t *testing.T, p *Pool, _ *pipe.Network) {
		if err := exchange(t, p, "r0"); stateOf(err) != Unknown.String() {
			t.Errorf("got %v, want an exchange whose request may have run", err)
		}
	})
}

// Guards against a call without an id that takes the refusal of a request for its own and leaves
// its response to the next call on the connection.
func TestRefusalOfARequestIsNotThatOfACall(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if id := r.Header.Get("Id"); id != "" {
			_, _ = io.ReadAll(r.Body)
			refuse(c, id)
			if readCall(br) != "first" {
				return
			}
			refuse(c, id)
			// The response is on its way while the next call is written.
			go respond(c, "", "Call: first\r\n")
			_ = readCall(br)
			return
		}
		_, _ = io.ReadAll(r.Body)
		respond(c, "", "Call: second\r\n")
	}
	withPool(t, serve, func(t *testing.T, p *Pool, n *pipe.Network) {
		if err := exchange(t, p, "r0"); stateOf(err) != NotExecuted.String() {
			t.Errorf("got %v", err)
		}
		if resp, err := p.Do(t.Context(), target, request("", "first")); err == nil {
			t.Errorf("the call got the response %v", resp.Header)
			resp.Close()
		}
		resp, err := p.Do(t.Context(), target, request("", "second"))
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Header.Get("Call"); got != "second" {
			t.Errorf("the second call got the response to the %s one", got)
		}
		resp.Close()
		if dials := n.Dials(target.Address); dials != 2 {
			t.Errorf("%d connections, want 2", dials)
		}
	})
}

// readCall reads a call without an id and returns its body.
func readCall(br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	b, _ := io.ReadAll(r.Body)
	return string(b)
}
