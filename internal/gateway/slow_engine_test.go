package gateway

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a prompt that is read by a second engine because the first one is only slow, so
// that both answers are late, and against a caller that gets none from an engine that is lost.
func TestSlowEngineIsWaitedForAndLostOneReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		sends int
	}{
		"slow": {900 * time.Millisecond, 1},
		"lost": {time.Minute, 2},
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fixture) {
				sends := 0
				engine := func(w http.ResponseWriter, r *http.Request) {
					if sends++; sends == 1 {
						select {
						case <-time.After(c.delay):
						case <-r.Context().Done():
							return
						}
					}
					respond(w, r, http.StatusOK, "done")
				}
				for range 2 {
					f.upstream(engineService, &countingUpstream{handler: engine})
				}
				resp, _, err := f.send(t.Context(), callerRequest{path: "/resume/x", id: "r1"})
				if err != nil || resp.StatusCode != http.StatusOK || sends != c.sends {
					t.Errorf("got %v, %v after %d sends; want the answer of send %d", resp, err, sends, c.sends)
				}
			})
		})
	}
}
