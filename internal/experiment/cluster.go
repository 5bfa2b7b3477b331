package experiment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Bounds of a run.
const (
	// readyTimeout bounds the start of all processes.
	readyTimeout = 20 * time.Second
	// leaveTimeout bounds a graceful shutdown.
	leaveTimeout = 15 * time.Second
	// killTimeout is the default bound on the wait for a killed process to end.
	killTimeout = 5 * time.Second
	readyPoll   = 20 * time.Millisecond
)

// standinUpstream is the common interface of the engine and service stand-ins.
type standinUpstream interface {
	http.Handler
	SetFaults(upstream.Faults)
	SetCold()
	SetWarm()
	Restart()
	Records() []upstream.Record
	State() upstream.State
}

// runningUpstream is a stand-in upstream that listens.
type runningUpstream struct {
	UpstreamAddress
	standin standinUpstream
	address string
	server  *http.Server
}

// Cluster is a running topology. Its methods inject the faults of scenarios; they must be
// called from one goroutine.
type Cluster struct {
	topology  Topology
	system    System
	env       Environment
	doc       fleet.Document
	platform  *Platform
	upstreams []*runningUpstream
	sidecars  []*Process
	entries   []*Process
	// targets holds the URLs of the entries for callers, which stay the same when an entry
	// ends.
	targets []string
	// stuck holds the names of killed processes that did not end.
	stuck []string

	mu sync.Mutex
	// counts holds the metrics that the methods count during the run.
	counts map[string]float64
	// deferredListChanges holds the changes to the list of instances, by instance name, that are
	// deferred until the end of an outage of the object API.
	deferredListChanges map[string]*fleet.InstanceRecord
	platformDown        bool
	leasePause          *leasePauseRecorder
}

