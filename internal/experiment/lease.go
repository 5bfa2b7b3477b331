package experiment

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// ErrRefused is returned for a commit that was refused and changed nothing.
var ErrRefused = errors.New("the change was refused")

// Metrics of a paused lease owner and of operators with conflicting changes.
const (
	// MetricDelayedOrders is the number of orders that the lease owner wrote from the start
	// of the pause, including the order that triggers it, until its end. The network holds
	// them back until then.
	MetricDelayedOrders = "lease.heldOrders"
	// MetricTakeoverOrders is the number of orders that engines accepted during the
	// pause, which are those of the next lease owner.
	MetricTakeoverOrders = "lease.takenOver"
	// MetricStaleOrders is the number of orders that an engine accepted after one of a
	// later lease owner.
	MetricStaleOrders = "lease.lapsedOrders"
	// MetricAccepted, MetricRefused and MetricUnresolved are the numbers of the
	// operators' changes by outcome; that of an unresolved change is unknown.
	MetricAccepted   = "changes.accepted"
	MetricRefused    = "changes.refused"
	MetricUnresolved = "changes.unresolved"
	// MetricReverted is the number of times that a process went back to a lower
	// generation, plus the number of times that two changes were accepted as the same
	// generation.
	MetricReverted = "changes.reverted"
	// MetricChangesLost is the number of entries whose configuration at the end can't be read
	// or does not contain the last accepted change. Any higher generation counts as
	// containing it.
	MetricChangesLost = "changes.lost"
	// MetricActivationSeconds is the longest time in seconds from the acceptance of a change
	// until it was active in every process that was not paused; MetricLastActivationSeconds is
	// that of the last change in every process.
	MetricActivationSeconds     = "changes.inForceSeconds"
	MetricLastActivationSeconds = "changes.lastInForceSeconds"
)

const (
	// spareRole is a role that the configuration does not assign to the engines.
	spareRole = "spare"
	// watchPeriod is the sampling period of the generations.
	watchPeriod = 20 * time.Millisecond
	// activationTimeout bounds the wait until the last change is active in every process.
	activationTimeout = 20 * time.Second
	commitTimeout     = 25 * time.Second
)

// leasePauseRecorder records the observations of a run with a paused lease owner and operators
// with conflicting changes.
type leasePauseRecorder struct {
	stop context.CancelFunc
	done chan struct{}

	mu sync.Mutex
	// paused is the name of the process whose traffic is held back.
	paused        string
	delayedOrders int
	// ordersBeforePause is the number of orders that engines had accepted before the pause.
	ordersBeforePause int
	// accepted and values hold the time of acceptance and the value of each accepted
	// change, by generation.
	accepted map[uint64]time.Time
	values   map[uint64]string
	// activation holds the time from the acceptance of a change until it was active in every
	// process that was not paused, by generation.
	activation map[uint64]time.Duration
	seen       map[*Process]uint64
	reverted   int
}

// PauseLeaseOwner gives the engines of a stage a role that the reconciler corrects, and
// pauses the lease owner when it writes its first order: from then on no byte reaches or
// leaves its process, and what it sends is delivered when it resumes. Its timers keep
// running, because all processes of a run share one operating system process and can't
// be stopped one by one.
func (c *Cluster) PauseLeaseOwner(ctx context.Context, stage string) error {
	if c.system.StartSidecar == nil {
		return nil
	}
	r := &leasePauseRecorder{
		done:       make(chan struct{}),
		accepted:   make(map[uint64]time.Time),
		values:     make(map[uint64]string),
		activation: make(map[uint64]time.Duration),
		seen:       make(map[*Process]uint64),
	}
	c.leasePause = r
	watchCtx, stop := context.WithCancel(ctx)
	r.stop = stop
	go r.watch(watchCtx, append(slices.Clone(c.entries), c.sidecars...))
	c.env.Network.CutAtWrite(r.pauseAtOrder)
	if err := c.setRoles(ctx, stage, spareRole); err != nil {
		return err
	}
	r.ordersBeforePause = c.acceptedOrders()
	return nil
}

// pauseAtOrder pauses the process that writes the first order, and counts its orders.
func (r *leasePauseRecorder) pauseAtOrder(from Endpoint, data []byte) Cut {
	if !bytes.Contains(data, []byte(peer.MethodEngineOrder)) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused != "" && r.paused != from.Process {
		return nil
	}
	r.delayedOrders++
	if r.paused != "" {
		return nil
	}
	r.paused = from.Process
	return isolate(from.Process)
}

