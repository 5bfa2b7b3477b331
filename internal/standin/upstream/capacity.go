package upstream

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LoadConfig is the load model of a stand-in. Zero values take the defaults.
type LoadConfig struct {
	// Capacity is the number of calls in flight that it sustains when warm.
	Capacity int
	// ColdCapacity is the number of calls in flight that it sustains when cold; 0 is 20 % of Capacity.
	ColdCapacity int
	// Slots is the number of calls that run concurrently; others wait. 0 is Capacity.
	Slots int
	// WarmUp is the total time with calls in flight after which it is warm.
	WarmUp time.Duration
	// LinearWarmUp increases the effective capacity in proportion to the warmth
	// instead of in one step at the end of the warm-up.
	LinearWarmUp bool
	// ColdSlowdown multiplies the duration of work while it is cold.
	ColdSlowdown float64
	// Tolerance is how long it sustains more calls than its effective capacity before it collapses.
	Tolerance time.Duration
	// ColdGrace is how long it sustains more calls than its effective capacity after
	// it became cold without notice. The calls in flight at that moment may already
	// exceed the cold capacity, and their slowdown is the first sign that clients get.
	ColdGrace time.Duration
	// CollapseTime is how long all calls fail after a collapse.
	CollapseTime time.Duration
	// StartWarm skips the warm-up after the first start, but not after a restart.
	StartWarm bool
	// QueueLimit is the number of waiting calls from which it rejects calls with status 429; 0 is no limit.
	QueueLimit int
	// Seed makes the selection of failing calls reproducible.
	Seed uint64
}

func (c LoadConfig) withDefaults() LoadConfig {
	c.Capacity = orDefault(c.Capacity, DefaultCapacity)
	c.ColdCapacity = orDefault(c.ColdCapacity, max(1, c.Capacity/ColdCapacityDivisor))
	c.Slots = orDefault(c.Slots, c.Capacity)
	c.WarmUp = orDefault(c.WarmUp, DefaultWarmUp)
	c.ColdSlowdown = orDefault(c.ColdSlowdown, DefaultColdSlowdown)
	c.CollapseTime = orDefault(c.CollapseTime, DefaultCollapseTime)
	return c
}

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Errors of calls that fail.
var (
	errCollapsed = errors.New("upstream collapsed under overload")
	errInjected  = errors.New("injected failure")
	errRestarted = errors.New("upstream restarted")
	errQueueFull = errors.New("queue is full")
)

