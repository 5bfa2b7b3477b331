package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

// fleetSizes are the numbers of gateways by which the work of one gateway is measured. A fleet
// has fleetUpstreams upstreams of engines for each gateway.
var fleetSizes = []int{30, 300, 600}

const fleetUpstreams = 2

// fleetRoster returns the roster of one gateway of n, which has heard all others.
func fleetRoster(n int) *roster.Roster {
	now := time.Now()
	r := roster.New(roster.Gateway{Name: "gateway-0"})
	for i := 1; i < n; i++ {
		g := roster.Gateway{Name: fmt.Sprint("gateway-", i), Address: fmt.Sprint("10.0.0.1:", i), Incarnation: "a"}
		r.Put(g, now)
		r.RecordHeartbeat(g.Name, "a", false, now)
	}
	return r
}

// fleetUpstreamList returns n upstreams of one service.
func fleetUpstreamList(n int) []catalog.Upstream {
	list := make([]catalog.Upstream, n)
	for i := range list {
		list[i] = catalog.Upstream{ID: fmt.Sprint("i-", i), Service: "service", Address: fmt.Sprint("10.0.0.1:", i), FailureDomain: "a"}
	}
	return list
}

// fleetTable returns the placement of one gateway of the roster, with the judge that it asks.
func fleetTable(r *roster.Roster) (*placement.Table, *availability.Judge) {
	judge := availability.New(&log.Logger{}, tally.NoopScope)
	return placement.New(judge, func() ratelimit.Share {
		index, count := r.Share(time.Now())
		return ratelimit.Share{Index: index, Count: count}
	}), judge
}

// BenchmarkPlacementInFleet measures the choice of an upstream for one request.
func BenchmarkPlacementInFleet(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			table, judge := fleetTable(fleetRoster(n))
			c := catalog.New()
			c.OnChange(judge.Update)
			c.SetConfiguration(catalog.Configuration{Version: 1, Services: []catalog.Service{{Name: "service"}}}, at(1))
			c.ReplaceUpstreams(fleetUpstreamList(fleetUpstreams*n), at(2))
			b.ReportAllocs()
			for b.Loop() {
				choice, err := table.Pick(time.Now(), c.View().Service("service"), c.View().Upstreams("service"), placement.Request{})
				if err != nil {
					b.Fatal(err)
				}
				choice.Done(time.Now(), placement.Answered)
			}
		})
	}
}

// BenchmarkHeartbeatPeriod measures what a gateway does in each period of heartbeats apart from
// the heartbeats.
func BenchmarkHeartbeatPeriod(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			r := fleetRoster(n)
			stages := NewStages(availability.New(&log.Logger{}, tally.NoopScope), nil, testDialect(), r, nil, &log.Logger{}, tally.NoopScope)
			for _, service := range []string{"service-1", "service-2", "service-3"} {
				stages.dispatcher(service)
			}
			last := ""
			b.ReportAllocs()
			for b.Loop() {
				stages.handOver(time.Now())
				others, owners := r.Others(), stages.owners()
				_, last = dueHeartbeats(others, owners, last, heartbeatsPerPeriod)
				r.Doubtful(time.Now())
			}
		})
	}
}

// BenchmarkUpstreamChanges measures the changes of all upstreams of the fleet, as they come in
// one reply of the store, for each upstream.
func BenchmarkUpstreamChanges(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("gateways=", n), func(b *testing.B) {
			r := fleetRoster(n)
			table, judge := fleetTable(r)
			stages := NewStages(judge, nil, testDialect(), r, nil, &log.Logger{}, tally.NoopScope)
			c := catalog.New()
			list := fleetUpstreamList(fleetUpstreams * n)
			c.SetConfiguration(catalog.Configuration{Version: 1, Services: []catalog.Service{{Name: "service", Batch: &catalog.Batch{Slots: 1}}}}, at(1))
			c.ReplaceUpstreams(list, at(2))
			c.OnChange(judge.Update)
			c.OnChange(stages.Update)
			c.OnChange(func(v *catalog.View) { table.Retain(func(id string) bool { return v.Upstream(id) != nil }) })
			revision := uint64(3)
			b.ReportAllocs()
			for b.Loop() {
				c.ChangeUpstreams(func() {
					for _, u := range list {
						u.Draining = revision%2 == 0
						c.SetUpstream(u, at(revision))
						revision++
					}
				})
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(list)), "µs/change")
		})
	}
}
