package exchange

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// operation is a commit and the result that its operator got.
type operation struct {
	weight     int
	base       uint64
	generation uint64
	err        error
}

// model drives a small fleet and records the state that the invariants need.
type model struct {
	c         *cluster
	t         *testing.T
	addresses []string
	isolated  map[string]bool
	mu        sync.Mutex
	weight    int
	epoch     uint64
	commits   []operation
	// highest is the highest generation that each running process had.
	highest   map[*process]uint64
	histories map[*process]*history
}

// history records the generations that a process served.
type history struct {
	mu          sync.Mutex
	generations []uint64
}

func (h *history) add(c *fleet.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generations = append(h.generations, c.Generation())
}

// isStrictlyAscending reports whether each generation is higher than the one before. The
// comparison returns -1 for equal generations, so that IsSortedFunc rejects them.
func (h *history) isStrictlyAscending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.IsSortedFunc(h.generations, func(a, b uint64) int {
		if a == b {
			return -1
		}
		return cmp.Compare(a, b)
	})
}

const (
	modelEntries  = 3
	modelSidecars = 3
)

func newModel(t *testing.T) *model {
	m := &model{c: newCluster(), t: t, isolated: make(map[string]bool), highest: make(map[*process]uint64), histories: make(map[*process]*history), epoch: 10_000}
	m.c.roundTrip = true
	m.c.meter = nil
	m.c.delay = time.Millisecond
	m.c.reachable = func(from, to string) bool { return !m.isolated[from] && !m.isolated[to] }
	for _, p := range m.c.startFleet(modelEntries, modelSidecars) {
		m.addresses = append(m.addresses, p.instance.Address)
		m.runProcess(p)
	}
	return m
}

// runProcess runs a process and records each generation that it serves.
func (m *model) runProcess(p *process) {
	m.histories[p] = &history{}
	p.holder.Subscribe(m.histories[p].add)
	p.run(m.t)
}

func (m *model) process(address string) *process { return m.c.processes[address] }

func (m *model) entry(t *rapid.T) *process {
	return m.process(m.addresses[rapid.IntRange(0, modelEntries-1).Draw(t, "entry")])
}

// document returns a document with a different weight for each commit, so that the active
// content identifies its commit.
func (m *model) document() (fleet.Document, int) {
	m.weight++
	doc := testDocument(3)
	doc.Organisations[0].Weight = m.weight
	return doc, m.weight
}

// commit commits as an operator based on the generation of the entry, and records the
// result.
func (m *model) commit(p *process) {
	m.mu.Lock()
	doc, weight := m.document()
	m.mu.Unlock()
	base := p.holder.Generation()
	generation, err := p.publisher.Commit(context.Background(), base, doc)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commits = append(m.commits, operation{weight: weight, base: base, generation: generation, err: err})
}

func (m *model) Commit(t *rapid.T) { m.commit(m.entry(t)) }

func (m *model) faults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.SampledFrom([]fault{lostReply, lostRequest, lateRequest}), 0, 4).Draw(t, "faults")
}

// CommitLosingWrites commits while writes of the head or the replies to them are lost, and
// optionally while the store becomes unavailable for longer than a commit takes.
func (m *model) CommitLosingWrites(t *rapid.T) {
	m.c.store.faults = m.faults(t)
	if rapid.Bool().Draw(t, "down") {
		after := time.Duration(rapid.IntRange(0, 500).Draw(t, "after")) * time.Millisecond
		stop := time.AfterFunc(after, func() { m.c.store.setDown(true) }).Stop
		defer func() {
			stop()
			// The function may have just started.
			time.Sleep(time.Millisecond)
			m.c.store.setDown(false)
		}()
	}
	m.commit(m.entry(t))
	m.c.store.setFaults(nil)
}

// CommitRacing lets a second operator commit between the read and the write of the first,
// or between a lost write and its retry.
func (m *model) CommitRacing(t *rapid.T) {
	first, second := m.entry(t), m.entry(t)
	m.c.store.faults = m.faults(t)
	if rapid.Bool().Draw(t, "afterFirstWrite") {
		raced := make(chan struct{})
		time.AfterFunc(50*time.Millisecond, func() {
			m.commit(second)
			close(raced)
		})
		defer func() { <-raced }()
	} else {
		m.c.store.before = func() { m.commit(second) }
	}
	m.commit(first)
	m.c.store.before = nil
	m.c.store.setFaults(nil)
}

func (m *model) sweep(p *process) {
	_, _ = configuration.NewSweeper(m.c.store.store(), p.holder, discardLogger(), tally.NoopScope).Sweep(context.Background())
}

// Sweep removes unused sections: without a concurrent commit, while a commit has written
// its sections but not the head, or with a commit between the list and the mark of the
// sweep.
func (m *model) Sweep(t *rapid.T) {
	first, second := m.entry(t), m.entry(t)
	switch rapid.IntRange(0, 2).Draw(t, "when") {
	case 0:
		m.sweep(first)
	case 1:
		m.c.store.before = func() { m.sweep(second) }
		m.commit(first)
	case 2:
		m.c.store.afterList = func() { m.commit(second) }
		m.sweep(first)
	}
	m.c.store.before, m.c.store.afterList = nil, nil
}

func (m *model) StoreDownOrUp(*rapid.T) { m.c.store.down = !m.c.store.down }

