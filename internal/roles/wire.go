//go:build wireinject

package roles

import (
	"github.com/google/wire"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
	"bergamotrudder.example/bergamotrudder/internal/gateway"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

var commonSet = wire.NewSet(
	newIncarnation,
	instance.NewMetrics,
	newScope,
	configuration.NewHolder,
	exchange.NewFreshness,
	exchange.NewService,
	newTable,
	newPeerServer,
)

var entrySet = wire.NewSet(
	commonSet,
	newEntryLogger,
	newEntrySecret,
	newEntryRecord,
	newPlatform,
	NewConfigurationStore,
	configuration.NewLoader,
	newPublisher,
	configuration.NewSweeper,
	newPeerClient,
	newNode,
	newRoutingTable,
	retry.New,
	admission.NewEstimator,
	newClaims,
	newLease,
	newReconciler,
	newEntryIntake,
	newEntryDependencies,
	newEntry,
	wire.Struct(new(EntryProcess), "cfg", "logger", "metrics", "peers", "server", "holder", "loader", "publisher", "sweeper", "platform", "table", "fresh", "exchange", "node", "claims", "lease", "reconciler", "intake", "entry"),
)

var sidecarSet = wire.NewSet(
	commonSet,
	newSidecarLogger,
	newSidecarSecret,
	newSidecarRecord,
	newLimiter,
	newQueue,
	newAttempts,
	newTickets,
	newEngine,
	newSidecarDependencies,
	newSidecar,
	wire.Struct(new(SidecarProcess), "cfg", "logger", "metrics", "server", "holder", "table", "exchange", "engine", "limiter", "sidecar"),
)

var gatewaySet = wire.NewSet(
	instance.NewMetrics,
	newScope,
	newRand,
	newGatewayLogger,
	newStoreClient,
	newGatewayConfig,
	newGatewayIntake,
	availability.New,
	newPool,
	newPlacement,
	newRoster,
	newLazyPeerClient,
	newCallFunc,
	gateway.NewRegistrar,
	gateway.NewHeartbeats,
	gateway.NewService,
	catalog.New,
	gateway.NewCatalogSyncer,
	gateway.NewStages,
	quarantine.New,
	gateway.NewCrashes,
	gateway.NewQuarantineStore,
	newRolloutBounds,
	gateway.NewRollouts,
	gateway.New,
	retry.New,
	wire.Struct(new(GatewayProcess), "*"),
)

// newGatewayProcess assembles a gateway that uses the dialect.
func newGatewayProcess(cfg *settings.Gateway, d *dialect.Dialect) *GatewayProcess {
	wire.Build(gatewaySet)
	return nil
}

// newEntryProcess assembles an entry that other processes reach at the address and
// that opens its connections with dial.
func newEntryProcess(cfg *settings.Entry, address peerAddress, dial peer.DialFunc) (*EntryProcess, error) {
	wire.Build(entrySet)
	return nil, nil
}

// newSidecarProcess assembles a sidecar that entries reach at the address.
func newSidecarProcess(cfg *settings.Sidecar, address peerAddress) (*SidecarProcess, error) {
	wire.Build(sidecarSet)
	return nil, nil
}
