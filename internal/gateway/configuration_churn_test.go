package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// churn changes everything in the configuration that a request in progress may depend on:
// routes, services, stages, keys, times and limits.
func churn(rng *rand.Rand, version int64) catalog.Configuration {
	cfg := testConfiguration()
	cfg.Version = version
	cfg.Limits.IdleTimeout = time.Duration(rng.IntN(4)) * time.Second
	cfg.Limits.BodyBytes = int64(rng.IntN(3)) << 10
	cfg.Limits.HeaderBytes = rng.IntN(2) << 14
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		r.Timeout = time.Duration(100+rng.IntN(3000)) * time.Millisecond
		r.Objective = time.Duration(100+rng.IntN(1000)) * time.Millisecond
		if rng.IntN(6) == 0 {
			r.Targets = []catalog.Target{{Service: "unknown", Weight: 1}}
		}
		if len(r.Stages) > 0 {
			r.Stages = r.Stages[:rng.IntN(len(r.Stages)+1)]
		}
	}
	cfg.Routes = slices.DeleteFunc(cfg.Routes, func(catalog.Route) bool { return rng.IntN(5) == 0 })
	cfg.Services = slices.DeleteFunc(cfg.Services, func(catalog.Service) bool { return rng.IntN(8) == 0 })
	if rng.IntN(4) == 0 {
		cfg.Organisations = []catalog.Organisation{{Name: "other", Keys: []string{"other"}}}
	}
	return cfg
}

// readLog records what a server reads from its connections.
type readLog struct {
	net.Listener
	// afterRead is called after bytes were read and before the reader has them.
	afterRead func()
	mu        sync.Mutex
	read      strings.Builder
}

func (l *readLog) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &loggedConn{Conn: c, log: l}, err
}

// hasRead reports whether the text was read, possibly in parts of one connection.
func (l *readLog) hasRead(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.read.String(), text)
}

type loggedConn struct {
	net.Conn
	log *readLog
}

func (c *loggedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.log.afterRead()
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.log.read.Write(b[:n])
	return n, err
}

// Guards against a whole request that gets neither an answer nor a refusal at any point of a
// change of the configuration: it is read, waits for a stage or is answered while its route,
// its services, its key or the limits change.
func TestEveryRequestBesideConfigurationsIsAnswered(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			f := newConfiguredFixture(t)
			defer f.close()
			slow := func(w http.ResponseWriter, r *http.Request) {
				delay, _ := strconv.Atoi(r.Header.Get("Delay-Ms"))
				time.Sleep(time.Duration(delay) * time.Millisecond)
				respond(w, r, http.StatusOK, "id: 1\n\n")
			}
			f.upstream(stageService, &stageUpstream{delay: 50 * time.Millisecond})
			f.upstream(engineService, &countingUpstream{handler: slow})
			f.upstream(plainService, &countingUpstream{handler: slow})
			idleTimeout := func() time.Duration { return f.cat.View().Limits().IdleTimeout }
			s := newTrackedServer(t, f.Gateway, idleTimeout, func(idle *IdleConns, state http.ConnState) {
				if state == http.StateActive {
					idle.Sweep(t.Context())
				}
			})
			reads := &readLog{Listener: s.listener, afterRead: func() { s.idle.Sweep(t.Context()) }}
			go func() { _ = s.Serve(s.idle.Listener(reads)) }()
			transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return s.listener.Dial(ctx, network, address)
			}, MaxIdleConnsPerHost: 100, IdleConnTimeout: 12 * time.Second}
			defer transport.CloseIdleConnections()
			end := time.Now().Add(20 * time.Second)
			var wg sync.WaitGroup
			var requests, crossed atomic.Int64
			for n := range 20 {
				callerRNG := rand.New(rand.NewPCG(seed, uint64(n+1)))
				wg.Go(func() {
					for i := 0; time.Now().Before(end); i++ {
						time.Sleep(time.Duration(callerRNG.IntN(3000)) * time.Millisecond)
						id := fmt.Sprintf("r%d-%d", n, i)
						err := sendWhole(t.Context(), transport, callerRNG, id)
						// A request may cross the close of its connection if it isn't read.
						if err != nil && reads.hasRead(lastBytes(id)) {
							t.Errorf("seed %d: %v", seed, err)
						}
						requests.Add(1)
						if err != nil {
							crossed.Add(1)
						}
					}
				})
			}
			for version := int64(2); time.Now().Before(end); version++ {
				time.Sleep(time.Duration(1+rng.IntN(400)) * time.Millisecond)
				f.cat.SetConfiguration(churn(rng, version), at(uint64(version)))
				s.idle.Sweep(t.Context())
			}
			wg.Wait()
			if crossed.Load()*50 > requests.Load() {
				t.Errorf("seed %d: %d of %d requests crossed the close of their connection", seed, crossed.Load(), requests.Load())
			}
			time.Sleep(10 * time.Second) // until the upstreams' handlers have ended
			if strings.Contains(f.logs.String(), "panic") {
				t.Errorf("seed %d: a request panicked", seed)
			}
		})
	}
}

// lastBytes returns the end of the body of the request, by which it is found in a readLog.
func lastBytes(id string) string { return "<end of " + id + ">" }

// sendWhole sends a whole request and returns an error if it gets no complete response before
// its time is over.
func sendWhole(ctx context.Context, transport *http.Transport, rng *rand.Rand, id string) error {
	const remaining = 4 * time.Second
	path := []string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x", "/staged/x"}[rng.IntN(5)]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://host"+path, strings.NewReader(strings.Repeat("b", rng.IntN(3000))+lastBytes(id)))
	if err != nil {
		return err
	}
	r.GetBody = nil // the transport sends a request once
	for name, value := range map[string]string{testID: id, testKey: "key", testRemaining: strconv.FormatInt(remaining.Milliseconds(), 10), testPieces: "1 1 1", testPieceKey: "k", "Delay-Ms": strconv.Itoa(rng.IntN(400))} {
		r.Header.Set(name, value)
	}
	started := time.Now()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return fmt.Errorf("%s of %s got no answer after %v: %w", id, path, time.Since(started), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("%s of %s got an incomplete answer %d after %v: %w", id, path, resp.StatusCode, time.Since(started), err)
	}
	return nil
}
