package roles

import (
	"context"
	"net/http"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/limits"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/sidecar"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

// SidecarProcess is one running sidecar.
type SidecarProcess struct {
	cfg      *settings.Sidecar
	logger   *log.Logger
	metrics  *instance.Metrics
	server   *peer.Server
	holder   *configuration.Holder
	table    *membership.Table
	exchange *exchange.Service
	engine   *engine.Client
	limiter  *limits.Limiter
	sidecar  *sidecar.Sidecar

	listener *instance.Server
	tasks    *instance.Tasks
	failed   chan error
}

// RunSidecar runs a sidecar until ctx ends and its shutdown is complete.
func RunSidecar(ctx context.Context, cfg *settings.Sidecar) error {
	go instance.AdaptGCPercent(ctx)
	p, err := StartSidecar(ctx, cfg)
	if err != nil {
		return err
	}
	return runUntil(ctx, p, p.failed)
}

// StartSidecar starts a sidecar. The caller must call Shutdown or Close.
func StartSidecar(ctx context.Context, cfg *settings.Sidecar) (*SidecarProcess, error) {
	handler := &settableHandler{}
	listener, err := instance.Listen(ctx, cfg.PeerListen().String(), handler)
	if err != nil {
		return nil, err
	}
	p, err := newSidecarProcess(cfg, advertised(cfg.Advertise(), listener.Address()))
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	p.listener, p.failed = listener, make(chan error, 1)
	if err := p.register(); err != nil {
		_ = listener.Close()
		return nil, err
	}
	guardListener(listener, "peers", sidecarListenerMemory, 0, p.logger, p.metrics.Scope())
	trustAuthorized(p.server)
	handler.set(p.server)
	p.tasks = instance.NewTasks(backgroundWorkers)
	p.tasks.Every(probePeriod, p.sidecar.Probe)
	p.tasks.Go(func(context.Context) { p.failed <- p.listener.Serve() })
	p.logger.Info().Str("address", listener.Address()).Str(instance.KeyUpstream, cfg.UpstreamName()).
		Str(instance.KeyStage, cfg.UpstreamStage()).Msg("sidecar is listening")
	return p, nil
}

func (p *SidecarProcess) register() error {
	if err := p.sidecar.Register(p.server); err != nil {
		return err
	}
	if err := p.server.Register(exchange.ServiceName, p.exchange); err != nil {
		return err
	}
	p.server.Handle("GET /metrics", p.metrics.Handler())
	p.server.Handle("GET /healthz", http.HandlerFunc(serveOK))
	return registerState(p.server, p.holder, p.sidecar.Dump)
}

// Address returns the address of the peer listener.
func (p *SidecarProcess) Address() string { return p.listener.Address() }

// Generation returns the generation in force.
func (p *SidecarProcess) Generation() uint64 { return p.holder.Generation() }

// Sidecar returns the role's state.
func (p *SidecarProcess) Sidecar() *sidecar.Sidecar { return p.sidecar }

// Shutdown rejects new work as not started, waits for the work in progress, keeps
// replying long enough for entries to receive its leaving state, and closes the process.
func (p *SidecarProcess) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DrainDelay()+p.cfg.DrainTimeout())
	defer cancel()
	p.logger.Info().Msg("sidecar is leaving")
	p.table.Leave()
	p.sidecar.Leave()
	err := p.sidecar.Drain(ctx)
	// Entries query the outcomes of the last attempts after these have ended.
	instance.Pause(ctx, max(leavingNoticePeriod, p.cfg.DrainDelay()))
	if err != nil {
		p.logger.Error().Err(err).Msg("work was still in progress at the end of the drain time")
	}
	p.Close()
	return err
}

// Close stops the process without waiting for work.
func (p *SidecarProcess) Close() {
	_ = p.listener.Close()
	p.tasks.Stop()
	_ = p.metrics.Close()
}
