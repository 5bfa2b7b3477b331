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
	o := &observer{holder: holder, table: table, peers: peers, known: make(map[string]peer.EngineState)}
	return reconcile.New(reconcile.Config{}, reconcile.Dependencies{
		Configuration: holder.Current,
		Held:          lease.Held,
		Abandon:       lease.Abandon,
		Observe:       o.observe,
		Send:          o.send,
		IsStale:       func(err error) bool { return errors.Is(err, errStaleFencing) },
	}, logger, scope)
}

// observer asks upstreams for their state and sends them orders, through their
// sidecars. It is used by one goroutine.
type observer struct {
	holder *configuration.Holder
	table  *membership.Table
	peers  *peer.Client
	// known is what each sidecar said last, by the name of its instance.
	known map[string]peer.EngineState
	next  int
}

// observe asks observedPerRound sidecars in turn and returns what is known of all,
// so that a large fleet costs the holder of the lease no more than a small one. A
// sidecar that was not asked yet counts as unavailable and gets no order.
func (o *observer) observe(ctx context.Context) ([]reconcile.UpstreamState, error) {
	var sidecars []fleet.InstanceRecord
	for _, r := range o.table.All() {
		if r.Role == fleet.RoleSidecar {
			sidecars = append(sidecars, r)
		}
	}
	o.ask(ctx, sidecars)
	all := make([]reconcile.UpstreamState, 0, len(sidecars))
	known := make(map[string]peer.EngineState, len(sidecars))
	for _, r := range sidecars {
		state, ok := o.known[r.Name]
		if ok {
			known[r.Name] = state
		}
		all = append(all, o.observed(r, state, ok))
	}
	o.known = known
	return all, ctx.Err()
}

// ask asks the sidecars whose turn it is.
func (o *observer) ask(ctx context.Context, sidecars []fleet.InstanceRecord) {
	count := min(observedPerRound, len(sidecars))
	states := make([]peer.EngineState, count)
	var wg sync.WaitGroup
	for i := range count {
		r := sidecars[(o.next+i)%len(sidecars)]
		wg.Go(func() { states[i] = o.stateOf(ctx, r) })
	}
	wg.Wait()
	for i, state := range states {
		o.known[sidecars[(o.next+i)%len(sidecars)].Name] = state
	}
	o.next += count
}

func (o *observer) stateOf(ctx context.Context, r fleet.InstanceRecord) peer.EngineState {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var state peer.EngineState
	if err := o.peers.Call(ctx, r.Address, peer.MethodEngineState, &peer.Empty{}, &state); err != nil {
		return peer.EngineState{Unavailable: true}
	}
	return state
}

func (o *observer) observed(r fleet.InstanceRecord, state peer.EngineState, known bool) reconcile.UpstreamState {
	cfg := o.holder.Current()
	return reconcile.UpstreamState{
		Upstream:      r.Upstream,
		Stage:         r.Stage,
		FailureDomain: r.FailureDomain,
		Address:       r.Address,
		Model:         state.Model,
		Role:          state.Role,
		CanLoadModel:  state.CanLoadModel,
		CanChangeRole: state.CanChangeRole,
		Unavailable:   !known || state.Unavailable || r.Phase == fleet.PhaseLeaving,
		OutOfService:  cfg != nil && !cfg.IsInService(r.Upstream, r.FailureDomain),
	}
}

func (o *observer) send(ctx context.Context, to reconcile.UpstreamState, order reconcile.Order) error {
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
