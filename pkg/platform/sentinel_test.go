package platform

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// sentinelStore replies to long polls of several kinds. Polls that wait when it is silenced get no
// reply; while it is away, it rejects each call.
type sentinelStore struct {
	mu       sync.Mutex
	revision int
	away     bool
	silenced chan struct{}
	calls    int
}

func (s *sentinelStore) locked(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *sentinelStore) RoundTrip(r *http.Request) (*http.Response, error) {
	var silenced chan struct{}
	s.locked(func() { s.calls, silenced = s.calls+1, s.silenced })
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	timeout, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		select {
		case <-silenced:
			<-r.Context().Done()
		default:
		}
		if r.Context().Err() != nil {
			return nil, r.Context().Err()
		}
		status, body, isDue := http.StatusOK, "", false
		s.locked(func() {
			if s.away {
				status = http.StatusServiceUnavailable
			}
			body = strconv.Itoa(s.revision)
			isDue = s.away || s.revision > after || !time.Now().Before(end)
		})
		if isDue {
			return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
		}
	}
}

// withSentinel runs a test with watches of three kinds, of which one is the sentinel if isSet.
// known returns the latest revision that all watches have.
func withSentinel(t *testing.T, isSet bool, test func(s *sentinelStore, known func() int)) {
	synctest.Test(t, func(t *testing.T) {
		s := &sentinelStore{revision: 1, silenced: make(chan struct{})}
		polls := map[Kind]LongPoll{KindUpstream: {Timeout: time.Second, Sentinel: isSet}, KindConfiguration: {Timeout: 30 * time.Second}, KindInstance: {Timeout: 30 * time.Second}}
		w := longPollWire()
		w.DecodeList = func(_ Kind, b []byte) (List, string, error) { return List{ResourceVersion: string(b)}, "", nil }
		c := New(Config{BaseURL: "http://store", Wire: w, LongPolls: polls, CallTimeout: time.Second}, &http.Client{Transport: s}, tally.NoopScope)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		var mu sync.Mutex
		versions := make(map[Kind]int)
		for kind := range polls {
			r := NewReflector(c, ShareConfiguration, kind, func(List) {}, func(e Event) {
				mu.Lock()
				defer mu.Unlock()
				versions[kind], _ = strconv.Atoi(e.Object.ResourceVersion)
			}, rand.New(rand.NewPCG(1, 1)), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
			r.SetBackoff(100*time.Millisecond, 600*time.Millisecond)
			wg.Go(func() { r.Run(ctx) })
		}
		time.Sleep(500 * time.Millisecond)
		test(s, func() int {
			mu.Lock()
			defer mu.Unlock()
			return min(versions[KindUpstream], versions[KindConfiguration], versions[KindInstance])
		})
	})
}

// Guards against a change that a watch with a long time-out misses, because its connection became
// silent or its poll was lost in an outage.
func TestSentinelFindsSilentConnectionsForAll(t *testing.T) {
	withSentinel(t, true, func(s *sentinelStore, known func() int) {
		s.locked(func() {
			close(s.silenced)
			s.silenced = make(chan struct{})
			s.revision = 2
		})
		if time.Sleep(time.Second + pollOverdue + 100*time.Millisecond); known() != 2 {
			t.Errorf("revision %d is known to all watches", known())
		}
	})
}

// Guards against calls of all watches to a store that turns this process away, which are priced,
// and against watches that resume late when it serves again.
func TestOnlySentinelTriesWhileStoreIsAway(t *testing.T) {
	const away = 10 * time.Second
	calls := make(map[bool]int)
	for _, isSet := range []bool{false, true} {
		withSentinel(t, isSet, func(s *sentinelStore, known func() int) {
			s.locked(func() { s.away, s.calls = true, 0 })
			time.Sleep(away)
			s.locked(func() { s.away, s.revision, calls[isSet] = false, 2, s.calls })
			if time.Sleep(700 * time.Millisecond); known() != 2 {
				t.Errorf("with sentinel %v, revision %d is known to all watches", isSet, known())
			}
		})
	}
	t.Logf("%d calls in %v, %d without a sentinel", calls[true], away, calls[false])
	if calls[true] > calls[false]*2/3 {
		t.Errorf("%d calls in %v, %d without a sentinel", calls[true], away, calls[false])
	}
}

// Guards against watches that wait for the sentinel after the end of an epoch, which came with a
// response of the store.
func TestEndOfAnEpochDoesntWaitForTheSentinel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lists := 0
		r := &Reflector{
			kind: KindEvacuation, rng: rand.New(rand.NewPCG(1, 2)), logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			minDelay: 100 * time.Millisecond, maxDelay: time.Second, delayBound: 100 * time.Millisecond,
			list: func(context.Context) (List, error) {
				lists++
				return List{ResourceVersion: "1"}, nil
			},
			wait:    func(context.Context) { time.Sleep(maxSentinelWait) },
			replace: func(List) {},
		}
		r.watch = func(ctx context.Context, _ uint64, _ string, _ func(Event) error) error {
			if lists == 1 {
				return &EpochError{Epoch: 1, Newest: 2}
			}
			<-ctx.Done()
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		r.Run(ctx)
		if lists != 2 {
			t.Errorf("%d lists half a second after the end of the epoch, want 2", lists)
		}
	})
}
