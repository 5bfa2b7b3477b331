package reconcile

import (
	"cmp"
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// UpstreamState is what is known of one upstream.
type UpstreamState struct {
	Upstream      string
	Stage         string
	FailureDomain string
	// Address is where orders go.
	Address string
	// Model and Role are what the upstream reports.
	Model string
	Role  string
	// CanLoadModel and CanChangeRole are its stated capabilities.
	CanLoadModel  bool
	CanChangeRole bool
	// Unavailable is set while the upstream is loading, leaving or can't be reached.
	// It gets no order.
	Unavailable bool
	// OutOfService is set while operators keep new work from the upstream.
	OutOfService bool
}

// OrderKind names an order.
type OrderKind string

// Kinds of orders.
const (
	LoadModel  OrderKind = "loadModel"
	ChangeRole OrderKind = "changeRole"
)

// Order tells an upstream the state that it shall have. It may be repeated.
type Order struct {
	Kind OrderKind
	// Target is the model or the role.
	Target string
	// Fencing is the number of the lease under which the order is given.
	Fencing uint64
}

// progress is an order that has not shown its effect yet.
type progress struct {
	order Order
	at    time.Time
}

// step is one order for one upstream.
type step struct {
	observed UpstreamState
	order    Order
}

// group is the upstreams of a stage in one failure domain.
type group struct {
	stage         string
	failureDomain string
}

// plan returns the orders to give now, in the order to give them. busy holds the
// orders under way and ordered the time of the last order to each upstream.
func plan(cfg *fleet.Configuration, observed []UpstreamState, busy map[string]progress, ordered map[string]time.Time, fraction float64) []step {
	sizes := make(map[group]int)
	used := make(map[group]int)
	for _, o := range observed {
		g := group{o.Stage, o.FailureDomain}
		sizes[g]++
		if _, ok := busy[o.Upstream]; ok || o.Unavailable || o.OutOfService {
			used[g]++
		}
	}
	var steps []step
	for _, o := range sorted(observed, ordered) {
		order, ok := wanted(cfg, o)
		under, isBusy := busy[o.Upstream]
		if !ok || o.Unavailable || (isBusy && under.order == order) {
			continue
		}
		g := group{o.Stage, o.FailureDomain}
		// An upstream that is busy or out of service is counted already.
		if !isBusy && !o.OutOfService {
			if used[g] >= allowed(sizes[g], fraction) {
				continue
			}
			used[g]++
		}
		steps = append(steps, step{observed: o, order: order})
	}
	return steps
}

// allowed returns how many of n upstreams may be unavailable; it is at least one,
// because a single upstream could never be changed otherwise.
func allowed(n int, fraction float64) int { return max(1, int(float64(n)*fraction)) }

// wanted returns the order that brings the upstream nearer to the configuration.
func wanted(cfg *fleet.Configuration, o UpstreamState) (Order, bool) {
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

// sorted puts upstreams without an order first, so that one that fails to follow
// its orders does not keep the others waiting. A new holder of the lease finds the
// same order by name as the one before.
func sorted(observed []UpstreamState, ordered map[string]time.Time) []UpstreamState {
	list := slices.Clone(observed)
	slices.SortFunc(list, func(a, b UpstreamState) int {
		if c := ordered[a.Upstream].Compare(ordered[b.Upstream]); c != 0 {
			return c
		}
		return cmp.Compare(a.Upstream, b.Upstream)
	})
	return list
}
