package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

const (
	oldVersion   = "v1"
	newVersion   = "v2"
	rolloutTime  = 8 * time.Second
	rolloutShare = 0.1
	rolloutSlack = 50
)

// testOrder is an order in the store.
type testOrder struct {
	To       string        `json:"to"`
	Duration time.Duration `json:"duration"`
}

func withRolloutOrders(f *fixture) {
	f.dialect.Rollout = func(name string, spec, status []byte) rollout.Order {
		var order testOrder
		o := rollout.Order{Service: name, Name: name}
		if json.Unmarshal(spec, &order) != nil || order.Duration <= 0 {
			o.Invalid = "malformed"
		}
		o.To, o.Duration = order.To, order.Duration
		_ = json.Unmarshal(status, &o.Status)
		return o
	}
	f.dialect.RolloutStatus = func(s rollout.Status) ([]byte, error) { return json.Marshal(s) }
}

// rolloutFleet is a fleet of gateways, whose plain service has old and new upstreams, and a store.
type rolloutFleet struct {
	t        *testing.T
	store    *store.Server
	client   *platform.Client
	gateways []*rolloutGateway
	answer   func(version string, w http.ResponseWriter, r *http.Request)

	mu sync.Mutex
	// requests are the times of requests by version, running those in progress, bad the times of
	// bad answers, and failed the callers' requests without an answer.
	requests map[string][]time.Time
	running  map[string]int
	bad      []time.Time
	broken   int
	ordered  time.Time
}

// rolloutGateway is one gateway, whose own work can be stopped and go on.
type rolloutGateway struct {
	*fixture
	rollouts *Rollouts
	stop     context.CancelFunc
	done     *sync.WaitGroup
}

// withRolloutFleet runs a test with the gateways, once they have served for a while.
func withRolloutFleet(t *testing.T, gateways int, answer func(version string, w http.ResponseWriter, r *http.Request), test func(f *rolloutFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &rolloutFleet{t: t, store: store.New(store.Config{}), requests: make(map[string][]time.Time), running: make(map[string]int), answer: answer}
		hc, closeStore := store.Pipe(f.store)
		defer closeStore()
		f.client = platform.New(platform.Config{BaseURL: store.PipeURL, Namespace: "n"}, hc, tally.NoopScope)
		network, peers := &pipe.Network{}, newPeerServices()
		for i := range gateways {
			f.gateways = append(f.gateways, f.newGateway(i, network, peers))
		}
		for _, g := range f.gateways {
			for _, other := range f.gateways {
				g.roster.Put(other.roster.Self(), time.Now())
			}
			g.start()
			defer g.halt()
		}
		f.addUpstreams(network, oldVersion, 4)
		time.Sleep(5 * time.Second)
		test(f)
	})
}

func (f *rolloutFleet) newGateway(i int, network *pipe.Network, peers *peerServices) *rolloutGateway {
	name, address := fmt.Sprint("gateway-", i), fmt.Sprintf("10.0.0.%d:80", i+1)
	g := &rolloutGateway{fixture: newNamedFixture(f.t, name, address, network, peers)}
	withRolloutOrders(g.fixture)
	hc, closePipe := store.Pipe(f.store)
	g.cleanups = append(g.cleanups, closePipe)
	client := platform.New(platform.Config{BaseURL: store.PipeURL, Namespace: "n", CallTimeout: 900 * time.Millisecond}, hc, tally.NoopScope)
	bounds := rollout.Bounds{Share: rolloutShare, Slack: rolloutSlack}
	g.rollouts = NewRollouts(bounds, client, g.dialect, g.judge, g.table, g.stages, g.roster, rand.New(rand.NewPCG(uint64(i), 1)), g.logger, tally.NoopScope)
	g.cat.OnChange(g.rollouts.Update)
	g.cat.SetConfiguration(testConfiguration(), at(1))
	return g
}

