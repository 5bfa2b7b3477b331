package roles

import (
	"context"
	"sync"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/reconcile"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// leaseName is the lease object of the reconciler.
const leaseName = "reconciler"

var errStaleFencing = errors.New("the upstream has seen a higher fencing number")

func newLease(c *platform.Client, id incarnation, logger *log.Logger, scope tally.Scope) *reconcile.Lease {
	const share = platform.ShareHousekeeping
	toLease := func(obj platform.Object, err error) (reconcile.Object, error) {
		return reconcile.Object{Name: obj.Name, ResourceVersion: obj.ResourceVersion, Spec: obj.Spec}, err
	}
	fromLease := func(obj reconcile.Object) platform.Object {
		return platform.Object{Kind: platform.KindLease, Name: obj.Name, ResourceVersion: obj.ResourceVersion, Spec: obj.Spec}
	}
	return reconcile.NewLease(reconcile.Store{
		Get: func(ctx context.Context, name string) (reconcile.Object, error) {
			return toLease(c.Get(ctx, share, platform.KindLease, name))
		},
		Create: func(ctx context.Context, obj reconcile.Object) (reconcile.Object, error) {
			return toLease(c.Create(ctx, share, fromLease(obj)))
		},
		Update: func(ctx context.Context, obj reconcile.Object) (reconcile.Object, error) {
			return toLease(c.Update(ctx, share, fromLease(obj)))
		},
		IsNotFound: platform.IsNotFound,
	}, leaseName, string(id), reconcile.DefaultLeaseDuration, logger, scope)
}

func newReconciler(lease *reconcile.Lease, holder *configuration.Holder, table *membership.Table, peers *peer.Client, logger *log.Logger, scope tally.Scope) *reconcile.Reconciler {
	o := &observer{holder: holder, table: table, peers: peers}
	return reconcile.New(reconcile.Config{}, reconcile.Seams{
		Configuration: holder.Current,
		Held:          lease.Held,
		Lose:          lease.Lose,
		Observe:       o.observe,
		Send:          o.send,
		IsStale:       func(err error) bool { return errors.Is(err, errStaleFencing) },
	}, logger, scope)
}

// observer asks upstreams for their state and sends them orders, through their sidecars.
type observer struct {
	holder *configuration.Holder
	table  *membership.Table
	peers  *peer.Client
}

// observe asks every sidecar, a bounded number at a time.
func (o *observer) observe(ctx context.Context) ([]reconcile.Observed, error) {
	var all []reconcile.Observed
	var mu sync.Mutex
	slots := make(chan struct{}, queryWorkers)
	var wg sync.WaitGroup
	for _, r := range o.table.All() {
		if r.Role != fleet.RoleSidecar {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			observed := o.observeOne(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, observed)
		})
	}
	wg.Wait()
	return all, ctx.Err()
}

func (o *observer) observeOne(ctx context.Context, r fleet.InstanceRecord) reconcile.Observed {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var state peer.EngineState
	err := o.peers.Call(ctx, r.Address, peer.MethodEngineState, &peer.Empty{}, &state)
	cfg := o.holder.Current()
	return reconcile.Observed{
		Upstream:      r.Upstream,
		Stage:         r.Stage,
		FailureDomain: r.FailureDomain,
		Address:       r.Address,
		Model:         state.Model,
		Role:          state.Role,
		CanLoadModel:  state.CanLoadModel,
		CanChangeRole: state.CanChangeRole,
		Unavailable:   err != nil || state.Unavailable || r.Phase == fleet.PhaseLeaving,
		OutOfService:  cfg != nil && !cfg.IsInService(r.Upstream, r.FailureDomain),
	}
}

func (o *observer) send(ctx context.Context, to reconcile.Observed, order reconcile.Order) error {
	message := &peer.EngineOrder{Fencing: order.Fencing}
	if order.Kind == reconcile.LoadModel {
		message.Model = order.Target
	} else {
		message.Role = order.Target
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var reply peer.EngineOrderReply
	if err := o.peers.Call(ctx, to.Address, peer.MethodEngineOrder, message, &reply); err != nil {
		return err
	}
	if reply.Stale {
		return errStaleFencing
	}
	return nil
}
