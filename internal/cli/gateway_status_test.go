package cli

import (
	"strings"
	"testing"
	"text/tabwriter"

	"bergamotrudder.example/bergamotrudder/internal/rollout"
)

// Guards against a status that doesn't say why a version was stopped, with the answers of both.
func TestStatusOfRollouts(t *testing.T) {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	printRollouts(w, []rollout.OrderState{{
		Service: "dispatch", To: "v2", Stage: "bad", Verdict: rollout.RolledBack, AgeMs: 4000, DurationMs: 8000, Decider: "gateway-2", Reason: "5 of 9 answers bad",
		New: rollout.VersionState{Answers: 9, Failed: 4, Late: 1, FirstByteMs: 52.4}, Old: rollout.VersionState{Answers: 92, FirstByteMs: 43.6},
	}})
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	line := strings.Join(strings.Fields(strings.Split(out.String(), "\n")[2]), " ")
	if want := "dispatch v2 rolledBack 0% 4s 8s 5 of 9 52ms 0 of 92 44ms 0 gateway-2 5 of 9 answers bad"; line != want {
		t.Errorf("the status is %q, want %q", line, want)
	}
}
