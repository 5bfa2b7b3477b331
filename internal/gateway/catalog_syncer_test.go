package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// storeFixture is a syncer with an in-memory store.
type storeFixture struct {
	*CatalogSyncer
	store  *store.Server
	writer *platform.Client
	cat    *catalog.Catalog
	stop   func()
}

// storeDialect decodes configurations and upstreams as JSON of the catalog's types.
func storeDialect() *dialect.Dialect {
	d := testDialect()
	d.ConfigurationName = "main"
	d.Configuration = func(spec []byte) (cfg catalog.Configuration, err error) { return cfg, json.Unmarshal(spec, &cfg) }
	d.Upstream = func(id string, spec []byte) (u catalog.Upstream, err error) {
		if err := json.Unmarshal(spec, &u); err != nil {
			return u, err
		}
		if u.Address == "" {
			return u, errors.New("no address")
		}
		u.ID = id
		return u, nil
	}
	return d
}

func newStoreFixture(t *testing.T, s *store.Server) *storeFixture {
	hc, closePipe := store.Pipe(s)
	client := platform.New(platform.Config{BaseURL: store.PipeURL, Namespace: "n", CallTimeout: 900 * time.Millisecond}, hc, tally.NoopScope)
	cat := catalog.New()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: &lockedBuffer{}}}
	f := NewCatalogSyncer(client, storeDialect(), cat, rand.New(rand.NewPCG(1, 2)), logger)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	return &storeFixture{CatalogSyncer: f, store: s, writer: client, cat: cat, stop: func() { cancel(); wg.Wait(); closePipe() }}
}

func (f *storeFixture) write(t *testing.T, kind platform.Kind, name string, spec any) {
	t.Helper()
	b, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	obj := platform.Object{Kind: kind, Name: name, Spec: b}
	old, err := f.writer.Get(t.Context(), platform.ShareClaims, kind, name)
	if err == nil {
		obj.ResourceVersion = old.ResourceVersion
		_, err = f.writer.Update(t.Context(), platform.ShareClaims, obj)
	} else {
		_, err = f.writer.Create(t.Context(), platform.ShareClaims, obj)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (f *storeFixture) remove(t *testing.T, kind platform.Kind, name string) {
	t.Helper()
	if err := f.writer.Delete(t.Context(), platform.ShareClaims, kind, name, ""); err != nil {
		t.Fatal(err)
	}
}

func testUpstream(host string) catalog.Upstream {
	return catalog.Upstream{Service: "s", Address: "10.0.0." + host + ":80", FailureDomain: "a", Slots: 1}
}

// Guards against changes in the store that don't take effect within a second, and against
// an older version of the configuration that replaces a newer one.
func TestStoreChangesTakeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStoreFixture(t, store.New(store.Config{BookmarkInterval: time.Second}))
		defer f.stop()
		f.write(t, platform.KindConfiguration, "main", catalog.Configuration{Version: 5, Routes: []catalog.Route{{Host: "h", PathPrefix: "/a/"}}})
		f.write(t, platform.KindUpstream, "u1", testUpstream("1"))
		f.write(t, platform.KindUpstream, "u2", map[string]int{"Address": 7})
		time.Sleep(time.Second)
		v := f.cat.View()
		if v.Version() != 5 || v.Route("H", "/a/x") == nil || len(v.Upstreams("s")) != 1 {
			t.Fatalf("version %d, %d upstreams", v.Version(), len(v.Upstreams("s")))
		}
		f.write(t, platform.KindConfiguration, "main", catalog.Configuration{Version: 3})
		f.write(t, platform.KindEvacuation, "a", struct{}{})
		time.Sleep(time.Second)
		if v := f.cat.View(); v.Version() != 5 || len(v.Upstreams("s")) != 0 {
			t.Errorf("version %d, %d upstreams in an evacuated domain", v.Version(), len(v.Upstreams("s")))
		}
		f.remove(t, platform.KindEvacuation, "a")
		// A registration that became malformed removes its upstream.
		f.write(t, platform.KindUpstream, "u1", "nonsense")
		time.Sleep(time.Second)
		if v := f.cat.View(); v.IsOutOfService("a") || len(v.Upstreams("s")) != 0 {
			t.Errorf("%d upstreams, domain evacuated %v", len(v.Upstreams("s")), v.IsOutOfService("a"))
		}
	})
}

