package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a caller that fills the memory of a gateway with a head or a body, also while
// the configuration has no limit.
func TestCallersAreBounded(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		upstream := &countingUpstream{}
		f.upstream(plainService, upstream)
		cfg := testConfiguration()
		cfg.Version, cfg.Limits.BodyBytes, cfg.Limits.HeaderBytes = 2, 0, 0
		f.cat.SetConfiguration(cfg, at(2))
		cases := map[string]struct {
			request callerRequest
			status  int
		}{
			"body at the bound": {callerRequest{path: "/unsafe/x", id: "r1", body: strings.Repeat("x", defaultBodyBytes)}, http.StatusOK},
			"body above it":     {callerRequest{path: "/unsafe/x", id: "r2", body: strings.Repeat("x", defaultBodyBytes+1)}, http.StatusRequestEntityTooLarge},
			"head above it":     {callerRequest{path: "/unsafe/x", id: "r3", header: http.Header{"X-Long": {strings.Repeat("x", defaultHeaderBytes)}}}, http.StatusRequestHeaderFieldsTooLarge},
		}
		for name, c := range cases {
			if resp, _, err := f.send(t.Context(), c.request); err != nil || resp.StatusCode != c.status {
				t.Errorf("%s: got %+v, %v, want %d", name, resp, err, c.status)
			}
		}
		if n := upstream.count(); n != 1 {
			t.Errorf("%d requests reached the upstream, want 1", n)
		}
		time.Sleep(time.Second) // until the server has closed the rejected connections
	})
}
