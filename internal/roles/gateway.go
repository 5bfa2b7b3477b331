package roles

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/negroni/v3"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/gateway"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

const (
	// storeTimeout limits a call to the store. A slow store takes some hundred
	// milliseconds to respond.
	storeTimeout = 900 * time.Millisecond
	// storeKeepAlive is the idle time after which TCP probes a connection to the store.
	storeKeepAlive = time.Second
	// storeListBytes bounds a page of a list or the changes of a long poll: the store's pages
	// have about a megabyte.
	storeListBytes = 8 << 20
	// gatewayHeaderTimeout limits how long a caller may take to send the header of a
	// request, and gatewayIdleTimeout how long a connection may be idle. They are the outer
	// bounds of the HTTP server, with and without a configuration, and exceed the maximum
	// of the configuration, so that no caller within the configured limits is
	// disconnected. A lower configured idle timeout is enforced by gateway.IdleConns.
	gatewayHeaderTimeout = 15 * time.Second
	gatewayIdleTimeout   = 5 * time.Minute
	// gatewayHeaderBytes limits the header bytes read from a connection; the gateway checks
	// the configuration's lower limit.
	gatewayHeaderBytes = 64 << 10
	// exitMargin is the part of the grace period that is kept free for the process to exit:
	// closeTimeout, deregisterTimeout and the exit itself.
	exitMargin = 700 * time.Millisecond
	// closeTimeout is how long responses that were just written may take to be sent.
	closeTimeout = 100 * time.Millisecond
	// deregisterTimeout bounds the call to the store at the end of a process.
	deregisterTimeout = 250 * time.Millisecond
	// heapFraction is the fraction of the memory that is set as Go's memory limit, above
	// which the garbage collector runs more often. The rest is for stacks, socket
	// buffers and the mapped program.
	heapFraction = 0.6
	// promptMemoryFraction of the memory limit is for the parts of prompts that upstreams are
	// expected to have cached. It stays taken when the callers have left.
	promptMemoryFraction = 0.03
	// idleCheckPeriod is the interval between checks for connections over the idle timeout.
	idleCheckPeriod = time.Second
	// dropReportPeriod is the minimum interval between two reports of dropped log lines.
	dropReportPeriod = time.Second
	// linkMbpsPerCore is the bandwidth that a gateway with one core of work for the others
	// uses. The link bounds the capacity of an instance as the processor does.
	linkMbpsPerCore = 100.0
	// logBufferLines is the maximum number of buffered log lines; further ones are dropped.
	logBufferLines = 4096
)

// GatewayProcess is a running gateway.
type GatewayProcess struct {
	cfg           *settings.Gateway
	logger        *log.Logger
	metrics       *instance.Metrics
	catalog       *catalog.Catalog
	judge         *availability.Judge
	catalogSyncer *gateway.CatalogSyncer
	gateway       *gateway.Gateway
	stages        *gateway.Stages
	table         *placement.Table
	dialect       *dialect.Dialect
	roster        *roster.Roster
	registrar     *gateway.Registrar
	heartbeats    *gateway.Heartbeats
	service       *gateway.Service
	crashes       *gateway.Crashes
	quarantined   *gateway.QuarantineStore
	rollouts      *gateway.Rollouts
	peerClient    *lazyPeerClient
	intake        *intake.Budget
}

// lazyPeerClient is the client for calls to other gateways. It is set once the shared
// secret is known.
type lazyPeerClient struct {
	client atomic.Pointer[peer.Client]
}

func newLazyPeerClient() *lazyPeerClient { return &lazyPeerClient{} }

func newCallFunc(c *lazyPeerClient) gateway.CallFunc {
	return func(ctx context.Context, address, method string, args, reply any) error {
		client := c.client.Load()
		if client == nil {
			return errors.New("the shared secret of the gateways is not known yet")
		}
		return client.Call(ctx, address, method, args, reply)
	}
}

func newRoster(cfg *settings.Gateway) *roster.Roster {
	return roster.New(roster.Gateway{
		Name:          cfg.Name(),
		FailureDomain: cfg.FailureDomain(),
		Address:       cfg.PeerListen().String(),
		Incarnation:   instance.NewIncarnation(),
		Capacity:      min(cfg.Cores(), cfg.LinkMbps()/linkMbpsPerCore),
	})
}

