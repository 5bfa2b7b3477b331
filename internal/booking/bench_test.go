package booking

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// BenchmarkClaimsObject claims and releases one key at a time in a segment with the given
// number of claims, without a network. It shows the cost of the segment's size.
func BenchmarkClaimsObject(b *testing.B) {
	for _, claims := range []int{10, 100, 1000, 2500} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			contents := newClaimObject()
			answer := Outcome{Execution: fleet.Completed, Answer: []byte(`{"booking":"0123456789abcdef","day":"2026-12-04"}`)}
			encoded, err := json.Marshal(answer)
			if err != nil {
				b.Fatal(err)
			}
			for i := range claims {
				writer := Owner{Incarnation: fmt.Sprintf("%032d", i%4), Address: "10.0.0.1:7100"}
				contents.set(testKey(-1-i).digest(), record{owner: writer, sequence: uint64(i), at: time.Now().Unix(), outcome: &answer, encoded: encoded})
			}
			contents.id, contents.epochs = 1, []uint64{0}
			spec, err := contents.encode()
			if err != nil {
				b.Fatal(err)
			}
			o := newFakeStore(platform.Object{Name: segmentName(0), Spec: spec})
			written := 0
			c := newIdleClaims(o, ClaimsConfig{Partitions: 1})
			c.minCompactedBytes = MaxSegmentBytes
			c.update = func(ctx context.Context, obj platform.Object) (platform.Object, error) {
				written += len(obj.Spec)
				return o.put(ctx, obj)
			}
			go c.Run(ctx)
			for i := 0; b.Loop(); i++ {
				if claim, err := c.Claim(ctx, testKey(0)); err != nil || claim.State != Granted {
					b.Fatal(claim, err)
				}
				if err := c.Release(ctx, testKey(0)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(spec))/float64(claims), "B/claim")
			b.ReportMetric(float64(written)/float64(b.N)/2, "B/write")
		})
	}
}

// BenchmarkClaimsRate claims new keys at the given rate on several entries for one second
// of real time per iteration, against the store stand-in with a delay of 5 ms per call.
func BenchmarkClaimsRate(b *testing.B) {
	for _, entries := range []int{2, 3} {
		for _, rate := range []int{10, 100, 250, 400, 1000} {
			b.Run(fmt.Sprintf("entries=%d/perSecond=%d", entries, rate), func(b *testing.B) { benchmarkClaimsRate(b, entries, rate) })
		}
	}
}

func benchmarkClaimsRate(b *testing.B, entries, rate int) {
	s := store.New(store.Config{})
	s.SetFaults(store.Faults{DelayMs: 5})
	hc, stop := store.Pipe(s)
	defer stop()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	all := make([]*Claims, entries)
	for i := range all {
		client := platform.New(platform.Config{BaseURL: store.PipeURL, Namespace: "n"}, hc, tally.NoopScope)
		owner := Owner{Incarnation: fmt.Sprintf("%032d", i), Address: "10.0.0.1:7100"}
		all[i] = NewClaims(ClaimsConfig{Owner: owner}, client, rand.New(rand.NewPCG(1, uint64(i))), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
		go all[i].Run(ctx)
	}
	var wg sync.WaitGroup
	var refused, took atomic.Int64
	bookings := 0
	for b.Loop() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		for range rate {
			<-ticker.C
			c, key := all[bookings%len(all)], testKey(bookings)
			bookings++
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
				defer cancel()
				started := time.Now()
				if _, err := c.Claim(ctx, key); err != nil {
					refused.Add(1)
					return
				}
				took.Add(int64(time.Since(started)))
				_ = c.Record(ctx, key, Outcome{Execution: fleet.Completed, Answer: []byte(`{"booking":"0123456789abcdef"}`)})
			})
		}
		ticker.Stop()
		wg.Wait()
	}
	calls := s.Counters()
	b.ReportMetric(float64(calls.Writes("claims"))/float64(bookings), "writes/booking")
	b.ReportMetric(float64(calls["claims"]["get"])/float64(bookings), "reads/booking")
	b.ReportMetric(float64(took.Load())/1e6/float64(max(1, int64(bookings)-refused.Load())), "ms/claim")
	b.ReportMetric(float64(refused.Load()), "refused")
}
