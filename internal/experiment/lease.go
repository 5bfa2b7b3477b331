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

// ErrRefused says that a commit changed nothing.
var ErrRefused = errors.New("the change was refused")

// Metrics of a paused holder of the lease and of racing operators.
const (
	// MetricHeldOrders is the number of orders that the paused holder had written
	// and that were delivered only after the pause.
	MetricHeldOrders = "lease.heldOrders"
	// MetricTakenOver is the number of orders that engines accepted during the pause,
	// which are those of the next holder.
	MetricTakenOver = "lease.takenOver"
	// MetricLapsedOrders is the number of orders that an engine accepted after one
	// of a later holder.
	MetricLapsedOrders = "lease.lapsedOrders"
	// MetricAccepted, MetricRefused and MetricUnresolved are numbers of the
	// operators' changes.
	MetricAccepted   = "changes.accepted"
	MetricRefused    = "changes.refused"
	MetricUnresolved = "changes.unresolved"
	// MetricReverted is the number of times that a process went back to a lower
	// generation, and that two changes were accepted as the same generation.
	MetricReverted = "changes.reverted"
	// MetricChangesLost is the number of processes and operators' views that do not
	// show the last accepted change at the end.
	MetricChangesLost = "changes.lost"
	// MetricInForce is the longest time in seconds from the acceptance of a change
	// until every process that was not paused had it in force; MetricLastInForce is
	// that of the last change in every process.
	MetricInForce     = "changes.inForceSeconds"
	MetricLastInForce = "changes.lastInForceSeconds"
)

const (
	// spareRole is a role that the configuration does not want.
	spareRole = "spare"
	// watchPeriod is the time between two looks at the generations.
	watchPeriod = 20 * time.Millisecond
	// inForceTimeout bounds the wait for the last change.
	inForceTimeout = 20 * time.Second
	commitTimeout  = 25 * time.Second
)

// race is what a run with a paused holder and racing operators has seen.
type race struct {
	stop context.CancelFunc
	done chan struct{}

	mu sync.Mutex
	// paused is the process whose network is cut.
	paused string
	held   int
	// before is the number of orders that engines had accepted before the pause.
	before int
	// accepted holds the time of acceptance by generation, and values the change.
	accepted map[uint64]time.Time
	values   map[uint64]string
	// inForce holds the time that each change took.
	inForce  map[uint64]time.Duration
	seen     map[*Process]uint64
	reverted int
}

// PauseHolder gives the engines of a stage a role that the reconciler corrects, and
// pauses the holder of the lease when it has decided on the first order: no byte
// reaches or leaves its process any more, and what it sends is delivered when it
// goes on. Its own timers run on, as no part of one process can be stopped alone.
func (c *Cluster) PauseHolder(ctx context.Context, stage string) error {
	if c.system.StartSidecar == nil {
		return nil
	}
	r := &race{
		done:     make(chan struct{}),
		accepted: make(map[uint64]time.Time),
		values:   make(map[uint64]string),
		inForce:  make(map[uint64]time.Duration),
		seen:     make(map[*Process]uint64),
	}
	c.race = r
	watchCtx, stop := context.WithCancel(ctx)
	r.stop = stop
	go r.watch(watchCtx, append(slices.Clone(c.entries), c.sidecars...))
	c.env.Network.CutAtWrite(r.notice)
	if err := c.setRoles(ctx, stage, spareRole); err != nil {
		return err
	}
	r.before = c.acceptedOrders()
	return nil
}

// notice pauses the process that writes the first order, and counts its orders.
func (r *race) notice(from Endpoint, data []byte) Cut {
	if !bytes.Contains(data, []byte(peer.MethodEngineOrder)) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused != "" && r.paused != from.Process {
		return nil
	}
	r.held++
	if r.paused != "" {
		return nil
	}
	r.paused = from.Process
	return isolate(from.Process)
}

// isolate cuts a process from all others.
func isolate(process string) Cut {
	return func(a, b Endpoint) bool { return a.Process == process || b.Process == process }
}

// setRoles orders the engines of the stage to take the role, under the highest
// fencing number that they know.
func (c *Cluster) setRoles(ctx context.Context, stage, role string) error {
	for _, u := range c.upstreams {
		if u.Stage.Name != stage {
			continue
		}
		order := engine.RoleOrder{Role: role, Fencing: highestFencing(ordersOf(u))}
		if ok, err := engine.New(engine.Config{BaseURL: u.URL}, nil).ChangeRole(ctx, order); err != nil || !ok {
			return errors.Errorf("%s did not take the role: %v", u.Name, err)
		}
	}
	return nil
}

// ordersOf returns the orders that the upstream got, if it is an engine.
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

// lapsedOrders counts the accepted orders whose fencing number is lower than that of
// one accepted before.
func lapsedOrders(orders []upstream.EngineOrder) int {
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

// watch follows the generations of the processes.
func (r *race) watch(ctx context.Context, processes []*Process) {
	defer close(r.done)
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	for {
		r.look(processes)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *race) look(processes []*Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	everywhere := ^uint64(0)
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
			everywhere = min(everywhere, g)
		}
	}
	for g, at := range r.accepted {
		if g <= everywhere && r.inForce[g] == 0 {
			r.inForce[g] = time.Since(at)
		}
	}
}

