package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

const (
	// directWrite is the size up to which a request is written before the answer is
	// read. An upstream may answer a longer one before it has read it.
	directWrite = 8 << 10
	// maxLateAnswers bounds the answers of earlier requests that one exchange skips.
	maxLateAnswers = 2
	// maxLateBytes bounds the body of an answer that is skipped.
	maxLateBytes = 64 << 10
)

// Request is one attempt to be sent.
type Request struct {
	Method string
	// Target is the path with its query as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the attempt's id, by which the answer is matched; empty for calls without.
	ID string
	// MaxIdle is how long the connection may have been idle.
	MaxIdle time.Duration
}

// Response is an answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it isn't known.
	Length int64
	Info   dialect.ResponseInfo

	pool    *Pool
	target  Target
	conn    *conn
	body    io.ReadCloser
	written chan error
	stop    func() bool
	keep    time.Duration
	whole   bool
	closed  bool
}

// Do sends the request to the target and returns the head of its answer. The end of ctx
// closes the connection, also while the body is read. The error is an *Error.
func (p *Pool) Do(ctx context.Context, t Target, req *Request) (*Response, error) {
	c, err := p.connect(ctx, t, req.MaxIdle)
	if err != nil {
		return nil, &Error{State: NotSent, Busy: errors.Is(err, errBusy), Cause: err}
	}
	if ctx.Err() != nil {
		p.discard(t, c)
		return nil, &Error{State: NotSent, Cause: context.Cause(ctx)}
	}
	r := &Response{pool: p, target: t, conn: c, written: make(chan error, 1)}
	r.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := r.send(req); err != nil {
		r.Close()
		return nil, err
	}
	if err := r.receive(req); err != nil {
		r.Close()
		var failed *Error
		if errors.As(err, &failed) {
			return nil, err
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{State: Unknown, Cause: err}
	}
	return r, nil
}

func (r *Response) send(req *Request) error {
	var b bytes.Buffer
	b.Grow(1<<10 + len(req.Body))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writing to a buffer doesn't fail.
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	if b.Len() > directWrite {
		go func() {
			_, err := r.conn.Write(b.Bytes())
			r.written <- err
		}()
		return nil
	}
	n, err := r.conn.Write(b.Bytes())
	r.written <- err
	if err != nil && n == 0 {
		return &Error{State: NotSent, Cause: err}
	}
	// After a failed write the answer may still be there.
	return nil
}

func (r *Response) receive(req *Request) error {
	for late := 0; ; {
		resp, err := http.ReadResponse(r.conn.br, &http.Request{Method: req.Method}) //nolint:bodyclose // closing it would read on; Close ends the connection
		if err != nil {
			return errors.Wrap(err, "reading the answer")
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		mark := r.pool.cfg.ReadResponseInfo(resp.Header)
		if req.ID != "" && mark.ID != "" && mark.ID != req.ID {
			if late++; late > maxLateAnswers || resp.ContentLength < 0 || resp.ContentLength > maxLateBytes || resp.Close {
				return errors.Errorf("the answer belongs to request %q", mark.ID)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return errors.Wrap(err, "skipping a late answer")
			}
			continue
		}
		r.Status, r.Header, r.Length, r.Info = resp.StatusCode, resp.Header, resp.ContentLength, mark
		r.body, r.keep = resp.Body, keepFor(resp)
		return r.checkRefusal()
	}
}

// checkRefusal returns an error if the upstream says that the request has not run.
func (r *Response) checkRefusal() error {
	misdirected := r.Status == http.StatusMisdirectedRequest
	if !misdirected && !r.Info.NotExecuted {
		return nil
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.body, maxLateBytes)); err == nil {
		r.whole = true
	}
	return &Error{
		State:       NotExecuted,
		Misdirected: misdirected,
		RetryAfter:  r.Info.RetryAfter,
		Cause:       errors.Errorf("status %d", r.Status),
	}
}

// keepFor returns how long the connection may be idle, or 0 if it must be closed.
func keepFor(resp *http.Response) time.Duration {
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

// Read reads the body. io.EOF says that the answer is whole by its framing.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the request was written, the
// answer was read to its end, and nothing follows it.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	keep := r.stop() && r.whole && r.keep > 0 && r.conn.br.Buffered() == 0
	select {
	case err := <-r.written:
		keep = keep && err == nil
	default:
		keep = false
	}
	if keep {
		r.pool.put(r.target, r.conn, r.keep)
		return
	}
	r.pool.discard(r.target, r.conn)
}