// startCluster starts all processes and waits until they are ready.
func startCluster(ctx context.Context, t Topology, s System, env Environment) (*Cluster, error) {
	c := &Cluster{topology: t, system: s, env: env, doc: t.Document()}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	for i, spec := range c.topology.Upstreams() {
		u, err := startUpstream(ctx, spec, c.env.Seed+uint64(i))
		if err != nil {
			return err
		}
		c.upstreams = append(c.upstreams, u)
		c.env.Upstreams = append(c.env.Upstreams, u.UpstreamAddress)
		c.env.Network.Register(u.address, Endpoint{Process: u.Name, FailureDomain: u.FailureDomain})
	}
	p, err := c.system.StartPlatform(ctx, c.doc, c.env)
	if err != nil {
		return errors.Wrap(err, "starting the platform")
	}
	c.platform = p
	c.env.Network.registerURL(p.URL, Endpoint{Process: platformEndpoint})
	for _, u := range c.upstreams {
		if err := c.startSidecar(ctx, u); err != nil {
			return err
		}
	}
	for n := range c.topology.Entries {
		if err := c.startEntry(ctx, n); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

func (c *Cluster) startSidecar(ctx context.Context, u *runningUpstream) error {
	return c.startSidecarAt(ctx, u, "")
}

func (c *Cluster) startEntry(ctx context.Context, n int) error {
	spec := c.entrySpec(n)
	p, err := c.system.StartEntry(ctx, spec, c.platform, c.env)
	if err != nil {
		return errors.Wrapf(err, "starting %s", spec.Name)
	}
	c.entries = append(c.entries, p)
	c.targets = append(c.targets, p.URL)
	return c.list(ctx, p)
}

func (c *Cluster) entrySpec(n int) EntrySpec {
	return EntrySpec{Name: entryName(n), FailureDomain: c.topology.EntryDomain(n)}
}

func entryName(n int) string { return fmt.Sprintf("entry-%d", n) }

// list adds a process to the platform's list of instances.
func (c *Cluster) list(ctx context.Context, p *Process) error {
	endpoint := Endpoint{Process: p.Name, FailureDomain: p.Record.FailureDomain}
	c.env.Network.Register(p.Record.Address, endpoint)
	c.env.Network.registerURL(p.URL, endpoint)
	if c.platform.PutInstance == nil || c.deferListChange(p.Record.Name, &p.Record) {
		return nil
	}
	return errors.Wrapf(c.platform.PutInstance(ctx, p.Record), "listing %s", p.Name)
}

func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, p := range append(append([]*Process(nil), c.sidecars...), c.entries...) {
		if p.Ready == nil {
			continue
		}
		for {
			err := p.Ready(ctx)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return errors.Wrapf(err, "%s is not ready", p.Name)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// Close kills every process and closes the network.
func (c *Cluster) Close() {
	if c.leasePause != nil {
		c.leasePause.stop()
	}
	for _, p := range append(c.entries, c.sidecars...) {
		c.kill(p)
	}
	c.entries, c.sidecars = nil, nil
	c.env.Network.Close()
	if c.platform != nil {
		c.platform.Close()
	}
	for _, u := range c.upstreams {
		u.stop()
	}
}

// kill kills a process. It does not wait for longer than the kill timeout, so that a
// process that doesn't end fails the run instead of blocking the measurement for ever.
func (c *Cluster) kill(p *Process) {
	p.ended.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Kill()
	}()
	t := time.NewTimer(orDefault(c.system.KillTimeout, killTimeout))
	defer t.Stop()
	c.env.Network.CloseProcess(p.Name)
	select {
	case <-done:
	case <-t.C:
		c.stuck = append(c.stuck, p.Name)
		c.env.Logger.Error().Str("instance", p.Name).Msg("killed process did not end within the timeout")
	}
}

func orDefault(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}

// Ports of stand-in upstreams. They are below the ephemeral range of the operating system,
// because a stand-in that is started again must get its port back.
const (
	lowestPort  = 2_000
	portsPerRun = 200
	portRuns    = 48
)

var nextPort atomic.Int32

// upstreamAddress returns a free address.
func upstreamAddress(ctx context.Context) (string, error) {
	for range portsPerRun {
		port := lowestPort + os.Getpid()%portRuns*portsPerRun + int(nextPort.Add(1))%portsPerRun
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.New("no free port for a stand-in upstream")
}

// startUpstream starts a cold stand-in.
func startUpstream(ctx context.Context, spec UpstreamSpec, seed uint64) (*runningUpstream, error) {
	address, err := upstreamAddress(ctx)
	if err != nil {
		return nil, err
	}
	u := &runningUpstream{UpstreamAddress: UpstreamAddress{UpstreamSpec: spec}, standin: newStandin(spec, seed), address: address}
	return u, u.listen(ctx)
}

func newStandin(spec UpstreamSpec, seed uint64) standinUpstream {
	s := spec.Stage
	loadConfig := upstream.LoadConfig{
		Capacity:     s.Capacity,
		ColdCapacity: s.ColdCapacity,
		WarmUp:       s.WarmUp(),
		ColdSlowdown: s.ColdSlowdown,
		Tolerance:    s.Tolerance,
		ColdGrace:    s.ColdGrace,
		CollapseTime: s.CollapseTime,
		Seed:         seed,
	}
	if s.Protocol == fleet.ProtocolJSON {
		return upstream.NewService(upstream.ServiceConfig{Name: spec.Name, Kind: s.Kind, Load: loadConfig, Time: s.ServiceTime})
	}
	perToken := s.PerToken
	if s.Protocol == fleet.ProtocolEmbeddings {
		perToken = s.ServiceTime
	}
	return upstream.NewEngine(upstream.EngineConfig{
		Name:     spec.Name,
		Model:    s.Model,
		Load:     loadConfig,
		PerToken: perToken,
		Tokens:   s.Tokens,
		// Some deployments ignore fencing tokens; here every second engine does.
		IgnoreFencing: seed%2 == 1,
	})
}

func (u *runningUpstream) listen(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", u.address)
	if err != nil {
		return errors.Wrapf(err, "listening as %s", u.Name)
	}
	u.address = l.Addr().String()
	u.URL = "http://" + u.address
	server := &http.Server{Handler: u.standin, ReadHeaderTimeout: readyTimeout}
	u.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

func (u *runningUpstream) stop() {
	if u.server != nil {
		_ = u.server.Close()
		u.server = nil
	}
}
