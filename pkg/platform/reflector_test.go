package platform_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// Guards against a local copy that misses changes made while the platform was down,
// after its event history overflowed or after the watch was interrupted.
func TestReflectorRecoversFromOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, platform.Config{}, store.Config{History: 8, BookmarkInterval: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		local := make(map[string]string)
		lists := 0
		replace := func(l platform.List) {
			lists++
			clear(local)
			for _, o := range l.Items {
				local[o.Name] = string(o.Spec)
			}
		}
		apply := func(e platform.Event) {
			if e.Type == platform.EventDeleted {
				delete(local, e.Object.Name)
				return
			}
			local[e.Object.Name] = string(e.Object.Spec)
		}
		r := platform.NewReflector(f.Client, share, platform.KindLease, replace, apply, rand.New(rand.NewPCG(1, 2)), discardLogger())
		done := make(chan struct{})
		go func() { defer close(done); r.Run(ctx) }()
		for round := range 6 {
			if round%2 == 1 {
				f.store.SetFaults(store.Faults{Down: true})
				time.Sleep(time.Minute)
				f.store.SetFaults(store.Faults{})
			}
			for i := range 1 + round*3 {
				// A burst larger than the event history expires the version of an interrupted watch.
				o, err := f.Create(ctx, platform.ShareClaims, lease(fmt.Sprintf("l%d-%d", round, i), fmt.Sprint(round)))
				if err != nil {
					t.Fatal(err)
				}
				if i%3 == 1 {
					if err := f.Delete(ctx, platform.ShareClaims, o.Kind, o.Name, o.ResourceVersion); err != nil {
						t.Fatal(err)
					}
				}
			}
			time.Sleep(2 * platform.MaxRelistDelay)
			synctest.Wait()
			want, err := f.List(ctx, platform.ShareClaims, platform.KindLease)
			if err != nil {
				t.Fatal(err)
			}
			if len(local) != len(want.Items) {
				t.Fatalf("round %d: the copy has %d objects, the platform %d", round, len(local), len(want.Items))
			}
			for _, o := range want.Items {
				if local[o.Name] != string(o.Spec) {
					t.Fatalf("round %d: the copy of %s is %q, want %q", round, o.Name, local[o.Name], o.Spec)
				}
			}
			if age := time.Since(r.LastConfirmed()); age > 2*time.Second {
				t.Fatalf("round %d: last confirmed %v ago", round, age)
			}
		}
		if lists < 2 || lists > 6 {
			t.Fatalf("listed %d times, want a second time only after the history overflowed", lists)
		}
		cancel()
		<-done
	})
}

// Guards against a thundering herd of list calls when the platform recovers, and against
// processes that take longer than the maximum delay to list again.
func TestReflectorsSpreadRelists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes = 300
		s := store.New(store.Config{})
		s.SetFaults(store.Faults{Down: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range processes {
			hc, stop := store.Pipe(s)
			defer stop()
			c := platform.New(platform.Config{BaseURL: store.PipeURL, Namespace: "test"}, hc, nopScope)
			r := platform.NewReflector(c, share, platform.KindLease, func(platform.List) {}, func(platform.Event) {}, rand.New(rand.NewPCG(1, uint64(i))), discardLogger())
			go r.Run(ctx)
		}
		time.Sleep(time.Minute)
		s.SetFaults(store.Faults{})
		s.ResetCounters()
		most, listed := int64(0), int64(0)
		for range int(platform.MaxRelistDelay/(100*time.Millisecond)) + 1 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			now := s.Counters()["leases"]["list"]
			most, listed = max(most, now-listed), now
		}
		if listed != processes {
			t.Fatalf("%d of %d processes listed within the maximum delay", listed, processes)
		}
		if most > processes/20 {
			t.Fatalf("%d of %d processes listed within 100 ms", most, processes)
		}
	})
}

// Guards against a step of the wall clock that counts as time without a response from the
// platform: only times with a monotonic reading are compared independently of the wall clock.
func TestConfirmedHasAMonotonicReading(t *testing.T) {
	f := start(t, platform.Config{}, store.Config{BookmarkInterval: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	r := platform.NewReflector(f.Client, share, platform.KindLease, func(platform.List) { cancel() }, func(platform.Event) {}, rand.New(rand.NewPCG(1, 2)), discardLogger())
	r.Run(ctx)
	if c := r.LastConfirmed().String(); !strings.Contains(c, " m=") {
		t.Errorf("%s has no monotonic clock reading", c)
	}
}
