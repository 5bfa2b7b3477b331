package entry

import (
	"context"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// recordReply records the incarnation and the load that a sidecar reports in a reply.
func (e *Entry) recordReply(upstream, address string, load peer.Load) {
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

// incarnationAt returns the incarnation of the sidecar at the address, and queries the
// sidecar if it is not known.
func (e *Entry) incarnationAt(ctx context.Context, address string) (string, error) {
	e.mu.Lock()
	incarnation, ok := e.incarnations[address]
	e.mu.Unlock()
	if ok {
		return incarnation, nil
	}
	var load peer.Load
	if err := e.Peers.Call(ctx, address, peer.MethodDescribe, &peer.Empty{}, &load); err != nil {
		// Describe runs nothing, whether or not it was received.
		return "", &peer.NotSentError{Address: address, Cause: err}
	}
	e.recordReply("", address, load)
	return load.Incarnation, nil
}

// pushConfiguration sends the configuration to the sidecar of an upstream.
func (e *Entry) pushConfiguration(ctx context.Context, upstream string) error {
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

// sidecarsByUpstream returns one sidecar record per upstream.
func sidecarsByUpstream(records []fleet.InstanceRecord) map[string]fleet.InstanceRecord {
	m := make(map[string]fleet.InstanceRecord, len(records))
	for _, r := range records {
		if r.Role == fleet.RoleSidecar {
			m[r.Upstream] = r
		}
	}
	return m
}

// pushMissingConfiguration sends the configuration to a sidecar that refused the last
// attempt for lack of it, and reports whether the sidecar now has it. Such an attempt
// does not count towards MaxAttempts, because after a change every sidecar may be behind.
func (e *Entry) pushMissingConfiguration(ctx context.Context, run *stageRun, upstream string) bool {
	if !e.lacksConfiguration(run.last.Reason, run.last.Load) || e.pushConfiguration(ctx, upstream) != nil {
		return false
	}
	if run.pushes < MaxUncountedPushes {
		run.pushes++
		run.uncounted++
	}
	return true
}

// lacksConfiguration reports whether the sidecar refused because its configuration has a
// lower generation than the entry's. The entry then pushes its configuration and retries.
// A sidecar that has not received its failure domain's return to service refuses with
// outOfService, even if the request was accepted before the return.
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
