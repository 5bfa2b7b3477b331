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
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Identity identifies an entry.
type Identity struct {
	Name          string
	FailureDomain string
	// Address is the IP address and port of the peer listener.
	Address string
	// Incarnation is unique to each start of the process.
	Incarnation string
}

// Bounds are the limits of one entry.
type Bounds struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxInFlight is the maximum number of requests in progress.
	MaxInFlight int
	// PipelineInFlight and PipelineQueued return the maximum number of admitted and
	// of queued requests of a pipeline.
	PipelineInFlight func(pipeline string) int
	PipelineQueued   func(pipeline string) int
}

// Dependencies are the components that an entry uses.
type Dependencies struct {
	Holder    *configuration.Holder
	Table     *routing.Table
	Budgets   *retry.Budgets
	Estimator *admission.Estimator
	Claims    *booking.Claims
	// Intake is the memory for the bodies of callers.
	Intake *intake.Budget
	Peers  *peer.Client
	// Secret is the shared secret that authenticates tickets.
	Secret string
	// ObserveLoad receives the load that a sidecar reports in a reply.
	ObserveLoad func(sidecar fleet.InstanceRecord, load peer.Load)
	// PushConfiguration sends the current configuration to a sidecar that lacks it.
	PushConfiguration func(ctx context.Context, sidecar fleet.InstanceRecord) error
	// EnsureFresh returns once the configuration is confirmed not to be stale, or
	// if neither the store nor a peer can be reached.
	EnsureFresh func(ctx context.Context)
	Logger      *log.Logger
	Scope       tally.Scope
}

// Entry serves requests of callers. It is safe for concurrent use.
type Entry struct {
	id     Identity
	bounds Bounds
	Dependencies
	gates       *gates
	metrics     metrics
	logSamplers logSamplers
	// outcomes serves the outcomes of the claims of this entry.
	outcomes *booking.OutcomeService

	attempts atomic.Uint64
	inFlight atomic.Int64

	mu      sync.Mutex
	leaving bool
	// sidecars are the known sidecars by upstream name.
	sidecars map[string]fleet.InstanceRecord
	// incarnations are the last known incarnations by sidecar address.
	incarnations map[string]string
	rng          *rand.Rand
}

// New returns an entry. It serves requests as soon as deps.Holder has a configuration.
func New(id Identity, bounds Bounds, deps Dependencies) *Entry {
	e := &Entry{
		id:           id,
		bounds:       bounds,
		Dependencies: deps,
		sidecars:     make(map[string]fleet.InstanceRecord),
		incarnations: make(map[string]string),
		metrics:      newMetrics(deps.Scope),
		logSamplers:  newLogSamplers(),
		outcomes:     booking.NewOutcomeService(deps.Claims),
		rng:          rand.New(rand.NewChaCha8(instance.NewSeed())),
	}
	e.gates = newGates(bounds, deps.Logger, deps.Scope)
	e.Holder.Subscribe(e.dropRemoved)
	return e
}

// dropRemoved drops the state of pipelines, stages and failure domains that no longer exist.
func (e *Entry) dropRemoved(cfg *fleet.Configuration) {
	e.gates.closeRemoved(cfg)
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

// Leave makes readiness fail. Requests are still served, because the platform's load
// balancer reacts with a delay.
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

// nextID returns an id of a request, an attempt or a reservation that is unique across all
// processes.
func (e *Entry) nextID() string {
	return e.id.Incarnation + "." + strconv.FormatUint(e.attempts.Add(1), 36)
}

// nextAtMostOnceAttempt returns an id for an attempt at a non-idempotent stage. The id
// contains the deadline, after which a sidecar no longer starts the attempt.
func (e *Entry) nextAtMostOnceAttempt(deadline time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return booking.NewAttemptID(deadline, e.rng)
}

// cancelAttempt asynchronously cancels an attempt whose result is no longer needed.
func (e *Entry) cancelAttempt(address, attempt string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := e.Peers.Call(ctx, address, peer.MethodCancel, &peer.CancelRequest{Attempt: attempt}, &peer.Empty{}); err != nil {
			e.Logger.Debug().Err(err).Str("attempt", attempt).Msg("cancelling the attempt failed")
		}
	}()
}