// start begins the gateway's own work.
func (g *rolloutGateway) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop, g.done = cancel, &sync.WaitGroup{}
	g.done.Go(func() { g.rollouts.Run(ctx) })
	g.done.Go(func() {
		NewHeartbeats(g.roster, g.stages, &CatalogSyncer{}, g.cat, g.crashes, g.table, g.callPeer, g.logger).Run(ctx)
	})
	g.peers.put(g.roster.Self().Address, NewService(g.roster, g.stages, &CatalogSyncer{}, g.crashes, g.table))
}

// pause stops the gateway's own work, and its replies to others.
func (g *rolloutGateway) pause() {
	g.stop()
	g.done.Wait()
	g.peers.put(g.roster.Self().Address, nil)
}

func (g *rolloutGateway) halt() {
	g.pause()
	g.close()
}

// addUpstreams registers upstreams of the plain service at all gateways.
func (f *rolloutFleet) addUpstreams(network *pipe.Network, version string, n int) {
	for i := range n {
		u := catalog.Upstream{ID: fmt.Sprintf("%s-%d", version, i), Service: plainService, Version: version, Address: fmt.Sprintf("10.1.%s.%d:80", version[1:], i+1), FailureDomain: "a", Slots: 8}
		stop := network.Serve(u.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(version, w, r) }))
		f.gateways[0].cleanups = append(f.gateways[0].cleanups, stop)
		for _, g := range f.gateways {
			g.cat.SetUpstream(u, at(0))
		}
	}
}

func (f *rolloutFleet) count(version string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[version] += change
	if change > 0 && !f.ordered.IsZero() {
		f.requests[version] = append(f.requests[version], time.Now())
	}
}

func (f *rolloutFleet) serve(version string, w http.ResponseWriter, r *http.Request) {
	f.count(version, 1)
	defer f.count(version, -1)
	f.answer(version, w, r)
}

// sound answers as an upstream of any sound version.
func sound(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	respond(w, r, http.StatusOK, "done")
}

// failing returns answers of which half of the new version's fail from an age on.
func (f *rolloutFleet) failHalf(version string, w http.ResponseWriter, r *http.Request) {
	if version == newVersion && rand.IntN(2) == 0 {
		f.mu.Lock()
		f.bad = append(f.bad, time.Now())
		f.mu.Unlock()
		respond(w, r, http.StatusInternalServerError, "failed")
		return
	}
	sound(w, r)
}

// order writes the order, starts the new upstreams and lets callers send until the end.
func (f *rolloutFleet) order(o testOrder, events map[time.Duration]func(), span time.Duration) {
	spec, err := json.Marshal(o)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.client.Create(f.t.Context(), platform.ShareConfiguration, platform.Object{Kind: platform.KindRollout, Name: plainService, Spec: spec}); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.ordered = time.Now()
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		time.Sleep(300 * time.Millisecond)
		f.addUpstreams(f.gateways[0].net, newVersion, 3)
	})
	for at, do := range events {
		wg.Go(func() {
			time.Sleep(at)
			do()
		})
	}
	for n := 0; ctx.Err() == nil; n++ {
		g := f.gateways[n%len(f.gateways)]
		wg.Go(func() { f.call(g, n) })
		time.Sleep(12 * time.Millisecond)
	}
}

func (f *rolloutFleet) call(g *rolloutGateway, n int) {
	path := "/unsafe/x"
	if n%10 == 0 {
		path = "/safe/x"
	}
	_, _, err := g.send(f.t.Context(), callerRequest{path: path, id: fmt.Sprint("r-", n), remaining: 2 * time.Second})
	if err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.broken++
	}
}