// capacity models the load that one upstream sustains.
type capacity struct {
	cfg LoadConfig

	mu             sync.Mutex
	rng            *rand.Rand
	faults         Faults
	identity       string
	startedAt      time.Time
	starts         int
	epoch          context.Context
	endEpoch       context.CancelCauseFunc
	inFlight       int
	running        int
	peak           int
	waiting        waitQueue
	sequence       uint64
	busy           time.Duration
	busySince      time.Time
	overloadTimer  *time.Timer
	graceUntil     time.Time
	collapsedUntil time.Time
	collapses      int
	refused        int
	failed         int
	samples        []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

// Load is a load report.
type Load struct {
	// InFlight, Waiting and Capacity are numbers of calls.
	InFlight int `json:"inFlight"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// Utilisation is InFlight divided by the effective capacity.
	Utilisation float64 `json:"utilisation"`
	Identity    string  `json:"identity"`
}

func newCapacity(cfg LoadConfig, name string) *capacity {
	c := &capacity{cfg: cfg.withDefaults()}
	c.rng = rand.New(rand.NewPCG(c.cfg.Seed, uint64(len(name))))
	c.start(name)
	if cfg.StartWarm {
		c.busy = c.cfg.WarmUp
	}
	return c
}

// start resets the upstream to cold with a new identity; c.mu must be held or c not be shared yet.
func (c *capacity) start(name string) {
	c.starts++
	c.identity = newIdentity(name, c.starts)
	c.startedAt = time.Now()
	c.epoch, c.endEpoch = context.WithCancelCause(context.Background())
	c.busy = 0
	if c.inFlight > 0 {
		c.busySince = time.Now()
	}
}

// activeCall is a call in flight.
type activeCall struct {
	c     *capacity
	epoch context.Context
	slot  bool
}

// admit registers a call in flight. It returns an error when a fault, a full queue or
// an overload collapse rejects the call.
func (c *capacity) admit() (*activeCall, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.collapsedUntil) {
		c.failed++
		return nil, errCollapsed
	}
	if c.faults.FailRatio > 0 && c.rng.Float64() < c.faults.FailRatio {
		c.failed++
		return nil, errInjected
	}
	if c.cfg.QueueLimit > 0 && len(c.waiting) >= c.cfg.QueueLimit {
		c.refused++
		return nil, errQueueFull
	}
	if c.inFlight == 0 {
		c.busySince = time.Now()
	}
	c.inFlight++
	c.peak = max(c.peak, c.inFlight)
	a := &activeCall{c: c, epoch: c.epoch}
	c.checkOverload()
	c.sample()
	if a.epoch.Err() != nil {
		c.remove(a)
		return nil, errCollapsed
	}
	return a, nil
}

// finish unregisters the call.
func (a *activeCall) finish() {
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	a.c.remove(a)
}

func (c *capacity) remove(a *activeCall) {
	if a.slot {
		c.running--
		a.slot = false
		c.grant()
	}
	c.inFlight--
	if c.inFlight == 0 {
		c.busy += time.Since(c.busySince)
	}
	c.checkOverload()
	c.sample()
}

// effectiveCapacity returns the number of calls in flight that the upstream sustains now.
func (c *capacity) effectiveCapacity() int {
	warmth := c.warmth()
	if warmth >= 1 {
		return c.cfg.Capacity
	}
	if !c.cfg.LinearWarmUp {
		return c.cfg.ColdCapacity
	}
	return c.cfg.ColdCapacity + int(warmth*float64(c.cfg.Capacity-c.cfg.ColdCapacity))
}

func (c *capacity) warmth() float64 {
	busy := c.busy
	if c.inFlight > 0 {
		busy += time.Since(c.busySince)
	}
	return float64(busy) / float64(c.cfg.WarmUp)
}

// checkOverload starts or stops the timer that ends the tolerated overload.
func (c *capacity) checkOverload() {
	overloaded := c.inFlight > c.effectiveCapacity() && !time.Now().Before(c.graceUntil)
	switch {
	case !overloaded && c.overloadTimer != nil:
		c.overloadTimer.Stop()
		c.overloadTimer = nil
	case overloaded && c.cfg.Tolerance <= 0:
		c.collapse()
	case overloaded && c.overloadTimer == nil:
		c.overloadTimer = time.AfterFunc(c.cfg.Tolerance, c.checkSustainedOverload)
	}
}

func (c *capacity) checkSustainedOverload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overloadTimer == nil {
		return
	}
	c.overloadTimer = nil
	if c.inFlight > c.effectiveCapacity() {
		c.collapse()
	}
}

// collapse fails the calls in flight, and new ones for CollapseTime, and makes the
// upstream cold.
func (c *capacity) collapse() {
	if time.Now().Before(c.collapsedUntil) {
		return
	}
	c.collapses++
	c.collapsedUntil = time.Now().Add(c.cfg.CollapseTime)
	c.resetWarmUp()
	c.endEpoch(errCollapsed)
	c.epoch, c.endEpoch = context.WithCancelCause(context.Background())
}

// setCold makes the upstream cold without notice to its clients.
func (c *capacity) setCold() {
	c.resetWarmUp()
	c.graceUntil = time.Now().Add(c.cfg.ColdGrace)
	if c.cfg.ColdGrace > 0 {
		time.AfterFunc(c.cfg.ColdGrace, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.checkOverload()
		})
	}
	c.checkOverload()
}

func (c *capacity) resetWarmUp() {
	c.busy = 0
	c.busySince = time.Now()
}

// sample records the load for delayed reports; c.mu must be held.
func (c *capacity) sample() {
	now := time.Now()
	if n := len(c.samples); n > 0 && now.Sub(c.samples[n-1].at) < loadSampleInterval {
		return
	}
	if len(c.samples) >= maxLoadSamples {
		c.samples = append(c.samples[:0], c.samples[maxLoadSamples/2:]...)
	}
	c.samples = append(c.samples, loadSample{at: now, load: c.load()})
}

func (c *capacity) load() Load {
	return Load{
		InFlight:    c.inFlight,
		Waiting:     len(c.waiting),
		Capacity:    c.cfg.Capacity,
		Utilisation: float64(c.inFlight) / float64(c.effectiveCapacity()),
		Identity:    c.identity,
	}
}

// report returns the load as it was before the configured lag.
func (c *capacity) report() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	lag := c.faults.loadLag()
	if lag <= 0 {
		return c.load()
	}
	at := time.Now().Add(-lag)
	for i := len(c.samples) - 1; i >= 0; i-- {
		if !c.samples[i].at.After(at) {
			return c.samples[i].load
		}
	}
	return Load{Capacity: c.cfg.Capacity, Identity: c.identity}
}

func (c *capacity) current() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// slowdown returns the current factor on the duration of work.
func (c *capacity) slowdown() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.faults.slowFactor()
	if c.warmth() < 1 {
		f *= c.cfg.ColdSlowdown
	}
	return f
}

// waiter is a call that waits for a slot.
type waiter struct {
	priority int
	sequence uint64
	granted  chan struct{}
	index    int
}

// waitQueue is a heap ordered by ascending priority number, then by arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].sequence < q[j].sequence
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a waiter.
func (q *waitQueue) Push(x any) {
	w, _ := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes the last waiter.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	w.index = -1
	*q = old[:len(old)-1]
	return w
}

// acquire waits for a slot; a lower priority number is served first.
func (a *activeCall) acquire(ctx context.Context, priority int) error {
	c := a.c
	c.mu.Lock()
	if c.running < c.cfg.Slots && len(c.waiting) == 0 {
		c.running++
		a.slot = true
		c.mu.Unlock()
		return nil
	}
	c.sequence++
	w := &waiter{priority: priority, sequence: c.sequence, granted: make(chan struct{})}
	heap.Push(&c.waiting, w)
	c.mu.Unlock()
	select {
	case <-w.granted:
		a.slot = true
		return nil
	case <-ctx.Done():
		return a.abandon(w, ctx.Err())
	case <-a.epoch.Done():
		return a.abandon(w, context.Cause(a.epoch))
	}
}

func (a *activeCall) abandon(w *waiter, err error) error {
	c := a.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&c.waiting, w.index)
		return err
	}
	a.slot = true
	return err
}

// grant assigns free slots to waiters.
func (c *capacity) grant() {
	for c.running < c.cfg.Slots && len(c.waiting) > 0 {
		w, _ := heap.Pop(&c.waiting).(*waiter)
		c.running++
		close(w.granted)
	}
}

// work waits for the duration d, multiplied by the slowdown of faults and of a cold
// upstream. It returns an error early when ctx ends or the upstream restarts or collapses.
func (a *activeCall) work(ctx context.Context, d time.Duration) error {
	if err := a.epoch.Err(); err != nil {
		return context.Cause(a.epoch)
	}
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(time.Duration(float64(d) * a.c.slowdown()))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-a.epoch.Done():
		return context.Cause(a.epoch)
	}
}

// hang waits until ctx ends or the upstream restarts or collapses.
func (a *activeCall) hang(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-a.epoch.Done():
		return context.Cause(a.epoch)
	}
}
