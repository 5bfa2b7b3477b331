package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

const (
	// restartTime is how long a crashed engine is down.
	restartTime = 3 * time.Second
	// contactTime is the time after the fifth crash after which at most maxLateCrashes requests
	// with a part that crashes engines may reach one, by the platform's rules.
	contactTime    = 3 * time.Second
	maxLateCrashes = 3
)

// crashingFleet is a number of gateways in front of engines that crash when they begin to
// write an answer to a prompt with a deadly part.
type crashingFleet struct {
	gateways []*fixture
	network  *pipe.Network
	deadly   []string
	// survives is set if only the connection of a request with a deadly part breaks.
	survives bool
	rng      *rand.Rand

	mu      sync.Mutex
	engines []*crashingEngine
	// frozen are the gateways that get no requests and answer no calls.
	frozen  map[*fixture]bool
	crashes []time.Time
	// arrivals are the times at which requests with a deadly part reached an engine.
	arrivals []time.Time
	requests []*fleetRequest
}

// crashingEngine is one engine at an address that stays the same over its restarts.
type crashingEngine struct {
	fleet    *crashingFleet
	upstream catalog.Upstream
	stop     func()
	down     bool
}

// fleetRequest is a request of a caller and what became of it.
type fleetRequest struct {
	sent   time.Time
	took   time.Duration
	deadly bool
	status int
	whole  bool
	body   string
}

// newCrashingFleet starts the gateways, which exchange heartbeats, and the engines.
func newCrashingFleet(t *testing.T, gateways, engines int, deadly ...string) *crashingFleet {
	c := &crashingFleet{network: &pipe.Network{}, deadly: deadly, frozen: make(map[*fixture]bool), rng: rand.New(rand.NewPCG(23, 0))}
	peers := newPeerServices()
	for i := range gateways {
		c.gateways = append(c.gateways, newNamedFixture(t, fmt.Sprint("gateway-", i), fmt.Sprintf("10.0.0.%d:80", i+1), c.network, peers))
	}
	for _, f := range c.gateways {
		c.join(t, f)
	}
	for range engines {
		e := &crashingEngine{fleet: c, upstream: c.gateways[0].upstream(engineService, nil)}
		e.start()
		c.engines = append(c.engines, e)
		for _, f := range c.gateways[1:] {
			f.cat.SetUpstream(e.upstream, at(0))
		}
	}
	time.Sleep(time.Second)
	return c
}

// join makes the gateway and the others known to each other and starts its heartbeats.
func (c *crashingFleet) join(t *testing.T, f *fixture) {
	f.cat.SetConfiguration(testConfiguration(), at(1))
	for _, other := range c.gateways {
		other.roster.Put(f.roster.Self(), time.Now())
		f.roster.Put(other.roster.Self(), time.Now())
	}
	ctx, cancel := context.WithCancel(t.Context())
	f.cleanups = append(f.cleanups, cancel)
	go NewHeartbeats(f.roster, f.stages, &CatalogSyncer{}, f.cat, f.crashes, f.table, f.callPeer, f.logger).Run(ctx)
}

// close stops the gateways and, once all engines have restarted, these.
func (c *crashingFleet) close() {
	for _, f := range c.gateways {
		f.close()
	}
	time.Sleep(2 * restartTime)
	c.mu.Lock()
	for _, e := range c.engines {
		e.stop()
	}
	c.mu.Unlock()
	time.Sleep(2 * restartTime)
}

// start begins to serve. The caller holds the fleet's mu, once other goroutines use the engine.
func (e *crashingEngine) start() {
	e.stop = e.fleet.network.Serve(e.upstream.Address, e)
}

// reconnect closes all connections of the engine, which serves on.
func (e *crashingEngine) reconnect() {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if !e.down {
		e.stop()
		e.start()
	}
}

// crash closes all connections of the engine, which is back after restartTime.
func (e *crashingEngine) crash() {
	c := e.fleet
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.stop()
	time.AfterFunc(restartTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		e.down = false
		e.start()
	})
}

