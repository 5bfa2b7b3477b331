package reconcile

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/internal/rapidtest"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 0) }

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

var (
	errNotFound = errors.New("not found")
	errConflict = errors.New("conflict")
	errLost     = errors.New("reply lost")
	errStale    = errors.New("stale fencing token")
)

// leaseStore stores one object; it can be down and can lose replies.
type leaseStore struct {
	mu          sync.Mutex
	obj         Object
	version     int
	down        bool
	loseReplies bool
	// beforeWrite is called once, between the read and the write of the next AcquireOrRenew.
	beforeWrite func()
}

func (s *leaseStore) store() Store {
	return Store{
		Get: func(context.Context, string) (Object, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case s.down:
				return Object{}, errLost
			case s.version == 0:
				return Object{}, errNotFound
			}
			return s.obj, nil
		},
		Create:     s.put,
		Update:     s.put,
		IsNotFound: func(err error) bool { return errors.Is(err, errNotFound) },
	}
}

func (s *leaseStore) put(_ context.Context, o Object) (Object, error) {
	if fn := s.beforeWrite; fn != nil {
		s.beforeWrite = nil
		fn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || o.ResourceVersion != s.obj.ResourceVersion {
		return Object{}, errConflict
	}
	s.version++
	o.ResourceVersion = strconv.Itoa(s.version)
	s.obj = o
	if s.loseReplies {
		return Object{}, errLost
	}
	return o, nil
}

func newTestLease(s *leaseStore, incarnation string) *Lease {
	return NewLease(s.store(), "reconciler", incarnation, DefaultLeaseDuration, discardLogger(), tally.NoopScope)
}

// Guards against two processes that hold the lease at once, and against a fencing
// token that two holders share or that decreases, under pauses, outages and lost replies.
func TestStatefulLease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			s := &leaseStore{}
			var leases []*Lease
			for i := range 3 {
				leases = append(leases, newTestLease(s, fmt.Sprint(i)))
			}
			owner := make(map[uint64]int)
			highest := uint64(0)
			rt.Repeat(map[string]func(*rapid.T){
				"step":    func(t *rapid.T) { _ = rapid.SampledFrom(leases).Draw(t, "lease").AcquireOrRenew(context.Background()) },
				"release": func(t *rapid.T) { _ = rapid.SampledFrom(leases).Draw(t, "lease").Release(context.Background()) },
				"race": func(t *rapid.T) {
					pair := rapid.Permutation(leases).Draw(t, "leases")
					s.beforeWrite = func() { _ = pair[1].AcquireOrRenew(context.Background()) }
					_ = pair[0].AcquireOrRenew(context.Background())
					s.beforeWrite = nil
				},
				"down": func(*rapid.T) { s.down = !s.down },
				"lose": func(*rapid.T) { s.loseReplies = !s.loseReplies },
				"wait": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
				},
				"": func(t *rapid.T) {
					held := 0
					for i, l := range leases {
						fencing, ok := l.Held()
						if !ok {
							continue
						}
						held++
						if other, known := owner[fencing]; known && other != i {
							t.Fatalf("processes %d and %d both had the fencing token %d", other, i, fencing)
						}
						if fencing < highest {
							t.Fatalf("the fencing token decreased from %d to %d", highest, fencing)
						}
						owner[fencing], highest = i, fencing
					}
					if held > 1 {
						t.Fatalf("%d processes hold the lease", held)
					}
				},
			})
		})
		if failure != nil {
			panic(failure)
		}
	})
}

