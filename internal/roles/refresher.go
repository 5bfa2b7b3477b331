package roles

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
)

// refresher refreshes a configuration that is no longer fresh before requests are
// admitted. Concurrent requests share one refresh.
type refresher struct {
	isFresh func() bool
	refresh func(ctx context.Context) error
	logger  *log.Logger

	mu sync.Mutex
	// running is closed when the refresh in progress ends; it is nil without one.
	running chan struct{}
}

func newRefresher(fresh *exchange.Freshness, node *exchange.Node, loader *configuration.Loader, logger *log.Logger) *refresher {
	return &refresher{
		isFresh: fresh.IsFresh,
		refresh: func(ctx context.Context) error { return node.Refresh(ctx, loader.Load) },
		logger:  logger,
	}
}

// ensureFresh returns at once if the configuration is fresh, and otherwise after an
// attempt to refresh it, which may fail, or when ctx ends.
func (r *refresher) ensureFresh(ctx context.Context) {
	if r.isFresh() {
		return
	}
	select {
	case <-r.startRefresh():
	case <-ctx.Done():
	}
}

// startRefresh returns the refresh in progress, after starting one if there is none.
func (r *refresher) startRefresh() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = make(chan struct{})
		go r.run(r.running)
	}
	return r.running
}

func (r *refresher) run(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	if err := r.refresh(ctx); err != nil {
		r.logger.Warn().Err(err).Msg("refreshing the configuration failed; serving with one that is not confirmed")
	}
	r.mu.Lock()
	r.running = nil
	r.mu.Unlock()
	close(done)
}