func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	deadly := slices.ContainsFunc(strings.Fields(r.Header.Get(testParts)), func(id string) bool { return slices.Contains(e.fleet.deadly, id) })
	if deadly {
		e.fleet.mu.Lock()
		e.fleet.arrivals = append(e.fleet.arrivals, time.Now())
		e.fleet.mu.Unlock()
	}
	time.Sleep(60 * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	respond(w, r, http.StatusOK, "id: 0\n")
	_ = http.NewResponseController(w).Flush()
	if deadly {
		e.fleet.mu.Lock()
		e.fleet.crashes = append(e.fleet.crashes, time.Now())
		e.fleet.mu.Unlock()
		if !e.fleet.survives {
			e.crash()
		}
		panic(http.ErrAbortHandler)
	}
	for i := range 8 {
		if _, err := fmt.Fprintf(w, "\nid: %d\n", i+1); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = io.WriteString(w, "\n")
}

// run sends a request every 16 ms for the time, to the gateways at random. One in twenty
// requests has a deadly part beside the parts of sound requests.
func (c *crashingFleet) run(t *testing.T, span time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(16 * time.Millisecond) {
		q := &fleetRequest{sent: time.Now()}
		c.requests = append(c.requests, q)
		parts := []string{"common", fmt.Sprint("subject-", c.rng.IntN(12)), fmt.Sprint("own-", len(c.requests))}
		if len(c.deadly) > 0 && c.rng.IntN(20) == 0 {
			q.deadly = true
			parts = slices.Insert(parts, 1, c.deadly[c.rng.IntN(len(c.deadly))])
		}
		f := c.pickGateway()
		id := fmt.Sprint("r", len(c.requests))
		wg.Go(func() {
			resp, body, err := f.send(t.Context(), callerRequest{path: "/stream/x", id: id, remaining: 2 * time.Second, header: http.Header{testParts: {strings.Join(parts, " ")}}})
			q.took, q.body, q.whole = time.Since(q.sent), body, err == nil
			if resp != nil {
				q.status = resp.StatusCode
			}
		})
	}
	wg.Wait()
}

// pickGateway returns a gateway that isn't frozen.
func (c *crashingFleet) pickGateway() *fixture {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if f := c.gateways[c.rng.IntN(len(c.gateways))]; !c.frozen[f] {
			return f
		}
	}
}

// freeze makes the gateway silent for the time.
func (c *crashingFleet) freeze(f *fixture, span time.Duration) {
	address := f.roster.Self().Address
	service := f.peers.get(address)
	c.setFrozen(f, true)
	f.peers.put(address, nil)
	time.Sleep(span)
	f.peers.put(address, service)
	c.setFrozen(f, false)
}

func (c *crashingFleet) setFrozen(f *fixture, frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen[f] = frozen
}

// checkContained checks that few requests with a deadly part reach engines later than
// contactTime after the fifth crash, that those that don't are refused at once, and that sound
// ones go on.
func (c *crashingFleet) checkContained(t *testing.T) {
	t.Helper()
	if len(c.crashes) < 3 {
		t.Fatalf("%d crashes; the test needs some", len(c.crashes))
	}
	fifth := c.crashes[min(4, len(c.crashes)-1)]
	late := 0
	for _, at := range c.arrivals {
		if at.Sub(fifth) > contactTime {
			late++
		}
	}
	if late > maxLateCrashes {
		t.Errorf("%d requests with a deadly part reached engines later than %v after the fifth crash; %d crashes", late, contactTime, len(c.crashes))
	}
	sound, served, refused := 0, 0, 0
	for _, q := range c.requests {
		if q.sent.Sub(fifth) < 2*contactTime {
			continue
		}
		switch {
		case q.deadly && q.status == http.StatusServiceUnavailable:
			refused++
			if q.took > 10*time.Millisecond || !strings.Contains(q.body, "crashed") {
				t.Errorf("a request with a deadly part was refused after %v with %q", q.took, q.body)
			}
		case !q.deadly:
			sound++
			if q.status == http.StatusOK && q.whole {
				served++
			}
		}
	}
	if refused == 0 {
		t.Error("no request with a deadly part was refused")
	}
	if served*100 < sound*98 {
		t.Errorf("%d of %d sound requests were served", served, sound)
	}
}

// Guards against requests with a part that crashes engines, which take down one engine after
// the other, because nothing relates the crashes to what the requests have in common.
func TestPartThatCrashesUpstreamsIsContained(t *testing.T) {
	for name, deadly := range map[string][]string{"one part": {"deadly"}, "two parts": {"deadly", "mortal"}} {
		for _, gateways := range []int{1, 4} {
			t.Run(fmt.Sprint(name, ", ", gateways, " gateways"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCrashingFleet(t, gateways, 16, deadly...)
					defer c.close()
					c.run(t, 20*time.Second)
					c.checkContained(t)
				})
			})
		}
	}
}

// Guards against a part that goes on crashing engines through a gateway that was frozen, or that
// the others can't reach, while these learnt of it.
func TestPartIsContainedBesideFrozenAndUnreachableGateways(t *testing.T) {
	for name, disturb := range map[string]func(c *crashingFleet){
		"frozen": func(c *crashingFleet) { c.freeze(c.gateways[0], 4*time.Second) },
		"unreachable for good": func(c *crashingFleet) {
			f := c.gateways[0]
			f.peers.put(f.roster.Self().Address, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrashingFleet(t, 4, 16, "deadly")
				defer c.close()
				go disturb(c)
				c.run(t, 20*time.Second)
				c.checkContained(t)
			})
		})
	}
}