// status returns the order's status in the store.
func (f *rolloutFleet) status() rollout.Status {
	o, err := f.client.Get(f.t.Context(), platform.ShareConfiguration, platform.KindRollout, plainService)
	if platform.IsNotFound(err) {
		return rollout.Status{}
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return f.gateways[0].dialect.Rollout(plainService, o.Spec, o.Status).Status
}

// checkStatus fails the test unless the status has the state.
func (f *rolloutFleet) checkStatus(want rollout.State) {
	f.t.Helper()
	if s := f.status(); s.State != want || s.To != newVersion {
		f.t.Errorf("the status is %+v, want %s", s, want)
	}
}

// checkExposure fails the test if the new version got more than a bad one may, or anything later
// than the time after its 50th bad answer.
func (f *rolloutFleet) checkExposure() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	updated, all := len(f.requests[newVersion]), len(f.requests[newVersion])+len(f.requests[oldVersion])
	if allowed := int(rolloutShare*float64(all)) + rolloutSlack; updated > allowed {
		f.t.Errorf("the new version got %d of %d requests, allowed are %d", updated, all, allowed)
	}
	if len(f.bad) >= 50 {
		f.t.Errorf("the new version gave %d bad answers", len(f.bad))
	}
	f.t.Logf("the new version got %d of %d requests and gave %d bad answers; %d requests got no answer", updated, all, len(f.bad), f.broken)
}

// Guards against a good version that isn't completed in time, and against old upstreams that are
// stopped with requests.
func TestGoodVersionIsCompletedWithNothingLeftOnTheOldOne(t *testing.T) {
	for _, gateways := range []int{1, 3} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			withRolloutFleet(t, gateways, func(_ string, w http.ResponseWriter, r *http.Request) { sound(w, r) }, func(f *rolloutFleet) {
				ctx, cancel := context.WithCancel(f.t.Context())
				defer cancel()
				go func() {
					for ctx.Err() == nil && f.status().State != rollout.Completed {
						time.Sleep(5 * time.Millisecond)
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					if n := f.running[oldVersion]; n > 0 {
						f.t.Errorf("%d requests were left on the old version", n)
					}
					f.requests[oldVersion] = nil
				}()
				f.order(testOrder{To: newVersion, Duration: rolloutTime}, nil, rolloutTime)
				f.checkStatus(rollout.Completed)
				f.mu.Lock()
				defer f.mu.Unlock()
				if len(f.requests[oldVersion]) > 0 || f.broken > 0 {
					f.t.Errorf("the old version got %d requests after the verdict, and %d requests got no answer", len(f.requests[oldVersion]), f.broken)
				}
			})
		})
	}
}

// Guards against a bad version that is kept, by each fault of the gateway that decides or of the
// store.
func TestBadVersionIsRolledBackInSpiteOf(t *testing.T) {
	// decider is the gateway that owns the order.
	decider := func(f *rolloutFleet) *rolloutGateway {
		owner := f.gateways[0].roster.Owner("rollout/" + plainService).Name
		for _, g := range f.gateways {
			if g.roster.Self().Name == owner {
				return g
			}
		}
		return f.gateways[0]
	}
	for name, events := range map[string]func(f *rolloutFleet) map[time.Duration]func(){
		"nothing": func(*rolloutFleet) map[time.Duration]func() { return nil },
		"a decider that ends before its write": func(f *rolloutFleet) map[time.Duration]func() {
			return map[time.Duration]func(){500 * time.Millisecond: decider(f).pause}
		},
		"a decider that ends after its write": func(f *rolloutFleet) map[time.Duration]func() {
			return map[time.Duration]func(){4 * time.Second: decider(f).pause}
		},
		"a lost response to each write": func(f *rolloutFleet) map[time.Duration]func() {
			return map[time.Duration]func(){0: func() { f.store.SetFaults(store.Faults{LoseNextWrites: 4}) }}
		},
		"a store that is slow": func(f *rolloutFleet) map[time.Duration]func() {
			return map[time.Duration]func(){400 * time.Millisecond: func() { f.store.SetFaults(store.Faults{DelayMs: 600}) }}
		},
		"a store that is away": func(f *rolloutFleet) map[time.Duration]func() {
			return map[time.Duration]func(){
				200 * time.Millisecond: func() { f.store.SetFaults(store.Faults{Down: true}) },
				6 * time.Second:        func() { f.store.SetFaults(store.Faults{}) },
			}
		},
		"a decider that is paused through the verdict": func(f *rolloutFleet) map[time.Duration]func() {
			d := decider(f)
			return map[time.Duration]func(){500 * time.Millisecond: d.pause, 6 * time.Second: d.start}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var fleet *rolloutFleet
			answer := func(version string, w http.ResponseWriter, r *http.Request) { fleet.failHalf(version, w, r) }
			withRolloutFleet(t, 3, answer, func(f *rolloutFleet) {
				fleet = f
				f.order(testOrder{To: newVersion, Duration: rolloutTime}, events(f), rolloutTime)
				f.checkStatus(rollout.RolledBack)
				f.checkExposure()
			})
		})
	}
}

