package platform

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// epochStore responds to lists and long polls with the epoch in a header. Its polls respond at
// their time-out, unless the store has changed before.
type epochStore struct {
	mu       sync.Mutex
	epoch    int
	revision int
	// pageEpochs are the epochs of the following responses to lists; epoch once they are used up.
	pageEpochs []int
	lists      int
	// broken is closed to break the polls in progress.
	broken chan struct{}
}

func (s *epochStore) set(epoch, revision int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.revision = epoch, revision
}

func (s *epochStore) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := strconv.Itoa(s.revision)
	epoch := s.epoch
	query, broken := r.URL.Query(), s.broken
	if wait, _ := time.ParseDuration(query.Get("wait")); wait > 0 {
		after := query.Get("after")
		s.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-broken:
			s.mu.Lock()
			return nil, io.ErrUnexpectedEOF
		case <-r.Context().Done():
			s.mu.Lock()
			return nil, r.Context().Err()
		}
		s.mu.Lock()
		if epoch, body = s.epoch, strconv.Itoa(s.revision); after == body {
			body = "0"
		}
	} else {
		s.lists++
		if len(s.pageEpochs) > 0 {
			epoch, s.pageEpochs = s.pageEpochs[0], s.pageEpochs[1:]
			body += " more"
		}
	}
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Epoch": {strconv.Itoa(epoch)}}, Body: io.NopCloser(strings.NewReader(body)), Request: r}
	return resp, nil
}

func (s *epochStore) client() *Client {
	w := longPollWire()
	w.Epoch = func(h http.Header) uint64 {
		n, _ := strconv.ParseUint(h.Get("Epoch"), 10, 64)
		return n
	}
	w.ListQuery = func(string) url.Values { return nil }
	w.DecodeList = func(_ Kind, b []byte) (List, string, error) {
		revision, more, _ := strings.Cut(string(b), " ")
		return List{ResourceVersion: revision, Items: []Object{{Name: "o", ResourceVersion: revision}}}, more, nil
	}
	polls := map[Kind]LongPoll{KindUpstream: {Timeout: time.Second}, KindInstance: {Timeout: 10 * time.Second}}
	return New(Config{BaseURL: "http://store", Wire: w, LongPolls: polls}, &http.Client{Transport: s}, tally.NoopScope)
}

// Guards against changes that a watch misses because its revision was given out again after the
// store returned to an earlier state, and against kinds that learn of it only when their long
// poll ends.
func TestWatchesListAgainWhenAnEpochBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &epochStore{epoch: 1, revision: 7}
		c := s.client()
		var changes []EpochChange
		c.OnEpoch(func(change EpochChange) { changes = append(changes, change) })
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		var mu sync.Mutex
		listed := make(map[Kind]List)
		for i, kind := range []Kind{KindUpstream, KindInstance} {
			r := NewReflector(c, ShareConfiguration, kind, func(l List) {
				mu.Lock()
				defer mu.Unlock()
				listed[kind] = l
			}, func(Event) {}, rand.New(rand.NewPCG(1, uint64(i))), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
			r.SetBackoff(100*time.Millisecond, 600*time.Millisecond)
			wg.Go(func() { r.Run(ctx) })
		}
		time.Sleep(2500 * time.Millisecond)
		s.set(2, 7)
		time.Sleep(1200 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		for kind, l := range listed {
			if l.Epoch != 2 || l.Items[0].Epoch != 2 {
				t.Errorf("%s: the last list is of epoch %d", kind, l.Epoch)
			}
		}
		if len(changes) != 1 || changes[0].Before != 1 || changes[0].After != 2 || changes[0].Kind != KindUpstream {
			t.Errorf("got %+v", changes)
		}
	})
}

