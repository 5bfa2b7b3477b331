package roles

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/exchange"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/limits"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/internal/sidecar"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

// secret is the shared secret of the system's processes.
type secret string

// peerAddress is the IP address and port at which other processes reach this one.
type peerAddress string

// incarnation identifies this start of the process.
type incarnation string

func newIncarnation() incarnation { return incarnation(instance.NewIncarnation()) }

func newScope(m *instance.Metrics) tally.Scope { return m.Scope() }

func newRand() *rand.Rand { return rand.New(rand.NewChaCha8(instance.NewSeed())) }

func newTable(self fleet.InstanceRecord, scope tally.Scope) *membership.Table {
	return membership.NewTable(self, uint64(time.Now().UnixMilli()), scope)
}

func newPeerServer(s secret) *peer.Server { return peer.NewServer(string(s)) }

func newPeerClient(s secret, dial peer.DialFunc) *peer.Client { return peer.NewClient(string(s), dial) }

func newEntryLogger(cfg *settings.Entry) *log.Logger {
	return withIdentity(instance.NewLogger(cfg.LogLevel(), os.Stderr), fleet.RoleEntry, cfg.Name())
}

func newSidecarLogger(cfg *settings.Sidecar) *log.Logger {
	return withIdentity(instance.NewLogger(cfg.LogLevel(), os.Stderr), fleet.RoleSidecar, cfg.Name())
}

func withIdentity(l *log.Logger, role fleet.Role, name string) *log.Logger {
	l.Context = log.NewContext(nil).Str("role", string(role)).Str("instance", name).Value()
	return l
}

func newEntrySecret(cfg *settings.Entry) (secret, error) {
	s, err := cfg.Secret().Read()
	return secret(s), err
}

func newSidecarSecret(cfg *settings.Sidecar) (secret, error) {
	s, err := cfg.Secret().Read()
	return secret(s), err
}

func newEntryRecord(cfg *settings.Entry, address peerAddress, id incarnation) fleet.InstanceRecord {
	return fleet.InstanceRecord{
		Name:          cfg.Name(),
		Role:          fleet.RoleEntry,
		FailureDomain: cfg.FailureDomain(),
		Address:       string(address),
		Phase:         fleet.PhaseLive,
		Incarnation:   string(id),
	}
}

func newSidecarRecord(cfg *settings.Sidecar, address peerAddress, id incarnation) fleet.InstanceRecord {
	return fleet.InstanceRecord{
		Name:          cfg.Name(),
		Role:          fleet.RoleSidecar,
		FailureDomain: cfg.FailureDomain(),
		Address:       string(address),
		Stage:         cfg.UpstreamStage(),
		Upstream:      cfg.UpstreamName(),
		Phase:         fleet.PhaseLive,
		Incarnation:   string(id),
	}
}

func newPublisher(store configuration.Store, holder *configuration.Holder, logger *log.Logger, scope tally.Scope) *configuration.Publisher {
	return configuration.NewPublisher(store, holder, configuration.NewOperationID, logger, scope)
}

func newNode(holder *configuration.Holder, table *membership.Table, fresh *exchange.Freshness, peers *peer.Client, logger *log.Logger, scope tally.Scope) *exchange.Node {
	return exchange.NewNode(exchange.Config{}, holder, table, fresh, peers.Call, newRand(), logger, scope)
}

func newRoutingTable(cfg *settings.Entry, logger *log.Logger, scope tally.Scope) *routing.Table {
	return routing.New(routing.Config{
		Instance:      cfg.Name(),
		FailureDomain: cfg.FailureDomain(),
		Seed:          rand.Uint64(),
	}, logger, scope)
}

func newEngine(cfg *settings.Sidecar, l *limits.Limiter) *engine.Client {
	return engine.New(engine.Config{BaseURL: "http://" + cfg.UpstreamAddress().String(), OnRestart: l.RestartDetected}, nil)
}

// newLimiter returns a limiter that admits one call at a time until the configuration sets
// the real capacity and warm-up time. Until then the longest warm-up time keeps it cold;
// without one it would be warm at once and remain so.
func newLimiter(logger *log.Logger, scope tally.Scope) *limits.Limiter {
	return limits.New(limits.Config{Capacity: 1, ColdCapacity: 1, WarmUp: fleet.MaxWarmUpMs * time.Millisecond}, logger, scope)
}

func newQueue(cfg *settings.Sidecar, l *limits.Limiter, scope tally.Scope) *admission.Queue {
	return sidecar.NewQueue(l, cfg.MaxQueued(), scope)
}

func newAttempts(cfg *settings.Sidecar, id incarnation) *booking.Attempts {
	return booking.NewAttempts(booking.AttemptsConfig{Incarnation: string(id), MaxAttempts: cfg.MaxAttempts(), MaxBytes: cfg.MaxAttemptBytes()})
}

func newTickets(cfg *settings.Sidecar, s secret, address peerAddress, id incarnation) *booking.Tickets {
	return booking.NewTickets(booking.TicketsConfig{
		Secret:      string(s),
		Address:     string(address),
		Incarnation: string(id),
		Stage:       cfg.UpstreamStage(),
		MaxBytes:    cfg.MaxTicketBytes(),
	})
}

// advertised returns the address that other processes use: the one from the settings,
// or else the listener's.
func advertised(configured netip.AddrPort, listener string) peerAddress {
	if configured.IsValid() {
		return peerAddress(configured.String())
	}
	return peerAddress(listener)
}

// newIntake returns the budget for callers.
func newIntake(memoryBytes int64, descriptors int, logger *log.Logger, scope tally.Scope) *intake.Budget {
	return intake.New(intake.Config{MemoryBytes: memoryBytes, Descriptors: descriptorsLimit(descriptors, logger)}, logger, scope)
}

// descriptorsLimit returns the limit of descriptors of the settings, which is at most that of the
// operating system. That one also holds if the settings have none.
func descriptorsLimit(configured int, logger *log.Logger) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		logger.Warn().Err(err).Msg("the limit of open files is not known; that of the settings holds")
	} else if configured == 0 || uint64(configured) > limit.Cur {
		return int(min(limit.Cur, math.MaxInt32))
	}
	return configured
}
