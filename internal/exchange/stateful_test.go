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

// operation is a commit and what its operator was told.
type operation struct {
	weight     int
	base       uint64
	generation uint64
	err        error
}

// model drives a small fleet and remembers what must hold.
type model struct {
	c       *cluster
	t       *testing.T
	names   []string
	cut     map[string]bool
	mu      sync.Mutex
	weight  int
	epoch   uint64
	commits []operation
	// highest is the highest generation that each running process has had.
	highest map[*process]uint64
	seen    map[*process]*history
}

// history is the generations that a process served on.
type history struct {
	mu          sync.Mutex
	generations []uint64
}

func (h *history) add(c *fleet.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generations = append(h.generations, c.Generation())
}

func (h *history) isAscending() bool {
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
	m := &model{c: newCluster(), t: t, cut: make(map[string]bool), highest: make(map[*process]uint64), seen: make(map[*process]*history), epoch: 10_000}
	m.c.roundTrip = true
	m.c.meter = nil
	m.c.delay = time.Millisecond
	m.c.reachable = func(from, to string) bool { return !m.cut[from] && !m.cut[to] }
	for _, p := range m.c.fill(modelEntries, modelSidecars) {
		m.names = append(m.names, p.instance.Address)
		m.begin(p)
	}
	return m
}

// begin runs a process and records each generation that it serves on.
func (m *model) begin(p *process) {
	m.seen[p] = &history{}
	p.holder.Subscribe(m.seen[p].add)
	p.run(m.t)
}

func (m *model) process(address string) *process { return m.c.processes[address] }

func (m *model) entry(t *rapid.T) *process {
	return m.process(m.names[rapid.IntRange(0, modelEntries-1).Draw(t, "entry")])
}

// document differs in one weight for each commit, so that the content in force names the commit.
func (m *model) document() (fleet.Document, int) {
	m.weight++
	doc := testDocument(3)
	doc.Organisations[0].Weight = m.weight
	return doc, m.weight
}

// commit commits as an operator on the generation that the entry has, and keeps the result.
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

// CommitLosingWrites loses writes of the head, or the replies to them, and lets the
// store go down for longer than a commit takes in between.
func (m *model) CommitLosingWrites(t *rapid.T) {
	m.c.store.faults = m.faults(t)
	if rapid.Bool().Draw(t, "down") {
		after := time.Duration(rapid.IntRange(0, 500).Draw(t, "after")) * time.Millisecond
		stop := time.AfterFunc(after, func() { m.c.store.setDown(true) }).Stop
		defer func() {
			stop()
			// The function may have started at this very moment.
			time.Sleep(time.Millisecond)
			m.c.store.setDown(false)
		}()
	}
	m.commit(m.entry(t))
	m.c.store.setFaults(nil)
}

// CommitRacing has a second operator commit between the read and the write of the
// first, or between a lost write and its repetition.
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
	_, _ = configuration.NewSweeper(m.c.store.store(), p.holder, silent(), tally.NoopScope).Sweep(context.Background())
}

// Sweep removes unused sections, alone, while a commit has written its sections and
// not yet the head, or with a commit between its list and its mark.
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

func (m *model) CutOffOrBack(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "process")
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	m.cut[name] = !m.cut[name]
}

// Restart replaces a process by one without memory.
func (m *model) Restart(t *rapid.T) {
	old := m.process(rapid.SampledFrom(m.names).Draw(t, "process"))
	m.check(t, old)
	old.stop()
	m.epoch++
	p := m.c.start(old.instance.Role, old.instance.Name, m.epoch)
	for _, name := range m.names {
		peer := m.c.processes[name]
		if record, _, ok := peer.table.Record(peer.instance.Name); ok && p.node != nil {
			record.Platform.Version, record.Platform.Instance = max(1, record.Platform.Version), peer.instance
			p.table.Merge([]membership.Record{record})
		}
	}
	m.begin(p)
}

// StaleOffer shows a process a head of a lower generation, as a peer with an old
// copy or a read from an old store would.
func (m *model) StaleOffer(t *rapid.T) {
	from, to := m.process(rapid.SampledFrom(m.names).Draw(t, "from")), m.process(rapid.SampledFrom(m.names).Draw(t, "to"))
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

// ReadStore has an entry read the store, as at its start.
func (m *model) ReadStore(t *rapid.T) { _, _ = m.entry(t).loader.Load(context.Background()) }

func (m *model) Wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// check fails if the process has gone to a lower generation.
func (m *model) check(t *rapid.T, p *process) {
	generation := p.holder.Generation()
	if generation < m.highest[p] {
		t.Fatalf("%s went from generation %d to %d", p.instance.Name, m.highest[p], generation)
	}
	m.highest[p] = generation
	if !m.seen[p].isAscending() {
		t.Fatalf("%s served on generations %v", p.instance.Name, m.seen[p].generations)
	}
}

// Check holds after each action.
func (m *model) Check(t *rapid.T) {
	for _, name := range m.names {
		m.check(t, m.process(name))
	}
	if missing := m.c.store.missing(); len(missing) > 0 {
		t.Fatalf("the head in the store names sections that are gone: %v", missing)
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

// checkOutcomes compares what operators were told with what the processes serve on.
func (m *model) checkOutcomes(t *rapid.T) {
	for _, name := range m.names {
		cfg := m.process(name).holder.Current()
		if cfg == nil {
			continue
		}
		weight := 0
		for _, o := range cfg.Document().Organisations {
			weight = max(weight, o.Weight)
		}
		for _, o := range m.commits {
			if o.weight == weight && isRefused(o.err) {
				t.Fatalf("the commit of weight %d was reported as not accepted (%v) and is in force on %s", weight, o.err, name)
			}
			if o.err == nil && o.generation == cfg.Generation() && o.weight != weight {
				t.Fatalf("generation %d was accepted with weight %d and %s has weight %d", o.generation, o.weight, name, weight)
			}
		}
	}
}

func isRefused(err error) bool {
	var notWritten *configuration.NotWrittenError
	return configuration.IsConflict(err) || errors.As(err, &notWritten)
}

// finish connects everything and expects the highest accepted generation everywhere.
func (m *model) finish(t *rapid.T) {
	m.c.mu.Lock()
	m.cut = make(map[string]bool)
	m.c.mu.Unlock()
	m.c.store.down = false
	m.commit(m.process(m.names[0]))
	highest := uint64(0)
	for _, o := range m.commits {
		if o.err == nil {
			highest = max(highest, o.generation)
		}
	}
	// One entry reads the store, as a watcher does.
	if _, err := m.process(m.names[1]).loader.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	for _, name := range m.names {
		if p := m.process(name); p.holder.Generation() < highest || !p.fresh.IsFresh() {
			t.Fatalf("%s is at generation %d and fresh=%v, accepted was %d", name, p.holder.Generation(), p.fresh.IsFresh(), highest)
		}
	}
	m.Check(t)
}

func (m *model) stop() {
	var all []*process
	for _, name := range m.names {
		all = append(all, m.process(name))
	}
	stopAll(all)
}

// Guards against a configuration that reverts, is lost, or is in force although its
// operator was told that it isn't, under racing operators, restarts, stale peers,
// store outages and lost replies.
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
