package entry

import (
	"context"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// heard takes in what a sidecar says of itself on a reply.
func (e *Entry) heard(upstream, address string, load peer.Load) {
	if load.Incarnation == "" {
		return
	}
	e.mu.Lock()
	e.incarnations[address] = load.Incarnation
	record, ok := e.sidecars[upstream]
	e.mu.Unlock()
	if ok && e.ObserveLoad != nil {
		e.ObserveLoad(record, load)
	}
}

// incarnationAt returns the incarnation of the sidecar at the address and asks it
// when it is not known.
func (e *Entry) incarnationAt(ctx context.Context, address string) (string, error) {
	e.mu.Lock()
	incarnation, ok := e.incarnations[address]
	e.mu.Unlock()
	if ok {
		return incarnation, nil
	}
	var load peer.Load
	if err := e.Peers.Call(ctx, address, peer.MethodDescribe, &peer.Empty{}, &load); err != nil {
		// The question itself runs nothing, whether or not it was received.
		return "", &peer.NotSentError{Address: address, Cause: err}
	}
	e.heard("", address, load)
	return load.Incarnation, nil
}

// push brings the configuration to the sidecar of an upstream.
func (e *Entry) push(ctx context.Context, upstream string) error {
	e.mu.Lock()
	record, ok := e.sidecars[upstream]
	e.mu.Unlock()
	if !ok || e.PushConfiguration == nil {
		return errNoSidecar
	}
	return e.PushConfiguration(ctx, record)
}

func (e *Entry) knowsSidecars() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sidecars) > 0
}

// sidecarsByUpstream keeps one record for each upstream.
func sidecarsByUpstream(records []fleet.InstanceRecord) map[string]fleet.InstanceRecord {
	m := make(map[string]fleet.InstanceRecord, len(records))
	for _, r := range records {
		if r.Role == fleet.RoleSidecar {
			m[r.Upstream] = r
		}
	}
	return m
}

// bringConfiguration brings the configuration to a sidecar that refused the last
// attempt for lack of it, and reports whether the sidecar now has it. Such an attempt
// does not count, because after a change every sidecar may be behind.
func (e *Entry) bringConfiguration(ctx context.Context, run *stageRun, upstream string) bool {
	if !e.lacksConfiguration(run.last.Reason, run.last.Load) || e.push(ctx, upstream) != nil {
		return false
	}
	if run.pushes < MaxUncountedAttempts {
		run.pushes++
		run.uncounted++
	}
	return true
}

// lacksConfiguration reports whether the sidecar refused because it has no
// configuration as high as the entry's. The entry then brings it and tries again. A
// sidecar that has not heard of the return of its failure domain says outOfService to
// a request that was accepted before the return as well.
func (e *Entry) lacksConfiguration(reason peer.Reason, load peer.Load) bool {
	switch reason {
	case peer.ReasonGenerationBehind, peer.ReasonNoConfiguration:
		return true
	case peer.ReasonOutOfService:
		return load.Generation < e.Holder.Generation()
	default:
		return false
	}
}
