package roles

import (
	"context"
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// bootstrap loads the first configuration from the store or the peers, whichever has
// the highest generation, and then runs the exchange with the other processes.
func (p *EntryProcess) bootstrap(ctx context.Context) {
	p.bootstrapFromSeeds(ctx)
	if err := p.node.Bootstrap(ctx, p.loader.Load); err != nil {
		return
	}
	p.logger.Info().Uint64(instance.KeyGeneration, p.holder.Generation()).Msg("entry has a configuration")
	p.node.Run(ctx)
}

// bootstrapFromSeeds exchanges with the seed peers once, and repeats it in the background
// until a configuration is loaded, because only the seed peers may have one.
func (p *EntryProcess) bootstrapFromSeeds(ctx context.Context) {
	p.exchangeWithSeeds(ctx)
	if p.holder.Generation() > 0 {
		return
	}
	p.tasks.Go(func(ctx context.Context) {
		for ctx.Err() == nil && p.holder.Generation() == 0 {
			instance.Pause(ctx, bootstrapRetryDelay)
			p.exchangeWithSeeds(ctx)
		}
	})
}

func (p *EntryProcess) exchangeWithSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, seed := range p.cfg.SeedPeers() {
		address := seed.String()
		if address == p.PeerAddress() {
			continue
		}
		wg.Go(func() {
			if err := p.node.Exchange(ctx, fleet.InstanceRecord{Name: address, Role: fleet.RoleEntry, Address: address}); err != nil {
				p.logger.Debug().Err(err).Str("address", address).Msg("exchange with a seed peer failed")
			}
		})
	}
	wg.Wait()
}

// watch runs the tasks of a watcher while this entry is one of the few elected ones: the
// watches of the platform's instance list and of the object that names the current
// configuration (the head), the lease, the reconciler and the sweeper.
func (p *EntryProcess) watch(ctx context.Context) {
	list := &instanceList{table: p.table, logger: p.logger}
	instances := platform.NewReflector(p.platform, platform.ShareHousekeeping, platform.KindInstance, list.replace, list.apply, newRand(), p.logger)
	heads := platform.NewReflector(p.platform, platform.ShareConfiguration, platform.KindConfiguration,
		func(platform.List) { p.load(ctx) }, func(platform.Event) { p.load(ctx) }, newRand(), p.logger)
	elector := membership.NewWatchElector(p.table, func(ctx context.Context) {
		var wg sync.WaitGroup
		wg.Go(func() { instances.Run(ctx) })
		wg.Go(func() { heads.Run(ctx) })
		// Only elected watchers compete for the lease, because each competitor reads it
		// several times per lease duration.
		wg.Go(func() { p.lease.Run(ctx) })
		wg.Go(func() { p.reconciler.Run(ctx) })
		wg.Go(func() { p.sweeper.Run(ctx, sweepPeriod, p.holdsLease, newRand()) })
		wg.Wait()
	}, instances.LastConfirmed)
	elector.Run(ctx)
}

func (p *EntryProcess) holdsLease() bool {
	_, ok := p.lease.Held()
	return ok
}

func (p *EntryProcess) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, longCallTimeout)
	defer cancel()
	if _, err := p.loader.Load(ctx); err != nil {
		p.logger.Warn().Err(err).Msg("reading the configuration failed")
	}
}

// updateRoutes rebuilds the routes from the configuration and the membership after each
// change.
func (p *EntryProcess) updateRoutes(ctx context.Context) {
	changed := func() {
		select {
		case p.routesChanged <- struct{}{}:
		default:
		}
	}
	p.holder.Subscribe(func(*fleet.Configuration) { changed() })
	p.table.Subscribe(changed)
	ticker := time.NewTicker(routeUpdatePeriod)
	defer ticker.Stop()
	var last routeSource
	for {
		select {
		case <-p.routesChanged:
			instance.Pause(ctx, routeBatchDelay)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := routeSource{cfg: p.holder.Current(), revision: p.table.Revision()}
		if now.cfg != nil && now != last {
			p.entry.UpdateRoutes(now.cfg, p.table.All())
			last = now
		}
	}
}

// routeSource identifies the input of a route update. An update of 2,700 upstreams takes
// about 2 ms and allocates 2 MB, so updates without a change are skipped.
type routeSource struct {
	cfg      *fleet.Configuration
	revision uint64
}
