package gateway

import (
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/placement"
)

// Guards against heartbeats that carry the same measurements of engines again and again, which
// would grow the control traffic with the engines, and against a gateway that is told of none
// because another one was told before.
func TestHeartbeatsCarryEachMeasurementOnce(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(engineService, &countingUpstream{})
		service := f.peers.get(gatewayAddress)
		told := func(name string) int {
			reply := &HeartbeatReply{}
			if err := service.Heartbeat(&HeartbeatRequest{Name: name}, reply); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
			return len(reply.Engines)
		}
		view := f.cat.View()
		c, err := f.table.Pick(time.Now(), view.Service(engineService), view.Upstreams(engineService), placement.Request{})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Done(time.Now(), placement.Answered)
		time.Sleep(time.Millisecond)
		c.Pace(time.Now(), 20*time.Millisecond)
		time.Sleep(time.Millisecond)
		if first, again, other := told("gateway-2"), told("gateway-2"), told("gateway-3"); first != 1 || again != 0 || other != 1 {
			t.Errorf("%d, %d and for another gateway %d measurements", first, again, other)
		}
		c.Pace(time.Now(), 40*time.Millisecond)
		time.Sleep(time.Millisecond)
		if n := told("gateway-2"); n != 1 {
			t.Errorf("%d measurements after another answer", n)
		}
	})
}
