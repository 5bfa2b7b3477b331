package experiment

import (
	"context"
	"strings"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

// Guards against a combined scenario that lacks a fault of either scenario, changes its
// time, or ends before the longer one does.
func TestPairHasBothFaults(t *testing.T) {
	all := Scenarios(Okafor())
	s, err := CombineNamed(all, "store-down+domain-death")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]time.Duration{
		"store-down.store": 5 * time.Second, "domain-death.death": 5 * time.Second,
		"domain-death.start": 15 * time.Second, "store-down.healthy": 65 * time.Second,
	}
	for i, a := range s.Actions {
		if at, ok := want[a.Name]; !ok || at != a.At || (i > 0 && s.Actions[i-1].At > a.At) {
			t.Errorf("action %s is at %v", a.Name, a.At)
		}
		delete(want, a.Name)
	}
	if len(want) > 0 || s.duration() != 75*time.Second || s.Windows[0].Name != windowBefore {
		t.Errorf("missing are %v; the pair takes %v with windows %v", want, s.duration(), s.Windows)
	}
	c, e := recordedCluster(Okafor())
	for _, u := range c.upstreams {
		u.standin = upstream.NewEngine(upstream.EngineConfig{})
	}
	for _, p := range append(c.sidecars, c.entries...) {
		p.Record.FailureDomain = c.Domain(1)
	}
	for _, a := range s.Actions[:2] {
		if err := a.Do(context.Background(), c); err != nil {
			t.Fatal(err)
		}
	}
	if got := strings.Join(e.all, ","); !strings.Contains(got, "down true") || !strings.Contains(got, "kill entry-0") {
		t.Errorf("the store is not down or the failure domain was not killed: %s", got)
	}
	burst, err := CombineNamed(all, "upstream-slow+burst")
	if err != nil || len(burst.Phases) != 4 || burst.Phases[1].Load != 3*steadyLoad {
		t.Errorf("the load of the burst is %v, %v", burst.Phases, err)
	}
}

// Guards against pairs whose faults undo each other, and against unclear error messages.
func TestIncompatibleScenarios(t *testing.T) {
	all := Scenarios(Okafor())
	for name, reason := range map[string]string{
		"store-down+store-slow":       "both act on the object API",
		"domain-death+domain-planned": "both act on sidecars",
		"upstream-slow+cold":          "both act on the upstreams",
		"steady+cold":                 "steady has no fault",
		"cold+cold":                   "itself",
		"domain-planned+store-down":   "changes the configuration",
		"cold+unheard-of":             `no scenario "unheard-of"`,
		"cold+burst+store-down":       "not two scenarios",
	} {
		if _, err := CombineNamed(all, name); err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("%s gave %v", name, err)
		}
	}
}
