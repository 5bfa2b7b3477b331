package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Guards against one odd object of another writer that keeps a list from being read: it is
// nested deeper than encoding/json reads, its metadata has another type, or it isn't JSON.
func TestOddObjectHidesNoOther(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, odd := range map[string]string{
		"deep":     `{"metadata":{"name":"odd","resourceVersion":"6"},"spec":` + deep + `}`,
		"number":   `{"metadata":{"name":"odd","resourceVersion":6},"spec":1e999}`,
		"no JSON":  `{"metadata":{"name":"odd","resourceVersion":"6"},"spec":` + "\xff" + `}`,
		"metadata": `{"metadata":7}`,
		"null":     `null`,
	} {
		body := `{"metadata":{"resourceVersion":"7"},"items":[{"metadata":{"name":"a"},"spec":1},` + odd + `,{"metadata":{"name":"b"},"spec":2}]}`
		c := respondWith(Config{}, func() io.Reader { return strings.NewReader(body) })
		list, err := c.List(t.Context(), ShareConfiguration, KindUpstream)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		found := make(map[string]string)
		for _, o := range list.Items {
			found[o.Name] = string(o.Spec)
		}
		if found["a"] != "1" || found["b"] != "2" || list.ResourceVersion != "7" {
			t.Errorf("%s: got %.200q at %q", name, found, list.ResourceVersion)
		}
	}
}

// Guards against a watch that asks for ever for the change after which it can't read on: the
// list, which has the object too, must be read again.
func TestWatchGoesOnAfterAnOddEvent(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, odd := range map[string]string{
		"deep":         `{"type":"MODIFIED","object":{"metadata":{"name":"odd","resourceVersion":"8"},"spec":` + deep + `}}`,
		"metadata":     `{"type":"MODIFIED","object":{"metadata":7}}`,
		"type":         `{"type":7,"object":{}}`,
		"unknown type": `{"type":"MOVED","object":{"metadata":{"name":"odd","resourceVersion":"8"}}}`,
		"no JSON":      "\xff\n",
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			version := 7
			hc := &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
				body := fmt.Sprintf(`{"metadata":{"resourceVersion":"%d"},"items":[]}`, version)
				switch {
				case !r.URL.Query().Has("watch"):
					version++
				case r.URL.Query().Get("resourceVersion") == "7":
					body = odd
				default:
					body = `{"type":"ADDED","object":{"metadata":{"name":"next","resourceVersion":"9"}}}`
				}
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
			})}
			c := New(Config{BaseURL: "http://store"}, hc, tally.NoopScope)
			followed := false
			r := NewReflector(c, ShareConfiguration, KindUpstream, func(List) {}, func(e Event) {
				followed = followed || e.Object.Name == "next"
				cancel()
			}, rand.New(rand.NewPCG(1, 2)), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
			r.SetBackoff(time.Millisecond, 10*time.Millisecond)
			r.Run(ctx)
			if !followed {
				t.Error("the change after the odd one was not followed")
			}
		})
	}
}
