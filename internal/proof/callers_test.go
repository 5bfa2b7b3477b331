package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

const (
	// unfinishedTimeout bounds the wait for the response to a request that was sent in part.
	unfinishedTimeout = 20 * time.Second
	// A slow caller reads slowReadBytes at a time and pauses for slowReadPause after each.
	slowReadBytes = 2 << 10
	slowReadPause = 2 * time.Millisecond
)

// cmdOversized sends a request whose input is a string of the given number of bytes
// and prints the response: oversized ENTRY PIPELINE BYTES.
func cmdOversized(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[2])
	ts.Check(err)
	resp := post(processesOf(ts).url(args[0]), args[1], `"`+strings.Repeat("x", n)+`"`, nil)
	_, _ = fmt.Fprintf(ts.Stdout(), "%s\n", resp)
}

// cmdBackground starts a request of a misbehaving caller without waiting for the
// response; the command finish prints it:
//
//	background NAME ENTRY PIPELINE
//
// A NAME that begins with half sends the headers and half of the body; any other, such as
// slow, reads a streamed response slowly.
func cmdBackground(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.address(args[1]))
	ts.Check(err)
	ts.Defer(func() { _ = conn.Close() })
	ts.Check(conn.SetDeadline(time.Now().Add(unfinishedTimeout)))
	body, sent := `{"input": "background"}`, len(`{"input": "background"}`)
	accept := "text/event-stream"
	read := readSlowly
	if strings.HasPrefix(args[0], "half") {
		sent, accept, read = sent/2, "application/json", io.ReadAll
	}
	_, err = fmt.Fprintf(conn, "POST /v1/pipelines/%s/requests HTTP/1.1\r\nHost: proof\r\nAuthorization: Bearer %s\r\nAccept: %s\r\nContent-Length: %d\r\n\r\n%s",
		args[2], callerKey, accept, len(body), body[:sent])
	ts.Check(err)
	responses := make(chan response, 1)
	p.mu.Lock()
	p.background[args[0]] = responses
	p.mu.Unlock()
	go func() { responses <- readResponse(conn, read) }()
}

func readResponse(conn net.Conn, read func(io.Reader) ([]byte, error)) response {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReadBytes)
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, slowReadBytes), nil)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := read(resp.Body)
	return response{status: resp.StatusCode, body: string(body), err: err}
}

func readSlowly(r io.Reader) ([]byte, error) {
	var all []byte
	buf := make([]byte, slowReadBytes)
	for {
		n, err := r.Read(buf)
		all = append(all, buf[:n]...)
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		time.Sleep(slowReadPause)
	}
}

// cmdFinish waits for a request of the command background and prints the end of its response.
func cmdFinish(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	p.mu.Lock()
	responses := p.background[args[0]]
	p.mu.Unlock()
	resp := <-responses
	resp.body = resp.body[max(0, len(resp.body)-maxPrinted):]
	_, _ = fmt.Fprintf(ts.Stdout(), "%s\n", resp)
}

// maxPrinted is the number of bytes printed from the end of a response.
const maxPrinted = 2000

// keyedBooking is one booking of the floods and the number of its requests by outcome.
type keyedBooking struct {
	input    string
	outcomes map[string]int
}

// recordKeyed counts the outcome of one request with a key.
func (p *processes) recordKeyed(key, input, outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.keyed[key]
	if !ok {
		r = &keyedBooking{input: input, outcomes: make(map[string]int)}
		p.keyed[key] = r
	}
	r.outcomes[outcome]++
}

// maybeStarted returns the number of requests with the key that may have started: those
// with an outcome other than notStarted.
func (p *processes) maybeStarted(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	if r, ok := p.keyed[key]; ok {
		for outcome, count := range r.outcomes {
			if outcome != "notStarted" {
				n += count
			}
		}
	}
	return n
}

// cmdBookings compares each booking of the keyed floods with the executions at the
// upstreams: bookings NAME... A booking must run at most once; exactly once if a request
// completed, and never if every request ended as notStarted.
func cmdBookings(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	executions := make(map[string]int)
	for _, name := range args {
		raw, err := send(http.MethodGet, p.url(name)+"/admin/records", nil, nil)
		ts.Check(err)
		var records []upstream.Record
		ts.Check(json.Unmarshal(raw, &records))
		for _, r := range records {
			if r.State != upstream.RecordAborted {
				executions[r.Digest]++
			}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.keyed) == 0 {
		ts.Fatalf("no request was sent with a key")
	}
	for key, r := range p.keyed {
		n := executions[upstream.Digest([]byte(r.input))]
		switch {
		case n > 1,
			n == 0 && r.outcomes["completed"] > 0,
			n > 0 && r.outcomes["completed"]+r.outcomes["unknown"] == 0,
			r.outcomes["wrong"] > 0:
			ts.Fatalf("booking %s ran %d times, the callers' outcomes are %v", key, n, r.outcomes)
		}
	}
}