// Guards against a gateway that joins and crashes further engines until it has found the part
// itself.
func TestNewGatewayLearnsWhatIsInQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashingFleet(t, 3, 16, "deadly")
		defer c.close()
		c.run(t, 6*time.Second)
		joined := newNamedFixture(t, "gateway-9", "10.0.0.9:80", c.network, c.gateways[0].peers)
		for _, e := range c.engines {
			joined.cat.SetUpstream(e.upstream, at(0))
		}
		c.join(t, joined)
		time.Sleep(time.Second)
		before := len(c.crashes)
		c.gateways = append(c.gateways, joined)
		c.run(t, 6*time.Second)
		if n := len(c.crashes); n > before {
			t.Errorf("%d engines crashed after a gateway joined", n-before)
		}
		if states := joined.crashes.States(); len(states) != 1 || !slices.Contains(states[0].Parts, "deadly") {
			t.Errorf("the new gateway knows %+v", states)
		}
	})
}

// Guards against sound requests that are refused because engines crash for another cause: one
// after the other, several at once, or only their connections break.
func TestOtherCrashesPutNoPartInQuarantine(t *testing.T) {
	for name, disturb := range map[string]func(c *crashingFleet, i int){
		"one after the other": func(c *crashingFleet, i int) { c.engines[i%len(c.engines)].crash() },
		"several at once": func(c *crashingFleet, i int) {
			for j := range 4 {
				c.engines[(4*i+j)%len(c.engines)].crash()
			}
		},
		"broken connections": func(c *crashingFleet, i int) { c.engines[i%len(c.engines)].reconnect() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrashingFleet(t, 4, 16)
				defer c.close()
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					for i := 0; ctx.Err() == nil; i++ {
						time.Sleep(400 * time.Millisecond)
						disturb(c, i)
					}
				}()
				c.run(t, 15*time.Second)
				cancel()
				time.Sleep(time.Second)
				for _, f := range c.gateways {
					if states := f.crashes.States(); len(states) > 0 {
						t.Errorf("in quarantine: %+v", states)
					}
				}
				refused := 0
				for _, q := range c.requests {
					if strings.Contains(q.body, reasonQuarantined) {
						refused++
					}
				}
				if refused > 0 {
					t.Errorf("%d sound requests were refused for their prompts", refused)
				}
			})
		})
	}
}

// Guards against a part in quarantine whose requests break their connections only: the engines
// serve on, so that it harms nobody else.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashingFleet(t, 2, 8, "spoilt")
		defer c.close()
		c.survives = true
		c.run(t, 5*time.Second)
		for _, f := range c.gateways {
			if states := f.crashes.States(); len(states) > 0 {
				t.Errorf("in quarantine: %+v", states)
			}
		}
	})
}

// Guards against a part that is confined although another gateway had whole responses with it
// between the crashes.
func TestOtherGatewaysAreAskedBeforeAPartIsConfined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashingFleet(t, 2, 4)
		defer c.close()
		table := c.gateways[0].crashes.table
		for i := range 3 {
			time.Sleep(10 * time.Second)
			table.RecordCrash(time.Now(), quarantine.Crash{Service: engineService, Upstream: fmt.Sprint(i), At: time.Now(), Prompts: [][]string{{"rare", "own"}}})
			table.RecordSuccess(time.Now(), engineService, []string{"common", "own"})
			if i < 2 {
				time.Sleep(5 * time.Second)
				c.gateways[1].crashes.RecordSuccess(engineService, []string{"common", "rare", "own"})
			}
		}
		if len(table.Suspects(time.Now())) == 0 {
			t.Fatal("the gateway has no suspect; the test needs one")
		}
		c.gateways[0].crashes.decide()
		if states := table.States(time.Now()); len(states) > 0 {
			t.Errorf("in quarantine: %+v", states)
		}
	})
}

// Guards against a request that is sent because its prompt was not in quarantine when it
// arrived, before it waited for its stages.
func TestPromptIsCheckedBeforeItIsSent(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		engine := &countingUpstream{}
		f.upstream(engineService, engine)
		f.upstream(stageService, &stageUpstream{delay: 200 * time.Millisecond})
		time.AfterFunc(100*time.Millisecond, func() {
			f.crashes.table.Confine(time.Now(), quarantine.Suspect{Service: engineService, Parts: []string{"deadly"}, Crashes: 3})
		})
		header := http.Header{testPieces: {"1 1 1"}, testPieceKey: {"k"}, testParts: {"common deadly own"}}
		resp, body, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", remaining: 2 * time.Second, header: header})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, reasonQuarantined) || engine.count() > 0 {
			t.Errorf("got %+v, %q, %v after %d runs, want a refusal before the first", resp, body, err, engine.count())
		}
	})
}
