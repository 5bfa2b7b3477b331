package roles

import (
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/entry"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

func newClaims(c *platform.Client, address peerAddress, id incarnation, logger *log.Logger, scope tally.Scope) *booking.Claims {
	owner := booking.Owner{Incarnation: string(id), Address: string(address)}
	return booking.NewClaims(booking.ClaimsConfig{Owner: owner}, c, newRand(), logger, scope)
}

func newEntryIntake(cfg *settings.Entry, logger *log.Logger, scope tally.Scope) *intake.Budget {
	return newIntake(cfg.MemoryBytes(), cfg.Descriptors(), logger, scope)
}

func newEntryDependencies(holder *configuration.Holder, loader *configuration.Loader, t *routing.Table, budgets *retry.Budgets, estimator *admission.Estimator, claims *booking.Claims, peers *peer.Client, s secret, members *membership.Table, node *exchange.Node, fresh *exchange.Freshness, budget *intake.Budget, logger *log.Logger, scope tally.Scope) entry.Dependencies {
	return entry.Dependencies{
		Holder:    holder,
		Table:     t,
		Budgets:   budgets,
		Estimator: estimator,
		Claims:    claims,
		Intake:    budget,
		Peers:     peers,
		Secret:    string(s),
		ObserveLoad: func(record fleet.InstanceRecord, load peer.Load) {
			node.RecordReply(record.Name, load.Generation)
			if load.Leaving {
				members.MarkLeaving(record.Name, load.Incarnation)
			}
		},
		PushConfiguration: node.Exchange,
		EnsureFresh:       newRefresher(fresh, node, loader, logger).ensureFresh,
		Logger:            logger,
		Scope:             scope,
	}
}

func newEntry(cfg *settings.Entry, address peerAddress, id incarnation, deps entry.Dependencies) *entry.Entry {
	return entry.New(entry.Identity{
		Name:          cfg.Name(),
		FailureDomain: cfg.FailureDomain(),
		Address:       string(address),
		Incarnation:   string(id),
	}, entry.Bounds{
		MaxBodyBytes:     int64(cfg.MaxBodyBytes()),
		MaxInFlight:      cfg.MaxInFlight(),
		PipelineInFlight: cfg.AdmissionInFlight,
		PipelineQueued:   cfg.AdmissionQueued,
	}, deps)
}