// RunGateway runs a gateway that uses the dialect until ctx ends.
func RunGateway(ctx context.Context, cfg *settings.Gateway, reload func() (*settings.Gateway, error), d dialect.Dialect) error {
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryBytes())))
	p := newGatewayProcess(cfg, &d)
	return p.run(ctx, reload)
}

func newGatewayLogger(cfg *settings.Gateway) *log.Logger {
	l := withIdentity(instance.NewLogger(cfg.LogLevel(), os.Stdout), fleet.RoleGateway, cfg.Name())
	l.Writer = instance.NewLogWriter(os.Stdout, logBufferLines)
	return l
}

func newStoreClient(cfg *settings.Gateway, d *dialect.Dialect, scope tally.Scope) *platform.Client {
	dialer := net.Dialer{Timeout: storeTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: storeKeepAlive, Interval: storeKeepAlive, Count: 2}}
	return platform.New(platform.Config{
		BaseURL:      "http://" + cfg.PlatformAddress().String(),
		CallTimeout:  storeTimeout,
		Wire:         d.Store,
		LongPolls:    gateway.LongPolls(),
		MaxListBytes: storeListBytes,
	}, &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, DisableCompression: true, MaxResponseHeaderBytes: platform.MaxResponseHeaderBytes,
	}}, scope)
}

func newPool(d *dialect.Dialect, judge *availability.Judge) *forward.Pool {
	return forward.New(forward.Config{ReadResponseInfo: d.ReadResponseInfo, Observe: judge.Observe}, forward.Dial())
}

func newGatewayIntake(cfg *settings.Gateway, logger *log.Logger, scope tally.Scope) *intake.Budget {
	return newIntake(cfg.MemoryBytes(), cfg.Descriptors(), logger, scope)
}

func newGatewayConfig(cfg *settings.Gateway) gateway.Config {
	return gateway.Config{FailureDomain: cfg.FailureDomain()}
}

func newRolloutBounds(cfg *settings.Gateway) rollout.Bounds {
	return rollout.Bounds{Share: cfg.ExposureShare(), Slack: float64(cfg.ExposureSlack())}
}

func newPlacement(cfg *settings.Gateway, judge *availability.Judge, r *roster.Roster) *placement.Table {
	t := placement.New(judge, func() ratelimit.Share {
		index, count := r.Share(time.Now())
		return ratelimit.Share{Index: index, Count: count}
	})
	t.LimitMemory(int64(promptMemoryFraction * float64(cfg.MemoryBytes())))
	return t
}

// applyView passes a new view to the components that keep state per upstream, first to the
// judge, which the others ask.
func (p *GatewayProcess) applyView(v *catalog.View) {
	p.judge.Update(v)
	p.rollouts.Update(v)
	p.stages.Update(v)
	p.table.Retain(func(id string) bool { return v.Upstream(id) != nil })
}

