package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

const (
	// rolloutPeriod is the interval at which the evidence is judged: a fraction of the time
	// that a heartbeat takes to pass it on.
	rolloutPeriod = 200 * time.Millisecond
	// rolloutLongPoll is the long-poll time of the watch of orders. Gateways whose watch is
	// silent learn of orders by heartbeats.
	rolloutLongPoll = 10 * time.Second
	// returnedOrderGrace is how long an order stays that a store lacks since its return to an
	// earlier state, so that the operator can write it again.
	returnedOrderGrace = 10 * time.Second
	// rolloutWriteDelay is the least time between two writes of one status, and maxRolloutWriteDelay
	// the longest while they fail.
	rolloutWriteDelay    = 300 * time.Millisecond
	maxRolloutWriteDelay = 4 * time.Second
	// lostGatewayTime is how long a gateway that is lost is waited for, as it may only be
	// unreachable from here.
	lostGatewayTime = 10 * time.Second
)

// Rollouts follows the operators' orders to move services to new versions: it reads them, passes
// evidence to the other gateways and writes statuses. Package rollout decides. A nil value has
// no roll-outs.
type Rollouts struct {
	table   *rollout.Table
	client  *platform.Client
	dialect *dialect.Dialect
	judge   *availability.Judge
	placed  *placement.Table
	stages  *Stages
	roster  *roster.Roster
	logger  *log.Logger
	changes *instance.CounterVec[rolloutLabels]
	writes  *instance.CounterVec[rolloutLabels]
	orders  *platform.Reflector

	hasListed atomic.Bool
	// listedEpoch is the epoch of the last list of orders, and listedAt when it was listed first.
	// Only their reflector uses them.
	listedEpoch uint64
	listedAt    time.Time

	// applying is held while decisions are passed on, so that an earlier one doesn't replace a
	// later one.
	applying sync.Mutex

	mu sync.Mutex
	// missing are orders that the store lacks, with the times at which they are removed.
	missing map[string]time.Time
	// listed is the revision of the last list of orders.
	listed catalog.Revision
	// attempts are the last writes of statuses by the name of the order.
	attempts map[string]attempt
	// rng is for the delays between writes.
	rng *rand.Rand
}

// attempt is the last write of a status.
type attempt struct {
	// nextAt is when the status may be written again; a write in progress has a time far ahead.
	nextAt time.Time
	// delay is the upper bound of the delay after a failure, or 0 after a success.
	delay time.Duration
}

// tagService is the metric tag of a service.
const tagService = "service"

// rolloutLabels are the metric labels of a step of a roll-out, or of a write of its status.
type rolloutLabels struct {
	service string
	kind    string
}

// NewRollouts returns roll-outs that placement and the queues of stages follow. Without bounds
// there are none, and the store isn't asked.
func NewRollouts(bounds rollout.Bounds, client *platform.Client, d *dialect.Dialect, judge *availability.Judge, placed *placement.Table, stages *Stages, r *roster.Roster, rng *rand.Rand, logger *log.Logger, scope tally.Scope) *Rollouts {
	s := &Rollouts{
		client: client, dialect: d, judge: judge, placed: placed, stages: stages, roster: r, logger: logger, attempts: make(map[string]attempt), missing: make(map[string]time.Time),
		changes: instance.NewCounterVec(scope, "rolloutChanges", rolloutTags),
		writes:  instance.NewCounterVec(scope, "rolloutWrites", rolloutTags),
	}
	if !bounds.IsEnabled() {
		return s
	}
	s.rng = rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
	self := r.Self()
	s.table = rollout.New(time.Now(), bounds, self.Name+"/"+self.Incarnation)
	s.orders = platform.NewReflector(client, platform.ShareConfiguration, platform.KindRollout, s.replaceOrders, s.applyOrder, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), logger)
	s.orders.SetBackoff(minRelist, maxRelist)
	placed.UseRollouts(s.table)
	stages.useRollouts(s)
	return s
}

func rolloutTags(labels rolloutLabels) map[string]string {
	return map[string]string{tagService: labels.service, "kind": labels.kind}
}

// isEnabled reports whether the deployment has roll-outs.
func (s *Rollouts) isEnabled() bool { return s != nil && s.table != nil }

// decisions returns the table, or nil.
func (s *Rollouts) decisions() *rollout.Table {
	if s == nil {
		return nil
	}
	return s.table
}

// Update tells the roll-outs of the registered upstreams.
func (s *Rollouts) Update(v *catalog.View) { s.decisions().Update(time.Now(), v) }

// HasListed reports whether the orders have been read, or there can be none.
func (s *Rollouts) HasListed() bool { return !s.isEnabled() || s.hasListed.Load() }