// isolate returns a cut of all connections of a process.
func isolate(process string) Cut {
	return func(a, b Endpoint) bool { return a.Process == process || b.Process == process }
}

// setRoles gives the engines of the stage the role, with the highest fencing token that
// they have accepted.
func (c *Cluster) setRoles(ctx context.Context, stage, role string) error {
	for _, u := range c.upstreams {
		if u.Stage.Name != stage {
			continue
		}
		order := engine.RoleOrder{Role: role, Fencing: highestFencing(ordersOf(u))}
		if ok, err := engine.New(engine.Config{BaseURL: u.URL}, nil).ChangeRole(ctx, order); err != nil || !ok {
			return errors.Errorf("%s did not accept the role: %v", u.Name, err)
		}
	}
	return nil
}

// ordersOf returns the orders that the upstream received, if it is an engine.
func ordersOf(u *runningUpstream) []upstream.EngineOrder {
	if e, ok := u.standin.(*upstream.Engine); ok {
		return e.Orders()
	}
	return nil
}

func highestFencing(orders []upstream.EngineOrder) uint64 {
	var n uint64
	for _, o := range orders {
		if o.Accepted {
			n = max(n, o.Fencing)
		}
	}
	return n
}

// staleOrders counts the accepted orders whose fencing token is lower than that of an order
// accepted before.
func staleOrders(orders []upstream.EngineOrder) int {
	n := 0
	var highest uint64
	for _, o := range orders {
		if !o.Accepted {
			continue
		}
		if o.Fencing < highest {
			n++
		}
		highest = max(highest, o.Fencing)
	}
	return n
}

// watch samples the generations of the processes until ctx ends.
func (r *leasePauseRecorder) watch(ctx context.Context, processes []*Process) {
	defer close(r.done)
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	for {
		r.sample(processes)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *leasePauseRecorder) sample(processes []*Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lowest := ^uint64(0)
	for _, p := range processes {
		if p.Generation == nil || p.ended.Load() {
			continue
		}
		g := p.Generation()
		if g < r.seen[p] {
			r.reverted++
		}
		r.seen[p] = g
		if p.Name != r.paused {
			lowest = min(lowest, g)
		}
	}
	for g, at := range r.accepted {
		if g <= lowest && r.activation[g] == 0 {
			r.activation[g] = time.Since(at)
		}
	}
}

// RaceOperators commits two conflicting changes of the same generation concurrently, as two
// operators do at entries that are not paused. It does nothing unless PauseLeaseOwner has
// started the recorder.
func (c *Cluster) RaceOperators(ctx context.Context, round int) error {
	if c.leasePause == nil {
		return nil
	}
	var available []*Process
	for _, p := range c.entries {
		if p.Commit != nil && p.Name != c.leasePause.pausedProcess() {
			available = append(available, p)
		}
	}
	if len(available) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	available = []*Process{available[round%len(available)], available[(round+1)%len(available)]}
	doc, base, err := available[0].Configuration(ctx)
	if err != nil {
		return errors.Wrap(err, "reading the configuration")
	}
	start := make(chan struct{})
	var wg sync.WaitGroup
	for i, p := range available {
		value := fmt.Sprintf("change-%d-%d", round, i)
		wg.Go(func() {
			<-start
			generation, err := p.Commit(ctx, base, withRegion(doc, value))
			c.countChange(generation, value, err)
		})
	}
	close(start)
	wg.Wait()
	return nil
}

// activationTime returns the time until the change was active in every process that was not
// paused, or 0 if it is not active in all of them yet.
func (r *leasePauseRecorder) activationTime(generation uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activation[generation]
}

// withRegion returns the document with a changed region name, which has no effect.
func withRegion(doc fleet.Document, value string) fleet.Document {
	doc.FailureDomains = slices.Clone(doc.FailureDomains)
	doc.FailureDomains[0].Region = value
	return doc
}

// countChange counts a change by its outcome.
func (c *Cluster) countChange(generation uint64, value string, err error) {
	switch {
	case errors.Is(err, ErrRefused):
		c.count(MetricRefused, 1)
	case err != nil:
		c.count(MetricUnresolved, 1)
		c.env.Logger.Warn().Err(err).Str("change", value).Msg("outcome of the configuration change is unknown")
	default:
		c.count(MetricAccepted, 1)
		c.leasePause.accept(generation, value)
	}
}

func (r *leasePauseRecorder) accept(generation uint64, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.accepted[generation]; ok {
		r.reverted++
	}
	r.accepted[generation], r.values[generation] = time.Now(), value
}

func (r *leasePauseRecorder) pausedProcess() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused
}