func (p *GatewayProcess) run(ctx context.Context, reload func() (*settings.Gateway, error)) error {
	defer p.closeLog()
	hangups := notifyHangups()
	tasks := instance.NewTasks(1)
	defer tasks.Stop()
	tasks.Every(dropReportPeriod, p.reportDroppedLines)
	p.catalog.OnChange(p.applyView)
	p.gateway.UseConfirmation(p.catalogSyncer.IsConfirmed)
	p.judge.UseShares(func(service, id string) (ratelimit.Share, bool) {
		// Until the others are listed, this gateway would count as the only one.
		return p.stages.LimitShare(service, id), p.registrar.HasListed()
	})
	tasks.Go(p.catalogSyncer.Run)
	tasks.Go(p.join)
	tasks.Go(func(ctx context.Context) { instance.Supervise(ctx, p.logger, "quarantine", p.quarantined.Run) })
	tasks.Go(func(ctx context.Context) { instance.Supervise(ctx, p.logger, "rollouts", p.rollouts.Run) })
	tasks.Go(func(ctx context.Context) {
		instance.Supervise(ctx, p.logger, "reload", func(ctx context.Context) { p.reloadOnHangup(ctx, hangups, reload) })
	})
	ready, err := listenGateway(ctx, p.cfg.ReadyListen().String(), p.readiness(), withWriteTimeout)
	if err != nil {
		return err
	}
	p.guard(ready, "ready")
	metrics, err := listenGateway(ctx, p.cfg.MetricsListen().String(), limitInspections(p.inspection()), withWriteTimeout)
	if err != nil {
		return err
	}
	p.guard(metrics, "metrics")
	idle := gateway.NewIdleConns(func() time.Duration { return p.catalog.View().Limits().IdleTimeout }, p.intake, p.logger)
	callers, err := listenGateway(ctx, p.cfg.CallerListen().String(), idle.Handler(p.gateway), func(s *http.Server) { s.ConnState, s.ConnContext = idle.Track, gateway.WithConn })
	if err != nil {
		return err
	}
	callers.WrapListener(idle.Listener)
	tasks.Every(idleCheckPeriod, idle.Sweep)
	tasks.Every(idleCheckPeriod, p.intake.Report)
	tasks.Every(idleCheckPeriod, p.crashes.Expire)
	tasks.Every(idleCheckPeriod, p.judge.ReportReturns)
	failed := make(chan error, 3)
	for _, l := range []*instance.Server{ready, metrics, callers} {
		go func() { failed <- l.Serve() }()
	}
	p.logger.Info().Str("callerListen", p.cfg.CallerListen().String()).Float64("capacityCores", p.roster.Self().Capacity).Msg("gateway started")
	select {
	case <-ctx.Done():
		p.shutDown(callers, idle)
		return nil
	case err := <-failed:
		return err
	}
}

func (p *GatewayProcess) guard(s *instance.Server, name string) {
	guardListener(s, name, p.cfg.MemoryBytes(), p.cfg.Descriptors(), p.logger, p.metrics.Scope())
}

// join registers this gateway, serves the calls of the others and sends them heartbeats.
func (p *GatewayProcess) join(ctx context.Context) {
	shared, err := p.registrar.Secret(ctx)
	if err != nil {
		return
	}
	server := peer.NewServer(shared)
	trustAuthorized(server)
	if err := server.Register("Gateway", p.service); err != nil {
		p.logger.Error().Err(err).Msg("other gateways are not served")
		return
	}
	l, err := listenGateway(ctx, p.cfg.PeerListen().String(), server)
	if err != nil {
		p.logger.Error().Err(err).Msg("other gateways are not served")
		return
	}
	p.guard(l, "peers")
	client := peer.NewClient(shared, peer.DialFunc(forward.Dial()))
	p.registrar.OnSecret(func(secret string) {
		// The others may learn of it later, so it is accepted before it is used.
		server.AddSecret(secret)
		client.AddSecret(secret)
	})
	p.peerClient.client.Store(client)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := l.Serve(); err != nil {
			p.logger.Error().Err(err).Msg("other gateways are no longer served")
		}
	})
	wg.Go(func() { instance.Supervise(ctx, p.logger, "registrations", p.registrar.Run) })
	wg.Go(func() { instance.Supervise(ctx, p.logger, "heartbeats", p.heartbeats.Run) })
	<-ctx.Done()
	_ = l.Close()
	wg.Wait()
}

// shutDown fails the readiness check, accepts requests for the drain delay until the balancer
// stops sending them, refuses further ones with stages or streams, waits for the requests in
// progress and deregisters from the store. The listener stays open until the end: for callers
// that still connect, a refusal is better than a connection that is reset. All requests are
// answered by exitMargin before the end of the grace period. Connections are then ended by
// IdleConns and not by http.Server.Shutdown, which drops a request that was just read.
func (p *GatewayProcess) shutDown(callers *instance.Server, idle *gateway.IdleConns) {
	started := time.Now()
	end := started.Add(p.cfg.GracePeriod() - exitMargin)
	p.logger.Info().Dur("grace", p.cfg.GracePeriod()).Msg("gateway leaving")
	p.gateway.Leave(end)
	time.Sleep(p.cfg.DrainDelay())
	p.gateway.RefuseNew()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := p.gateway.WaitIdle(ctx)
	if stopErr := callers.StopAccepting(); stopErr != nil {
		p.logger.Warn().Err(stopErr).Msg("closing the callers' listener failed; it ends with the process")
	}
	// A request that is read by now still gets its answer.
	ctx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	if drainErr := idle.Drain(ctx); drainErr != nil {
		p.logger.Info().Err(drainErr).Msg("callers' connections still open; they end with the process")
	}
	ctx, cancelCall := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancelCall()
	if err := p.registrar.Deregister(ctx); err != nil {
		p.logger.Warn().Err(err).Msg("deregistering failed; other gateways detect the missing heartbeats")
	}
	p.gateway.LogDeparture(time.Since(started), err)
}

