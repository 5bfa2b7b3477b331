package roles

import (
	"context"
	"slices"
	"sort"
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

// leaseName is the name of the reconciler's lease object.
const leaseName = "reconciler"

var errStaleFencing = errors.New("the upstream has received a higher fencing token")

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
	ep := &enginePoller{holder: holder, table: table, peers: peers, lastStates: make(map[string]peer.EngineState)}
	return reconcile.New(reconcile.Config{}, reconcile.Dependencies{
		Configuration: holder.Current,
		Held:          lease.Held,
		Abandon:       lease.Abandon,
		Observe:       ep.poll,
		Send:          ep.send,
		IsStale:       func(err error) bool { return errors.Is(err, errStaleFencing) },
	}, logger, scope)
}

// enginePoller queries the state of upstreams and sends them orders, through their
// sidecars. It is not safe for concurrent use.
type enginePoller struct {
	holder *configuration.Holder
	table  *membership.Table
	peers  *peer.Client
	// lastStates is the result of the last query of each sidecar, Unavailable if the query
	// failed, by the name of the sidecar's instance.
	lastStates map[string]peer.EngineState
	// lastQueried is the name of the sidecar that was queried last.
	lastQueried string
}

// poll queries the next queriesPerRound sidecars and returns the last known state of all,
// so that the lease owner's cost per round doesn't grow with the fleet. A sidecar that was
// not queried yet counts as unavailable and gets no order.
func (ep *enginePoller) poll(ctx context.Context) ([]reconcile.UpstreamState, error) {
	var sidecars []fleet.InstanceRecord
	for _, r := range ep.table.All() {
		if r.Role == fleet.RoleSidecar {
			sidecars = append(sidecars, r)
		}
	}
	ep.query(ctx, sidecars)
	all := make([]reconcile.UpstreamState, 0, len(sidecars))
	lastStates := make(map[string]peer.EngineState, len(sidecars))
	for _, r := range sidecars {
		state, ok := ep.lastStates[r.Name]
		if ok {
			lastStates[r.Name] = state
		}
		all = append(all, ep.upstreamState(r, state, ok))
	}
	ep.lastStates = lastStates
	return all, ctx.Err()
}

// query queries the next sidecars in turn.
func (ep *enginePoller) query(ctx context.Context, sidecars []fleet.InstanceRecord) {
	due := nextInTurn(sidecars, ep.lastQueried, queriesPerRound)
	states := make([]peer.EngineState, len(due))
	var wg sync.WaitGroup
	for i, r := range due {
		wg.Go(func() { states[i] = ep.queryState(ctx, r) })
	}
	wg.Wait()
	for i, state := range states {
		ep.lastStates[due[i].Name] = state
		ep.lastQueried = due[i].Name
	}
}

// nextInTurn returns up to count instances, which are sorted by name, from the one after the
// last name on. Instances that come and go don't make the turn pass over others.
func nextInTurn(instances []fleet.InstanceRecord, last string, count int) []fleet.InstanceRecord {
	next := sort.Search(len(instances), func(i int) bool { return instances[i].Name > last })
	due := append(slices.Clone(instances[next:]), instances[:next]...)
	return due[:min(count, len(due))]
}

func (ep *enginePoller) queryState(ctx context.Context, r fleet.InstanceRecord) peer.EngineState {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var state peer.EngineState
	if err := ep.peers.Call(ctx, r.Address, peer.MethodEngineState, &peer.Empty{}, &state); err != nil {
		return peer.EngineState{Unavailable: true}
	}
	return state
}

func (ep *enginePoller) upstreamState(r fleet.InstanceRecord, state peer.EngineState, queried bool) reconcile.UpstreamState {
	cfg := ep.holder.Current()
	return reconcile.UpstreamState{
		Upstream:      r.Upstream,
		Stage:         r.Stage,
		FailureDomain: r.FailureDomain,
		Address:       r.Address,
		Model:         state.Model,
		Role:          state.Role,
		CanLoadModel:  state.CanLoadModel,
		CanChangeRole: state.CanChangeRole,
		Unavailable:   !queried || state.Unavailable || r.Phase == fleet.PhaseLeaving,
		OutOfService:  cfg != nil && !cfg.IsInService(r.Upstream, r.FailureDomain),
	}
}

func (ep *enginePoller) send(ctx context.Context, to reconcile.UpstreamState, order reconcile.Order) error {
	message := &peer.EngineOrder{Fencing: order.Fencing}
	if order.Kind == reconcile.LoadModel {
		message.Model = order.Target
	} else {
		message.Role = order.Target
	}
	ctx, cancel := context.WithTimeout(ctx, longCallTimeout)
	defer cancel()
	var reply peer.EngineOrderReply
	if err := ep.peers.Call(ctx, to.Address, peer.MethodEngineOrder, message, &reply); err != nil {
		return err
	}
	if reply.Stale {
		return errStaleFencing
	}
	return nil
}