// ResumeLeaseOwner delivers what the paused lease owner had sent and what was sent to it.
func (c *Cluster) ResumeLeaseOwner() {
	if c.leasePause == nil {
		return
	}
	c.count(MetricTakeoverOrders, float64(c.acceptedOrders()-c.leasePause.ordersBeforePause))
	c.env.Network.CutAtWrite(nil)
	c.env.Network.SetCut(nil)
	c.leasePause.mu.Lock()
	defer c.leasePause.mu.Unlock()
	c.leasePause.paused = ""
}

// EndRace waits until the last accepted change is active in every process and adds up
// the metrics. It does nothing unless PauseLeaseOwner has started the recorder.
func (c *Cluster) EndRace(ctx context.Context) error {
	r := c.leasePause
	if r == nil {
		return nil
	}
	r.mu.Lock()
	var last uint64
	for g := range r.accepted {
		last = max(last, g)
	}
	at, value := r.accepted[last], r.values[last]
	r.mu.Unlock()
	for time.Since(at) < activationTimeout && r.activationTime(last) == 0 {
		time.Sleep(watchPeriod)
	}
	took := r.activationTime(last)
	if took == 0 {
		took = time.Since(at)
	}
	c.count(MetricLastActivationSeconds, took.Seconds())
	r.stop()
	<-r.done
	for _, p := range c.entries {
		doc, generation, err := p.Configuration(ctx)
		if err != nil || generation < last || (generation == last && doc.FailureDomains[0].Region != value) {
			c.count(MetricChangesLost, 1)
		}
	}
	c.countLeasePause()
	return nil
}

func (c *Cluster) countLeasePause() {
	r := c.leasePause
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range c.upstreams {
		c.count(MetricStaleOrders, float64(staleOrders(ordersOf(u))))
	}
	c.count(MetricDelayedOrders, float64(r.delayedOrders))
	c.count(MetricReverted, float64(r.reverted))
	var longest time.Duration
	for g, at := range r.accepted {
		took, ok := r.activation[g]
		if !ok {
			took = time.Since(at)
		}
		longest = max(longest, took)
	}
	c.count(MetricActivationSeconds, longest.Seconds())
	for _, metric := range []string{MetricAccepted, MetricRefused, MetricUnresolved, MetricChangesLost} {
		c.count(metric, 0)
	}
}

// LeasePausedScenario pauses the owner of the reconciler's lease until after the lease has
// expired, while two operators repeatedly commit conflicting changes.
func LeasePausedScenario(t Topology) Scenario {
	s := baseScenario("lease-paused", t)
	s.ActsOn, s.Commits = []string{targetNetwork}, true
	s.Phases = []Phase{{Duration: 60 * time.Second, Load: steadyLoad / 2}}
	s.Actions = []Action{{Name: "pause", At: 3 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
		return c.PauseLeaseOwner(ctx, "generate")
	}}}
	const resume = 42 * time.Second
	round := 0
	for at := 4 * time.Second; at < resume+6*time.Second; at += 2 * time.Second {
		n := round
		if at == resume {
			s.Actions = append(s.Actions, Action{Name: "resume", At: at, Do: func(_ context.Context, c *Cluster) error {
				c.ResumeLeaseOwner()
				return nil
			}})
		}
		s.Actions = append(s.Actions, Action{Name: fmt.Sprintf("race-%d", n), At: at, Do: func(ctx context.Context, c *Cluster) error {
			return c.RaceOperators(ctx, n)
		}})
		round++
	}
	s.Actions = append(s.Actions, Action{Name: "end-race", At: resume + 7*time.Second, Do: func(ctx context.Context, c *Cluster) error {
		return c.EndRace(ctx)
	}})
	s.Windows = []Window{
		{Name: windowBefore, To: 3 * time.Second},
		{Name: "paused", From: 14 * time.Second, To: resume},
		{Name: windowAfter, From: resume + 2*time.Second, To: 60 * time.Second},
	}
	s.Bounds = append(invariantBounds(),
		Bound{Metric: MetricDelayedOrders, Value: 1},
		Bound{Metric: MetricTakeoverOrders, Value: 1},
		Bound{Metric: MetricAccepted, Value: 1},
		Bound{Metric: MetricRefused, Value: 1},
		Bound{Metric: MetricStaleOrders, IsUpper: true},
		Bound{Metric: MetricReverted, IsUpper: true},
		Bound{Metric: MetricChangesLost, IsUpper: true},
		Bound{Metric: MetricActivationSeconds, IsUpper: true, Value: 3},
		Bound{Metric: MetricLastActivationSeconds, IsUpper: true, Value: 3})
	return s
}