// Guards against a lease that no process acquires after its holder stopped, or that a
// running holder loses without cause.
func TestReleasedLeaseIsAcquired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &leaseStore{}
		first, second := newTestLease(s, "first"), newTestLease(s, "second")
		ctx, cancel := context.WithCancel(t.Context())
		go first.Run(ctx)
		time.Sleep(time.Second)
		other, stop := context.WithCancel(t.Context())
		defer stop()
		go second.Run(other)
		time.Sleep(time.Minute)
		if _, ok := first.Held(); !ok {
			t.Fatal("the holder lost the lease")
		}
		s.mu.Lock()
		before := s.obj
		s.mu.Unlock()
		cancel()
		time.Sleep(DefaultLeaseDuration/renewalsPerDuration + time.Second)
		if fencing, ok := second.Held(); !ok || fencing != 2 {
			t.Fatalf("the second process holds fencing token %d, %v after the release of %s", fencing, ok, before.Spec)
		}
	})
}

// testUpstream is an upstream that takes 30 seconds to load a model.
type testUpstream struct {
	observed       UpstreamState
	loadingUntil   time.Time
	highestFencing uint64
	checksFencing  bool
}

type testUpstreams struct {
	list  []*testUpstream
	loads int
	// hidesLoading makes upstreams report the old model, and that they are available,
	// while they load.
	hidesLoading bool
}

func newTestUpstreams(perDomain int) *testUpstreams {
	ups := &testUpstreams{}
	for _, domain := range []string{"a", "b"} {
		for i := range perDomain {
			ups.list = append(ups.list, &testUpstream{checksFencing: true, observed: UpstreamState{
				Upstream: fmt.Sprintf("%s%d", domain, i), Stage: "generate", FailureDomain: domain,
				Model: "old", Role: "encode", CanLoadModel: true, CanChangeRole: true,
			}})
		}
	}
	return ups
}

func (ups *testUpstreams) observe(context.Context) ([]UpstreamState, error) {
	var list []UpstreamState
	for _, u := range ups.list {
		loading := time.Now().Before(u.loadingUntil)
		o := u.observed
		o.Unavailable = o.Unavailable || (loading && !ups.hidesLoading)
		if loading && ups.hidesLoading {
			o.Model = "old"
		}
		list = append(list, o)
	}
	return list, nil
}

func (ups *testUpstreams) send(_ context.Context, to UpstreamState, o Order) error {
	for _, u := range ups.list {
		if u.observed.Upstream != to.Upstream {
			continue
		}
		if u.checksFencing && o.Fencing < u.highestFencing {
			return errStale
		}
		u.highestFencing = max(u.highestFencing, o.Fencing)
		if o.Kind == ChangeRole {
			u.observed.Role = o.Target
			return nil
		}
		ups.loads++
		u.observed.Model = o.Target
		u.loadingUntil = time.Now().Add(30 * time.Second)
	}
	return nil
}

func (ups *testUpstreams) unavailable(domain string) int {
	n := 0
	for _, u := range ups.list {
		if u.observed.FailureDomain == domain && (u.observed.Unavailable || u.observed.OutOfService || time.Now().Before(u.loadingUntil)) {
			n++
		}
	}
	return n
}

