package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Capability names an extra of an engine.
type Capability string

// Capabilities that an engine may state.
const (
	CapabilityPriority    Capability = "priority"
	CapabilityCancel      Capability = "cancel"
	CapabilityResume      Capability = "resume"
	CapabilityCacheEvents Capability = "cacheEvents"
	CapabilityLoad        Capability = "load"
	CapabilityLoadModel   Capability = "loadModel"
	CapabilityChangeRole  Capability = "changeRole"
)

// Description is what an engine says of itself.
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

// Has reports whether the engine states the capability.
func (d Description) Has(c Capability) bool {
	for _, have := range d.Capabilities {
		if have == c {
			return true
		}
	}
	return false
}

// LoadReport is an upstream's own word on its load, which may be late.
type LoadReport struct {
	// InFlight, Waiting and Capacity are in calls.
	InFlight int `json:"inFlight"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// Utilisation is the share of what the upstream can bear at the moment.
	Utilisation float64 `json:"utilisation"`
	// Identity changes with each start of the upstream, if it is given.
	Identity string `json:"identity,omitempty"`
}

// CacheEventKind says what happened to blocks of the prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of one engine identity from 1.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	// Block identifies the content from its start to the end of the block.
	Block string `json:"block,omitempty"`
}

// CacheEvents is a part of the engine's event log.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Gap is set when events between the asked number and the last one are missing,
	// so that what is known of the cache is not exact.
	Gap bool `json:"-"`
}

// Describe asks the engine for its identity, state and capabilities. The second
// result is false when the engine doesn't describe itself.
func (c *Client) Describe(ctx context.Context) (Description, bool, error) {
	var d Description
	ok, err := c.query(ctx, DescriptionPath, &d)
	return d, ok, err
}

// Load asks for the load report at the path; an empty path is LoadPath. The second
// result is false when the upstream gives no report there.
func (c *Client) Load(ctx context.Context, path string) (LoadReport, bool, error) {
	if path == "" {
		path = LoadPath
	}
	var l LoadReport
	ok, err := c.query(ctx, path, &l)
	return l, ok, err
}

// CacheEvents asks for the events that follow the sequence number after. The
// second result is false when the engine publishes none.
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

// Resume reads a streamed chat call from the chunk number offset on, counted from
// 0. The engine must be the one with the identity that began the call; it refuses
// otherwise, because two attempts must never make up one answer. The result holds
// only the text from the offset on. The error speaks of this request alone, not of
// the call that it resumes. The second result is false when the engine
// can't resume.
func (c *Client) Resume(ctx context.Context, attempt, identity string, offset int, sink func(Chunk) error) (Result, bool, error) {
	query := url.Values{"offset": {strconv.Itoa(offset)}, "identity": {identity}}
	path := StreamsPath + url.PathEscape(attempt) + "?" + query.Encode()
	supported := true
	result, err := c.readEvents(ctx, sink, func(own context.Context) (*http.Response, error) {
		resp, err := c.get(own, path)
		if err != nil {
			return nil, err
		}
		supported = !isMissing(resp)
		if err := checkReply(resp, attempt); err != nil {
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

// query gets a document. It returns false when the upstream lacks the path.
func (c *Client) query(ctx context.Context, path string, out any) (bool, error) {
	resp, err := c.get(ctx, path)
	if err != nil {
		return true, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readDocument(ctx, resp, out)
}

// readDocument reads the reply of an extra.
func readDocument(ctx context.Context, resp *http.Response, out any) (bool, error) {
	if isMissing(resp) {
		return false, nil
	}
	if err := checkReply(resp, ""); err != nil {
		return true, err
	}
	body, err := readReply(resp)
	if err != nil {
		return true, &UnknownError{Status: resp.StatusCode, Cause: cause(ctx, err)}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return true, &UnknownError{Status: resp.StatusCode, Cause: &InvalidReplyError{Reason: err.Error()}}
	}
	return true, nil
}

// isMissing reports whether the upstream lacks the path. A stream that the engine
// no longer knows is answered with 410, so that it differs from a missing path.
func isMissing(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return true
	}
	return false
}
