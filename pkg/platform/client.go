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

// Config says where the object API is and how much of it the client may use.
type Config struct {
	// BaseURL is scheme, IP address and port, such as http://10.0.0.1:6443.
	BaseURL string
	// Namespace is the namespace of all objects.
	Namespace string
	// CallTimeout bounds each call but watches, the wait for the rate limit
	// included; 0 takes DefaultCallTimeout.
	CallTimeout time.Duration
	// Rates are the rate limits of the shares; a zero PerSecond takes DefaultRates.
	Rates [ShareCount]Rate
	// Wire is the format of the API; one without Path takes KubernetesWire(Namespace).
	Wire Wire
	// LongPolls are the watches of an API that holds them, by kind; a missing one takes
	// DefaultLongPollTimeout.
	LongPolls map[Kind]LongPoll
}

// LongPoll says how a watch is held.
type LongPoll struct {
	// Timeout is how long the API holds a watch without changes. A connection that falls
	// silent is noticed after it.
	Timeout time.Duration
	// BatchDelay is the pause after a change before the next call.
	BatchDelay time.Duration
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	base     string
	wire     Wire
	holds    map[Kind]LongPoll
	timeout  time.Duration
	hc       *http.Client
	scope    tally.Scope
	limiters [ShareCount]*rate.Limiter
}

// New returns a client that calls through hc and counts its calls in scope.
func New(cfg Config, hc *http.Client, scope tally.Scope) *Client {
	c := &Client{base: cfg.BaseURL, wire: cfg.Wire, holds: cfg.LongPolls, timeout: cfg.CallTimeout, hc: hc, scope: scope}
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
	query  url.Values
	body   any
	limit  int64
	// held is how long the API may hold its reply beyond the time of a call.
	held time.Duration
}

// do runs a bounded call and hands its reply to decode, which may be nil.
func (c *Client) do(ctx context.Context, k call, decode func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+k.held)
	defer cancel()
	resp, err := c.send(ctx, k)
	if err != nil {
		c.count(k, err)
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	err = readReply(resp, k, decode)
	c.count(k, err)
	return err
}

// send waits for the share's rate limit, sends the call and returns a reply of
// status 2xx, whose body the caller closes.
func (c *Client) send(ctx context.Context, k call) (*http.Response, error) {
	if err := c.limiters[k.share].Wait(ctx); err != nil {
		return nil, &NotSentError{Share: k.share, Cause: err}
	}
	var wanted, got atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { wanted.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	}
	r, err := c.request(httptrace.WithClientTrace(ctx, trace), k)
	if err != nil {
		return nil, &NotSentError{Share: k.share, Cause: err}
	}
	resp, err := c.hc.Do(r)
	switch {
	case err == nil:
		return c.checkStatus(resp, k)
	case wanted.Load() && !got.Load():
		return nil, &NotSentError{Share: k.share, Cause: err}
	default:
		return nil, &AmbiguousError{Verb: k.verb, Cause: err}
	}
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

// checkStatus turns a reply that isn't of status 2xx into an error.
func (c *Client) checkStatus(resp *http.Response, k call) (*http.Response, error) {
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	// A body that can't be read leaves the status, which is what decides.
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	refused := c.wire.DecodeStatus(resp.StatusCode, b)
	if !c.wire.IsWithoutEffect(resp.StatusCode) {
		return nil, &AmbiguousError{Verb: k.verb, Cause: refused}
	}
	return nil, refused
}

func readReply(resp *http.Response, k call, decode func([]byte) error) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, k.limit+1))
	if err != nil {
		return &AmbiguousError{Verb: k.verb, Cause: err}
	}
	if int64(len(b)) > k.limit {
		return &AmbiguousError{Verb: k.verb, Cause: errors.Errorf("the reply is larger than %d bytes", k.limit)}
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
