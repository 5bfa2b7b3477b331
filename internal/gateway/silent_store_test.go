package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// connStore is a store with long polling, with the connections of one client to it. Like an
// http.Transport, it sends a call on an idle connection if there is one.
type connStore struct {
	mu       sync.Mutex
	revision int
	// removedAt is when the upstream u1 was removed: its revision, or 0.
	removedAt int
	down      bool
	idle      []*storeConn
	all       []*storeConn
}

type storeConn struct{ silent bool }

func (s *connStore) connect() *storeConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.idle); n > 0 {
		c := s.idle[n-1]
		s.idle = s.idle[:n-1]
		return c
	}
	c := &storeConn{}
	s.all = append(s.all, c)
	return c
}

// CloseIdleConnections is what http.Client.CloseIdleConnections calls.
func (s *connStore) CloseIdleConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = nil
}

// silence makes all open connections silent. New ones work.
func (s *connStore) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.all {
		c.silent = true
	}
}

func (s *connStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *connStore) removeFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removedAt = s.revision
}

// storeReply is the body of a list or of a long poll.
type storeReply struct {
	Revision int
	Names    []string
	Removed  bool
}

func (s *connStore) reply(r *http.Request, c *storeConn, since string) (reply storeReply, isDue, isSilent, isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Revision = s.revision
	if strings.HasSuffix(r.URL.Path, string(platform.KindUpstream)) {
		if known, err := strconv.Atoi(since); err == nil {
			reply.Removed = s.removedAt > known
		} else if s.removedAt == 0 {
			reply.Names = []string{"u1", "u2"}
		} else {
			reply.Names = []string{"u2"}
		}
	}
	return reply, since == "" || reply.Removed, c.silent, s.down
}

func (s *connStore) RoundTrip(r *http.Request) (*http.Response, error) {
	c := s.connect()
	query := r.URL.Query()
	wait, _ := time.ParseDuration(query.Get("wait"))
	end := time.Now().Add(wait)
	for {
		reply, isDue, isSilent, isDown := s.reply(r, c, query.Get("after"))
		switch {
		case isDown:
			return nil, errors.New("connection refused")
		case !isSilent && (isDue || !time.Now().Before(end)):
			b, _ := json.Marshal(reply)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.idle = append(s.idle, c)
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(b))), Request: r}, nil
		}
		select {
		case <-time.After(time.Millisecond):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// connStoreWire is the format of connStore.
func connStoreWire() platform.Wire {
	spec, _ := json.Marshal(testUpstream("1"))
	object := func(kind platform.Kind, name string, revision int) platform.Object {
		return platform.Object{Kind: kind, Name: name, ResourceVersion: strconv.Itoa(revision), Spec: spec}
	}
	w := platform.KubernetesWire("n")
	w.UsesLongPolling = true
	w.WatchQuery = func(version string, timeout time.Duration) url.Values {
		return url.Values{"after": {version}, "wait": {timeout.String()}}
	}
	w.DecodeList = func(kind platform.Kind, b []byte) (platform.List, string, error) {
		var reply storeReply
		err := json.Unmarshal(b, &reply)
		list := platform.List{ResourceVersion: strconv.Itoa(reply.Revision)}
		for _, name := range reply.Names {
			list.Items = append(list.Items, object(kind, name, reply.Revision))
		}
		return list, "", err
	}
	w.DecodeChanges = func(kind platform.Kind, b []byte) ([]platform.Event, string, error) {
		var reply storeReply
		err := json.Unmarshal(b, &reply)
		var events []platform.Event
		if reply.Removed {
			events = append(events, platform.Event{Type: platform.EventDeleted, Object: object(kind, "u1", reply.Revision)})
		}
		return events, strconv.Itoa(reply.Revision), err
	}
	return w
}

// withConnStore runs a test with a syncer that has read the store and polls it.
func withConnStore(t *testing.T, test func(t *testing.T, s *connStore, syncer *CatalogSyncer, logs *lockedBuffer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &connStore{revision: 7}
		client := platform.New(platform.Config{BaseURL: "http://store", CallTimeout: 900 * time.Millisecond, Wire: connStoreWire(), LongPolls: LongPolls()}, &http.Client{Transport: s}, tally.NoopScope)
		logs := &lockedBuffer{}
		syncer := NewCatalogSyncer(client, storeDialect(), catalog.New(), rand.New(rand.NewPCG(1, 2)), &log.Logger{Writer: &log.IOWriter{Writer: logs}})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { syncer.Run(ctx) })
		defer wg.Wait()
		defer cancel()
		time.Sleep(4 * time.Second)
		if n := len(syncer.catalog.AllUpstreams()); n != 2 {
			t.Fatalf("%d upstreams at the start", n)
		}
		test(t, s, syncer, logs)
	})
}

// Guards against requests to an upstream that was removed while the connections to the store
// were silent: they are no outage of the store, in which live upstreams lose their registrations.
// The silence begins at any moment of a long poll; a removal must be known when it may no longer
// excuse anything, 3 s later.
func TestRemovalIsKnownAfterSilentConnections(t *testing.T) {
	const excused = 3 * time.Second
	for offset := time.Duration(0); offset < 1800*time.Millisecond; offset += 150 * time.Millisecond {
		withConnStore(t, func(t *testing.T, s *connStore, syncer *CatalogSyncer, logs *lockedBuffer) {
			time.Sleep(offset)
			s.silence()
			time.Sleep(200 * time.Millisecond)
			s.removeFirst()
			time.Sleep(excused - 200*time.Millisecond)
			if n := len(syncer.catalog.AllUpstreams()); n != 1 {
				t.Errorf("silent %v after the start: %d upstreams %v later, want the one that wasn't removed", offset, n, excused)
			}
			if strings.Contains(logs.String(), "store lost") || !strings.Contains(logs.String(), "connection to the store is silent") {
				t.Errorf("silent %v after the start: the log is\n%s", offset, logs.String())
			}
		})
	}
}

// Guards against an outage of the store that is taken for silent connections: registrations
// that expired in it are kept for registrationGrace.
func TestRemovalWaitsAfterAnOutage(t *testing.T) {
	withConnStore(t, func(t *testing.T, s *connStore, syncer *CatalogSyncer, _ *lockedBuffer) {
		s.silence()
		s.setDown(true)
		time.Sleep(4 * time.Second)
		if !syncer.IsStoreLost() {
			t.Error("the store doesn't count as lost")
		}
		s.removeFirst()
		s.setDown(false)
		time.Sleep(1200 * time.Millisecond)
		if n := len(syncer.catalog.AllUpstreams()); n != 2 {
			t.Errorf("%d upstreams within the grace period of the registrations, want 2", n)
		}
		time.Sleep(2 * time.Second)
		if n := len(syncer.catalog.AllUpstreams()); n != 1 {
			t.Errorf("%d upstreams after the grace period, want 1", n)
		}
	})
}
