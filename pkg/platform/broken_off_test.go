package platform

import (
	"context"
	"io"
	"strings"
	"testing"
)

// Guards against a reply that was broken off and is taken for a whole one because it ended with
// its connection: a list without its last objects, an object without its last fields, or an event.
func TestBrokenOffRepliesAreErrors(t *testing.T) {
	const (
		list   = `{"metadata":{"resourceVersion":"7"},"items":[{"metadata":{"name":"a"},"spec":12},{"metadata":{"name":"b"},"spec":34}]}`
		object = `{"metadata":{"name":"a","resourceVersion":"7"},"spec":{"x":12}}`
		event  = `{"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"7"},"spec":12}}`
	)
	calls := map[string]struct {
		whole string
		call  func(context.Context, *Client) error
	}{
		"list": {list, func(ctx context.Context, c *Client) error {
			_, err := c.List(ctx, ShareConfiguration, KindLease)
			return err
		}},
		"object": {object, func(ctx context.Context, c *Client) error {
			_, err := c.Get(ctx, ShareConfiguration, KindLease, "a")
			return err
		}},
		"event": {event, func(ctx context.Context, c *Client) error {
			return c.Watch(ctx, ShareConfiguration, KindLease, "1", func(Event) error { return nil })
		}},
	}
	for name, tc := range calls {
		t.Run(name, func(t *testing.T) {
			for n := range len(tc.whole) + 1 {
				// A watch may end before its next event.
				whole := n == len(tc.whole) || n == 0 && name == "event"
				c := respondWith(Config{}, func() io.Reader { return strings.NewReader(tc.whole[:n]) })
				if err := tc.call(t.Context(), c); (err == nil) != whole {
					t.Errorf("%q: got error %v", tc.whole[:n], err)
				}
			}
		})
	}
}