// Guards against calls to the store for roll-outs in a deployment that has none.
func TestDeploymentWithoutBoundsAsksForNoOrders(t *testing.T) {
	withRolloutFleet(t, 1, func(_ string, w http.ResponseWriter, r *http.Request) { sound(w, r) }, func(f *rolloutFleet) {
		g := f.gateways[0]
		g.pause()
		f.store.ResetCounters()
		none := NewRollouts(rollout.Bounds{}, f.client, g.dialect, g.judge, g.table, g.stages, g.roster, rand.New(rand.NewPCG(1, 1)), g.logger, tally.NoopScope)
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
		defer cancel()
		none.Run(ctx)
		if calls := f.store.Counters()[string(platform.KindRollout)]; len(calls) > 0 || !none.HasListed() {
			f.t.Errorf("the calls for orders are %v", calls)
		}
	})
}

// Guards against an order that is dropped, and its version left, because the store returned from a
// copy before the order: the operator writes it again within seconds. One that isn't written again
// ends.
func TestOrderOutlivesAStoreThatReturnsOlder(t *testing.T) {
	withRolloutFleet(t, 1, func(_ string, w http.ResponseWriter, r *http.Request) { sound(w, r) }, func(f *rolloutFleet) {
		g := f.gateways[0]
		g.stop()
		g.done.Wait()
		spec, _ := json.Marshal(testOrder{To: newVersion, Duration: time.Minute})
		list := func(epoch uint64, items ...platform.Object) {
			g.rollouts.replaceOrders(platform.List{Epoch: epoch, Items: items, ResourceVersion: "5"})
		}
		list(1, platform.Object{Name: plainService, Spec: spec, ResourceVersion: "4", Epoch: 1})
		f.addUpstreams(g.net, newVersion, 2)
		stage := func() string {
			g.rollouts.tick(f.t.Context(), time.Now())
			return g.rollouts.States(time.Now())[0].Stage
		}
		for range 3 {
			list(2)
			time.Sleep(time.Second)
			if s := stage(); s != "trial" {
				f.t.Fatalf("the stage is %s after the store returned", s)
			}
		}
		time.Sleep(returnedOrderGrace)
		if s := stage(); s != "bad" {
			f.t.Errorf("the stage is %s although the order was not written again", s)
		}
		list(2, platform.Object{Name: plainService, Spec: spec, ResourceVersion: "6", Epoch: 2})
		if s := stage(); s != "trial" {
			f.t.Errorf("the stage is %s although the order was written again", s)
		}
	})
}

// Guards against a store that is asked by all gateways several times a second while it fails, and
// answers none of them.
func TestWritesThatFailAreFew(t *testing.T) {
	var fleet *rolloutFleet
	answer := func(version string, w http.ResponseWriter, r *http.Request) { fleet.failHalf(version, w, r) }
	withRolloutFleet(t, 6, answer, func(f *rolloutFleet) {
		fleet = f
		down := map[time.Duration]func(){400 * time.Millisecond: func() { f.store.SetFaults(store.Faults{Down: true}) }}
		f.order(testOrder{To: newVersion, Duration: rolloutTime}, down, 2*rolloutTime)
		calls := f.store.Counters()[string(platform.KindRollout)]
		const maxWrites = 48
		if n := calls["update"]; n == 0 || n > maxWrites {
			t.Errorf("6 gateways called the store %v, want some and at most %d updates", calls, maxWrites)
		}
		t.Logf("the calls are %v", calls)
		f.checkExposure()
	})
}
