package experiment

import (
	"context"
	"testing"
)

// Guards against a scenario that cuts the wrong connections: it must first isolate one
// sidecar from the entries, then a failure domain from the others and from the object API
// but not from callers, and cut nothing at its end.
func TestBlackHoleScenarioCuts(t *testing.T) {
	topology := Okafor()
	c := &Cluster{topology: topology, env: Environment{Network: NewNetwork(NetworkDelays{})}}
	in, out := topology.FailureDomains[1], topology.FailureDomains[0]
	ends := map[string]Endpoint{
		"192.0.2.1:1": {Process: "sidecar-generate-0", FailureDomain: out},
		"192.0.2.1:2": {Process: "sidecar-generate-1", FailureDomain: in},
		"192.0.2.1:3": {Process: "entry-1", FailureDomain: in},
		"192.0.2.1:4": {Process: platformEndpoint},
	}
	for address, e := range ends {
		c.env.Network.Register(address, e)
	}
	entryOut, entryIn, callers := Endpoint{Process: "entry-0", FailureDomain: out}, Endpoint{Process: "entry-1", FailureDomain: in}, Endpoint{Process: callersEndpoint}
	paths := []struct {
		from Endpoint
		to   string
		// cut is by action.
		cut [4]bool
	}{
		{entryOut, "192.0.2.1:1", [4]bool{true, false, false, false}},
		{entryIn, "192.0.2.1:1", [4]bool{true, false, true, false}},
		{entryOut, "192.0.2.1:2", [4]bool{false, false, true, false}},
		{entryIn, "192.0.2.1:2", [4]bool{}},
		{callers, "192.0.2.1:3", [4]bool{}},
		{entryIn, "192.0.2.1:4", [4]bool{false, false, true, false}},
		{entryOut, "192.0.2.1:4", [4]bool{}},
	}
	for i, a := range BlackHoleScenario(topology).Actions {
		if err := a.Do(context.Background(), c); err != nil {
			t.Fatal(err)
		}
		for _, p := range paths {
			if got := c.env.Network.path(p.from, p.to).cut; got != p.cut[i] {
				t.Errorf("%s: the path from %s to %s is cut: %v", a.Name, p.from.Process, ends[p.to].Process, got)
			}
		}
	}
}
