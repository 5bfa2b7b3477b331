package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/eventstream"
)

const (
	// maxHeadBytes bounds what is read of a connection before the head of the response is
	// complete, interim responses included: twice the header that callers may send.
	maxHeadBytes = 128 << 10
	// maxInterimResponses bounds the interim responses before a response. Upstreams send at
	// most a few.
	maxInterimResponses = 8
	// maxSyncWriteBytes is the size up to which a request is written before the response is
	// read. An upstream may respond to a longer one before it has read all of it.
	maxSyncWriteBytes = 8 << 10
	// maxLateResponses bounds the responses to earlier requests that one exchange skips.
	maxLateResponses = 2
	// maxRefusals bounds the refusals on a connection that is kept, whose ids it remembers.
	maxRefusals = 64
	// maxStatus is the largest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// maxSkippedBytes bounds the body of a response that is skipped.
	maxSkippedBytes = 64 << 10
)

// pastDeadline ends a write that is blocked.
var pastDeadline = time.Unix(1, 0)

// Request is a request to one upstream: one sending of a caller's attempt, or a call
// without an id.
type Request struct {
	Method string
	// Target is the HTTP request target: the path with its query. The upstream is the Target
	// that Do is called with.
	Target string
	Host   string
	// Header returns the header. It is called right before the request is written, so that
	// times in it are still true after the wait for a connection.
	Header func() http.Header
	// Admit is called before Header. With an error the request isn't sent; nil admits it.
	Admit func() error
	// Body is the body in parts.
	Body [][]byte
	// ID is the id of the caller's attempt, by which the response is matched; empty for calls
	// without one.
	ID string
	// MaxIdle is how long the connection may have been idle before the request.
	MaxIdle time.Duration
}

// Response is a response whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it isn't known.
	Length  int64
	Framing Framing
	Info    dialect.ResponseInfo

	pool   *Pool
	target Target
	conn   *conn
	body   io.ReadCloser
	// events follows the body if it is a stream of events, and is nil otherwise.
	events    *eventstream.Scanner
	writeDone chan error
	stopWatch func() bool
	// sentAt is when the write of the request began.
	sentAt time.Time
	// keepAlive is how long the connection may be idle after the exchange, or 0 if it must be
	// closed.
	keepAlive time.Duration
	// framingEnded is set at the end of the framing, and complete if the body is complete too.
	framingEnded bool
	complete     bool
	closed       bool
}