func testConfiguration(t testing.TB) *fleet.Configuration {
	t.Helper()
	cfg, err := fleet.New(1, fleet.Document{Stages: []fleet.Stage{{Name: "generate", Protocol: fleet.ProtocolChat, Model: "new", Capacity: 8, ColdCapacity: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func newTestReconciler(ups *testUpstreams, cfg *fleet.Configuration, l *Lease) *Reconciler {
	return New(Config{}, Dependencies{
		Configuration: func() *fleet.Configuration { return cfg },
		Held:          l.Held, Abandon: l.Abandon, Observe: ups.observe, Send: ups.send,
		IsStale: func(err error) bool { return errors.Is(err, errStale) },
	}, discardLogger(), tally.NoopScope)
}

// Guards against changing more of a failure domain at once than allowed, against load
// orders above the rate of the weight store, and against upstreams that stay unchanged.
func TestReconcilerKeepsLimits(t *testing.T) {
	for _, hidesLoading := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ups := newTestUpstreams(8)
			ups.hidesLoading = hidesLoading
			// One upstream of domain a is down and one of domain b is out of service
			// for the first half.
			down, out := ups.list[7], ups.list[15]
			l := newTestLease(&leaseStore{}, "a")
			r := newTestReconciler(ups, testConfiguration(t), l)
			started := time.Now()
			for i := range 400 {
				down.observed.Unavailable, out.observed.OutOfService = i < 200, i < 200
				if err := l.AcquireOrRenew(t.Context()); err != nil {
					t.Fatal(err)
				}
				if err := r.Reconcile(t.Context()); err != nil {
					t.Fatal(err)
				}
				checkLimits(t, ups, started)
				time.Sleep(time.Second)
			}
			for _, u := range ups.list {
				if u.observed.Model != "new" || u.observed.Role != "generate" {
					t.Fatalf("%+v is not in the desired state", u.observed)
				}
			}
			if ups.loads != len(ups.list) {
				t.Fatalf("%d load orders for %d upstreams", ups.loads, len(ups.list))
			}
		})
	}
}

func checkLimits(t *testing.T, ups *testUpstreams, started time.Time) {
	t.Helper()
	for _, domain := range []string{"a", "b"} {
		if n := ups.unavailable(domain); n > 2 {
			t.Fatalf("%d of 8 upstreams of domain %s are unavailable at once", n, domain)
		}
	}
	if limit := time.Since(started).Minutes()*DefaultLoadsPerMinute + 1; float64(ups.loads) > limit {
		t.Fatalf("%d loads after %v", ups.loads, time.Since(started))
	}
}

// Guards against orders of a holder that was paused, before or after its check of the
// lease, while another process acquired the lease.
func TestPausedHolderChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &leaseStore{}
		ups := newTestUpstreams(4)
		old, next := newTestLease(s, "old"), newTestLease(s, "next")
		cfg := testConfiguration(t)
		paused, other := newTestReconciler(ups, cfg, old), newTestReconciler(ups, cfg, next)
		failOver := func() {
			_ = next.AcquireOrRenew(t.Context())
			time.Sleep(DefaultLeaseDuration)
			_ = next.AcquireOrRenew(t.Context())
			if err := other.Reconcile(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		_ = old.AcquireOrRenew(t.Context())
		paused.deps.Observe = func(ctx context.Context) ([]UpstreamState, error) {
			list, err := ups.observe(ctx)
			failOver()
			return list, err
		}
		sent := 0
		paused.deps.Send = func(context.Context, UpstreamState, Order) error {
			sent++
			return nil
		}
		if err := paused.Reconcile(t.Context()); !errors.Is(err, ErrNotHeld) || sent != 0 {
			t.Fatalf("got %v and %d orders, want ErrNotHeld and none", err, sent)
		}
		paused.deps.Observe, paused.deps.Send = ups.observe, ups.send
		paused.deps.Held = func() (uint64, bool) { return 1, true }
		before := ups.loads
		if err := paused.Reconcile(t.Context()); !errors.Is(err, ErrNotHeld) || ups.loads != before {
			t.Fatalf("got %v and %d loads, want ErrNotHeld and %d", err, ups.loads, before)
		}
	})
}

// Guards against one upstream that does not respond to orders blocking the others.
func TestUnresponsiveUpstreamDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ups := newTestUpstreams(3)
		l := newTestLease(&leaseStore{}, "a")
		r := newTestReconciler(ups, testConfiguration(t), l)
		r.deps.Send = func(ctx context.Context, to UpstreamState, o Order) error {
			if to.Upstream == "a0" {
				return errLost
			}
			return ups.send(ctx, to, o)
		}
		for range 800 {
			_ = l.AcquireOrRenew(t.Context())
			_ = r.Reconcile(t.Context())
			time.Sleep(5 * time.Second)
		}
		for _, u := range ups.list[1:] {
			if u.observed.Model != "new" {
				t.Fatalf("%+v was blocked by an unresponsive upstream", u.observed)
			}
		}
	})
}
