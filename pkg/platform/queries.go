package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Get returns the object. IsNotFound is true of the error if no object has the name.
func (c *Client) Get(ctx context.Context, share Share, kind Kind, name string) (Object, error) {
	k := call{share: share, verb: "get", method: http.MethodGet, kind: kind, name: name, limit: objectReplyBytes}
	return c.object(ctx, k, name)
}

// List returns all objects of the kind.
func (c *Client) List(ctx context.Context, share Share, kind Kind) (List, error) {
	var (
		all   List
		after string
	)
	for range maxListPages {
		k := call{share: share, verb: "list", method: http.MethodGet, kind: kind, query: c.wire.ListQuery(after), limit: c.listBytes}
		var page List
		epoch, err := c.do(ctx, k, func(b []byte) (err error) {
			page, after, err = c.wire.DecodeList(kind, b)
			return err
		})
		if err != nil {
			return List{}, err
		}
		// A watch from the version of the first page includes changes made between the pages.
		if all.ResourceVersion == "" {
			all.ResourceVersion, all.Epoch = page.ResourceVersion, epoch
		}
		if epoch != all.Epoch {
			return List{}, &EpochError{Epoch: all.Epoch, Newest: epoch}
		}
		for _, o := range page.Items {
			o.Epoch = epoch
			all.Items = append(all.Items, o)
		}
		if after == "" {
			return all, nil
		}
	}
	return List{}, &AmbiguousError{Verb: "list", Cause: errors.Errorf("the list has more than %d pages", maxListPages)}
}

// Watch calls WatchEpoch with the newest epoch that is known.
func (c *Client) Watch(ctx context.Context, share Share, kind Kind, resourceVersion string, fn func(Event) error) error {
	return c.WatchEpoch(ctx, share, kind, c.Epoch(), resourceVersion, fn)
}

// WatchEpoch calls fn for each change of the kind after resourceVersion, which was read in the
// epoch (0 if that is not known), until ctx ends, fn fails, or the platform ends the watch, in which case it returns
// nil. The caller continues from the resourceVersion of the last event, bookmarks included.
// If IsGone or IsEpochOver is true of the error, the caller must list again. A streamed watch
// counts as one call; only long polls end with their epoch.
func (c *Client) WatchEpoch(ctx context.Context, share Share, kind Kind, epoch uint64, resourceVersion string, fn func(Event) error) error {
	if c.wire.UsesLongPolling {
		return c.longPollWatch(ctx, share, kind, epoch, resourceVersion, c.longPoll(kind).Timeout, fn)
	}
	k := call{share: share, verb: "watch", method: http.MethodGet, kind: kind, query: c.wire.WatchQuery(resourceVersion, 0)}
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+WatchIdleTimeout)
	defer cancel()
	// The timer ends a watch whose connection was lost without being closed. Until the
	// response begins, the time-out of a call applies.
	idleTimer := time.AfterFunc(c.timeout, cancel)
	defer idleTimer.Stop()
	resp, err := c.send(ctx, k)
	c.count(k, err)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	// At the bound of an event, the body ends in its middle.
	body := &io.LimitedReader{R: resp.Body}
	dec := json.NewDecoder(body)
	for {
		idleTimer.Reset(WatchIdleTimeout)
		body.N = maxEventBytes
		var w wireEvent
		if err := dec.Decode(&w); errors.Is(err, io.EOF) {
			return nil
		} else if isMalformed(err) {
			return &AmbiguousError{Verb: k.verb, Cause: &malformedEventError{Cause: err}}
		} else if err != nil {
			return &AmbiguousError{Verb: k.verb, Cause: err}
		}
		event, err := w.event(kind)
		if err != nil {
			return err
		}
		if err := fn(event); err != nil {
			return err
		}
	}
}

// longPollWatch polls for changes in a loop; each poll counts as one call. After a change
// it waits for the batching delay, so that the next call returns several changes at once.
// A version is void once the epoch is over: it may have been given to another change. The first
// poll has the given time-out.
func (c *Client) longPollWatch(ctx context.Context, share Share, kind Kind, epoch uint64, version string, timeout time.Duration, fn func(Event) error) error {
	longPoll := c.longPoll(kind)
	newest, over := c.epochs.newest()
	if epoch == 0 {
		epoch = newest
	}
	if newest != epoch {
		return &EpochError{Epoch: epoch, Newest: newest}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(over, cancel)
	defer stop()
	for {
		k := call{share: share, verb: "watch", method: http.MethodGet, kind: kind, limit: c.listBytes}
		reply := c.pollAgain(ctx, k, version, timeout)
		timeout = longPoll.Timeout
		newest = c.Epoch()
		if epoch == 0 {
			epoch = newest
		}
		if over.Err() != nil || newest != epoch {
			return &EpochError{Epoch: epoch, Newest: newest}
		}
		if reply.err != nil {
			return reply.err
		}
		version = reply.version
		events := reply.events
		changed := len(events) > 0
		events = append(events, Event{Type: EventBookmark, Object: Object{Kind: kind, ResourceVersion: version}})
		for _, e := range events {
			e.Object.Epoch = epoch
			if err := fn(e); err != nil {
				return err
			}
		}
		if changed && longPoll.BatchDelay > 0 {
			select {
			case <-time.After(longPoll.BatchDelay):
			case <-ctx.Done():
				if over.Err() != nil {
					return &EpochError{Epoch: epoch, Newest: c.Epoch()}
				}
				return ctx.Err()
			}
		}
	}
}

// resumeWatch is WatchEpoch after a failure. Its first poll doesn't wait, as the store may have
// begun another epoch, which only a response tells.
func (c *Client) resumeWatch(ctx context.Context, share Share, kind Kind, epoch uint64, resourceVersion string, fn func(Event) error) error {
	if !c.wire.UsesLongPolling {
		return c.WatchEpoch(ctx, share, kind, epoch, resourceVersion, fn)
	}
	return c.longPollWatch(ctx, share, kind, epoch, resourceVersion, resumeTimeout, fn)
}

// longPoll returns the long-poll settings of the kind.
func (c *Client) longPoll(kind Kind) LongPoll {
	if poll, ok := c.longPolls[kind]; ok {
		return poll
	}
	return LongPoll{Timeout: DefaultLongPollTimeout}
}

// isMalformed reports whether the error is of bytes that encoding/json can't decode, and not of
// a stream that ended.
func isMalformed(err error) bool {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &mismatch)
}

func (w wireEvent) event(kind Kind) (Event, error) {
	switch w.Type {
	case EventError:
		var status wireStatus
		if err := json.Unmarshal(w.Object, &status); err != nil {
			return Event{}, &malformedEventError{Cause: err}
		}
		return Event{}, &StatusError{Code: status.Code, Reason: status.Reason, Message: status.Message}
	case EventAdded, EventModified, EventDeleted, EventBookmark:
		var o wireObject
		if err := json.Unmarshal(w.Object, &o); err != nil {
			return Event{}, &malformedEventError{Cause: err}
		}
		if o.Metadata.ResourceVersion == "" {
			return Event{}, &malformedEventError{Cause: errors.Errorf("%s without resourceVersion", w.Type)}
		}
		return Event{Type: w.Type, Object: o.object(kind)}, nil
	default:
		return Event{}, &malformedEventError{Cause: errors.Errorf("unknown type %q", w.Type)}
	}
}
