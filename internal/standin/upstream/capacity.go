package upstream

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LoadConfig says what a stand-in can bear. Zero values take the defaults.
type LoadConfig struct {
	// Capacity is the calls in flight that it bears when warm.
	Capacity int
	// ColdCapacity is the calls in flight that it bears when cold; 0 is 20 % of Capacity.
	ColdCapacity int
	// Slots is the number of calls that it works on at once; others wait. 0 is Capacity.
	Slots int
	// WarmUp is the time with calls in flight after which it is warm.
	WarmUp time.Duration
	// LinearWarmUp lets the bearable calls grow in proportion to the warmth
	// instead of in one step at its end.
	LinearWarmUp bool
	// ColdSlowdown multiplies the time of work while it is cold.
	ColdSlowdown float64
	// Tolerance is how long it bears too many calls before it falls over.
	Tolerance time.Duration
	// ColdGrace is how long it bears too many calls after it turned cold without a
	// sign. The calls in flight at that moment may be too many already, and nobody
	// can know of the turn before they show it.
	ColdGrace time.Duration
	// CollapseTime is how long all calls fail after that.
	CollapseTime time.Duration
	// StartWarm leaves out the warm-up after the start, but not after a restart.
	StartWarm bool
	// QueueLimit is the number of waiting calls above which it refuses with 429; 0 is no limit.
	QueueLimit int
	// Seed makes the choice of failing calls repeatable.
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

// Errors of calls that the stand-in does not answer as asked.
var (
	errFellOver  = errors.New("the upstream fell over")
	errInjected  = errors.New("injected failure")
	errRestarted = errors.New("the upstream restarted")
	errQueueFull = errors.New("the queue is full")
)

// capacity models the load that one upstream bears.
type capacity struct {
	cfg LoadConfig

	mu          sync.Mutex
	rng         *rand.Rand
	faults      Faults
	identity    string
	startedAt   time.Time
	starts      int
	epoch       context.Context
	endEpoch    context.CancelCauseFunc
	inFlight    int
	running     int
	peak        int
	waiting     waitQueue
	sequence    uint64
	busy        time.Duration
	busySince   time.Time
	overTimer   *time.Timer
	graceUntil  time.Time
	fallenUntil time.Time
	fallOvers   int
	refused     int
	failed      int
	samples     []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

// Load is a load report.
type Load struct {
	// InFlight, Waiting and Capacity are in calls.
	InFlight int `json:"inFlight"`
	Waiting  int `json:"waiting"`
	Capacity int `json:"capacity"`
	// Utilisation is InFlight as a share of what the stand-in can bear now.
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

// start begins a new life of the upstream; c.mu must be held or c be unshared.
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

// visit is one call in flight.
type visit struct {
	c     *capacity
	epoch context.Context
	slot  bool
}

// enter counts a call in. It fails when a fault or too many calls forbid it.
func (c *capacity) enter() (*visit, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.fallenUntil) {
		c.failed++
		return nil, errFellOver
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
	v := &visit{c: c, epoch: c.epoch}
	c.checkOverload()
	c.sample()
	if v.epoch.Err() != nil {
		c.depart(v)
		return nil, errFellOver
	}
	return v, nil
}

// leave counts the call out.
func (v *visit) leave() {
	v.c.mu.Lock()
	defer v.c.mu.Unlock()
	v.c.depart(v)
}

func (c *capacity) depart(v *visit) {
	if v.slot {
		c.running--
		v.slot = false
		c.grant()
	}
	c.inFlight--
	if c.inFlight == 0 {
		c.busy += time.Since(c.busySince)
	}
	c.checkOverload()
	c.sample()
}

// bearable returns the calls in flight that the upstream bears now.
func (c *capacity) bearable() int {
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

// checkOverload starts or stops the time that the upstream bears too many calls.
func (c *capacity) checkOverload() {
	over := c.inFlight > c.bearable() && !time.Now().Before(c.graceUntil)
	switch {
	case !over && c.overTimer != nil:
		c.overTimer.Stop()
		c.overTimer = nil
	case over && c.cfg.Tolerance <= 0:
		c.fall()
	case over && c.overTimer == nil:
		c.overTimer = time.AfterFunc(c.cfg.Tolerance, c.overloaded)
	}
}

func (c *capacity) overloaded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overTimer == nil {
		return
	}
	c.overTimer = nil
	if c.inFlight > c.bearable() {
		c.fall()
	}
}

// fall fails all calls, now and for the FallOver time, and turns the upstream cold.
func (c *capacity) fall() {
	if time.Now().Before(c.fallenUntil) {
		return
	}
	c.fallOvers++
	c.fallenUntil = time.Now().Add(c.cfg.CollapseTime)
	c.cool()
	c.endEpoch(errFellOver)
	c.epoch, c.endEpoch = context.WithCancelCause(context.Background())
}

// turnCold makes the upstream cold, as its clients can't see at once.
func (c *capacity) turnCold() {
	c.cool()
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

func (c *capacity) cool() {
	c.busy = 0
	c.busySince = time.Now()
}

// sample notes the load for late reports; c.mu must be held.
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
		Utilisation: float64(c.inFlight) / float64(c.bearable()),
		Identity:    c.identity,
	}
}

// report returns the load as it was the configured lag ago.
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

// slowdown returns the factor on the time of work now.
func (c *capacity) slowdown() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.faults.slow()
	if c.warmth() < 1 {
		f *= c.cfg.ColdSlowdown
	}
	return f
}

// waiter waits for a slot.
type waiter struct {
	priority int
	sequence uint64
	granted  chan struct{}
	index    int
}

// waitQueue is a heap with the lowest priority number first, then first come, first served.
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

// acquire waits for a slot; a lower priority number goes first.
func (v *visit) acquire(ctx context.Context, priority int) error {
	c := v.c
	c.mu.Lock()
	if c.running < c.cfg.Slots && len(c.waiting) == 0 {
		c.running++
		v.slot = true
		c.mu.Unlock()
		return nil
	}
	c.sequence++
	w := &waiter{priority: priority, sequence: c.sequence, granted: make(chan struct{})}
	heap.Push(&c.waiting, w)
	c.mu.Unlock()
	select {
	case <-w.granted:
		v.slot = true
		return nil
	case <-ctx.Done():
		return v.abandon(w, ctx.Err())
	case <-v.epoch.Done():
		return v.abandon(w, context.Cause(v.epoch))
	}
}

func (v *visit) abandon(w *waiter, err error) error {
	c := v.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&c.waiting, w.index)
		return err
	}
	v.slot = true
	return err
}

// grant hands free slots to waiters.
func (c *capacity) grant() {
	for c.running < c.cfg.Slots && len(c.waiting) > 0 {
		w, _ := heap.Pop(&c.waiting).(*waiter)
		c.running++
		close(w.granted)
	}
}

// work takes the time d, stretched by faults and coldness. It ends early with an
// error when ctx or the life of the upstream ends.
func (v *visit) work(ctx context.Context, d time.Duration) error {
	if err := v.epoch.Err(); err != nil {
		return context.Cause(v.epoch)
	}
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(time.Duration(float64(d) * v.c.slowdown()))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-v.epoch.Done():
		return context.Cause(v.epoch)
	}
}

// hang waits until ctx or the life of the upstream ends.
func (v *visit) hang(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-v.epoch.Done():
		return context.Cause(v.epoch)
	}
}