// Run reads orders and writes statuses until ctx ends.
func (s *Rollouts) Run(ctx context.Context) {
	if !s.isEnabled() {
		<-ctx.Done()
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { instance.Supervise(ctx, s.logger, "watch", s.orders.Run) })
	for instance.Pause(ctx, rolloutPeriod) {
		instance.GuardLogged(s.logger, "rollouts", func() { s.tick(ctx, time.Now()) })
	}
}

// fleet returns what the decisions need to know of the gateways.
func (s *Rollouts) fleet(now time.Time) rollout.Fleet {
	f := rollout.Fleet{Self: s.roster.Self().Name, Owner: func(key string) string { return s.roster.Owner(key).Name }, Rank: s.roster.Rank, Count: s.roster.ShareCount(now)}
	for _, g := range s.roster.States(now) {
		switch {
		case g.Live:
			f.Live = append(f.Live, g.Name)
		case g.SilentMs < lostGatewayTime.Milliseconds():
			f.HasLost = true
		}
	}
	return f
}

func (s *Rollouts) tick(ctx context.Context, now time.Time) {
	for _, v := range s.table.Seal() {
		s.table.SetLeft(v, s.placed.Running(v.Service, v.Version)+s.stages.held(v.Service, v.Version))
	}
	s.removeMissing(now)
	writes := s.table.Tick(now, s.fleet(now))
	s.apply()
	for _, w := range writes {
		if s.beginWrite(w.Order.Name, now) {
			go instance.GuardLogged(s.logger, "rolloutStatus", func() { s.write(ctx, w) })
		}
	}
}

// apply passes the decisions on to the judge of upstreams, and logs them.
func (s *Rollouts) apply() {
	s.applying.Lock()
	defer s.applying.Unlock()
	closures := make(map[availability.Version]availability.Closure)
	for v, isForAll := range s.table.Closed() {
		c := availability.ClosedForNew
		if isForAll {
			c = availability.Closed
		}
		closures[availability.Version{Service: v.Service, Version: v.Version}] = c
	}
	if s.judge.SetClosures(closures) {
		s.stages.wake()
	}
	for _, c := range s.table.TakeChanges() {
		kind := c.Stage.String()
		if c.State != rollout.None {
			kind = string(c.State)
		}
		s.changes.Inc(rolloutLabels{service: c.Order.Service, kind: kind})
		e := s.logger.Info().Str("service", c.Order.Service).Str("to", c.Order.To).Str("stage", c.Stage.String()).Str("verdict", string(c.State)).
			Str(instance.KeyReason, c.Reason).Dur("age", c.Age).Dur("duration", c.Order.Duration)
		logVersion(e, "new", c.New)
		logVersion(e, "old", c.Old)
		e.Msg("roll-out of a version")
	}
}

// logVersion adds the answers of a version to a line.
func logVersion(e *log.Entry, prefix string, c rollout.Counts) {
	v := c.State()
	e.Int(prefix+"Answers", v.Answers).Int(prefix+"Failed", v.Failed).Int(prefix+"Broken", v.Broken).Int(prefix+"Spoiled", v.Spoiled).
		Int(prefix+"Late", v.Late).Float64(prefix+"FirstByteMs", v.FirstByteMs).Float64(prefix+"EventGapMs", v.EventGapMs)
}

// beginWrite reports whether the status of the order may be written now.
func (s *Rollouts) beginWrite(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.attempts, func(_ string, a attempt) bool { return now.Sub(a.nextAt) > maxRolloutWriteDelay })
	last := s.attempts[name]
	if now.Before(last.nextAt) {
		return false
	}
	s.attempts[name] = attempt{nextAt: now.Add(time.Hour), delay: last.delay}
	return true
}

// endWrite records the end of a write. Writes that fail are repeated after longer and longer
// random times.
func (s *Rollouts) endWrite(name string, hasFailed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := attempt{nextAt: time.Now().Add(rolloutWriteDelay)}
	if hasFailed {
		last.delay = min(max(2*s.attempts[name].delay, 2*rolloutWriteDelay), maxRolloutWriteDelay)
		last.nextAt = time.Now().Add(last.delay/2 + time.Duration(s.rng.Int64N(int64(last.delay/2))))
	}
	s.attempts[name] = last
}