// Guards against the removal of live upstreams whose registrations expired during an outage
// of the store, and against keeping those that don't register again.
func TestExpiredRegistrationsMayReturnAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStoreFixture(t, store.New(store.Config{BookmarkInterval: time.Second}))
		defer f.stop()
		f.write(t, platform.KindUpstream, "u1", testUpstream("1"))
		f.write(t, platform.KindUpstream, "u2", testUpstream("2"))
		time.Sleep(3 * time.Second)
		f.store.SetFaults(store.Faults{Down: true})
		time.Sleep(5 * time.Second)
		if !f.IsStoreLost() || len(f.cat.View().Upstreams("s")) != 2 {
			t.Fatalf("lost %v with %d upstreams", f.IsStoreLost(), len(f.cat.View().Upstreams("s")))
		}
		f.store.SetFaults(store.Faults{})
		f.remove(t, platform.KindUpstream, "u1")
		f.remove(t, platform.KindUpstream, "u2")
		time.Sleep(1200 * time.Millisecond)
		if n := len(f.cat.View().Upstreams("s")); n != 2 {
			t.Errorf("%d upstreams within the grace period of the registrations, want 2", n)
		}
		f.write(t, platform.KindUpstream, "u1", testUpstream("1"))
		time.Sleep(2 * time.Second)
		if up := f.cat.View().Upstreams("s"); len(up) != 1 || up[0].ID != "u1" {
			t.Errorf("%d upstreams after the grace period, want u1 only", len(up))
		}
		f.remove(t, platform.KindUpstream, "u1")
		time.Sleep(300 * time.Millisecond)
		if n := len(f.cat.View().Upstreams("s")); n != 0 {
			t.Errorf("%d upstreams after a removal without an outage", n)
		}
	})
}

// Guards against a gateway that the store rejects and that keeps using revoked keys, removed
// upstreams and evacuated domains, and against older changes that the store repeats and that
// replace newer state.
func TestGatewayRejectedByStoreSyncsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{BookmarkInterval: time.Second})
		connected, rejected := newStoreFixture(t, s), newStoreFixture(t, s)
		defer connected.stop()
		connected.write(t, platform.KindConfiguration, "main", catalog.Configuration{Version: 1, Organisations: []catalog.Organisation{{Name: "o", Keys: []string{"k1", "k2"}}}})
		connected.write(t, platform.KindUpstream, "u1", testUpstream("1"))
		connected.write(t, platform.KindUpstream, "u2", testUpstream("2"))
		time.Sleep(2 * time.Second)
		rejected.stop()
		connected.write(t, platform.KindConfiguration, "main", catalog.Configuration{Version: 2, Organisations: []catalog.Organisation{{Name: "o", Keys: []string{"k2"}}}})
		connected.remove(t, platform.KindUpstream, "u1")
		connected.write(t, platform.KindEvacuation, "b", struct{}{})
		time.Sleep(time.Second)
		snapshot := connected.Snapshot(rejected.cat.Revisions())
		rejected.Apply("here", snapshot)
		v := rejected.cat.View()
		if v.Version() != 2 || v.Organisation("k1") != nil || len(v.Upstreams("s")) != 1 || !v.IsOutOfService("b") {
			t.Errorf("version %d, key %v, %d upstreams, domain %v", v.Version(), v.Organisation("k1"), len(v.Upstreams("s")), v.IsOutOfService("b"))
		}
		if repeated := connected.Snapshot(rejected.cat.Revisions()); len(repeated.Configuration) > 0 || repeated.Upstreams != nil || repeated.Evacuations != nil {
			t.Errorf("the next snapshot repeats known state: %+v", repeated)
		}
		// The snapshot must state the revision at which its spec was read. In this state the
		// catalog has the same revision.
		if snapshot.Revisions.ConfigurationAt() != connected.specRevision || snapshot.Revisions.Configuration == 0 {
			t.Errorf("the snapshot has revision %v, its spec %v", snapshot.Revisions.ConfigurationAt(), connected.specRevision)
		}
		// The store's own watch now repeats changes older than the snapshot.
		rejected.cat.SetUpstream(catalog.Upstream{ID: "u1", Service: "s", Address: "10.0.0.1:80", FailureDomain: "a"}, at(3))
		if n := len(rejected.cat.View().Upstreams("s")); n != 1 {
			t.Errorf("%d upstreams after an older change", n)
		}
	})
}
