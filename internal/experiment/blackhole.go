package experiment

import (
	"context"
	"time"
)

// IsolateUpstream cuts the network between the upstream's sidecar and the other processes:
// it delivers nothing between them until the cut ends, and does not reset connections. In a
// system without sidecars it isolates the upstream itself.
func (c *Cluster) IsolateUpstream(upstream string) {
	c.env.Network.SetCut(func(a, b Endpoint) bool {
		return isolate(sidecarName(upstream))(a, b) || isolate(upstream)(a, b)
	})
}

// IsolateDomain cuts the network between the failure domain and both the others and the
// object API: it delivers nothing between them until the cut ends. Callers still reach the
// domain's entries.
func (c *Cluster) IsolateDomain(domain string) {
	c.env.Network.SetCut(func(a, b Endpoint) bool {
		if a.Process == callersEndpoint || b.Process == callersEndpoint {
			return false
		}
		return (a.FailureDomain == domain) != (b.FailureDomain == domain)
	})
}

// RestoreNetwork ends the cut; what was written during it is delivered.
func (c *Cluster) RestoreNetwork() { c.env.Network.SetCut(nil) }

// BlackHoleScenario isolates one upstream's sidecar, and later a whole failure domain. The
// network delivers nothing between the isolated processes and the others until the cut ends.
func BlackHoleScenario(t Topology) Scenario {
	s := baseScenario("black-hole", t)
	s.ActsOn = []string{targetNetwork}
	remaining := float64(len(t.FailureDomains)-1) / float64(len(t.FailureDomains))
	s.Phases = []Phase{{Duration: 40 * time.Second, Load: 0.85 * steadyLoad * remaining}}
	do := func(f func(c *Cluster)) func(context.Context, *Cluster) error {
		return func(_ context.Context, c *Cluster) error {
			f(c)
			return nil
		}
	}
	s.Actions = []Action{
		{Name: "sidecar", At: 5 * time.Second, Do: do(func(c *Cluster) { c.IsolateUpstream("generate-0") })},
		{Name: "sidecar-back", At: 13 * time.Second, Do: do((*Cluster).RestoreNetwork)},
		{Name: "domain", At: 18 * time.Second, Do: do(func(c *Cluster) { c.IsolateDomain(c.Domain(1)) })},
		{Name: "domain-back", At: 28 * time.Second, Do: do((*Cluster).RestoreNetwork)},
	}
	s.Windows = []Window{
		{Name: windowBefore, To: 5 * time.Second},
		{Name: "sidecar", From: 5 * time.Second, To: 13 * time.Second},
		{Name: "domain", From: 18 * time.Second, To: 28 * time.Second},
		{Name: "domain-later", From: 20 * time.Second, To: 28 * time.Second},
		{Name: "back", From: 28 * time.Second, To: 40 * time.Second},
	}
	s.Bounds = append(invariantBounds(),
		Bound{Metric: DropMetric("sidecar"), IsUpper: true, Value: 0.01},
		// Entries that can't reach the object API can't claim keys, so the bound applies
		// only to requests without a key.
		Bound{Metric: UnkeyedDropMetric("domain-later"), IsUpper: true, Value: 0.01},
		Bound{Metric: DropMetric("back"), IsUpper: true, Value: 0.01},
		Bound{Metric: MetricCollapses, IsUpper: true})
	return s
}