// Do sends the request to the target and returns the head of the response. The end of ctx
// closes the connection, also while the body is read. The error is an *Error.
func (p *Pool) Do(ctx context.Context, t Target, req *Request) (*Response, error) {
	c, err := p.connect(ctx, t, req)
	if err != nil {
		return nil, &Error{State: NotSent, Busy: errors.Is(err, errBusy), Cause: err}
	}
	if err := ended(ctx); err != nil {
		p.discard(t, c)
		return nil, &Error{State: NotSent, Cause: err}
	}
	if err := req.admit(); err != nil {
		p.giveBack(t, c)
		return nil, &Error{State: NotSent, Closed: true, Cause: err}
	}
	r := newResponse(p, t, c)
	r.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	responded := false
	defer func() {
		if !responded {
			r.Close()
		}
	}()
	if err := r.send(req); err != nil {
		return nil, err
	}
	if err := r.receive(req); err != nil {
		var failed *Error
		if errors.As(err, &failed) {
			return nil, err
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{State: Unknown, Cause: err}
	}
	responded = true
	return r, nil
}

func (req *Request) admit() error {
	if req.Admit == nil {
		return nil
	}
	return req.Admit()
}

// ended returns an error if the context has ended or its deadline has passed: after a pause of
// the process, the timer that ends the context may not have run yet.
func ended(ctx context.Context) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

func newResponse(p *Pool, t Target, c *conn) *Response {
	return &Response{pool: p, target: t, conn: c, writeDone: make(chan error, 1)}
}

func (r *Response) send(req *Request) error {
	length := 0
	for _, part := range req.Body {
		length += len(part)
	}
	var b bytes.Buffer
	b.Grow(1<<10 + min(length, maxSyncWriteBytes))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writing to a buffer doesn't fail.
	_ = req.Header().Write(&b)
	if length > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	r.sentAt = time.Now()
	if b.Len()+length > maxSyncWriteBytes {
		parts := append(net.Buffers{b.Bytes()}, req.Body...)
		go func() {
			_, err := parts.WriteTo(r.conn.Conn)
			r.writeDone <- err
		}()
		return nil
	}
	for _, part := range req.Body {
		b.Write(part)
	}
	n, err := r.conn.Write(b.Bytes())
	r.writeDone <- err
	if err != nil && n == 0 {
		return &Error{State: NotSent, Cause: err}
	}
	// Even after a failed write there may be a response to read.
	return nil
}

func (r *Response) receive(req *Request) error {
	r.conn.limitHead(maxHeadBytes)
	defer r.conn.unlimitHead()
	for late, interim := 0, 0; ; {
		resp, err := http.ReadResponse(r.conn.br, &http.Request{Method: req.Method}) //nolint:bodyclose // closing it would read the rest; Close ends the connection
		if err != nil {
			return r.conn.boundOr(errors.Wrap(err, "reading the answer"))
		}
		if resp.StatusCode/100 == 1 {
			if interim++; interim > maxInterimResponses {
				return &BoundError{Bound: boundInterim, Limit: maxInterimResponses}
			}
			continue
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
			return errors.Errorf("invalid status %d", resp.StatusCode)
		}
		info := r.pool.cfg.ReadResponseInfo(resp.Header)
		r.observe(req, resp.StatusCode, info)
		if req.ID != "" && info.ID != "" && info.ID != req.ID {
			if late++; late > maxLateResponses || resp.ContentLength < 0 || resp.ContentLength > maxSkippedBytes || resp.Close {
				return errors.Errorf("the response belongs to attempt %q", info.ID)
			}
			r.conn.limitHead(maxHeadBytes + int(resp.ContentLength))
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return errors.Wrap(err, "skipping a late response")
			}
			r.conn.reused = true
			continue
		}
		r.Status, r.Header, r.Length, r.Info = resp.StatusCode, resp.Header, resp.ContentLength, info
		r.body, r.keepAlive, r.Framing = resp.Body, keepAliveOf(resp), framingOf(resp)
		if eventstream.HasMediaType(resp.Header.Get("Content-Type")) {
			r.events = &eventstream.Scanner{}
		}
		r.conn.unlimitHead()
		return r.checkRefusal(req)
	}
}

// observe reports the head of a response, unless another upstream sent it.
func (r *Response) observe(req *Request, status int, info dialect.ResponseInfo) {
	if r.pool.cfg.Observe == nil || status == http.StatusMisdirectedRequest {
		return
	}
	o := Observation{Target: r.conn.target, Opened: r.conn.opened, Sent: r.sentAt, Request: info.ID, Status: status, Info: info}
	if o.Request == "" {
		o.Request = req.ID
	} else if o.Request != req.ID {
		o.Sent = time.Time{}
	}
	r.pool.cfg.Observe(o)
}

