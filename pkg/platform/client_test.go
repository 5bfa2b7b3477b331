package platform_test

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

type fixture struct {
	*platform.Client
	store *store.Server
	scope tally.TestScope
}

func start(t *testing.T, cfg platform.Config, storeCfg store.Config) *fixture {
	t.Helper()
	s := store.New(storeCfg)
	hc, stop := store.Pipe(s)
	t.Cleanup(stop)
	cfg.BaseURL, cfg.Namespace = store.PipeURL, "test"
	scope := tally.NewTestScope("", nil)
	return &fixture{Client: platform.New(cfg, hc, scope), store: s, scope: scope}
}

func lease(name, spec string) platform.Object {
	return platform.Object{Kind: platform.KindLease, Name: name, Spec: json.RawMessage(spec)}
}

const share = platform.ShareConfiguration

var nopScope = tally.NoopScope

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a response with an unusual status that is taken as proof that a write had no effect.
func TestOnlyErrorsProveThatAWriteHadNoEffect(t *testing.T) {
	for status, ambiguous := range map[int]bool{0: true, 99: true, 304: true, 400: false, 409: false, 500: true, 600: true, 999: true} {
		hc := &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Header: http.Header{}, Body: http.NoBody}, nil
		})}
		c := platform.New(platform.Config{BaseURL: "http://10.0.0.1:80", Namespace: "test"}, hc, nopScope)
		if _, err := c.Create(t.Context(), share, lease("a", `1`)); err == nil || platform.IsAmbiguous(err) != ambiguous {
			t.Errorf("status %d: got %v, want an ambiguous error: %v", status, err, ambiguous)
		}
	}
}

// Guards against lost updates: a write based on an old version must not overwrite a newer one.
func TestWritesAreConditional(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, platform.Config{}, store.Config{})
		ctx := t.Context()
		first, err := f.Create(ctx, share, lease("a", `1`))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Create(ctx, share, lease("a", `2`)); !platform.IsAlreadyExists(err) || platform.IsConflict(err) {
			t.Fatalf("second create: %v", err)
		}
		second := first
		second.Spec = json.RawMessage(`2`)
		if second, err = f.Update(ctx, share, second); err != nil {
			t.Fatal(err)
		}
		if _, err := f.Update(ctx, share, first); !platform.IsConflict(err) {
			t.Fatalf("update with an old version: %v", err)
		}
		if err := f.Delete(ctx, share, first.Kind, "a", first.ResourceVersion); !platform.IsConflict(err) {
			t.Fatalf("delete with an old version: %v", err)
		}
		got, err := f.Get(ctx, share, first.Kind, "a")
		if err != nil || string(got.Spec) != `2` || got.ResourceVersion != second.ResourceVersion {
			t.Fatalf("got %v, %v", got, err)
		}
		if err := f.Delete(ctx, share, first.Kind, "a", second.ResourceVersion); err != nil {
			t.Fatal(err)
		}
		if _, err := f.Get(ctx, share, first.Kind, "a"); !platform.IsNotFound(err) {
			t.Fatalf("get of a deleted object: %v", err)
		}
		unconditional := lease("a", `3`)
		if _, err := f.Update(ctx, share, unconditional); !platform.IsNotSent(err) {
			t.Fatalf("update without resourceVersion: %v", err)
		}
		large := lease("b", `"`+strings.Repeat("x", platform.MaxObjectBytes)+`"`)
		var statusErr *platform.StatusError
		if _, err := f.Create(ctx, share, large); !errors.As(err, &statusErr) || statusErr.Code != http.StatusRequestEntityTooLarge {
			t.Fatalf("create above the size limit: %v", err)
		}
	})
}

