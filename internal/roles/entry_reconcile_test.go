package roles

import (
	"fmt"
	"testing"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against sidecars whose state isn't queried for many turns because others restart:
// the turn was a position in the list of sidecars, which shifted with each of them.
func TestQueriesPassOverNoSidecarWhileOthersRestart(t *testing.T) {
	const sidecars, count = 41, 3
	turn := (sidecars + count - 1) / count
	queried := make(map[string]int)
	last := ""
	for round := range 600 {
		var present []fleet.InstanceRecord
		for i := range sidecars {
			r := fleet.InstanceRecord{Name: fmt.Sprintf("s%02d", i)}
			if i == round/14%sidecars && round%14 < 5 {
				queried[r.Name] = round
				continue
			}
			present = append(present, r)
		}
		for _, r := range nextInTurn(present, last, count) {
			queried[r.Name], last = round, r.Name
		}
		for _, r := range present {
			if gap := round - queried[r.Name]; gap > turn {
				t.Fatalf("%s was not queried for %d rounds, a turn has %d", r.Name, gap, turn)
			}
		}
	}
	if due := nextInTurn([]fleet.InstanceRecord{{Name: "a"}, {Name: "b"}}, "a", count); len(due) != 2 || due[0].Name != "b" || due[1].Name != "a" {
		t.Errorf("after a, of a and b, %v are due", due)
	}
	if due := nextInTurn(nil, "a", count); len(due) != 0 {
		t.Errorf("of none, %v are due", due)
	}
}
