package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// longPollStore replies to long polls with the number of changes so far. The changes
// are made at fixed times after the start.
type longPollStore struct {
	started  time.Time
	changes  []time.Duration
	timeouts []time.Duration
}

func (s *longPollStore) RoundTrip(r *http.Request) (*http.Response, error) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	timeout, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	s.timeouts = append(s.timeouts, timeout)
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		n := 0
		for n < len(s.changes) && time.Since(s.started) >= s.changes[n] {
			n++
		}
		if n > after || !time.Now().Before(end) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(strconv.Itoa(n))), Request: r}, nil
		}
		if r.Context().Err() != nil {
			return nil, r.Context().Err()
		}
	}
}

func longPollWire() Wire {
	w := KubernetesWire("test")
	w.UsesLongPolling = true
	w.WatchQuery = func(version string, timeout time.Duration) url.Values {
		return url.Values{"after": {version}, "wait": {timeout.String()}}
	}
	w.DecodeChanges = func(kind Kind, b []byte) ([]Event, string, error) {
		var n int
		if err := json.Unmarshal(b, &n); err != nil {
			return nil, "", err
		}
		if n == 0 {
			return nil, "0", nil
		}
		return []Event{{Type: EventModified, Object: Object{Kind: kind, ResourceVersion: strconv.Itoa(n)}}}, strconv.Itoa(n), nil
	}
	return w
}

// Guards against one call per change when several changes follow shortly after one
// another, as the platform limits the rate of calls, and against a long poll that
// ignores the time-out of its kind.
func TestBatchDelayCombinesChanges(t *testing.T) {
	for _, c := range []struct {
		batchDelay time.Duration
		calls      int
	}{{batchDelay: 0, calls: 4}, {batchDelay: 100 * time.Millisecond, calls: 2}} {
		synctest.Test(t, func(t *testing.T) {
			s := &longPollStore{started: time.Now(), changes: []time.Duration{500 * time.Millisecond, 520 * time.Millisecond, 540 * time.Millisecond, 590 * time.Millisecond}}
			client := New(Config{BaseURL: "http://store", Wire: longPollWire(), LongPolls: map[Kind]LongPoll{KindUpstream: {Timeout: 3 * time.Second, BatchDelay: c.batchDelay}}}, &http.Client{Transport: s}, tally.NoopScope)
			errStop := errors.New("enough")
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			err := client.Watch(ctx, ShareConfiguration, KindUpstream, "0", func(e Event) error {
				if e.Object.ResourceVersion == "4" {
					return errStop
				}
				return nil
			})
			if !errors.Is(err, errStop) || len(s.timeouts) != c.calls {
				t.Errorf("batch delay %v: %d calls, want %d; %v", c.batchDelay, len(s.timeouts), c.calls, err)
			}
			if took := time.Since(s.started); took > 700*time.Millisecond {
				t.Errorf("batch delay %v: the last change was received after %v", c.batchDelay, took)
			}
			if s.timeouts[0] != 3*time.Second {
				t.Errorf("long-poll time is %v, want 3s", s.timeouts[0])
			}
		})
	}
}

// silentStore replies to the first polls never, and to later ones at once unless it is down.
type silentStore struct {
	silent int
	down   bool

	mu     sync.Mutex
	closed int
	calls  []time.Duration
	began  time.Time
}

func (s *silentStore) CloseIdleConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
}

// count records a call and returns the number of calls.
func (s *silentStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Since(s.began))
	return len(s.calls)
}

func (s *silentStore) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.count() <= s.silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if s.down {
		return nil, errors.New("connection refused")
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("1")), Request: r}, nil
}

// Guards against a silent connection that is found only when its long poll times out, or that
// can't be told apart from a store that is away.
func TestOverdueLongPollIsSentOnANewConnection(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &silentStore{silent: 1, down: down, began: time.Now()}
			client := New(Config{BaseURL: "http://store", CallTimeout: time.Second, Wire: longPollWire(), LongPolls: map[Kind]LongPoll{KindUpstream: {Timeout: timeout}}}, &http.Client{Transport: s}, tally.NoopScope)
			var reported []SilentConnection
			client.OnSilentConnection(func(c SilentConnection) { reported = append(reported, c) })
			errStop := errors.New("enough")
			var at time.Duration
			err := client.Watch(t.Context(), ShareConfiguration, KindUpstream, "0", func(Event) error {
				at = time.Since(s.began)
				return errStop
			})
			if len(s.calls) != 2 || s.calls[1] != timeout+pollOverdue || s.closed == 0 {
				t.Errorf("down %t: calls at %v, idle connections closed %d times", down, s.calls, s.closed)
			}
			if down {
				if !IsAmbiguous(err) || time.Since(s.began) != timeout+time.Second || len(reported) > 0 {
					t.Errorf("store away: got %v after %v, reported %v", err, time.Since(s.began), reported)
				}
				return
			}
			if !errors.Is(err, errStop) || at != timeout+pollOverdue {
				t.Errorf("silent connection: got %v after %v", err, at)
			}
			if len(reported) != 1 || reported[0].Kind != KindUpstream || reported[0].After != timeout+pollOverdue {
				t.Errorf("silent connection: reported %+v", reported)
			}
		})
	}
}
