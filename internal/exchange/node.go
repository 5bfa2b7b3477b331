package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Config limits the exchanges of a node. Zero fields are replaced by defaults.
type Config struct {
	// Period is the mean time between two rounds without updates, unless the budget extends
	// it; see DefaultPeriod.
	Period time.Duration
	// SidecarPeriod is the period of the digests of the primary owner to a sidecar, unless
	// the budget extends it; see DefaultSidecarPeriod.
	SidecarPeriod time.Duration
	// BytesPerSecond is the budget for digests, in both directions.
	BytesPerSecond float64
}

// Node runs the exchanges that an entry starts.
type Node struct {
	cfg    Config
	holder *configuration.Holder
	table  *membership.Table
	fresh  *Freshness
	call   func(ctx context.Context, address, method string, args, reply any) error
	logger *log.Logger
	scope  tally.Scope
	wake   chan struct{}

	mu  sync.Mutex
	rng *rand.Rand
	// burstRoundsLeft is the number of remaining rounds with burstFanout.
	burstRoundsLeft int
	// owned are the owned sidecars as computed at ownedAt from ownedRevision of the table.
	owned []fleet.InstanceRecord
	// standby contains the names of the owned sidecars whose standby owner is this node.
	standby       map[string]bool
	ownedAt       time.Time
	ownedRevision uint64
	contacts      map[string]contact
	inProgress    map[string]bool
	// missedDigests counts the consecutive digests without a reply by entry, and retries
	// are the entries to call again in the next round.
	missedDigests map[string]int
	retries       []fleet.InstanceRecord
	// activePeers are the other entries that rounds call; they last changed at
	// activePeersChangedAt.
	activePeers          []string
	activePeersChangedAt time.Time
	// repairedAt is the time of the last comparison of tables by bucket.
	repairedAt time.Time
}

// contact is the state of the calls to a sidecar.
type contact struct {
	// repliedAt is the time of the sidecar's last reply, digestAt that of its last reply to
	// a digest or a push.
	repliedAt  time.Time
	digestAt   time.Time
	generation uint64
	// periodFraction is the fraction of its period after which the sidecar is due again.
	periodFraction float64
	// takeoverUntil is the time until which a standby owner calls the sidecar as often as
	// a primary owner.
	takeoverUntil time.Time
	// failures counts the failed exchanges since the sidecar's last reply.
	failures int
	failedAt time.Time
}

// NewNode returns a node and subscribes it to the holder and the table. call is
// peer.Client.Call. rng must not be used by others.
func NewNode(cfg Config, holder *configuration.Holder, table *membership.Table, fresh *Freshness, call func(ctx context.Context, address, method string, args, reply any) error, rng *rand.Rand, logger *log.Logger, scope tally.Scope) *Node {
	n := &Node{
		cfg:           cfg.withDefaults(),
		holder:        holder,
		table:         table,
		fresh:         fresh,
		call:          call,
		logger:        logger,
		scope:         scope,
		wake:          make(chan struct{}, 1),
		rng:           rng,
		contacts:      make(map[string]contact),
		inProgress:    make(map[string]bool),
		missedDigests: make(map[string]int),
	}
	holder.Subscribe(func(*fleet.Configuration) { n.startBurst(burstRounds) })
	table.Subscribe(func() { n.startBurst(1) })
	return n
}

func (c Config) withDefaults() Config {
	if c.Period == 0 {
		c.Period = DefaultPeriod
	}
	if c.SidecarPeriod == 0 {
		c.SidecarPeriod = DefaultSidecarPeriod
	}
	if c.BytesPerSecond == 0 {
		c.BytesPerSecond = DefaultBudgetBytesPerSecond
	}
	return c
}

// Run starts rounds until ctx ends: one after each period, and earlier ones after updates.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		n.startExchanges(ctx, n.Targets())
		n.waitForNextRound(ctx, started)
	}
}

func (n *Node) startExchanges(ctx context.Context, targets []fleet.InstanceRecord) {
	for _, target := range targets {
		go n.exchange(ctx, target)
	}
}

