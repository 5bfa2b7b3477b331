package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Config is the address of the object API and the client's time-outs and rate limits.
type Config struct {
	// BaseURL is scheme, IP address and port, such as http://10.0.0.1:6443.
	BaseURL string
	// Namespace is the namespace of all objects.
	Namespace string
	// CallTimeout is the time-out of each call, including the wait for the rate limit; 0
	// means DefaultCallTimeout. For a streamed watch it applies until the response begins;
	// a long poll has the long-poll time in addition.
	CallTimeout time.Duration
	// Rates are the rate limits of the shares; a zero PerSecond means DefaultRates.
	Rates [ShareCount]Rate
	// Wire is the format of the API; one without Path is replaced by KubernetesWire(Namespace).
	Wire Wire
	// LongPolls are the long-poll settings by kind, for an API that uses long polling; a
	// kind without an entry uses DefaultLongPollTimeout.
	LongPolls map[Kind]LongPoll
	// MaxListBytes bounds the reply to a list call or a long poll, in bytes; 0 means
	// MaxListBytes. A reply is in memory as a whole.
	MaxListBytes int64
}

// maxStatus is the largest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// LongPoll configures the long polls of one kind.
type LongPoll struct {
	// Timeout is how long the API may delay its reply while there are no changes. A
	// connection that no longer responds is detected only after it.
	Timeout time.Duration
	// BatchDelay is the delay between a change and the next call.
	BatchDelay time.Duration
	// Sentinel kinds find out silent connections and outages for all: after a poll that failed,
	// or whose connection was silent, the first response makes those of the other kinds be sent
	// again. The others may then have longer time-outs, and wait for that response after a
	// failure.
	Sentinel bool
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base      string
	wire      Wire
	longPolls map[Kind]LongPoll
	timeout   time.Duration
	hc        *http.Client
	scope     tally.Scope
	limiters  [ShareCount]*rate.Limiter
	listBytes int64
	epochs    *epochs
	sentinel  *sentinel
	onSilent  func(SilentConnection)
}

// New returns a client that sends its calls through hc and counts them in scope.
func New(cfg Config, hc *http.Client, scope tally.Scope) *Client {
	c := &Client{base: cfg.BaseURL, wire: cfg.Wire, longPolls: cfg.LongPolls, timeout: cfg.CallTimeout, hc: hc, scope: scope, listBytes: cfg.MaxListBytes, epochs: newEpochs(scope), sentinel: newSentinel()}
	if c.listBytes <= 0 {
		c.listBytes = MaxListBytes
	}
	if c.timeout <= 0 {
		c.timeout = DefaultCallTimeout
	}
	if c.wire.Path == nil {
		c.wire = KubernetesWire(cfg.Namespace)
	}
	for i, r := range cfg.Rates {
		if r.PerSecond <= 0 {
			r = DefaultRates[i]
		}
		c.limiters[i] = rate.NewLimiter(rate.Limit(r.PerSecond), max(1, r.Burst))
	}
	return c
}

// call is one request to the object API.
type call struct {
	share  Share
	verb   string
	method string
	kind   Kind
	name   string
	// isStatus is set for a call on the status of an object.
	isStatus bool
	query    url.Values
	body     any
	limit    int64
	// pollTimeout is the long-poll time, which is added to the time-out of the call.
	pollTimeout time.Duration
	// onHead is called when the head of a successful response was read, and may be nil.
	onHead func()
}

// do sends a call under the time-out, passes the body of its reply to decode, which may be nil,
// and returns the epoch that the reply states. While a reply goes on arriving, the time-out begins
// anew: over a slow link a large one takes longer, and a repeated call would take as long.
func (c *Client) do(caller context.Context, k call, decode func([]byte) error) (uint64, error) {
	ctx, cancel := context.WithCancelCause(caller)
	defer cancel(nil)
	timer := time.AfterFunc(c.timeout+k.pollTimeout, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	defer func() {
		// After a time-out, the connection may be silent, and the idle ones with it.
		if ctx.Err() != nil && caller.Err() == nil {
			c.closeIdle()
		}
	}()
	resp, err := c.send(ctx, k)
	if err != nil {
		c.count(k, err)
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if k.onHead != nil {
		k.onHead()
	}
	body := &arrivingBody{body: resp.Body, timer: timer, timeout: c.timeout, end: time.Now().Add(maxReplyTimeouts * c.timeout)}
	body.extend()
	err = readReply(body, k, decode)
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) && caller.Err() == nil {
		err = &AmbiguousError{Verb: k.verb, Cause: &replyTooSlowError{readBytes: body.n}}
	}
	c.count(k, err)
	return c.epochOf(resp), err
}

// arrivingBody is the body of a reply, each part of which begins the time-out anew until the end.
type arrivingBody struct {
	body    io.Reader
	timer   *time.Timer
	timeout time.Duration
	end     time.Time
	n       int64
}

func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.n += int64(n)
		b.extend()
	}
	return n, err
}

