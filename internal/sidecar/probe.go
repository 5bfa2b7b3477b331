package sidecar

import (
	"context"
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// probeTimeout bounds one request for the upstream's state.
const probeTimeout = 400 * time.Millisecond

// Probe requests the upstream's identity and, where the stage has one, its load report.
// Both are hints: the identity reveals a restart earlier than the service times do, and
// the load may only lower the limit.
func (s *Sidecar) Probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	cfg := s.Holder.Current()
	if cfg == nil {
		return
	}
	stage, ok := cfg.Stage(s.id.Stage)
	if !ok {
		return
	}
	if stage.LoadPath != "" {
		s.probeLoad(ctx, stage.LoadPath)
	}
	if stage.LoadPath == "" || stage.Protocol != fleet.ProtocolJSON {
		s.probeDescription(ctx)
	}
}

func (s *Sidecar) probeDescription(ctx context.Context) {
	description, ok, err := s.Engine.Describe(ctx)
	if err != nil {
		return
	}
	s.setCapabilities(description.Capabilities)
	if ok {
		s.updateIdentity(description.Identity)
	}
}

func (s *Sidecar) setCapabilities(capabilities []engine.Capability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capabilities = capabilities
}

// hasCapability reports whether the upstream last reported the capability.
func (s *Sidecar) hasCapability(c engine.Capability) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.capabilities, c)
}

func (s *Sidecar) reportedEngine() ReportedEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ReportedEngine{Identity: s.identity, Capabilities: s.capabilities}
}

func (s *Sidecar) probeLoad(ctx context.Context, path string) {
	report, ok, err := s.Engine.Load(ctx, path)
	if err != nil || !ok {
		return
	}
	s.updateIdentity(report.Identity)
	s.Limiter.ReportedLoad(report.Utilisation)
}

// updateIdentity restarts slow start when the upstream's identity has changed.
func (s *Sidecar) updateIdentity(identity string) {
	if identity == "" {
		return
	}
	s.mu.Lock()
	before := s.identity
	s.identity = identity
	s.mu.Unlock()
	if before != "" && before != identity {
		s.Logger.Warn().Str(instance.KeyUpstream, s.id.Upstream).Str("identity", identity).Msg("upstream restarted")
		s.Limiter.RestartDetected()
		s.coldTimes.reset()
	}
}
