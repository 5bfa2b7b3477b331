package roles

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
)

// confirmer has a configuration that nobody confirmed for a while refreshed before
// requests are admitted. Requests that come in the meantime share one refresh.
type confirmer struct {
	isFresh func() bool
	refresh func(ctx context.Context) error
	logger  *log.Logger

	mu sync.Mutex
	// running is closed when the refresh under way has ended; it is nil without one.
	running chan struct{}
}

func newConfirmer(fresh *exchange.Freshness, node *exchange.Node, loader *configuration.Loader, logger *log.Logger) *confirmer {
	return &confirmer{
		isFresh: fresh.IsFresh,
		refresh: func(ctx context.Context) error { return node.Refresh(ctx, loader.Load) },
		logger:  logger,
	}
}

// confirm returns at once while the configuration is fresh, and else after a refresh
// or when ctx ends.
func (c *confirmer) confirm(ctx context.Context) {
	if c.isFresh() {
		return
	}
	select {
	case <-c.join():
	case <-ctx.Done():
	}
}

// join returns the refresh under way and begins one if there is none.
func (c *confirmer) join() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(chan struct{})
		go c.run(c.running)
	}
	return c.running
}

func (c *confirmer) run(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if err := c.refresh(ctx); err != nil {
		c.logger.Warn().Err(err).Msg("serving on a configuration that nobody confirms")
	}
	c.mu.Lock()
	c.running = nil
	c.mu.Unlock()
	close(done)
}
