package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Identity names an entry.
type Identity struct {
	Name          string
	FailureDomain string
	// Address is the IP address and port of the peer listener.
	Address string
	// Incarnation identifies this start of the process.
	Incarnation string
}

// Bounds limit what the callers may ask of one entry.
type Bounds struct {
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int64
	// MaxInFlight is the number of requests that the process holds.
	MaxInFlight int
	// PipelineInFlight and PipelineQueued bound the admitted and the waiting
	// requests of a pipeline.
	PipelineInFlight func(pipeline string) int
	PipelineQueued   func(pipeline string) int
}

// Dependencies are the parts that an entry is built from.
type Dependencies struct {
	Holder    *configuration.Holder
	Table     *routing.Table
	Budgets   *retry.Budgets
	Estimator *admission.Estimator
	Claims    *booking.Claims
	Peers     *peer.Client
	// Secret is the shared secret, under which tickets are issued.
	Secret string
	// ObserveLoad is told what a sidecar says of itself on a reply.
	ObserveLoad func(sidecar fleet.InstanceRecord, load peer.Load)
	// PushConfiguration brings the configuration in force to a sidecar that lacks it.
	PushConfiguration func(ctx context.Context, sidecar fleet.InstanceRecord) error
	// EnsureFresh returns once the configuration is known not to be out of date, or
	// nobody can be asked.
	EnsureFresh func(ctx context.Context)
	Logger      *log.Logger
	Scope       tally.Scope
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	id     Identity
	bounds Bounds
	Dependencies
	gates   *gates
	metrics metrics
	lines   lines
	// outcomes answers for the claims of this entry.
	outcomes *booking.OutcomeService

	attempts atomic.Uint64
	inFlight atomic.Int64

	mu      sync.Mutex
	leaving bool
	// sidecars are the known sidecars by the name of their upstream.
	sidecars map[string]fleet.InstanceRecord
	// incarnations are the last known ones by the address of the sidecar.
	incarnations map[string]string
	rng          *rand.Rand
}

// New returns an entry that serves once its holder has a configuration.
func New(id Identity, bounds Bounds, deps Dependencies) *Entry {
	e := &Entry{
		id:           id,
		bounds:       bounds,
		Dependencies: deps,
		sidecars:     make(map[string]fleet.InstanceRecord),
		incarnations: make(map[string]string),
		metrics:      newMetrics(deps.Scope),
		lines:        newLines(),
		outcomes:     booking.NewOutcomeService(deps.Claims),
		rng:          rand.New(rand.NewChaCha8(instance.NewSeed())),
	}
	e.gates = newGates(bounds, deps.Logger, deps.Scope)
	e.Holder.Subscribe(e.forgetRemoved)
	return e
}

// forgetRemoved drops what is known of pipelines and stages that no longer exist.
func (e *Entry) forgetRemoved(cfg *fleet.Configuration) {
	e.gates.configure(cfg)
	e.Estimator.Retain(func(pipeline string) bool {
		_, ok := cfg.Pipeline(pipeline)
		return ok
	})
	e.Budgets.Retain(func(stage, failureDomain string) bool {
		_, stageOK := cfg.Stage(stage)
		_, domainOK := cfg.FailureDomain(failureDomain)
		return stageOK && domainOK
	})
}

// Identity returns the entry's identity.
func (e *Entry) Identity() Identity { return e.id }

// Leave makes readiness fail. Requests are still served, because the platform's
// balancer notices late.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// IsLeaving reports whether Leave was called.
func (e *Entry) IsLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// InFlight returns the number of requests in progress.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// nextAttempt returns an id that no other attempt of any process has.
func (e *Entry) nextAttempt() string {
	return e.id.Incarnation + "." + strconv.FormatUint(e.attempts.Add(1), 36)
}

// nextOnceAttempt returns an id for an attempt that may not be repeated. It carries
// the deadline, after which a sidecar lets it begin no more.
func (e *Entry) nextOnceAttempt(deadline time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return booking.NewAttemptID(deadline, e.rng)
}

// cancelAttempt tells a sidecar to stop an attempt whose result is no longer wanted.
func (e *Entry) cancelAttempt(address, attempt string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := e.Peers.Call(ctx, address, peer.MethodCancel, &peer.CancelRequest{Attempt: attempt}, &peer.Empty{}); err != nil {
			e.Logger.Debug().Err(err).Str("attempt", attempt).Msg("attempt was not cancelled")
		}
	}()
}
