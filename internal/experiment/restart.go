package experiment

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// bindAttempts is the maximum number of further attempts to start a process at its previous
// address, which an outgoing connection may use as its local address for a moment.
const bindAttempts = 20

// restartGrace is how long the supervisor of processes waits for a graceful shutdown before
// it kills the process. Otherwise an entry with outcomes that it can't write during an outage of the
// object API would run until the end of its drain time.
const restartGrace = 5 * time.Second

// RestartSidecar shuts down the sidecar of the upstream gracefully or kills it, and starts
// it again at its address. The upstream keeps running. A system without sidecars is not
// affected.
func (c *Cluster) RestartSidecar(ctx context.Context, upstream string, graceful bool) error {
	i := slices.IndexFunc(c.sidecars, func(p *Process) bool { return p.Name == sidecarName(upstream) })
	u := c.upstream(upstream)
	if i < 0 || u == nil {
		return nil
	}
	p := c.sidecars[i]
	c.sidecars = slices.Delete(c.sidecars, i, i+1)
	c.stop(ctx, p, graceful)
	c.count(MetricRestarts, 1)
	return startAgain(ctx, func() error { return c.startSidecarAt(ctx, u, p.Record.Address) })
}

// RestartEntry shuts down the entry with the number gracefully or kills it, and starts it
// again at its address.
func (c *Cluster) RestartEntry(ctx context.Context, n int, graceful bool) error {
	i := slices.IndexFunc(c.entries, func(p *Process) bool { return p.URL == c.targets[n] })
	if i < 0 {
		return nil
	}
	p := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	c.stop(ctx, p, graceful)
	c.count(MetricRestarts, 1)
	return startAgain(ctx, func() error { return c.startEntryAgain(ctx, n) })
}

// stop shuts down a process gracefully or kills it. It counts graceful shutdowns that
// return an error, such as for interrupted work, and kills the process then.
func (c *Cluster) stop(ctx context.Context, p *Process, graceful bool) {
	if !graceful {
		c.kill(p)
		c.unlist(p)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, restartGrace)
	defer cancel()
	p.ended.Store(true)
	if err := p.Leave(ctx); err != nil {
		c.count(MetricShutdownsFailed, 1)
		c.env.Logger.Error().Err(err).Str("instance", p.Name).Msg("graceful shutdown failed")
		c.kill(p)
	}
	c.env.Network.CloseProcess(p.Name)
	c.unlist(p)
}

func startAgain(ctx context.Context, start func() error) error {
	err := start()
	for range bindAttempts {
		if err == nil || !strings.Contains(err.Error(), "address already in use") || ctx.Err() != nil {
			break
		}
		time.Sleep(readyPoll)
		err = start()
	}
	return err
}

// startSidecarAt starts the sidecar of an upstream; an empty address selects a free port.
func (c *Cluster) startSidecarAt(ctx context.Context, u *runningUpstream, address string) error {
	if c.system.StartSidecar == nil {
		return nil
	}
	spec := SidecarSpec{Name: sidecarName(u.Name), Upstream: u.UpstreamAddress, Listen: address}
	p, err := c.system.StartSidecar(ctx, spec, c.platform, c.env)
	if err != nil {
		return errors.Wrapf(err, "starting %s", spec.Name)
	}
	c.sidecars = append(c.sidecars, p)
	return c.list(ctx, p)
}

func sidecarName(upstream string) string { return "sidecar-" + upstream }

func (c *Cluster) upstream(name string) *runningUpstream {
	for _, u := range c.upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// count adds to a metric of the run. It is safe for concurrent use.
func (c *Cluster) count(metric string, n float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]float64)
	}
	c.counts[metric] += n
}

// addCounts adds the counts to the metrics of the run.
func (c *Cluster) addCounts(m map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m[MetricShutdownsFailed] = 0
	for metric, n := range c.counts {
		m[metric] = n
	}
}

// deferListChange defers a change to the list of instances while the object API, which stores
// the list, is down. It reports whether it did; a nil record removes the instance.
func (c *Cluster) deferListChange(name string, r *fleet.InstanceRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.platformDown {
		return false
	}
	if c.deferredListChanges == nil {
		c.deferredListChanges = make(map[string]*fleet.InstanceRecord)
	}
	c.deferredListChanges[name] = r
	return true
}

// applyDeferredListChanges applies the deferred changes to the list of instances after an outage.
func (c *Cluster) applyDeferredListChanges(ctx context.Context) {
	c.mu.Lock()
	changes := c.deferredListChanges
	c.deferredListChanges = nil
	c.mu.Unlock()
	for name, r := range changes {
		var err error
		if r == nil {
			err = c.platform.RemoveInstance(ctx, name)
		} else {
			err = c.platform.PutInstance(ctx, *r)
		}
		if err != nil {
			c.env.Logger.Warn().Err(err).Str("instance", name).Msg("changing the platform's list of instances failed")
		}
	}
}

// StoreRestartScenario takes the object API down for a minute, in which every sidecar and
// entry is restarted once, one after the other, alternately gracefully and by a kill.
func StoreRestartScenario(t Topology) Scenario {
	s := StoreScenario(t, PlatformFaults{Down: true}, "store-down-restarts")
	s.ActsOn = append(s.ActsOn, targetProcesses, targetEntries)
	down, up := s.Actions[0], s.Actions[1]
	restarts := restartActions(t)
	begin, end := down.At+time.Second, up.At-2*time.Second
	for i := range restarts {
		restarts[i].At = begin + (end-begin)*time.Duration(i)/time.Duration(len(restarts))
	}
	s.Actions = append(append([]Action{down}, restarts...), up)
	return s
}

// restartActions returns the restarts of the sidecars in the order of the upstreams, with
// those of the entries evenly distributed between them.
func restartActions(t Topology) []Action {
	var all []Action
	add := func(name string, restart func(ctx context.Context, c *Cluster, graceful bool) error) {
		graceful := len(all)%2 == 0
		kind := "death"
		if graceful {
			kind = "graceful"
		}
		all = append(all, Action{Name: "restart " + name + " " + kind, Do: func(ctx context.Context, c *Cluster) error {
			return restart(ctx, c, graceful)
		}})
	}
	upstreams := t.Upstreams()
	entry := 0
	for i, u := range upstreams {
		add(u.Name, func(ctx context.Context, c *Cluster, graceful bool) error {
			return c.RestartSidecar(ctx, u.Name, graceful)
		})
		if entry < t.Entries && (i+1)*t.Entries >= (entry+1)*len(upstreams) {
			n := entry
			add(entryName(n), func(ctx context.Context, c *Cluster, graceful bool) error { return c.RestartEntry(ctx, n, graceful) })
			entry++
		}
	}
	return all
}