// waitForNextRound waits for the next round and calls the sidecars that become due in the
// meantime. An update ends the wait after a random delay, so that processes that receive
// it at the same time don't start their calls at the same time.
func (n *Node) waitForNextRound(ctx context.Context, started time.Time) {
	n.mu.Lock()
	period := n.period()
	next := started.Add(time.Duration(float64(period) * (0.8 + 0.4*n.rng.Float64())))
	jitter := time.Duration(n.rng.Int64N(int64(updateJitter)))
	n.mu.Unlock()
	for ctx.Err() == nil && time.Until(next) > 0 {
		timer := time.NewTimer(min(time.Until(next), sidecarCheckInterval))
		select {
		case <-timer.C:
			n.startExchanges(ctx, n.dueSidecars())
		case <-n.wake:
			timer.Stop()
			instance.Pause(ctx, jitter+max(0, minUpdateRoundGap-time.Since(started)))
			return
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// startBurst starts a round immediately and makes the given number of rounds use
// burstFanout.
func (n *Node) startBurst(rounds int) {
	n.mu.Lock()
	n.burstRoundsLeft = max(n.burstRoundsLeft, rounds)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// exchange runs one exchange unless another one with the target is in progress.
func (n *Node) exchange(ctx context.Context, target fleet.InstanceRecord) {
	if !n.beginExchange(target.Name) {
		return
	}
	defer n.endExchange(target.Name)
	if err := n.Exchange(ctx, target); err != nil && ctx.Err() == nil {
		n.recordFailure(target)
		n.scope.Counter("exchangeFailed").Inc(1)
		n.logger.Debug().Str("instance", target.Name).Err(err).Msg("exchange failed")
	}
}

func (n *Node) beginExchange(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inProgress[name] {
		return false
	}
	n.inProgress[name] = true
	return true
}

func (n *Node) endExchange(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.inProgress, name)
}

// RecordReply records a reply of a sidecar to another call. A sidecar that reported the
// node's own generation needs no digest until another period has passed. It still gets
// one every replyingSidecarPeriod, because such a reply does not contain the sidecar's
// self-reported state.
func (n *Node) RecordReply(name string, generation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contacts[name]
	n.contacts[name] = contact{repliedAt: time.Now(), digestAt: c.digestAt, takeoverUntil: c.takeoverUntil, generation: generation, periodFraction: n.periodFraction()}
}

// recordDigest records a reply of a sidecar to a digest or a push.
func (n *Node) recordDigest(name string, generation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacts[name] = contact{repliedAt: time.Now(), digestAt: time.Now(), takeoverUntil: n.contacts[name].takeoverUntil, generation: generation, periodFraction: n.periodFraction()}
}

// updateTakeover starts or extends the takeover of a sidecar, in which its standby owner
// calls it as often as a primary owner. A takeover starts if the sidecar was not confirmed
// for FreshnessTimeout, because its primary owner failed and is not suspected here yet. It
// continues while nobody else has confirmed the sidecar since this node's last digest: the
// time since the sidecar's last confirmation is then the time since that digest, except
// for the duration of the calls and the rounding down to ageUnit, which 2*ageUnit covers.
// takeoverUntil has no effect while this node is the primary owner.
func (n *Node) updateTakeover(name string, sinceConfirmed time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contacts[name]
	continues := time.Now().Before(c.takeoverUntil) && sinceConfirmed+2*ageUnit >= time.Since(c.digestAt)
	if sinceConfirmed < FreshnessTimeout && !continues {
		return
	}
	c.takeoverUntil = time.Now().Add(takeoverDuration)
	n.contacts[name] = c
}

// recordFailure records a failed exchange with the target.
func (n *Node) recordFailure(target fleet.InstanceRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contacts[target.Name]
	c.failures++
	c.failedAt = time.Now()
	n.contacts[target.Name] = c
}

// recordDigestResult records whether an entry replied to a digest. An entry that misses
// missesToSuspect consecutive digests is suspected, so that others take over its sidecars.
func (n *Node) recordDigestResult(target fleet.InstanceRecord, ok bool) {
	n.mu.Lock()
	if ok {
		delete(n.missedDigests, target.Name)
		n.mu.Unlock()
		return
	}
	n.missedDigests[target.Name]++
	suspected := n.missedDigests[target.Name] >= missesToSuspect
	if suspected {
		delete(n.missedDigests, target.Name)
	} else {
		n.retries = append(n.retries, target)
	}
	n.mu.Unlock()
	if suspected {
		n.table.Suspect(target.Name)
	}
}
