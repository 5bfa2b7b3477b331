package sidecar

import (
	"context"
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// probeTimeout bounds one question to the upstream.
const probeTimeout = 400 * time.Millisecond

// Probe asks the upstream for its identity and, where the stage has one, for its
// load report. Both are hints: the identity shows a restart sooner than the service
// times do, and the load may only lower the limit.
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
	s.noteCapabilities(description.Capabilities)
	if ok {
		s.noteIdentity(description.Identity)
	}
}

func (s *Sidecar) noteCapabilities(capabilities []engine.Capability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capabilities = capabilities
}

// has reports whether the upstream last stated the capability.
func (s *Sidecar) has(c engine.Capability) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.capabilities, c)
}

func (s *Sidecar) engineKnown() EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return EngineState{Identity: s.identity, Capabilities: s.capabilities}
}

func (s *Sidecar) probeLoad(ctx context.Context, path string) {
	report, ok, err := s.Engine.Load(ctx, path)
	if err != nil || !ok {
		return
	}
	s.noteIdentity(report.Identity)
	s.Limiter.ReportedLoad(report.Utilisation)
}

// noteIdentity restarts slow start when the upstream is another one than before.
func (s *Sidecar) noteIdentity(identity string) {
	if identity == "" {
		return
	}
	s.mu.Lock()
	before := s.identity
	s.identity = identity
	s.mu.Unlock()
	if before != "" && before != identity {
		s.Logger.Warn().Str(instance.KeyUpstream, s.id.Upstream).Str("identity", identity).Msg("the upstream has restarted")
		s.Limiter.RestartDetected()
		s.coldTimes.forget()
	}
}
