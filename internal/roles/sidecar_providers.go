package roles

import (
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/limits"
	"bergamotrudder.example/bergamotrudder/internal/sidecar"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

func newSidecarDependencies(holder *configuration.Holder, l *limits.Limiter, q *admission.Queue, attempts *booking.Attempts, tickets *booking.Tickets, e *engine.Client, logger *log.Logger, scope tally.Scope) sidecar.Dependencies {
	return sidecar.Dependencies{
		Holder:   holder,
		Limiter:  l,
		Queue:    q,
		Attempts: attempts,
		Tickets:  tickets,
		Engine:   e,
		Logger:   logger,
		Scope:    scope,
	}
}

func newSidecar(cfg *settings.Sidecar, id incarnation, deps sidecar.Dependencies) *sidecar.Sidecar {
	return sidecar.New(sidecar.Identity{
		Name:          cfg.Name(),
		Upstream:      cfg.UpstreamName(),
		Stage:         cfg.UpstreamStage(),
		FailureDomain: cfg.FailureDomain(),
		Incarnation:   string(id),
	}, deps)
}
