package entry

import (
	"testing"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against a request that uses up its attempts or its retry budget on warming
// upstreams, one that meets them without end, and one that can't come back to the only
// upstream that is left.
func TestWarmingRefusalIsFreeOnce(t *testing.T) {
	run := &stageRun{tried: []string{"a"}, last: peer.RunReply{Reason: peer.ReasonWarming, Execution: fleet.NotStarted}}
	run.noteWarming("a")
	if run.uncounted != 1 || !run.avoidWarming || len(run.tried) != 0 || run.needsBudget() {
		t.Fatalf("after the first refusal: %d uncounted, avoids warming %v, tried %v", run.uncounted, run.avoidWarming, run.tried)
	}
	run.tried = []string{"b"}
	run.noteWarming("b")
	if run.uncounted != 1 || len(run.tried) != 1 {
		t.Fatalf("after the second refusal: %d uncounted, tried %v", run.uncounted, run.tried)
	}
}