// Guards against a return of the store that is noticed only when a long poll ends, because the
// poll that was repeated after a broken connection continues from a revision that the store has.
func TestBrokenPollIsRepeatedWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &epochStore{epoch: 1, revision: 7, broken: make(chan struct{})}
		c := s.client()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		var epoch atomic.Uint64
		r := NewReflector(c, ShareConfiguration, KindInstance, func(l List) { epoch.Store(l.Epoch) }, func(Event) {}, rand.New(rand.NewPCG(1, 2)), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		r.SetBackoff(100*time.Millisecond, 600*time.Millisecond)
		wg.Go(func() { r.Run(ctx) })
		time.Sleep(2 * time.Second)
		s.set(2, 7)
		s.mu.Lock()
		close(s.broken)
		s.broken = nil
		s.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if epoch.Load() != 2 {
			t.Errorf("the last list is of epoch %d", epoch.Load())
		}
	})
}

// Guards against a watch that waits to batch changes when its epoch ends, and then begins again
// from a void version.
func TestEpochEndsBatchDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &epochStore{epoch: 1, revision: 7}
		c := s.client()
		c.longPolls[KindUpstream] = LongPoll{Timeout: time.Second, BatchDelay: time.Minute}
		time.AfterFunc(1500*time.Millisecond, func() {
			s.set(2, 7)
			if _, err := c.List(t.Context(), ShareConfiguration, KindInstance); err != nil {
				t.Error(err)
			}
		})
		if _, err := c.List(t.Context(), ShareConfiguration, KindInstance); err != nil {
			t.Error(err)
		}
		started := time.Now()
		err := c.WatchEpoch(t.Context(), ShareConfiguration, KindUpstream, 1, "6", func(Event) error { return nil })
		if !IsEpochOver(err) || time.Since(started) > 2*time.Second {
			t.Errorf("the watch ended after %v with %v", time.Since(started), err)
		}
	})
}

// Guards against a late response from before the store returned to an earlier state, and
// against a list whose pages are of two states.
func TestResponsesOfAnEndedEpochAreRejected(t *testing.T) {
	s := &epochStore{epoch: 3, revision: 7, pageEpochs: []int{3, 4}}
	c := s.client()
	if _, err := c.List(t.Context(), ShareConfiguration, KindUpstream); !IsEpochOver(err) {
		t.Errorf("a list of two epochs: %v", err)
	}
	if _, err := c.List(t.Context(), ShareConfiguration, KindUpstream); !IsEpochOver(err) || !IsAmbiguous(err) {
		t.Errorf("a list of epoch 3 after a response of epoch 4: %v", err)
	}
	s.set(4, 7)
	if l, err := c.List(t.Context(), ShareConfiguration, KindUpstream); err != nil || l.Epoch != 4 {
		t.Errorf("epoch %d, %v", l.Epoch, err)
	}
	if err := c.WatchEpoch(t.Context(), ShareConfiguration, KindUpstream, 3, "7", func(Event) error { return nil }); !IsEpochOver(err) {
		t.Errorf("a watch that continues from epoch 3: %v", err)
	}
}

// Guards against changes of one reply to a long poll that are applied one by one, and against
// changes of a streamed watch, which has no replies, that wait for a bookmark.
func TestChangesOfOneReplyAreAppliedTogether(t *testing.T) {
	for _, longPolling := range []bool{false, true} {
		w := KubernetesWire("n")
		w.UsesLongPolling = longPolling
		c := New(Config{BaseURL: "http://store", Wire: w}, http.DefaultClient, tally.NoopScope)
		applied, together := 0, 0
		r := NewReflector(c, ShareConfiguration, KindUpstream, func(List) {}, func(Event) { applied++ }, rand.New(rand.NewPCG(1, 1)), &log.Logger{})
		r.GatherChanges(func(events []Event) { together += len(events) * len(events) })
		for _, event := range []EventType{EventModified, EventDeleted, EventBookmark, EventBookmark} {
			if err := r.handle(Event{Type: event}); err != nil {
				t.Fatal(err)
			}
		}
		if want := map[bool][2]int{false: {2, 0}, true: {0, 4}}[longPolling]; applied != want[0] || together != want[1] {
			t.Errorf("with long polls %v, %d changes were applied alone; the squares of the others are %d", longPolling, applied, together)
		}
	}
}
