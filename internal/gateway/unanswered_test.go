package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a request that a leaving gateway passes on and cuts off at its end: its header
// was incomplete when the gateway found no request in progress, and there is only a moment left
// to answer it.
func TestRequestReadAfterTheLastOneOfADepartureIsRefused(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		const closeTime = 100 * time.Millisecond
		defer time.Sleep(2 * time.Second) // until the upstream's handler has ended
		up := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			respond(w, r, http.StatusOK, "done")
		}}
		f.upstream(plainService, up)
		noLimit := func() time.Duration { return 0 }
		s := serveTracked(t, f.Gateway, noLimit, func(*IdleConns, http.ConnState) {})
		c := s.connect(t.Context(), t)
		header := fmt.Sprintf("GET /unsafe/x HTTP/1.1\r\nHost: host\r\n%s: key\r\n%s: r1\r\n\r\n", testKey, testID)
		send := func(part string) {
			if _, err := io.WriteString(c.conn, part); err != nil {
				t.Error(err)
			}
		}
		send(header[:20])
		f.Leave(time.Now().Add(departureTime))
		f.RefuseNew()
		if err := f.WaitIdle(t.Context()); err != nil {
			t.Fatal(err)
		}
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), closeTime)
			defer cancel()
			_ = s.idle.Drain(ctx)
			_ = s.Close() // the process ends
		}()
		time.Sleep(closeTime / 2)
		send(header[20:])
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			t.Fatalf("no answer: %v; sent to %d upstreams", err, up.count())
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusServiceUnavailable || up.count() != 0 {
			t.Errorf("got status %d, sent to %d upstreams", resp.StatusCode, up.count())
		}
	})
}
