package entry

import (
	"testing"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against a request that uses up its attempts or its retry budget on warming
// upstreams, one that is refused by them without end, and one that can't return to the
// only upstream left.
func TestFirstWarmingRefusalIsNotCounted(t *testing.T) {
	run := &stageRun{tried: []string{"a"}, last: peer.RunReply{Reason: peer.ReasonWarming, Execution: fleet.NotStarted}}
	run.recordWarmingRefusal("a")
	if run.uncounted != 1 || !run.avoidWarming || len(run.tried) != 0 || run.needsBudget() {
		t.Fatalf("after the first refusal: uncounted %d, avoidWarming %v, tried %v", run.uncounted, run.avoidWarming, run.tried)
	}
	run.tried = []string{"b"}
	run.recordWarmingRefusal("b")
	if run.uncounted != 1 || len(run.tried) != 1 {
		t.Fatalf("after the second refusal: uncounted %d, tried %v", run.uncounted, run.tried)
	}
}
