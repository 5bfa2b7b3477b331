package gateway

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

// BenchmarkHeartbeat measures the bytes of one heartbeat and its reply on an open
// connection, by the number of queues that the replying gateway owns.
func BenchmarkHeartbeat(b *testing.B) {
	for _, queues := range []int{0, 1, 3, 9} {
		b.Run(fmt.Sprint("queues=", queues), func(b *testing.B) {
			var w bytes.Buffer
			enc := gob.NewEncoder(&w)
			reply := HeartbeatReply{Name: "gateway-houston-a-1", Incarnation: strings.Repeat("a", 32), Waits: make(map[string]pieces.Estimate)}
			for i := range queues {
				reply.Waits[fmt.Sprint("service-", i)] = pieces.Estimate{Calls: 5, Ahead: 40, Late: 3, Busy: 0.8, Size: 14, CallTime: 200 * time.Millisecond, PieceTime: 12 * time.Millisecond}
			}
			// The first of the messages also carries the type definitions of gob, so one more is
			// encoded, and the last is measured.
			for range b.N + 1 {
				w.Reset()
				for _, v := range []any{rpc.Request{ServiceMethod: "Gateway.Heartbeat", Seq: 100000}, HeartbeatRequest{Name: reply.Name, Incarnation: reply.Incarnation}, rpc.Response{ServiceMethod: "Gateway.Heartbeat", Seq: 100000}, reply} {
					if err := enc.Encode(v); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(w.Len()), "B/heartbeat")
		})
	}
}

// BenchmarkOwner measures the lookup of a queue's owner by the number of gateways.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{4, 100, 610} {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			now := time.Unix(100, 0)
			r := roster.New(roster.Gateway{Name: "self"})
			for i := range n - 1 {
				g := roster.Gateway{Name: fmt.Sprint("gateway-", i), Address: fmt.Sprint("10.0.0.1:", i), Incarnation: "a"}
				r.Put(g, now)
				r.RecordHeartbeat(g.Name, "a", false, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Owner("service-1")
			}
		})
	}
}

// BenchmarkCatalog measures an update of one upstream by the number of upstreams.
func BenchmarkCatalog(b *testing.B) {
	for _, n := range []int{31, 300, 2700} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			c := catalog.New()
			var list []catalog.Upstream
			for i := range n {
				list = append(list, catalog.Upstream{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("service-", i%9), Address: fmt.Sprint("10.0.0.1:", i), FailureDomain: "a"})
			}
			c.ReplaceUpstreams(list, at(1))
			stages := NewStages(availability.New(&log.Logger{}, tally.NoopScope), nil, testDialect(), roster.New(roster.Gateway{Name: "self"}), nil, &log.Logger{}, tally.NoopScope)
			c.OnChange(stages.Update)
			b.ReportAllocs()
			revision := uint64(2)
			for b.Loop() {
				u := list[int(revision)%n]
				u.Draining = revision%2 == 0
				c.SetUpstream(u, at(revision))
				revision++
			}
		})
	}
}
