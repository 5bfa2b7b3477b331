package reconcile

import (
	"cmp"
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// UpstreamState is the last observed state of one upstream.
type UpstreamState struct {
	Upstream      string
	Stage         string
	FailureDomain string
	// Address is where orders are sent.
	Address string
	// Model and Role are as reported by the upstream; Role is the name of a stage.
	Model string
	Role  string
	// CanLoadModel and CanChangeRole are the capabilities that the upstream reports.
	CanLoadModel  bool
	CanChangeRole bool
	// Unavailable is set while the upstream is loading, leaving or unreachable. No order
	// is sent to it then.
	Unavailable bool
	// OutOfService is set while the operators have taken the upstream out of service.
	OutOfService bool
}

// OrderKind is the kind of an order.
type OrderKind string

// Order kinds.
const (
	LoadModel  OrderKind = "loadModel"
	ChangeRole OrderKind = "changeRole"
)

// Order is a command to an upstream to change to a state. It is idempotent.
type Order struct {
	Kind OrderKind
	// Target is the model or the role.
	Target string
	// Fencing is the fencing token of the lease under which the order is sent.
	Fencing uint64
}

// pendingOrder is an order that was sent and whose effect has not been observed yet.
type pendingOrder struct {
	order  Order
	sentAt time.Time
}

// plannedOrder is an order to be sent to an upstream.
type plannedOrder struct {
	observed UpstreamState
	order    Order
}

// group identifies the upstreams of a stage in one failure domain.
type group struct {
	stage         string
	failureDomain string
}

// plan returns the orders to send now, in sending sequence. pending has the
// pending orders and lastOrderAt the time of the last order, both by upstream.
func plan(cfg *fleet.Configuration, observed []UpstreamState, pending map[string]pendingOrder, lastOrderAt map[string]time.Time, fraction float64) []plannedOrder {
	sizes := make(map[group]int)
	unavailable := make(map[group]int)
	for _, o := range observed {
		g := group{o.Stage, o.FailureDomain}
		sizes[g]++
		if _, ok := pending[o.Upstream]; ok || o.Unavailable || o.OutOfService {
			unavailable[g]++
		}
	}
	var planned []plannedOrder
	for _, o := range sortByLastOrder(observed, lastOrderAt) {
		order, ok := desiredOrder(cfg, o)
		current, isPending := pending[o.Upstream]
		if !ok || o.Unavailable || (isPending && current.order == order) {
			continue
		}
		g := group{o.Stage, o.FailureDomain}
		// An upstream with a pending order or out of service is counted already.
		if !isPending && !o.OutOfService {
			if unavailable[g] >= maxUnavailable(sizes[g], fraction) {
				continue
			}
			unavailable[g]++
		}
		planned = append(planned, plannedOrder{observed: o, order: order})
	}
	return planned
}

// maxUnavailable returns how many of n upstreams may be unavailable: at least one,
// because a single upstream could never be changed otherwise.
func maxUnavailable(n int, fraction float64) int { return max(1, int(float64(n)*fraction)) }

// desiredOrder returns the next order that moves the upstream towards its desired
// state, or false if there is none.
func desiredOrder(cfg *fleet.Configuration, o UpstreamState) (Order, bool) {
	stage, ok := cfg.Stage(o.Stage)
	if !ok {
		return Order{}, false
	}
	if o.CanChangeRole && o.Role != "" && o.Role != stage.Name {
		return Order{Kind: ChangeRole, Target: stage.Name}, true
	}
	if o.CanLoadModel && stage.Model != "" && o.Model != stage.Model {
		return Order{Kind: LoadModel, Target: stage.Model}, true
	}
	return Order{}, false
}

// sortByLastOrder sorts upstreams without an order first and then those whose last
// order is oldest, so that one that doesn't follow its orders does not block the
// others. Ties are broken by name, so a new lease holder gets the same sequence as
// the one before.
func sortByLastOrder(observed []UpstreamState, lastOrderAt map[string]time.Time) []UpstreamState {
	list := slices.Clone(observed)
	slices.SortFunc(list, func(a, b UpstreamState) int {
		if c := lastOrderAt[a.Upstream].Compare(lastOrderAt[b.Upstream]); c != 0 {
			return c
		}
		return cmp.Compare(a.Upstream, b.Upstream)
	})
	return list
}
