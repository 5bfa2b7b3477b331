package exchange

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// errUnconfirmed means that neither the store nor a peer replied.
var errUnconfirmed = errors.New("neither the store nor a peer confirmed the configuration")

// Bootstrap fetches the first configuration, which is the highest generation of the store
// and of the peers that reply. It returns once there is one, or the error of ctx. load is
// configuration.Loader.Load.
func (n *Node) Bootstrap(ctx context.Context, load func(context.Context) (uint64, error)) error {
	for {
		err := n.Refresh(ctx, load)
		if err == nil && n.holder.Generation() > 0 {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		n.logger.Warn().Err(err).Msg("no configuration available; retrying")
		n.mu.Lock()
		delay := bootstrapRetryDelay/2 + time.Duration(n.rng.Int64N(int64(bootstrapRetryDelay)))
		n.mu.Unlock()
		instance.Pause(ctx, delay)
	}
}

// Refresh queries the store and some peers in parallel, applies the highest generation and
// returns when all have replied or timed out. It returns an error if none of them confirmed
// the configuration.
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
	sentAt := time.Now()
	generation, err := load(ctx)
	if err != nil || generation == 0 {
		return false
	}
	n.fresh.Confirm(sentAt)
	return true
}

// refreshTargets returns up to refreshPeerCount random entries, and random sidecars if
// there are too few entries.
func (n *Node) refreshTargets() []fleet.InstanceRecord {
	entries := n.table.Reachable()
	sidecars := n.table.Live(fleet.RoleSidecar)
	self := n.table.Self().Name
	n.mu.Lock()
	defer n.mu.Unlock()
	targets := n.pickRandom(entries, self, refreshPeerCount)
	return append(targets, n.pickRandom(sidecars, self, refreshPeerCount-len(targets))...)
}
