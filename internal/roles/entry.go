package roles

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/entry"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
	"bergamotrudder.example/bergamotrudder/internal/gateway"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/reconcile"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

// EntryProcess is one running entry.
type EntryProcess struct {
	cfg        *settings.Entry
	logger     *log.Logger
	metrics    *instance.Metrics
	peers      *peer.Client
	server     *peer.Server
	holder     *configuration.Holder
	loader     *configuration.Loader
	publisher  *configuration.Publisher
	sweeper    *configuration.Sweeper
	platform   *platform.Client
	table      *membership.Table
	fresh      *exchange.Freshness
	exchange   *exchange.Service
	node       *exchange.Node
	claims     *booking.Claims
	lease      *reconcile.Lease
	reconciler *reconcile.Reconciler
	intake     *intake.Budget
	entry      *entry.Entry

	peerListener     *instance.Server
	callerListener   *instance.Server
	callerConns      *gateway.IdleConns
	operatorListener *instance.Server
	tasks            *instance.Tasks
	failed           chan error
	routesChanged    chan struct{}
}

// RunEntry runs an entry until ctx ends and its shutdown is complete.
func RunEntry(ctx context.Context, cfg *settings.Entry) error {
	go instance.AdaptGCPercent(ctx)
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryBytes())))
	p, err := StartEntry(ctx, cfg, nil)
	if err != nil {
		return err
	}
	return runUntil(ctx, p, p.failed)
}

// StartEntry starts an entry. It connects to other processes and the object API with
// dial; nil opens TCP connections. The caller must call Shutdown or Close.
func StartEntry(ctx context.Context, cfg *settings.Entry, dial peer.DialFunc) (*EntryProcess, error) {
	handler := &settableHandler{}
	peerListener, err := instance.Listen(ctx, cfg.PeerListen().String(), handler)
	if err != nil {
		return nil, err
	}
	p, err := newEntryProcess(cfg, advertised(cfg.Advertise(), peerListener.Address()), dial)
	if err != nil {
		_ = peerListener.Close()
		return nil, err
	}
	p.peerListener = peerListener
	p.failed, p.routesChanged = make(chan error, listenerCount), make(chan struct{}, 1)
	if err := p.listen(ctx); err != nil {
		p.closeListeners()
		return nil, err
	}
	p.guard(peerListener, "peers")
	trustAuthorized(p.server)
	p.guard(p.operatorListener, "operators")
	handler.set(p.server)
	p.start()
	return p, nil
}

// listenerCount is the number of listeners of an entry.
const listenerCount = 3

func (p *EntryProcess) listen(ctx context.Context) error {
	if err := p.register(); err != nil {
		return err
	}
	var err error
	callers := p.entry.Handler(p.metrics.Handler())
	p.callerConns = gateway.NewIdleConns(func() time.Duration { return 0 }, p.intake, p.logger)
	if p.callerListener, err = listenCallers(ctx, p.cfg.CallerListen().String(), callers, p.callerConns); err != nil {
		return err
	}
	p.operatorListener, err = instance.Listen(ctx, p.cfg.OperatorListen().String(), p.newOperator())
	return err
}

func (p *EntryProcess) guard(s *instance.Server, name string) {
	guardListener(s, name, p.cfg.MemoryBytes(), p.cfg.Descriptors(), p.logger, p.metrics.Scope())
}

// listenCallers opens the listener for callers, whose connections are tracked.
func listenCallers(ctx context.Context, address string, h http.Handler, conns *gateway.IdleConns) (*instance.Server, error) {
	track := func(s *http.Server) { s.ConnState, s.ConnContext = conns.Track, gateway.WithConn }
	conns.ServeHTTP2()
	s, err := instance.Listen(ctx, address, conns.Handler(h), instance.WithUnencryptedHTTP2(), track)
	if err != nil {
		return nil, err
	}
	s.WrapListener(conns.Listener)
	return s, nil
}

// shutDownCallers closes the listener and waits for the requests in progress.
// http.Server.Shutdown drops a request of HTTP/1 that was just read, so these connections are
// drained before it.
func shutDownCallers(ctx context.Context, s *instance.Server, conns *gateway.IdleConns) error {
	if err := s.StopAccepting(); err != nil {
		return err
	}
	if err := conns.Drain(ctx); err != nil {
		return errors.Wrap(err, "draining the callers' connections")
	}
	return s.Shutdown(ctx)
}

func (p *EntryProcess) register() error {
	if err := p.entry.Register(p.server); err != nil {
		return err
	}
	if err := p.server.Register(exchange.ServiceName, p.exchange); err != nil {
		return err
	}
	return registerState(p.server, p.holder, p.dump)
}

func (p *EntryProcess) start() {
	p.tasks = instance.NewTasks(backgroundWorkers)
	for _, l := range p.listeners() {
		p.tasks.Go(func(context.Context) { p.failed <- l.Serve() })
	}
	p.tasks.Every(idleCheckPeriod, p.intake.Report)
	p.tasks.Go(p.claims.Run)
	p.tasks.Go(p.bootstrap)
	p.tasks.Go(p.watch)
	p.tasks.Go(p.updateRoutes)
	p.logger.Info().Str("callers", p.callerListener.Address()).Str("operators", p.operatorListener.Address()).
		Str("peers", p.peerListener.Address()).Msg("entry is listening")
}

func (p *EntryProcess) listeners() []*instance.Server {
	var all []*instance.Server
	for _, l := range []*instance.Server{p.peerListener, p.callerListener, p.operatorListener} {
		if l != nil {
			all = append(all, l)
		}
	}
	return all
}

// CallerAddress returns the address of the callers' listener.
func (p *EntryProcess) CallerAddress() string { return p.callerListener.Address() }

// OperatorAddress returns the address of the operators' listener.
func (p *EntryProcess) OperatorAddress() string { return p.operatorListener.Address() }

// PeerAddress returns the address of the peer listener.
func (p *EntryProcess) PeerAddress() string { return p.peerListener.Address() }

// Generation returns the generation in force.
func (p *EntryProcess) Generation() uint64 { return p.holder.Generation() }

// Entry returns the role's state.
func (p *EntryProcess) Entry() *entry.Entry { return p.entry }

// Shutdown fails the readiness check, serves on for the drain delay so that the
// platform's balancer stops sending requests, waits for the requests in progress and
// for unwritten outcomes, and closes the process.
func (p *EntryProcess) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DrainDelay()+p.cfg.DrainTimeout())
	defer cancel()
	p.logger.Info().Msg("entry is leaving")
	p.entry.Leave()
	p.table.Leave()
	instance.Pause(ctx, p.cfg.DrainDelay())
	err := shutDownCallers(ctx, p.callerListener, p.callerConns)
	if drained := p.drain(ctx); err == nil {
		err = drained
	}
	if err != nil {
		p.logger.Error().Err(err).Msg("work was still in progress at the end of the drain time")
	}
	p.Close()
	return err
}

// drain waits for requests that run on without their caller and for outcomes that are
// not yet in the store.
func (p *EntryProcess) drain(ctx context.Context) error {
	if err := p.entry.Drain(ctx); err != nil {
		return err
	}
	return errors.Wrap(p.claims.Flush(ctx), "outcomes of claims are not in the store")
}

// Close stops the process without waiting for requests.
func (p *EntryProcess) Close() {
	p.closeListeners()
	p.tasks.Stop()
	p.peers.Close("")
	_ = p.metrics.Close()
}

func (p *EntryProcess) closeListeners() {
	for _, l := range p.listeners() {
		_ = l.Close()
	}
}