// checkRefusal returns an error if the upstream reported that the request has not run. On a
// connection with earlier exchanges, a refusal without an id may be a late one of an earlier
// request, so it leaves open whether a request with an id has run. A call without an id may run
// again, so its refusal is believed, but the response to it may be still to come.
func (r *Response) checkRefusal(req *Request) error {
	misdirected := r.Status == http.StatusMisdirectedRequest
	if !misdirected && !r.Info.NotExecuted {
		return nil
	}
	if r.conn.reused && (r.Info.ID == "" || req.ID == "") {
		// The response to this request may be the next one on the connection.
		r.Discard()
		if req.ID != "" {
			return errors.Errorf("refused with status %d by a response without an id", r.Status)
		}
	}
	if req.ID != "" && r.conn.recordRefusal(req.ID) == maxRefusals {
		r.Discard()
	}
	// The rest of a body that has not arrived yet isn't waited for: the connection is reused
	// only if the body is complete.
	if r.Length >= 0 && r.Length <= int64(r.conn.br.Buffered()) {
		_, _ = io.Copy(io.Discard, r)
	}
	return &Error{
		State:        NotExecuted,
		Misdirected:  misdirected,
		InputMissing: r.Status == http.StatusConflict,
		RetryAfter:   r.Info.RetryAfter,
		Cause:        errors.Errorf("refused with status %d", r.Status),
	}
}

// keepAliveOf returns how long the connection may be idle after the response, or 0 if it
// must be closed.
func keepAliveOf(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, field := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(time.Duration(n)*time.Second-idleMargin, time.Duration(n)*time.Second/4)
		}
	}
	return defaultIdle
}

// Read reads the body. It returns io.EOF only if the body is complete: at the end of its
// framing and, in a stream of events, of an event. A body that ends with its connection isn't complete
// if that broke. A stream without events is complete only
// if its framing says so, since a crash before the first event closes the connection as well.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if r.events != nil {
		r.events.Add(b[:n])
	}
	if err != io.EOF {
		return n, err
	}
	if r.Framing == FramedByConnection && r.hasBroken() {
		return n, errBroken
	}
	r.framingEnded = true
	switch {
	case r.IsInsideEvent():
		return n, errInsideEvent
	case r.IsEventStream() && r.Events() == 0 && r.Framing == FramedByConnection:
		return n, errNoEvents
	}
	r.complete = true
	return n, io.EOF
}

// hasBroken reports whether the connection broke before the end of a body that ends with it. The system
// reports the error of a connection once: if the write of the request got it, the read sees an end. A
// write that is still blocked has got none, and needn't go on after the end of the response.
func (r *Response) hasBroken() bool {
	_ = r.conn.SetWriteDeadline(pastDeadline)
	err := <-r.writeDone
	r.writeDone <- err
	return err != nil && !isWriteAfterEnd(err)
}

// isWriteAfterEnd reports whether a write failed on a connection that its peer had ended: the system
// reports a reset after the end as a broken pipe, and one before it as a reset.
func isWriteAfterEnd(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe)
}

// HasSent reports whether the request was written completely, so that its body isn't read any more.
func (r *Response) HasSent() bool { return len(r.writeDone) > 0 }

// IsComplete reports whether the body was read to its end and is complete.
func (r *Response) IsComplete() bool { return r.complete }

// HasFramingEnded reports whether the body ended as its framing says, complete or not.
func (r *Response) HasFramingEnded() bool { return r.framingEnded }

// IsEventStream reports whether the body is a stream of events.
func (r *Response) IsEventStream() bool { return r.events != nil }

// Events returns the number of complete events that were read of a stream of events.
func (r *Response) Events() int {
	if r.events == nil {
		return 0
	}
	return r.events.Events()
}

// IsInsideEvent reports whether what was read of a stream of events ends inside an event.
func (r *Response) IsInsideEvent() bool { return r.events != nil && r.events.IsInside() }

// Discard makes Close end the connection, because its next bytes may belong to this exchange.
func (r *Response) Discard() { r.keepAlive = 0 }

// Close ends the exchange. The connection is reused only if the request was written
// completely, the response was read to its end, and no bytes follow it.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	keepAlive := r.stopWatch() && r.complete && r.keepAlive > 0 && r.conn.br.Buffered() == 0
	select {
	case err := <-r.writeDone:
		keepAlive = keepAlive && err == nil
	default:
		keepAlive = false
	}
	if keepAlive {
		r.pool.put(r.target, r.conn, r.keepAlive)
		return
	}
	r.pool.discard(r.target, r.conn)
}
