package experiment

import (
	"context"
	"time"
)

// IsolateUpstream drops everything between the upstream's sidecar and all other
// processes silently, as a network does that neither delivers nor resets. In a system
// without sidecars it is the upstream itself.
func (c *Cluster) IsolateUpstream(upstream string) {
	c.env.Network.SetCut(func(a, b Endpoint) bool {
		return isolate(sidecarName(upstream))(a, b) || isolate(upstream)(a, b)
	})
}

// IsolateDomain drops everything between the failure domain and the others, and the
// object API, silently. Callers still reach its entries.
func (c *Cluster) IsolateDomain(domain string) {
	c.env.Network.SetCut(func(a, b Endpoint) bool {
		if a.Process == callersEnd || b.Process == callersEnd {
			return false
		}
		return (a.FailureDomain == domain) != (b.FailureDomain == domain)
	})
}

// RestoreNetwork ends every cut.
func (c *Cluster) RestoreNetwork() { c.env.Network.SetCut(nil) }

// BlackHoleScenario drops the network to one upstream's sidecar silently, and later
// that to a whole failure domain.
func BlackHoleScenario(t Topology) Scenario {
	s := base("black-hole", t)
	s.ActsOn = []string{onNetwork}
	left := float64(len(t.FailureDomains)-1) / float64(len(t.FailureDomains))
	s.Phases = []Phase{{Duration: 40 * time.Second, Load: 0.85 * steadyLoad * left}}
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
	s.Bounds = append(sound(),
		Bound{Metric: DropMetric("sidecar"), IsUpper: true, Value: 0.01},
		// Entries that are cut off from the object API can't claim keys, so only
		// requests without a key are bound.
		Bound{Metric: UnkeyedDropMetric("domain-later"), IsUpper: true, Value: 0.01},
		Bound{Metric: DropMetric("back"), IsUpper: true, Value: 0.01},
		Bound{Metric: MetricCollapses, IsUpper: true})
	return s
}