// closeLog writes the buffered log lines.
func (p *GatewayProcess) closeLog() {
	if w, ok := p.logger.Writer.(*instance.LogWriter); ok {
		// A failure can't be reported without the log.
		_ = w.Close()
	}
}

// reportDroppedLines logs how many log lines were dropped.
func (p *GatewayProcess) reportDroppedLines(context.Context) {
	w, ok := p.logger.Writer.(*instance.LogWriter)
	if !ok {
		return
	}
	if n := w.TakeDropped(); n > 0 {
		p.logger.Warn().Int64(instance.KeyMissed, n).Msg("log lines left out")
	}
}

// readiness serves the balancer's readiness check.
func (p *GatewayProcess) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+p.dialect.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := p.gateway.IsReady(); !ok || !p.hasJoined(time.Now()) {
			http.Error(w, fmt.Sprintf("not ready: %s", reason), http.StatusServiceUnavailable)
			return
		}
		serveOK(w, nil)
	})
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(mux)
	return n
}

// hasJoined reports whether this gateway has read the store and has heard the others, or has waited
// for them: one that starts after the store returned to an earlier state learns of the newest
// configuration only from them.
func (p *GatewayProcess) hasJoined(now time.Time) bool {
	synced, ok := p.catalogSyncer.HasSynced(now)
	return ok && (synced > gateway.JoinTimeout || p.registrar.HasListed() && p.rollouts.HasListed() && p.heartbeats.HasTriedAll())
}

// inspection serves the metrics and the state of the process.
func (p *GatewayProcess) inspection() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics.Handler())
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		services, closed := p.judge.States(now)
		state := gateway.State{
			Instance:    p.cfg.Name(),
			Incarnation: p.roster.Self().Incarnation,
			Generation:  p.catalog.View().Version(),
			Revisions:   p.catalog.Revisions(),
			StoreLost:   p.catalogSyncer.IsStoreLost(),
			Confirmed:   p.catalogSyncer.IsConfirmed(now),
			StoreEpoch:  p.catalogSyncer.Epoch(),
			Evacuated:   p.catalog.OutOfServiceDomains(),
			Gateways:    p.roster.States(now),
			Queues:      p.stages.Estimates(),
			Upstreams:   p.table.States(now),
			Services:    services,
			Closed:      closed,
			Limits:      p.judge.LimitStates(now),
			Quarantine:  p.crashes.States(),
			Intake:      p.intake.State(),
			Rollouts:    p.rollouts.States(now),
		}
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		if err := enc.Encode(state); err != nil {
			p.logger.Warn().Err(err).Msg("writing the state dump failed")
		}
	})
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(mux)
	return n
}

// notifyHangups returns a channel that gets each SIGHUP for as long as the process runs. Without
// it, the signal ends the process.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloadOnHangup reloads the settings at each SIGHUP.
func (p *GatewayProcess) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, reload func() (*settings.Gateway, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := reload()
		if err != nil {
			p.logger.Error().Err(err).Msg("reloading the settings failed; the earlier ones stay in force")
			continue
		}
		p.logger.SetLevel(log.ParseLevel(cfg.LogLevel()))
		debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryBytes())))
		p.logger.Info().Str("logLevel", cfg.LogLevel()).Msg("settings reloaded; addresses take effect at the next start")
	}
}

// listenGateway opens a listener whose TCP keep-alive probes idle connections within
// seconds, because callers may disappear without closing their connections.
func listenGateway(ctx context.Context, address string, h http.Handler, options ...instance.ServerOption) (*instance.Server, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	setLimits := func(s *http.Server) {
		s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = gatewayHeaderTimeout, gatewayIdleTimeout, gatewayHeaderBytes
	}
	return instance.ListenWith(ctx, lc, address, h, append([]instance.ServerOption{setLimits}, options...)...)
}