// RaceOperators lets two operators, at entries that are not paused, commit
// conflicting changes of the same generation at the same moment.
func (c *Cluster) RaceOperators(ctx context.Context, round int) error {
	if c.race == nil {
		return nil
	}
	var at []*Process
	for _, p := range c.entries {
		if p.Commit != nil && p.Name != c.race.pausedProcess() {
			at = append(at, p)
		}
	}
	if len(at) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	at = []*Process{at[round%len(at)], at[(round+1)%len(at)]}
	doc, base, err := at[0].Configuration(ctx)
	if err != nil {
		return errors.Wrap(err, "reading the configuration")
	}
	start := make(chan struct{})
	var wg sync.WaitGroup
	for i, p := range at {
		value := fmt.Sprintf("change-%d-%d", round, i)
		wg.Go(func() {
			<-start
			generation, err := p.Commit(ctx, base, labelled(doc, value))
			c.changed(generation, value, err)
		})
	}
	close(start)
	wg.Wait()
	return nil
}

// lastTook returns how long the change took to be in force, or 0 if it is not yet.
func (r *race) lastTook(generation uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inForce[generation]
}

// labelled returns the document with a label that nothing acts on.
func labelled(doc fleet.Document, value string) fleet.Document {
	doc.FailureDomains = slices.Clone(doc.FailureDomains)
	doc.FailureDomains[0].Region = value
	return doc
}

// changed counts what became of a change.
func (c *Cluster) changed(generation uint64, value string, err error) {
	switch {
	case errors.Is(err, ErrRefused):
		c.count(MetricRefused, 1)
	case err != nil:
		c.count(MetricUnresolved, 1)
		c.env.Logger.Warn().Err(err).Str("change", value).Msg("change is unresolved")
	default:
		c.count(MetricAccepted, 1)
		c.race.accept(generation, value)
	}
}

func (r *race) accept(generation uint64, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.accepted[generation]; ok {
		r.reverted++
	}
	r.accepted[generation], r.values[generation] = time.Now(), value
}

func (r *race) pausedProcess() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused
}

// ResumeHolder delivers what the paused holder had sent and what was sent to it.
func (c *Cluster) ResumeHolder() {
	if c.race == nil {
		return
	}
	c.count(MetricTakenOver, float64(c.acceptedOrders()-c.race.before))
	c.env.Network.CutAtWrite(nil)
	c.env.Network.SetCut(nil)
	c.race.mu.Lock()
	defer c.race.mu.Unlock()
	c.race.paused = ""
}

// EndRace waits until the last accepted change is in force in every process and
// counts what was seen.
func (c *Cluster) EndRace(ctx context.Context) error {
	r := c.race
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
	for time.Since(at) < inForceTimeout && r.lastTook(last) == 0 {
		time.Sleep(watchPeriod)
	}
	took := r.lastTook(last)
	if took == 0 {
		took = time.Since(at)
	}
	c.count(MetricLastInForce, took.Seconds())
	r.stop()
	<-r.done
	for _, p := range c.entries {
		doc, generation, err := p.Configuration(ctx)
		if err != nil || generation < last || (generation == last && doc.FailureDomains[0].Region != value) {
			c.count(MetricChangesLost, 1)
		}
	}
	c.countRace()
	return nil
}

func (c *Cluster) countRace() {
	r := c.race
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range c.upstreams {
		c.count(MetricLapsedOrders, float64(lapsedOrders(ordersOf(u))))
	}
	c.count(MetricHeldOrders, float64(r.held))
	c.count(MetricReverted, float64(r.reverted))
	var longest time.Duration
	for g, at := range r.accepted {
		took, ok := r.inForce[g]
		if !ok {
			took = time.Since(at)
		}
		longest = max(longest, took)
	}
	c.count(MetricInForce, longest.Seconds())
	for _, metric := range []string{MetricAccepted, MetricRefused, MetricUnresolved, MetricChangesLost} {
		c.count(metric, 0)
	}
}

// LeasePausedScenario pauses the holder of the reconciler's lease beyond its lease,
// while two operators commit conflicting changes again and again.
func LeasePausedScenario(t Topology) Scenario {
	s := base("lease-paused", t)
	s.ActsOn, s.Commits = []string{onNetwork}, true
	s.Phases = []Phase{{Duration: 60 * time.Second, Load: steadyLoad / 2}}
	s.Actions = []Action{{Name: "pause", At: 3 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
		return c.PauseHolder(ctx, "generate")
	}}}
	const resume = 42 * time.Second
	round := 0
	for at := 4 * time.Second; at < resume+6*time.Second; at += 2 * time.Second {
		n := round
		if at == resume {
			s.Actions = append(s.Actions, Action{Name: "resume", At: at, Do: func(_ context.Context, c *Cluster) error {
				c.ResumeHolder()
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
	s.Bounds = append(sound(),
		Bound{Metric: MetricHeldOrders, Value: 1},
		Bound{Metric: MetricTakenOver, Value: 1},
		Bound{Metric: MetricAccepted, Value: 1},
		Bound{Metric: MetricRefused, Value: 1},
		Bound{Metric: MetricLapsedOrders, Most: true},
		Bound{Metric: MetricReverted, Most: true},
		Bound{Metric: MetricChangesLost, Most: true},
		Bound{Metric: MetricInForce, Most: true, Value: 3},
		Bound{Metric: MetricLastInForce, Most: true, Value: 3})
	return s
}
