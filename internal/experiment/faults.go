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

// KillDomain kills every process and every upstream of the failure domain.
func (c *Cluster) KillDomain(domain string) {
	c.endDomain(domain, c.kill)
	for _, u := range c.upstreams {
		if u.FailureDomain == domain {
			u.stop()
			// Restart aborts the calls in flight and makes the stand-in cold; it does not listen again.
			u.standin.Restart()
		}
	}
}

// ShutDownDomain gracefully shuts down all sidecars of the failure domain concurrently and
// then stops its upstreams, as operators do before maintenance. Its entries keep running.
func (c *Cluster) ShutDownDomain(ctx context.Context, domain string) error {
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
	failed := c.shutDownAll(ctx, leaving)
	for _, u := range c.upstreams {
		if u.FailureDomain == domain {
			u.stop()
			// Restart aborts the calls in flight and makes the stand-in cold; it does not listen again.
			u.standin.Restart()
		}
	}
	return failed
}

// shutDownAll gracefully shuts down the processes concurrently and returns one of their
// errors.
func (c *Cluster) shutDownAll(ctx context.Context, leaving []*Process) error {
	failures := make([]error, len(leaving))
	var wg sync.WaitGroup
	for i, p := range leaving {
		wg.Go(func() {
			p.ended.Store(true)
			failures[i] = errors.Wrapf(p.Leave(ctx), "shutting down %s", p.Name)
			c.env.Network.CloseProcess(p.Name)
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

// StartDomain starts the upstreams, sidecars and entries of the failure domain that are not
// running.
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
		if c.topology.EntryDomain(n) != domain || c.isEntryRunning(n) {
			continue
		}
		if err := c.startEntryAgain(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// KillEntry kills one entry. Callers keep trying its address.
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

// ShutDownEntry gracefully shuts down one entry.
func (c *Cluster) ShutDownEntry(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for i, p := range c.entries {
		if p.URL != c.targets[n] {
			continue
		}
		c.entries = slices.Delete(c.entries, i, i+1)
		p.ended.Store(true)
		err := p.Leave(ctx)
		c.env.Network.CloseProcess(p.Name)
		c.unlist(p)
		return errors.Wrapf(err, "shutting down %s", p.Name)
	}
	return nil
}

// SetUpstreamFaults replaces the injected faults of the upstream with the name.
func (c *Cluster) SetUpstreamFaults(name string, f upstream.Faults) error {
	for _, u := range c.upstreams {
		if u.Name == name {
			u.standin.SetFaults(f)
			return nil
		}
	}
	return errors.Errorf("no upstream %q", name)
}

// SetCold makes a fraction, from 0 to 1, of the upstreams of the stage, but at least one,
// cold without notice to their clients.
func (c *Cluster) SetCold(stage string, fraction float64) error {
	var all []*runningUpstream
	for _, u := range c.upstreams {
		if u.Stage.Name == stage {
			all = append(all, u)
		}
	}
	if len(all) == 0 {
		return errors.Errorf("no upstream of stage %q", stage)
	}
	for _, u := range all[:max(1, int(fraction*float64(len(all))))] {
		u.standin.SetCold()
	}
	return nil
}

func (c *Cluster) setWarm() {
	for _, u := range c.upstreams {
		u.standin.SetWarm()
	}
}

// SetPlatformFaults replaces the injected faults of the object API. A system without an
// object API is not affected.
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
		c.applyDeferredListChanges(context.Background())
	}
}

// endDomain ends the processes of the failure domain with f and removes them from the
// cluster and from the platform's list.
func (c *Cluster) endDomain(domain string, f func(*Process)) {
	ended := func(p *Process) bool {
		if p.Record.FailureDomain != domain {
			return false
		}
		f(p)
		c.unlist(p)
		return true
	}
	c.sidecars = slices.DeleteFunc(c.sidecars, ended)
	c.entries = slices.DeleteFunc(c.entries, ended)
}

// unlist removes a process from the platform's list of instances. It only logs a failure:
// the platform may be down, and its list lags in any case.
func (c *Cluster) unlist(p *Process) {
	if c.platform.RemoveInstance == nil || c.deferListChange(p.Record.Name, nil) {
		return
	}
	if err := c.platform.RemoveInstance(context.Background(), p.Record.Name); err != nil {
		c.env.Logger.Warn().Err(err).Str("instance", p.Name).Msg("removing the instance from the platform's list failed")
	}
}

// isEntryRunning reports whether the entry with the number is running.
func (c *Cluster) isEntryRunning(n int) bool {
	return slices.ContainsFunc(c.entries, func(p *Process) bool { return p.URL == c.targets[n] })
}

// startEntryAgain starts an entry again at its address.
func (c *Cluster) startEntryAgain(ctx context.Context, n int) error {
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
