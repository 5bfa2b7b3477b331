package experiment

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

// SetOutOfService commits a configuration in which the failure domain is in or out of service.
func (c *Cluster) SetOutOfService(ctx context.Context, domain string, out bool) error {
	doc := c.doc
	doc.FailureDomains = slices.Clone(doc.FailureDomains)
	for i := range doc.FailureDomains {
		if doc.FailureDomains[i].Name == domain {
			doc.FailureDomains[i].OutOfService = out
		}
	}
	if err := c.platform.Commit(ctx, doc); err != nil {
		return errors.Wrap(err, "committing the configuration")
	}
	c.doc = doc
	return nil
}

// KillDomain ends every process and every upstream of the failure domain at once.
func (c *Cluster) KillDomain(domain string) {
	c.end(domain, c.kill)
	for _, u := range c.upstreams {
		if u.FailureDomain == domain {
			u.stop()
			u.standin.Restart()
		}
	}
}

// LeaveDomain shuts the sidecars of the failure domain down gracefully, all at once,
// and then its upstreams, as operators do before they work on it. Its entries stay.
func (c *Cluster) LeaveDomain(ctx context.Context, domain string) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var leaving []*Process
	c.sidecars = slices.DeleteFunc(c.sidecars, func(p *Process) bool {
		if p.Record.FailureDomain != domain {
			return false
		}
		leaving = append(leaving, p)
		return true
	})
	failed := c.leave(ctx, leaving)
	for _, u := range c.upstreams {
		if u.FailureDomain == domain {
			u.stop()
			u.standin.Restart()
		}
	}
	return failed
}

// leave shuts the processes down at once and returns one of their errors.
func (c *Cluster) leave(ctx context.Context, leaving []*Process) error {
	failures := make([]error, len(leaving))
	var wg sync.WaitGroup
	for i, p := range leaving {
		wg.Go(func() {
			p.ended.Store(true)
			failures[i] = errors.Wrapf(p.Leave(ctx), "shutting down %s", p.Name)
			c.env.Network.End(p.Name)
			c.unlist(p)
		})
	}
	wg.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// StartDomain starts the upstreams, sidecars and entries of the failure domain that don't run.
func (c *Cluster) StartDomain(ctx context.Context, domain string) error {
	for _, u := range c.upstreams {
		if u.FailureDomain != domain || u.server != nil {
			continue
		}
		if err := u.listen(ctx); err != nil {
			return err
		}
		if err := c.startSidecar(ctx, u); err != nil {
			return err
		}
	}
	for n := range c.topology.Entries {
		if c.topology.EntryDomain(n) != domain || c.runs(n) {
			continue
		}
		if err := c.replaceEntry(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// KillEntry ends one entry at once. Callers go on trying its address.
func (c *Cluster) KillEntry(n int) {
	c.entries = slices.DeleteFunc(c.entries, func(p *Process) bool {
		if p.URL != c.targets[n] {
			return false
		}
		c.kill(p)
		c.unlist(p)
		return true
	})
}

// LeaveEntry shuts one entry down gracefully.
func (c *Cluster) LeaveEntry(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for i, p := range c.entries {
		if p.URL != c.targets[n] {
			continue
		}
		c.entries = slices.Delete(c.entries, i, i+1)
		p.ended.Store(true)
		err := p.Leave(ctx)
		c.env.Network.End(p.Name)
		c.unlist(p)
		return errors.Wrapf(err, "shutting down %s", p.Name)
	}
	return nil
}

// SetUpstreamFaults sets the faults of the upstream with the name.
func (c *Cluster) SetUpstreamFaults(name string, f upstream.Faults) error {
	for _, u := range c.upstreams {
		if u.Name == name {
			u.standin.SetFaults(f)
			return nil
		}
	}
	return errors.Errorf("no upstream %q", name)
}

// TurnCold turns a share, from 0 to 1, of the upstreams of the stage cold without a sign.
func (c *Cluster) TurnCold(stage string, share float64) error {
	var all []*runningUpstream
	for _, u := range c.upstreams {
		if u.Stage.Name == stage {
			all = append(all, u)
		}
	}
	if len(all) == 0 {
		return errors.Errorf("no upstream of stage %q", stage)
	}
	for _, u := range all[:max(1, int(share*float64(len(all))))] {
		u.standin.SetCold()
	}
	return nil
}

func (c *Cluster) turnWarm() {
	for _, u := range c.upstreams {
		u.standin.SetWarm()
	}
}

// SetPlatformFaults changes how the object API fails. A system without one is not affected.
func (c *Cluster) SetPlatformFaults(f PlatformFaults) {
	if c.platform.SetFaults == nil {
		return
	}
	c.mu.Lock()
	wasDown := c.platformDown
	c.platformDown = f.Down
	c.mu.Unlock()
	c.platform.SetFaults(f)
	if wasDown && !f.Down {
		c.catchUp(context.Background())
	}
}

// end ends the processes of the failure domain.
func (c *Cluster) end(domain string, f func(*Process)) {
	gone := func(p *Process) bool {
		if p.Record.FailureDomain != domain {
			return false
		}
		f(p)
		c.unlist(p)
		return true
	}
	c.sidecars = slices.DeleteFunc(c.sidecars, gone)
	c.entries = slices.DeleteFunc(c.entries, gone)
}

// unlist removes a process from the platform's list. The platform may be down, and
// its list lags in any case, so a failure changes nothing.
func (c *Cluster) unlist(p *Process) {
	if c.platform.RemoveInstance == nil || c.deferList(p.Record.Name, nil) {
		return
	}
	if err := c.platform.RemoveInstance(context.Background(), p.Record.Name); err != nil {
		c.env.Logger.Warn().Err(err).Str("instance", p.Name).Msg("instance was not removed from the list")
	}
}

// runs reports whether the entry with the number runs.
func (c *Cluster) runs(n int) bool {
	return slices.ContainsFunc(c.entries, func(p *Process) bool { return p.URL == c.targets[n] })
}

// replaceEntry starts an entry again under its number.
func (c *Cluster) replaceEntry(ctx context.Context, n int) error {
	spec := c.entrySpec(n)
	spec.Listen = strings.TrimPrefix(c.targets[n], "http://")
	p, err := c.system.StartEntry(ctx, spec, c.platform, c.env)
	if err != nil {
		return errors.Wrapf(err, "starting %s again", spec.Name)
	}
	c.entries = append(c.entries, p)
	return c.list(ctx, p)
}

// Domain returns the failure domain with the number.
func (c *Cluster) Domain(n int) string { return c.topology.FailureDomains[n] }