func (m *model) IsolateOrReconnect(t *rapid.T) {
	address := rapid.SampledFrom(m.addresses).Draw(t, "process")
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.isolated[address] = !m.isolated[address]
}

// Restart replaces a process by one without state.
func (m *model) Restart(t *rapid.T) {
	old := m.process(rapid.SampledFrom(m.addresses).Draw(t, "process"))
	m.checkProcess(t, old)
	old.stop()
	m.epoch++
	p := m.c.start(old.instance.Role, old.instance.Name, m.epoch)
	for _, address := range m.addresses {
		peer := m.c.processes[address]
		if record, _, ok := peer.table.Record(peer.instance.Name); ok && p.node != nil {
			record.Platform.Version, record.Platform.Instance = max(1, record.Platform.Version), peer.instance
			p.table.Merge([]membership.Record{record})
		}
	}
	m.runProcess(p)
}

// StaleOffer pushes a head of a lower generation to a process, as a peer with an old copy
// or a read from an old store would.
func (m *model) StaleOffer(t *rapid.T) {
	from, to := m.process(rapid.SampledFrom(m.addresses).Draw(t, "from")), m.process(rapid.SampledFrom(m.addresses).Draw(t, "to"))
	delta := from.holder.Delta(0)
	_, sections := changes(from.holder, delta)
	m.Commit(t)
	m.Wait(t)
	if delta.Generation > 0 {
		if err := to.service.Push(&PushRequest{Delta: delta, Sections: sections}, &PushReply{}); err != nil {
			t.Fatal(err)
		}
	}
}

// ReadStore lets an entry read the store, as at its start.
func (m *model) ReadStore(t *rapid.T) { _, _ = m.entry(t).loader.Load(context.Background()) }

func (m *model) Wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// checkProcess fails if the generation of the process decreased.
func (m *model) checkProcess(t *rapid.T, p *process) {
	generation := p.holder.Generation()
	if generation < m.highest[p] {
		t.Fatalf("%s went from generation %d to %d", p.instance.Name, m.highest[p], generation)
	}
	m.highest[p] = generation
	if !m.histories[p].isStrictlyAscending() {
		t.Fatalf("%s served generations %v, want strictly ascending", p.instance.Name, m.histories[p].generations)
	}
}

// Check verifies the invariants after each action.
func (m *model) Check(t *rapid.T) {
	for _, address := range m.addresses {
		m.checkProcess(t, m.process(address))
	}
	if missing := m.c.store.missing(); len(missing) > 0 {
		t.Fatalf("the stored head refers to sections that the store lacks: %v", missing)
	}
	bases := make(map[uint64]int)
	for _, o := range m.commits {
		if o.err == nil {
			bases[o.base]++
		}
		if o.err == nil && o.generation != o.base+1 {
			t.Fatalf("a commit on generation %d was accepted as %d", o.base, o.generation)
		}
		if bases[o.base] > 1 {
			t.Fatalf("two commits on generation %d were accepted", o.base)
		}
	}
	m.checkOutcomes(t)
}

// checkOutcomes compares the results that operators got with what the processes serve.
func (m *model) checkOutcomes(t *rapid.T) {
	for _, address := range m.addresses {
		cfg := m.process(address).holder.Current()
		if cfg == nil {
			continue
		}
		weight := 0
		for _, o := range cfg.Document().Organisations {
			weight = max(weight, o.Weight)
		}
		for _, o := range m.commits {
			if o.weight == weight && isRefused(o.err) {
				t.Fatalf("the commit of weight %d was reported as not accepted (%v) and is active on %s", weight, o.err, address)
			}
			if o.err == nil && o.generation == cfg.Generation() && o.weight != weight {
				t.Fatalf("generation %d was accepted with weight %d and %s has weight %d", o.generation, o.weight, address, weight)
			}
		}
	}
}

func isRefused(err error) bool {
	var notWritten *configuration.NotWrittenError
	return configuration.IsConflict(err) || errors.As(err, &notWritten)
}

// finish reconnects all processes and expects the highest accepted generation on each.
func (m *model) finish(t *rapid.T) {
	m.c.mu.Lock()
	m.isolated = make(map[string]bool)
	m.c.mu.Unlock()
	m.c.store.down = false
	m.commit(m.process(m.addresses[0]))
	highest := uint64(0)
	for _, o := range m.commits {
		if o.err == nil {
			highest = max(highest, o.generation)
		}
	}
	// One entry reads the store, as a watcher would.
	if _, err := m.process(m.addresses[1]).loader.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	for _, address := range m.addresses {
		if p := m.process(address); p.holder.Generation() < highest || !p.fresh.IsFresh() {
			t.Fatalf("%s has generation %d, fresh %v; want at least generation %d and fresh", address, p.holder.Generation(), p.fresh.IsFresh(), highest)
		}
	}
	m.Check(t)
}

func (m *model) stop() {
	var all []*process
	for _, address := range m.addresses {
		all = append(all, m.process(address))
	}
	stopAll(all)
}

// Guards against a configuration that reverts, is lost, or is active although its operator
// got a refusal, with racing operators, restarts, stale peers, store outages and lost
// replies.
func TestStatefulConfiguration(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(t *testing.T) {
			defer func() { failure = recover() }()
			m := newModel(t)
			defer m.stop()
			rt.Repeat(rapid.StateMachineActions(m))
			m.finish(rt)
		})
		if failure != nil {
			panic(failure)
		}
	})
}
