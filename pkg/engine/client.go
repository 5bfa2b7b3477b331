package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Config holds the address of an upstream and the settings of its connections.
type Config struct {
	// BaseURL is the scheme, host and port of the upstream, with no path.
	BaseURL string
	// DialTimeout is the time-out for connecting; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxIdleConnections is the number of idle connections kept; 0 means DefaultMaxIdleConnections.
	MaxIdleConnections int
	// OnRestart is called when the upstream has closed all of several connections at
	// once, as happens when a process exits. It may be nil and must not block.
	OnRestart func()
}

func (c Config) withDefaults() Config {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.MaxIdleConnections == 0 {
		c.MaxIdleConnections = DefaultMaxIdleConnections
	}
	c.BaseURL = strings.TrimSuffix(c.BaseURL, "/")
	return c
}

// Call is one attempt to run a stage on the upstream.
type Call struct {
	Protocol fleet.Protocol
	// Path is the HTTP path of a json call.
	Path string
	// Model is the model name of a chat or embeddings call.
	Model string
	// Input is the input of the stage, a JSON value.
	Input json.RawMessage
	// MaxTokens is the maximum number of generated tokens; 0 leaves it to the engine.
	MaxTokens int
	Priority  fleet.Priority
	// Attempt is the unique id of the attempt.
	Attempt string
}

// Result is the complete result of a call.
type Result struct {
	// Output is the output of the stage, a JSON value.
	Output json.RawMessage
	// Tokens is the number of generated tokens of a chat call, else 0.
	Tokens int
	// FinishReason is the engine's finish_reason of a chat call, else empty.
	FinishReason string
}

// Chunk is a part of a streamed chat response.
type Chunk struct {
	// Text is to be appended to the text of the previous chunks.
	Text string
}

// Client calls one upstream. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client of the upstream. If hc is nil, New uses NewHTTPClient(cfg, nil).
// With any other transport, a call that failed after it obtained a connection is an
// *UnknownError even if nothing was sent.
func New(cfg Config, hc *http.Client) *Client {
	cfg = cfg.withDefaults()
	if hc == nil {
		hc = NewHTTPClient(cfg, nil)
	}
	client := *hc
	client.CheckRedirect = refuseRedirect
	return &Client{cfg: cfg, http: &client}
}

// Run sends the call and returns the complete result. The error is a
// *NotSentError, a *RejectedError or an *UnknownError.
func (c *Client) Run(ctx context.Context, call Call) (Result, error) {
	resp, err := c.send(ctx, call, false)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readResponse(resp)
	if err != nil {
		return Result{}, &UnknownError{Status: resp.StatusCode, Cause: cause(ctx, err)}
	}
	result, err := parseResponse(call.Protocol, body)
	if err != nil {
		return Result{}, &UnknownError{Status: resp.StatusCode, Cause: err}
	}
	return result, nil
}

// Stream sends a chat call and passes each chunk of the response to sink on arrival.
// The chunks form the complete response, which is also in the result, only if the error
// is nil. An error of sink stops the call. The error types are those of Run.
func (c *Client) Stream(ctx context.Context, call Call, sink func(Chunk) error) (Result, error) {
	if call.Protocol != fleet.ProtocolChat {
		return Result{}, &NotSentError{Cause: errors.Errorf("protocol %q does not stream", call.Protocol)}
	}
	return c.readEvents(ctx, sink, func(streamCtx context.Context) (*http.Response, error) {
		return c.send(streamCtx, call, true)
	})
}

// readEvents opens a stream and reads it to the end.
func (c *Client) readEvents(ctx context.Context, sink func(Chunk) error, open func(context.Context) (*http.Response, error)) (Result, error) {
	// The stream has a context of its own, because its end is drained after the caller's
	// context may have ended: a connection is reused only if the response was read to the end.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	resp, err := open(streamCtx)
	if err != nil {
		stop()
		cancel()
		return Result{}, withContextCause(ctx, err)
	}
	result, err := readStreamResponse(resp, sink)
	stop()
	if err != nil {
		cancel()
		_ = resp.Body.Close()
		return Result{}, &UnknownError{Status: resp.StatusCode, Cause: cause(ctx, err)}
	}
	go drain(resp.Body, cancel)
	return result, nil
}

func readStreamResponse(resp *http.Response, sink func(Chunk) error) (Result, error) {
	if !hasContentType(resp, contentTypeEvents) {
		return Result{}, &InvalidReplyError{Reason: "Content-Type is not " + contentTypeEvents}
	}
	return readStream(resp.Body, sink)
}

