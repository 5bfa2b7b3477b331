package exchange

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// errUnconfirmed says that neither the store nor a peer answered.
var errUnconfirmed = errors.New("neither the store nor a peer confirmed the configuration")

// Bootstrap gets the first configuration: the highest generation of the store and
// of the peers that answer. It returns once there is one, or with the error of ctx.
// load is Loader.Load.
func (n *Node) Bootstrap(ctx context.Context, load func(context.Context) (uint64, error)) error {
	for {
		err := n.Refresh(ctx, load)
		if err == nil && n.holder.Generation() > 0 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		n.logger.Warn().Err(err).Msg("no configuration yet")
		n.mu.Lock()
		delay := bootstrapDelay/2 + time.Duration(n.rng.Int64N(int64(bootstrapDelay)))
		n.mu.Unlock()
		instance.Pause(ctx, delay)
	}
}

// Refresh asks the store and some peers at once, takes the highest generation and
// returns when all have answered or run out of time. The error says that none confirmed.
func (n *Node) Refresh(ctx context.Context, load func(context.Context) (uint64, error)) error {
	targets := n.refreshTargets()
	confirmed := make(chan bool, len(targets)+1)
	go func() { confirmed <- n.refreshFromStore(ctx, load) }()
	for _, target := range targets {
		go func() { confirmed <- n.Exchange(ctx, target) == nil }()
	}
	ok := false
	for range len(targets) + 1 {
		ok = <-confirmed || ok
	}
	if !ok {
		return errUnconfirmed
	}
	return nil
}

func (n *Node) refreshFromStore(ctx context.Context, load func(context.Context) (uint64, error)) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	generation, err := load(ctx)
	if err != nil || generation == 0 {
		return false
	}
	n.fresh.Confirm(asked)
	return true
}

// refreshTargets returns random entries, and random sidecars if there are too few.
func (n *Node) refreshTargets() []fleet.InstanceRecord {
	entries := n.table.Reachable()
	sidecars := n.table.Live(fleet.RoleSidecar)
	self := n.table.Self().Name
	n.mu.Lock()
	defer n.mu.Unlock()
	targets := n.pick(entries, self, refreshPeers)
	return append(targets, n.pick(sidecars, self, refreshPeers-len(targets))...)
}
