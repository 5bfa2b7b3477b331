package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Capability is the name of an optional feature of an engine.
type Capability string

// Capabilities that an engine may report.
const (
	CapabilityPriority    Capability = "priority"
	CapabilityCancel      Capability = "cancel"
	CapabilityResume      Capability = "resume"
	CapabilityCacheEvents Capability = "cacheEvents"
	CapabilityLoad        Capability = "load"
	CapabilityLoadModel   Capability = "loadModel"
	CapabilityChangeRole  Capability = "changeRole"
)

// Description is the self-reported state of an engine.
type Description struct {
	// Identity changes with each start of the engine.
	Identity     string       `json:"identity"`
	StartedAt    time.Time    `json:"startedAt"`
	Model        string       `json:"model,omitempty"`
	Adapter      string       `json:"adapter,omitempty"`
	Version      string       `json:"version,omitempty"`
	Role         string       `json:"role,omitempty"`
	Capabilities []Capability `json:"capabilities,omitempty"`
}

// Has reports whether the engine has the capability.
func (d Description) Has(c Capability) bool {
	for _, have := range d.Capabilities {
		if have == c {
			return true
		}
	}
	return false
}

// LoadReport is an upstream's self-reported load, which may be out of date.
type LoadReport struct {
	// InFlight, Waiting and Capacity are in calls.
	InFlight int `json:"inFlight"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// Utilisation is the fraction of the upstream's current capacity that is in use.
	Utilisation float64 `json:"utilisation"`
	// Identity changes with each start of the upstream; it may be empty.
	Identity string `json:"identity,omitempty"`
}

// CacheEventKind is the kind of a change of the prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	// Sequence is the number of the event, counted from 1 for each engine identity.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Block identifies the content from the start of the prompt to the end of the block.
	Block string `json:"block,omitempty"`
}

// CacheEvents is a section of the engine's cache event log.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Gap is set if events between the requested sequence number and the last event are
	// missing, so that the known state of the cache is not exact.
	Gap bool `json:"-"`
}

// Describe requests the engine's identity, state and capabilities. The second result is
// false if the engine doesn't have the endpoint.
func (c *Client) Describe(ctx context.Context) (Description, bool, error) {
	var d Description
	ok, err := c.query(ctx, DescriptionPath, &d)
	return d, ok, err
}

// Load requests the load report at the path; an empty path means LoadPath. The second
// result is false if the upstream doesn't have the endpoint.
func (c *Client) Load(ctx context.Context, path string) (LoadReport, bool, error) {
	if path == "" {
		path = LoadPath
	}
	var l LoadReport
	ok, err := c.query(ctx, path, &l)
	return l, ok, err
}

// CacheEvents requests the events that follow the sequence number after. The second
// result is false if the engine doesn't have the endpoint.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, bool, error) {
	var e CacheEvents
	ok, err := c.query(ctx, CacheEventsPath+"?after="+strconv.FormatUint(after, 10), &e)
	next := after + 1
	for _, event := range e.Events {
		if event.Sequence != next {
			e.Gap = true
		}
		next = event.Sequence + 1
	}
	return e, ok, err
}

// Resume reads a streamed chat call from the chunk number offset on, counted from 0. The
// identity must be that of the engine which began the call; the engine rejects the
// request otherwise, because a response must never be combined from two attempts. The
// result contains only the text from the offset on. ExecutionOf must not
// be used on the error: a failed Resume doesn't show whether the call was run. The second
// result is false if the engine can't resume.
func (c *Client) Resume(ctx context.Context, attempt, identity string, offset int, sink func(Chunk) error) (Result, bool, error) {
	query := url.Values{"offset": {strconv.Itoa(offset)}, "identity": {identity}}
	path := StreamsPath + url.PathEscape(attempt) + "?" + query.Encode()
	supported := true
	result, err := c.readEvents(ctx, sink, func(streamCtx context.Context) (*http.Response, error) {
		resp, err := c.get(streamCtx, path)
		if err != nil {
			return nil, err
		}
		supported = !isMissing(resp)
		if err := checkResponse(resp, attempt); err != nil {
			_ = resp.Body.Close()
			return nil, err
		}
		return resp, nil
	})
	if !supported {
		return Result{}, false, nil
	}
	return result, true, err
}

// query gets a document. It returns false if the upstream doesn't have the endpoint.
func (c *Client) query(ctx context.Context, path string, out any) (bool, error) {
	resp, err := c.get(ctx, path)
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readDocument(ctx, resp, out)
}

// readDocument decodes the response of an optional endpoint.
func readDocument(ctx context.Context, resp *http.Response, out any) (bool, error) {
	if isMissing(resp) {
		return false, nil
	}
	if err := checkResponse(resp, ""); err != nil {
		return true, err
	}
	body, err := readResponse(resp)
	if err != nil {
		return true, &UnknownError{Status: resp.StatusCode, Cause: cause(ctx, err)}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return true, &UnknownError{Status: resp.StatusCode, Cause: &InvalidReplyError{Reason: err.Error()}}
	}
	return true, nil
}

// isMissing reports whether the upstream doesn't have the endpoint. For a stream that it
// no longer knows, an engine returns 410 instead, to distinguish it from a missing endpoint.
func isMissing(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return true
	}
	return false
}
