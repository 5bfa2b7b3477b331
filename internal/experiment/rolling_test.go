package experiment

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

// Guards against a replacement that stops the old upstream before it starts the new one,
// starts the new one warm, or does not wait for the readiness condition.
func TestReplaceWaitsForTheNewUpstream(t *testing.T) {
	for _, ready := range []Readiness{ReadyListening, ReadyRouted, ReadyWarm} {
		c, e := recordedCluster(Okafor())
		old := c.upstream("generate-0")
		old.standin = upstream.NewEngine(upstream.EngineConfig{Name: "generate-0"})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		err := c.Replace(ctx, "generate-0", ready)
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		fresh := c.upstream("generate-0-next")
		if fresh == nil || fresh.standin.State().Warmth > 0 {
			t.Fatalf("%s: the new upstream is missing or warm", ready)
		}
		fresh.stop()
		// No calls are routed to the new upstream, so only the first condition is met.
		if missed := c.counts[MetricNotReady] == 1; missed != (ready != ReadyListening) {
			t.Errorf("%s: %v new upstreams were not ready", ready, c.counts[MetricNotReady])
		}
		started := slices.IndexFunc(e.all, func(s string) bool { return strings.HasPrefix(s, "start sidecar-generate-0-next") })
		if left := slices.Index(e.all, "leave sidecar-generate-0"); started < 0 || left < started {
			t.Errorf("%s: the old upstream left at %d, the new one started at %d", ready, left, started)
		}
	}
}
