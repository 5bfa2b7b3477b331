package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// earlyRuns is how often each case is played: which side of a connection sees its reset first
	// varies.
	earlyRuns = 20
	// earlyEnd is how long an upstream waits after its answer, so that the rest of the body blocks.
	earlyEnd = 20 * time.Millisecond
)

// earlyUpstream answers requests over real sockets before it has read their bodies.
type earlyUpstream struct {
	answer string
	// end ends the connection after the answer.
	end func(c *net.TCPConn)
	// receiveBuffer is the size of the receive buffer, or 0 for the usual one.
	receiveBuffer int
}

// resetAtOnce resets the connection, and resetConn once the rest of the body blocks.
func resetAtOnce(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func resetConn(c *net.TCPConn) {
	time.Sleep(earlyEnd)
	resetAtOnce(c)
}

// finish ends the answer and reads the rest of the body.
func finish(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// finishAndReset ends the answer and resets the connection later.
func finishAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	resetConn(c)
}

// finishAndStay ends the answer and neither reads on nor closes.
func finishAndStay(c *net.TCPConn) { _ = c.CloseWrite() }

func (u earlyUpstream) serve(t *testing.T) Target {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if u.receiveBuffer > 0 {
			failed := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, u.receiveBuffer)
			})
			err = errors.Join(err, failed)
		}
		return err
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = raw.Close() })
			c := raw.(*net.TCPConn)
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n"+u.answer)
				u.end(c)
			}()
		}
	}()
	return Target{ID: "early", Address: l.Addr().String()}
}

// Guards against a part of an answer that is taken for all of it: an upstream answers a long body early,
// without a length, and resets the connection while the body is written. The write takes the error of the
// connection, and the read sees an end.
func TestEarlyAnswersThatAreReset(t *testing.T) {
	const part = "\r\npart"
	events := "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"
	small, large := 1<<20, 8<<20
	for _, c := range []struct {
		name     string
		upstream earlyUpstream
		body     int
		want     string
	}{
		{"part", earlyUpstream{part, resetConn, 0}, large, ""},
		{"part at once", earlyUpstream{part, resetAtOnce, 0}, large, ""},
		{"part at once, small buffer", earlyUpstream{part, resetAtOnce, 4 << 10}, small, ""},
		{"events", earlyUpstream{events, resetConn, 0}, large, ""},
		{"finished", earlyUpstream{part, finish, 0}, large, "part"},
		{"finished events", earlyUpstream{events, finish, 0}, large, "id: 1\ndata: x\n\n"},
		{"finished, not read on", earlyUpstream{part, finishAndStay, 4 << 10}, small, "part"},
		{"finished, then reset", earlyUpstream{part, finishAndReset, 0}, large, "part"},
		{"short body", earlyUpstream{part, finish, 0}, 10, "part"},
		{"with a length", earlyUpstream{"Content-Length: 4\r\n" + part, resetConn, 0}, large, "part"},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := c.upstream.serve(t)
			p := New(Config{ReadResponseInfo: readResponseInfo}, Dial())
			defer p.CloseAll()
			wrong := make(map[string]int)
			for i := range earlyRuns {
				got := ""
				resp, err := p.Do(t.Context(), target, request(fmt.Sprint("r", i), strings.Repeat("x", c.body)))
				if err == nil {
					var b []byte
					if b, err = io.ReadAll(resp); err == nil {
						got = string(b)
					}
					resp.Close()
				}
				if got != c.want {
					wrong[fmt.Sprintf("%q, %v", got, err)]++
				}
			}
			if len(wrong) > 0 {
				t.Errorf("want %q, got instead: %v", c.want, wrong)
			}
		})
	}
}