// write writes a status at the revision of its order. If it isn't known to be written, the order
// is read again: another gateway may have been first, or the response was lost.
func (s *Rollouts) write(ctx context.Context, w rollout.Write) {
	hasFailed := false
	defer func() { s.endWrite(w.Order.Name, hasFailed) }()
	if w.Order.Revision.Epoch != s.client.Epoch() {
		// The revision may have been given out again.
		return
	}
	status, err := s.dialect.RolloutStatus(w.Status)
	if err != nil {
		s.logger.Error().Err(err).Str("service", w.Order.Service).Msg("cannot encode the status of a roll-out")
		return
	}
	obj := platform.Object{Kind: platform.KindRollout, Name: w.Order.Name, ResourceVersion: strconv.FormatUint(w.Order.Revision.Number, 10), Status: status}
	written, err := s.client.UpdateStatus(ctx, platform.ShareConfiguration, obj)
	if err != nil {
		hasFailed = !platform.IsConflict(err)
		s.writes.Inc(rolloutLabels{service: w.Order.Service, kind: "failed"})
		s.logger.Warn().Err(err).Str("service", w.Order.Service).Str("to", w.Status.To).Str("state", string(w.Status.State)).Msg("status of a roll-out not known to be written; reading it again")
		if written, err = s.client.Get(ctx, platform.ShareConfiguration, platform.KindRollout, w.Order.Name); err != nil {
			if platform.IsNotFound(err) {
				s.table.RemoveOrder(time.Now(), w.Order.Name, w.Order.Revision)
				s.apply()
			}
			return
		}
		s.setOrder(written)
		s.apply()
		return
	}
	s.writes.Inc(rolloutLabels{service: w.Order.Service, kind: string(w.Status.State)})
	s.logger.Info().Str("service", w.Order.Service).Str("to", w.Status.To).Str("state", string(w.Status.State)).Str(instance.KeyReason, w.Reason).
		Str("revision", written.ResourceVersion).Msg("status of a roll-out written")
	s.setOrder(written)
	s.apply()
}

func (s *Rollouts) setOrder(o platform.Object) {
	instance.Locked(&s.mu, func() { delete(s.missing, o.Name) })
	order := s.dialect.Rollout(o.Name, o.Spec, o.Status)
	order.Revision = revisionOf(o.Epoch, o.ResourceVersion)
	if order.Invalid != "" {
		s.logger.Warn().Str("name", o.Name).Str(instance.KeyReason, order.Invalid).Str("revision", o.ResourceVersion).Msg("order of a roll-out can't be followed")
	}
	if !s.table.SetOrder(time.Now(), order) {
		s.logger.Error().Str("service", order.Service).Str("to", order.To).Msg("order of a roll-out ignored: there are too many")
	}
}

// recordMissing records that a list lacks the order.
func (s *Rollouts) recordMissing(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.missing[name]; !ok {
		s.missing[name] = s.listedAt.Add(returnedOrderGrace)
	}
}

// removeMissing removes the orders that the store has lacked for long enough.
func (s *Rollouts) removeMissing(now time.Time) {
	names, listed := s.takeMissing(now)
	for _, name := range names {
		s.table.RemoveOrder(now, name, listed)
	}
}

// takeMissing returns the orders to remove, and the revision of the list that lacked them.
func (s *Rollouts) takeMissing(now time.Time) (names []string, listed catalog.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.missing {
		if now.After(at) {
			names = append(names, name)
			delete(s.missing, name)
		}
	}
	return names, s.listed
}

// replaceOrders adopts a list of orders. One that a store lacks that has returned to an earlier
// state stays: the operator writes it again.
func (s *Rollouts) replaceOrders(list platform.List) {
	listed := make(map[string]bool)
	for _, o := range list.Items {
		listed[o.Name] = true
		s.setOrder(o)
	}
	if s.listedEpoch != list.Epoch {
		s.listedEpoch, s.listedAt = list.Epoch, time.Now()
	}
	for _, name := range s.table.Orders() {
		if !listed[name] {
			s.recordMissing(name)
		}
	}
	revision := revisionOf(list.Epoch, list.ResourceVersion)
	instance.Locked(&s.mu, func() { s.listed = revision })
	s.removeMissing(time.Now())
	s.table.SetRead(revision)
	s.hasListed.Store(true)
	s.apply()
}

func (s *Rollouts) applyOrder(e platform.Event) {
	revision := revisionOf(e.Object.Epoch, e.Object.ResourceVersion)
	if e.Type == platform.EventDeleted {
		s.table.RemoveOrder(time.Now(), e.Object.Name, revision)
	} else {
		s.setOrder(e.Object)
	}
	s.table.SetRead(revision)
	s.apply()
}

// reports returns what other gateways should know.
func (s *Rollouts) reports() []rollout.Report { return s.decisions().Reports(time.Now()) }

// adopt adds the reports of another gateway.
func (s *Rollouts) adopt(gateway, incarnation string, reports []rollout.Report) {
	if !s.isEnabled() || len(reports) == 0 {
		return
	}
	s.table.Adopt(time.Now(), gateway, incarnation, reports)
	s.apply()
}

// deciders returns the gateways that own a roll-out.
func (s *Rollouts) deciders() []string {
	return s.decisions().Owners(func(key string) string { return s.roster.Owner(key).Name })
}

// States returns the states of the roll-outs.
func (s *Rollouts) States(now time.Time) []rollout.OrderState {
	if !s.isEnabled() {
		return nil
	}
	return s.table.States(now, s.fleet(now))
}