func (b *arrivingBody) extend() { b.timer.Reset(max(0, min(b.timeout, time.Until(b.end)))) }

// send waits for the share's rate limit, sends the call and returns the response if its
// status is 2xx. The caller closes the body.
func (c *Client) send(ctx context.Context, k call) (*http.Response, error) {
	if err := c.waitForRate(ctx, k); err != nil {
		return nil, &NotSentError{Share: k.share, Cause: err}
	}
	var connRequested, connObtained atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connObtained.Store(true) },
	}
	r, err := c.request(httptrace.WithClientTrace(ctx, trace), k)
	if err != nil {
		return nil, &NotSentError{Share: k.share, Cause: err}
	}
	resp, err := c.hc.Do(r)
	switch {
	case err == nil:
		if err := c.epochs.observe(c.epochOf(resp), k); err != nil {
			_ = resp.Body.Close()
			return nil, &AmbiguousError{Verb: k.verb, Cause: err}
		}
		return c.checkStatus(resp, k)
	case connRequested.Load() && !connObtained.Load():
		return nil, &NotSentError{Share: k.share, Cause: err}
	default:
		return nil, &AmbiguousError{Verb: k.verb, Cause: err}
	}
}

// waitForRate waits for the share's rate limit, or fails at once if that would take longer than the
// time-out of the call.
func (c *Client) waitForRate(ctx context.Context, k call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.pollTimeout)
	defer cancel()
	return c.limiters[k.share].Wait(ctx)
}

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	var body io.Reader
	if k.body != nil {
		b, err := json.Marshal(k.body)
		if err != nil {
			return nil, errors.Wrap(err, "encoding the object")
		}
		body = bytes.NewReader(b)
	}
	target := c.base + c.wire.Path(k.kind, k.name)
	if k.isStatus {
		target = c.base + c.wire.StatusPath(k.kind, k.name)
	}
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, k.method, target, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Accept", "application/json")
	if k.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// epochOf returns the epoch that the response states, or 0.
func (c *Client) epochOf(resp *http.Response) uint64 {
	if c.wire.Epoch == nil {
		return 0
	}
	return c.wire.Epoch(resp.Header)
}

// checkStatus returns an error for a response whose status is not 2xx.
func (c *Client) checkStatus(resp *http.Response, k call) (*http.Response, error) {
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	// A read error is ignored, because the status alone decides whether the call had an effect.
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	statusErr := c.wire.DecodeStatus(resp.StatusCode, b)
	isError := resp.StatusCode >= http.StatusBadRequest && resp.StatusCode <= maxStatus
	if !isError || !c.wire.IsWithoutEffect(resp.StatusCode) {
		return nil, &AmbiguousError{Verb: k.verb, Cause: statusErr}
	}
	return nil, statusErr
}

func readReply(body io.Reader, k call, decode func([]byte) error) error {
	b, err := io.ReadAll(io.LimitReader(body, k.limit+1))
	if err != nil {
		return &AmbiguousError{Verb: k.verb, Cause: err}
	}
	if int64(len(b)) > k.limit {
		return &AmbiguousError{Verb: k.verb, Cause: &replyTooLargeError{limitBytes: k.limit}}
	}
	if decode == nil {
		return nil
	}
	if err := decode(b); err != nil {
		return &AmbiguousError{Verb: k.verb, Cause: err}
	}
	return nil
}

func (c *Client) count(k call, err error) {
	c.scope.Tagged(map[string]string{
		"kind":   string(k.kind),
		"verb":   k.verb,
		"share":  k.share.String(),
		"result": result(err),
	}).Counter("platformCalls").Inc(1)
}

func result(err error) string {
	var status *StatusError
	switch {
	case err == nil:
		return "ok"
	case IsEpochOver(err):
		return "epochOver"
	case IsNotSent(err):
		return "notSent"
	case IsAmbiguous(err):
		return "ambiguous"
	case errors.As(err, &status) && status.Reason != "":
		return string(status.Reason)
	default:
		return "failed"
	}
}