// Guards against reporting a write as without effect when only its reply was lost.
func TestLostReplyIsAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, platform.Config{CallTimeout: time.Second}, store.Config{})
		f.store.SetFaults(store.Faults{LoseNextWrites: 1})
		if _, err := f.Create(t.Context(), share, lease("a", `1`)); !platform.IsAmbiguous(err) || platform.IsNotSent(err) {
			t.Fatalf("create with a lost reply: %v", err)
		}
		if _, err := f.Get(t.Context(), share, platform.KindLease, "a"); err != nil {
			t.Fatalf("the create had no effect: %v", err)
		}
		f.store.SetFaults(store.Faults{DelayMs: 3000})
		if _, err := f.Create(t.Context(), share, lease("b", `1`)); !platform.IsAmbiguous(err) {
			t.Fatalf("create that exceeds the call's time-out: %v", err)
		}
		f.store.SetFaults(store.Faults{})
		time.Sleep(5 * time.Second)
		if _, err := f.Get(t.Context(), share, platform.KindLease, "b"); err != nil {
			t.Fatalf("the delayed create had no effect: %v", err)
		}
		f.store.SetFaults(store.Faults{Down: true})
		if _, err := f.Create(t.Context(), share, lease("c", `1`)); !platform.IsAmbiguous(err) {
			t.Fatalf("create on a store that closes connections: %v", err)
		}
		if got := f.store.Counters()["leases"]["create"]; got != 3 {
			t.Fatalf("the store counted %d creates, want 3", got)
		}
		counter := f.scope.Snapshot().Counters()["platformCalls+kind=leases,result=ambiguous,share=configuration,verb=create"]
		if counter == nil || counter.Value() != 3 {
			t.Fatalf("ambiguous creates were not counted: %v", counter)
		}
	})
}

// Guards against housekeeping calls that consume the rate limit of claims.
func TestSharesHaveSeparateRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rates [platform.ShareCount]platform.Rate
		rates[platform.ShareHousekeeping] = platform.Rate{PerSecond: 0.1, Burst: 1}
		f := start(t, platform.Config{Rates: rates}, store.Config{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.List(ctx, platform.ShareHousekeeping, platform.KindInstance); err != nil {
			t.Fatal(err)
		}
		if _, err := f.List(ctx, platform.ShareHousekeeping, platform.KindInstance); !platform.IsNotSent(err) {
			t.Fatalf("list over the rate: %v", err)
		}
		started := time.Now()
		if _, err := f.List(ctx, platform.ShareClaims, platform.KindClaim); err != nil || time.Since(started) != 0 {
			t.Fatalf("claims waited %v for housekeeping: %v", time.Since(started), err)
		}
	})
}

// Guards against a dial failure that is reported as a call that may have been sent.
func TestDialFailureIsNotSent(t *testing.T) {
	c := platform.New(platform.Config{BaseURL: "http://127.0.0.1:1", Namespace: "test"}, &http.Client{Transport: &http.Transport{}}, nopScope)
	if _, err := c.Get(t.Context(), share, platform.KindLease, "a"); !platform.IsNotSent(err) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a watch that misses changes without an error.
func TestWatchResumesFromVersionOrReportsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, platform.Config{}, store.Config{History: 4, BookmarkInterval: time.Second})
		ctx := t.Context()
		list, err := f.List(ctx, share, platform.KindLease)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"a", "b"} {
			if _, err := f.Create(ctx, share, lease(name, `1`)); err != nil {
				t.Fatal(err)
			}
		}
		errStop := errors.New("enough")
		var seen []string
		err = f.Watch(ctx, share, platform.KindLease, list.ResourceVersion, func(e platform.Event) error {
			seen = append(seen, string(e.Type)+" "+e.Object.Name+"@"+e.Object.ResourceVersion)
			if e.Type == platform.EventBookmark {
				return errStop
			}
			return nil
		})
		if got, want := strings.Join(seen, ","), "ADDED a@2,ADDED b@3,BOOKMARK @3"; got != want || err != errStop {
			t.Fatalf("saw %q and %v, want %q", got, err, want)
		}
		for _, name := range []string{"c", "d", "e", "f"} {
			if _, err := f.Create(ctx, share, lease(name, `1`)); err != nil {
				t.Fatal(err)
			}
		}
		fail := func(platform.Event) error { return errors.New("an event after a gap") }
		if err := f.Watch(ctx, share, platform.KindLease, "2", fail); !platform.IsGone(err) {
			t.Fatalf("watch from a dropped version: %v", err)
		}
		go func() {
			time.Sleep(time.Minute)
			f.store.SetFaults(store.Faults{Down: true})
		}()
		err = f.Watch(ctx, share, platform.KindLease, "7", func(platform.Event) error { return nil })
		if !platform.IsAmbiguous(err) {
			t.Fatalf("watch of a store that becomes unavailable: %v", err)
		}
	})
}