// drain reads what follows the last event for at most drainTimeout and closes the body.
func drain(body io.ReadCloser, cancel context.CancelFunc) {
	defer cancel()
	t := time.AfterFunc(drainTimeout, cancel)
	defer t.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxErrorBytes))
	_ = body.Close()
}

// withContextCause makes the end of the caller's context the cause of the failure that resulted from it.
func withContextCause(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return &NotSentError{Cause: cause(ctx, notSent.Cause)}
	}
	var unknown *UnknownError
	if errors.As(err, &unknown) && unknown.Cause != nil {
		return &UnknownError{Status: unknown.Status, Message: unknown.Message, Cause: cause(ctx, unknown.Cause)}
	}
	return err
}

// send posts the call and returns the response if its status is a success.
func (c *Client) send(ctx context.Context, call Call, stream bool) (*http.Response, error) {
	path, body, err := encodeCall(call, stream)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	header := make(http.Header)
	header.Set(AttemptHeader, call.Attempt)
	if call.Protocol == fleet.ProtocolJSON {
		header.Set(PriorityHeader, call.Priority.String())
	}
	resp, err := c.post(ctx, path, body, header)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp, call.Attempt); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

var (
	// errRetired is the cause of a call that was not sent because its connection had been retired.
	errRetired = errors.New("the connection is not used after a refusal")
	// errUnproven is the cause of a call that got a refusal on a connection with an earlier one.
	errUnproven = errors.New("the refusal may be a copy of an earlier one")
)

// post sends a POST request; a failure of the round trip is a *NotSentError or an *UnknownError.
func (c *Client) post(ctx context.Context, path string, body []byte, header http.Header) (*http.Response, error) {
	for {
		// Each retired connection fails once and is closed, so the loop ends.
		resp, err := c.postOnce(ctx, path, body, header)
		if !errors.Is(err, errRetired) {
			return resp, err
		}
	}
}

func (c *Client) postOnce(ctx context.Context, path string, body []byte, header http.Header) (*http.Response, error) {
	trace := &sendTrace{}
	r, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodPost, c.cfg.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	// Without GetBody, net/http can't rewind the body, so it doesn't resend the request on
	// another connection.
	r.GetBody = nil
	r.Header = header
	r.Header.Set("Content-Type", contentTypeJSON)
	return c.do(ctx, r, trace)
}

// get sends a GET request; its errors are those of post. Unlike with post, net/http may
// resend the request.
func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	trace := &sendTrace{}
	r, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodGet, c.cfg.BaseURL+path, http.NoBody)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	return c.do(ctx, r, trace)
}

func (c *Client) do(ctx context.Context, r *http.Request, trace *sendTrace) (*http.Response, error) {
	resp, err := c.http.Do(r)
	if err == nil {
		if resp.StatusCode >= http.StatusBadRequest && !trace.retire() && resp.Header.Get(AttemptHeader) == "" {
			_ = resp.Body.Close()
			return nil, &UnknownError{Status: resp.StatusCode, Cause: errUnproven}
		}
		return resp, nil
	}
	err = cause(ctx, err)
	switch {
	case trace.wasSent():
		return nil, &UnknownError{Cause: err}
	case trace.isRetired() && ctx.Err() == nil:
		return nil, &NotSentError{Cause: errRetired}
	}
	return nil, &NotSentError{Cause: err}
}

// cause returns the context's error if the context has ended, annotated with err, and err otherwise.
func cause(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil && !errors.Is(err, ctxErr) {
		return errors.WithMessage(ctxErr, err.Error())
	}
	return err
}

// readResponse reads the body of a response of up to MaxReplyBytes.
func readResponse(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > MaxReplyBytes {
		return nil, ErrReplyTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return nil, &TruncatedError{Reason: err.Error()}
	}
	if len(body) > MaxReplyBytes {
		return nil, ErrReplyTooLarge
	}
	if isTruncationUndetectable(resp, body) {
		return nil, &TruncatedError{Reason: "a complete response can't be distinguished from a lost connection"}
	}
	return body, nil
}

// isTruncationUndetectable reports whether the response had neither Content-Length nor
// chunked encoding and its JSON value has no closing character, such as the number 12,
// which may be the beginning of 123.
func isTruncationUndetectable(resp *http.Response, body []byte) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return false
	}
	body = bytes.TrimSpace(body)
	if len(body) == 0 {
		return true
	}
	last := body[len(body)-1]
	return last != '}' && last != ']' && last != '"'
}
