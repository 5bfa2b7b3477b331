package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Get returns the object. IsNotFound tells that there is none of the name.
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
	for {
		k := call{share: share, verb: "list", method: http.MethodGet, kind: kind, query: c.wire.ListQuery(after), limit: MaxListBytes}
		var part List
		err := c.do(ctx, k, func(b []byte) (err error) {
			part, after, err = c.wire.DecodeList(kind, b)
			return err
		})
		if err != nil {
			return List{}, err
		}
		all.Items = append(all.Items, part.Items...)
		// A watch from the version of the first part also sees what changed between the parts.
		if all.ResourceVersion == "" {
			all.ResourceVersion = part.ResourceVersion
		}
		if after == "" {
			return all, nil
		}
	}
}

// Watch calls fn for each change of the kind after resourceVersion until ctx ends,
// fn fails, or the platform ends the watch, which returns nil. The caller goes on
// from the resourceVersion of the last event, bookmarks included. IsGone tells that
// it must list again. The watch counts as one call.
func (c *Client) Watch(ctx context.Context, share Share, kind Kind, resourceVersion string, fn func(Event) error) error {
	if c.wire.UsesLongPolling {
		return c.heldWatch(ctx, share, kind, resourceVersion, fn)
	}
	k := call{share: share, verb: "watch", method: http.MethodGet, kind: kind, query: c.wire.WatchQuery(resourceVersion, 0)}
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+WatchIdleTimeout)
	defer cancel()
	// The timer ends a watch whose connection died without notice; until the reply
	// starts, the bound of a call applies.
	silence := time.AfterFunc(c.timeout, cancel)
	defer silence.Stop()
	resp, err := c.send(ctx, k)
	c.count(k, err)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(resp.Body)
	for {
		silence.Reset(WatchIdleTimeout)
		var w wireEvent
		if err := dec.Decode(&w); errors.Is(err, io.EOF) {
			return nil
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

// heldWatch asks for the changes again and again; each question counts as one call. After
// a change it waits for others that come with it, so that one call brings them all.
func (c *Client) heldWatch(ctx context.Context, share Share, kind Kind, version string, fn func(Event) error) error {
	hold := c.hold(kind)
	for {
		k := call{share: share, verb: "watch", method: http.MethodGet, kind: kind, query: c.wire.WatchQuery(version, hold.Timeout), limit: MaxListBytes, held: hold.Timeout}
		var events []Event
		err := c.do(ctx, k, func(b []byte) (err error) {
			events, version, err = c.wire.DecodeChanges(kind, b)
			return err
		})
		if err != nil {
			return err
		}
		changed := len(events) > 0
		events = append(events, Event{Type: EventBookmark, Object: Object{Kind: kind, ResourceVersion: version}})
		for _, e := range events {
			if err := fn(e); err != nil {
				return err
			}
		}
		if changed && hold.BatchDelay > 0 {
			select {
			case <-time.After(hold.BatchDelay):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// hold returns how watches of the kind are held.
func (c *Client) hold(kind Kind) LongPoll {
	if h, ok := c.holds[kind]; ok {
		return h
	}
	return LongPoll{Timeout: DefaultLongPollTimeout}
}

func (w wireEvent) event(kind Kind) (Event, error) {
	switch w.Type {
	case EventError:
		var status wireStatus
		if err := json.Unmarshal(w.Object, &status); err != nil {
			return Event{}, errors.Wrap(err, "decoding the status of a watch")
		}
		return Event{}, &StatusError{Code: status.Code, Reason: status.Reason, Message: status.Message}
	case EventAdded, EventModified, EventDeleted, EventBookmark:
		var o wireObject
		if err := json.Unmarshal(w.Object, &o); err != nil {
			return Event{}, errors.Wrap(err, "decoding the object of a watch event")
		}
		if o.Metadata.ResourceVersion == "" {
			return Event{}, errors.Errorf("watch event %s without resourceVersion", w.Type)
		}
		return Event{Type: w.Type, Object: o.object(kind)}, nil
	default:
		return Event{}, errors.Errorf("watch event of unknown type %q", w.Type)
	}
}
