package platform_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

type replier func(*http.Request) (*http.Response, error)

func (f replier) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a reply that is treated as the success or the rejection of a write
// when it proves neither.
func FuzzReply(f *testing.F) {
	f.Add(200, []byte(`{"metadata":{"name":"a","resourceVersion":"7"},"spec":1}`), false)
	f.Add(200, []byte(`{"metadata":{"name":"b","resourceVersion":"7"}}`), false)
	f.Add(200, []byte(`{"metadata":{"name":"a"}`), true)
	f.Add(409, []byte(`{"reason":"Conflict","code":409}`), false)
	f.Add(409, []byte(`{"reason":"AlreadyExists"}`), false)
	f.Add(503, []byte(`{"reason":"Conflict"}`), false)
	f.Add(504, []byte(`timeout`), false)
	f.Fuzz(func(t *testing.T, code int, body []byte, cut bool) {
		if code < 200 || code > 599 {
			return
		}
		hc := &http.Client{Transport: replier(func(r *http.Request) (*http.Response, error) {
			var reader io.Reader = bytes.NewReader(body)
			if cut {
				reader = io.MultiReader(reader, failingReader{})
			}
			return &http.Response{StatusCode: code, Header: http.Header{}, Body: io.NopCloser(reader), Request: r}, nil
		})}
		c := platform.New(platform.Config{BaseURL: "http://store", Namespace: "n"}, hc, nopScope)
		obj := platform.Object{Kind: platform.KindClaim, Name: "a", ResourceVersion: "6", Spec: json.RawMessage(`1`)}
		got, err := c.Update(t.Context(), platform.ShareClaims, obj)
		if err == nil && (code/100 != 2 || cut || got.Name != "a" || got.ResourceVersion == "") {
			t.Fatalf("status %d with %q gave %+v", code, body, got)
		}
		if err != nil && code/100 != 4 && !platform.IsAmbiguous(err) && !isRedirect(code) {
			t.Fatalf("status %d with %q gave %v, want ambiguous", code, body, err)
		}
		if code/100 == 4 && (platform.IsAmbiguous(err) || platform.IsNotSent(err)) {
			t.Fatalf("status %d gave %v", code, err)
		}
	})
}

func isRedirect(code int) bool { return code/100 == 3 }

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection lost") }
