package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/problem"
	"bergamotrudder.example/bergamotrudder/pkg/sheet"
)

// ProblemError is an error response of the API.
type ProblemError struct {
	Problem *problem.Problem
}

// Error returns the problem in one line.
func (e *ProblemError) Error() string { return e.Problem.String() }

// NoResponseError reports that a request may have reached the entry, and that no
// response was received.
type NoResponseError struct {
	Cause error
}

// Error returns the cause.
func (e *NoResponseError) Error() string { return "no response: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// PutOptions are the parameters of a PUT.
type PutOptions struct {
	DryRun bool
	// IfMatch is the generation that must be in force; 0 omits the header.
	IfMatch uint64
}

// maxHeaderBytes bounds the header of an entry's response.
const maxHeaderBytes = 16 << 10

// Client calls the operators' API of one entry.
type Client struct {
	address string
	key     string
	http    *http.Client
}

// NewClient returns a client of the API at the IP address and port. Only their
// contexts limit the time of calls.
func NewClient(address, key string) *Client {
	hc := &http.Client{
		Transport:     &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{address: address, key: key, http: hc}
}

// Configuration returns the document in force.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var out Configuration
	return out, c.json(ctx, request{method: http.MethodGet, path: "/v1/configuration", limit: MaxDocumentBytes}, &out)
}

// Sheet returns the current sheet.
func (c *Client) Sheet(ctx context.Context) ([]byte, error) {
	return c.do(ctx, request{method: http.MethodGet, path: "/v1/sheet", limit: sheet.MaxBytes})
}

// Status returns the entry's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.json(ctx, request{method: http.MethodGet, path: "/v1/status", limit: MaxDocumentBytes}, &out)
}

// Dump returns the state of the instance with the name, or of the entry itself when
// the name is empty.
func (c *Client) Dump(ctx context.Context, instance string) ([]byte, error) {
	q := url.Values{}
	if instance != "" {
		q.Set("instance", instance)
	}
	return c.do(ctx, request{method: http.MethodGet, path: "/v1/dump", query: q, limit: MaxDumpBytes})
}

// PutSheet applies a sheet. A *ProblemError is an error response of the API. A
// *NoResponseError means that it is unknown whether the sheet was applied. Another error
// means that the request was not sent, such as after a failed dial, or that the response
// is too large or can't be decoded, so that the sheet may be in force. The same sheet may
// be sent again after each of them.
func (c *Client) PutSheet(ctx context.Context, csv []byte, o PutOptions) (PutResult, error) {
	return c.put(ctx, "/v1/sheet", sheet.ContentType, csv, o)
}

// PutConfiguration replaces the document; o.IfMatch is required.
func (c *Client) PutConfiguration(ctx context.Context, document []byte, o PutOptions) (PutResult, error) {
	return c.put(ctx, "/v1/configuration", "application/json", document, o)
}

func (c *Client) put(ctx context.Context, path, contentType string, body []byte, o PutOptions) (PutResult, error) {
	r := request{method: http.MethodPut, path: path, query: url.Values{}, header: make(http.Header), body: body, limit: MaxDocumentBytes}
	r.header.Set("Content-Type", contentType)
	if o.DryRun {
		r.query.Set("dryRun", "true")
	}
	if o.IfMatch > 0 {
		r.header.Set("If-Match", strconv.Quote(strconv.FormatUint(o.IfMatch, 10)))
	}
	var out PutResult
	return out, c.json(ctx, r, &out)
}

type request struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// limit is the maximum size of the response, in bytes.
	limit int64
}

func (c *Client) json(ctx context.Context, r request, out any) error {
	b, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(b, out), "decoding the response of %s", r.path)
}

func (c *Client) do(ctx context.Context, r request) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: c.address, Path: r.path, RawQuery: r.query.Encode()}
	hr, err := http.NewRequestWithContext(ctx, r.method, u.String(), bytes.NewReader(r.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if r.header != nil {
		hr.Header = r.header
	}
	hr.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(hr)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, errors.Errorf("can't connect to %s: %v", c.address, dial.Err)
	}
	if err != nil {
		return nil, &NoResponseError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		p, err := problem.FromResponse(resp)
		if err != nil {
			return nil, err
		}
		return nil, &ProblemError{Problem: p}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, r.limit+1))
	if err != nil {
		return nil, &NoResponseError{Cause: err}
	}
	if int64(len(b)) > r.limit {
		return nil, errors.Errorf("the response of %s has more than %d bytes", r.path, r.limit)
	}
	return b, nil
}
