package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// heldStore answers held watches of changes that come at set times.
type heldStore struct {
	started time.Time
	changes []time.Duration
	waits   []time.Duration
}

func (s *heldStore) RoundTrip(r *http.Request) (*http.Response, error) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	s.waits = append(s.waits, wait)
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
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

func heldWire() Wire {
	w := KubernetesWire("test")
	w.UsesLongPolling = true
	w.WatchQuery = func(version string, hold time.Duration) url.Values {
		return url.Values{"after": {version}, "wait": {hold.String()}}
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

// Guards against a call for each of many changes that come together, which the platform
// counts, and against a kind that isn't held for its own time.
func TestChangesThatComeTogetherCostOneCall(t *testing.T) {
	for _, c := range []struct {
		gather time.Duration
		calls  int
	}{{gather: 0, calls: 4}, {gather: 100 * time.Millisecond, calls: 2}} {
		synctest.Test(t, func(t *testing.T) {
			s := &heldStore{started: time.Now(), changes: []time.Duration{500 * time.Millisecond, 520 * time.Millisecond, 540 * time.Millisecond, 590 * time.Millisecond}}
			client := New(Config{BaseURL: "http://store", Wire: heldWire(), LongPolls: map[Kind]LongPoll{KindUpstream: {Timeout: 3 * time.Second, BatchDelay: c.gather}}}, &http.Client{Transport: s}, tally.NoopScope)
			enough := errors.New("enough")
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			err := client.Watch(ctx, ShareConfiguration, KindUpstream, "0", func(e Event) error {
				if e.Object.ResourceVersion == "4" {
					return enough
				}
				return nil
			})
			if !errors.Is(err, enough) || len(s.waits) != c.calls {
				t.Errorf("gather %v: %d calls, want %d; %v", c.gather, len(s.waits), c.calls, err)
			}
			if took := time.Since(s.started); took > 700*time.Millisecond {
				t.Errorf("gather %v: the last change came after %v", c.gather, took)
			}
			if s.waits[0] != 3*time.Second {
				t.Errorf("held for %v", s.waits[0])
			}
		})
	}
}
