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

// Config bounds the exchanges of a node. A zero field takes its default.
type Config struct {
	// Period is the shortest time between two rounds.
	Period time.Duration
	// SidecarPeriod is the shortest time between two digests to one owned sidecar.
	SidecarPeriod time.Duration
	// BytesPerSecond is in bytes per second for digests, in both directions.
	BytesPerSecond float64
}

// Node starts the exchanges of an entry.
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
	// hot is the number of rounds left that spread news.
	hot int
	// owned is from ownedAt and ownedRevision of the table.
	owned []fleet.InstanceRecord
	// standby are those of owned of which the node is the second owner.
	standby       map[string]bool
	ownedAt       time.Time
	ownedRevision uint64
	contacts      map[string]contact
	busy          map[string]bool
	// missed counts the digests in a row that an entry did not answer, and retries
	// are the entries to call again in the next round.
	missed  map[string]int
	retries []fleet.InstanceRecord
	// partners are the other entries that rounds call; one was replaced at partnersAt.
	partners   []string
	partnersAt time.Time
	// repairedAt is when the tables of instances were last compared by bucket.
	repairedAt time.Time
}

// contact is what is known of the calls to a sidecar.
type contact struct {
	// at is when the sidecar was last heard, digestAt when it last answered a digest.
	at         time.Time
	digestAt   time.Time
	generation uint64
	// share is the part of its period after which the sidecar is due again.
	share float64
	// standInUntil is the end of the time in which a second owner calls the sidecar as
	// often as a first one.
	standInUntil time.Time
	// failures counts the exchanges that failed since the last one that did not.
	failures int
	failedAt time.Time
}

// NewNode returns a node and subscribes it to the holder and the table. call is that
// of peer.Client. The random source is used by this node only.
func NewNode(cfg Config, holder *configuration.Holder, table *membership.Table, fresh *Freshness, call func(ctx context.Context, address, method string, args, reply any) error, rng *rand.Rand, logger *log.Logger, scope tally.Scope) *Node {
	n := &Node{
		cfg:      cfg.withDefaults(),
		holder:   holder,
		table:    table,
		fresh:    fresh,
		call:     call,
		logger:   logger,
		scope:    scope,
		wake:     make(chan struct{}, 1),
		rng:      rng,
		contacts: make(map[string]contact),
		busy:     make(map[string]bool),
		missed:   make(map[string]int),
	}
	holder.Subscribe(func(*fleet.Configuration) { n.spread(hotRounds) })
	table.Subscribe(func() { n.spread(1) })
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

// Run starts a round each period until ctx ends.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		n.start(ctx, n.Targets())
		n.sleep(ctx, started)
	}
}

func (n *Node) start(ctx context.Context, targets []fleet.InstanceRecord) {
	for _, target := range targets {
		go n.exchange(ctx, target)
	}
}

// sleep waits for the next round and calls the sidecars that come due in between.
// News ends the wait, but not sooner than a jitter, so that the processes that learn
// of it at once don't all call at once.
func (n *Node) sleep(ctx context.Context, started time.Time) {
	n.mu.Lock()
	period := n.period()
	next := started.Add(time.Duration(float64(period) * (0.8 + 0.4*n.rng.Float64())))
	jitter := time.Duration(n.rng.Int64N(int64(newsJitter)))
	n.mu.Unlock()
	for ctx.Err() == nil && time.Until(next) > 0 {
		timer := time.NewTimer(min(time.Until(next), sidecarTick))
		select {
		case <-timer.C:
			n.start(ctx, n.dueSidecars())
		case <-n.wake:
			timer.Stop()
			instance.Pause(ctx, jitter+max(0, newsGap-time.Since(started)))
			return
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// spread makes the next rounds spread news.
func (n *Node) spread(rounds int) {
	n.mu.Lock()
	n.hot = max(n.hot, rounds)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// exchange runs one exchange unless one with the target is under way.
func (n *Node) exchange(ctx context.Context, target fleet.InstanceRecord) {
	if !n.begin(target.Name) {
		return
	}
	defer n.end(target.Name)
	if err := n.Exchange(ctx, target); err != nil && ctx.Err() == nil {
		n.failed(target)
		n.scope.Counter("exchangeFailed").Inc(1)
		n.logger.Debug().Str("instance", target.Name).Err(err).Msg("exchange failed")
	}
}

func (n *Node) begin(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy[name] {
		return false
	}
	n.busy[name] = true
	return true
}

func (n *Node) end(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.busy, name)
}

// RecordReply records a reply of a sidecar to another call. A sidecar that showed the
// node's own generation needs no digest until its period has passed again, but gets
// one each heardPeriod, because a reply does not carry the sidecar's own statement.
func (n *Node) RecordReply(name string, generation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contacts[name]
	n.contacts[name] = contact{at: time.Now(), digestAt: c.digestAt, standInUntil: c.standInUntil, generation: generation, share: n.share()}
}

// digested records that a sidecar answered a digest or a push.
func (n *Node) digested(name string, generation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contacts[name] = contact{at: time.Now(), digestAt: time.Now(), standInUntil: n.contacts[name].standInUntil, generation: generation, share: n.share()}
}

// standIn makes a second owner call a sidecar as often as a first one for some time,
// because the sidecar has heard of nobody for too long: its first owner is dead and
// that is not known here yet. It goes on while nobody else calls the sidecar.
func (n *Node) standIn(name string, unheard time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contacts[name]
	goesOn := time.Now().Before(c.standInUntil) && unheard+2*ageUnit >= time.Since(c.digestAt)
	if unheard < FreshnessTimeout && !goesOn {
		return
	}
	c.standInUntil = time.Now().Add(standInTime)
	n.contacts[name] = c
}

// failed records that an exchange with the target failed.
func (n *Node) failed(target fleet.InstanceRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.contacts[target.Name]
	c.failures++
	c.failedAt = time.Now()
	n.contacts[target.Name] = c
}

// answered records whether an entry answered a digest. An entry that misses two in a
// row is doubted, so that others take over its sidecars.
func (n *Node) answered(target fleet.InstanceRecord, ok bool) {
	n.mu.Lock()
	if ok {
		delete(n.missed, target.Name)
		n.mu.Unlock()
		return
	}
	n.missed[target.Name]++
	doubted := n.missed[target.Name] >= missesToDoubt
	if doubted {
		delete(n.missed, target.Name)
	} else {
		n.retries = append(n.retries, target)
	}
	n.mu.Unlock()
	if doubted {
		n.table.Suspect(target.Name)
	}
}
