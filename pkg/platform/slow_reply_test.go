package platform

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// slowLink is a store at the other end of a slow link. A list has one version, a reply to a long
// poll all versions since the one that it continues from.
type slowLink struct {
	down           atomic.Bool
	newest         atomic.Int64
	versionBytes   int
	bytesPerSecond int
}

// slowBody is a body that arrives at the speed of its link.
type slowBody struct {
	io.Reader
	ctx  context.Context
	link *slowLink
}

func (b *slowBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), 1500)])
	select {
	case <-time.After(time.Duration(n) * time.Second / time.Duration(b.link.bytesPerSecond)):
		return n, err
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func (b *slowBody) Close() error { return nil }

func (s *slowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.down.Load() {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
	}
	query := r.URL.Query()
	versions, newest := 1, int(s.newest.Load())
	if query.Has("after") {
		after, _ := strconv.Atoi(query.Get("after"))
		versions = newest - after
		if versions == 0 {
			timeout, _ := time.ParseDuration(query.Get("wait"))
			select {
			case <-time.After(timeout):
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
	}
	text := strconv.Itoa(newest) + strings.Repeat(" ", versions*s.versionBytes)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &slowBody{Reader: strings.NewReader(text), ctx: r.Context(), link: s}, Request: r}, nil
}

// Guards against a copy that stays old because the versions that it missed during an outage take
// longer to arrive than a call may: each try would begin with the same reply. The link is the
// slowest of the deployments, 10 Mbit/s, and a version a tenth of the largest object.
func TestMissedVersionsAreLearntOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowLink{versionBytes: MaxObjectBytes / 10, bytesPerSecond: 1_250_000}
		s.newest.Store(1)
		w := longPollWire()
		w.DecodeList = func(_ Kind, b []byte) (List, string, error) {
			return List{ResourceVersion: strings.TrimSpace(string(b))}, "", nil
		}
		c := New(Config{BaseURL: "http://store", Wire: w, CallTimeout: 900 * time.Millisecond}, &http.Client{Transport: s}, tally.NoopScope)
		known := ""
		r := NewReflector(c, ShareConfiguration, KindConfiguration, func(l List) { known = l.ResourceVersion }, func(e Event) { known = e.Object.ResourceVersion },
			rand.New(rand.NewPCG(1, 2)), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		r.SetBackoff(100*time.Millisecond, 600*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); r.Run(ctx) }()
		time.Sleep(time.Second)
		s.down.Store(true)
		time.Sleep(5 * time.Second)
		s.newest.Store(21)
		s.down.Store(false)
		// By then a gateway counts as in touch again.
		time.Sleep(4 * time.Second)
		cancel()
		<-ended
		if known != "21" {
			t.Errorf("version %s is known, the store has 21", known)
		}
	})
}

// Guards against a large object that is never read over a slow link, although it goes on arriving.
func TestLargestObjectIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowLink{versionBytes: MaxObjectBytes, bytesPerSecond: 625_000}
		s.newest.Store(1)
		w := longPollWire()
		w.DecodeList = func(_ Kind, b []byte) (List, string, error) {
			return List{ResourceVersion: strings.TrimSpace(string(b))}, "", nil
		}
		c := New(Config{BaseURL: "http://store", Wire: w, CallTimeout: 900 * time.Millisecond}, &http.Client{Transport: s}, tally.NoopScope)
		if _, err := c.List(t.Context(), ShareConfiguration, KindConfiguration); err != nil {
			t.Error(err)
		}
	})
}
