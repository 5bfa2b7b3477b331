package configuration

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

func newTestHolder() *Holder { return NewHolder(discardLogger(), tally.NoopScope) }

func newTestPublisher(m *memoryStore) (*Publisher, *Holder) {
	h := newTestHolder()
	return NewPublisher(m.store(), h, NewOperationID, discardLogger(), tally.NoopScope), h
}

// testDocument returns a document with the number of organisations, a rule for each, and
// 1.5 upstreams per organisation.
func testDocument(organisations int) fleet.Document {
	doc := fleet.Document{
		Pipelines:      []fleet.Pipeline{{Name: "diagnosis", Steps: []fleet.Step{{Stage: "generate"}}, DeadlineMs: 3000}},
		Stages:         []fleet.Stage{{Name: "generate", Protocol: fleet.ProtocolChat, Model: "m", Idempotent: true, Capacity: 8, ColdCapacity: 1}},
		FailureDomains: []fleet.FailureDomain{{Name: "a"}, {Name: "b"}},
	}
	for i := range organisations {
		name := fmt.Sprintf("org-%d", i)
		doc.Organisations = append(doc.Organisations, fleet.Organisation{Name: name, KeySHA256: fmt.Sprintf("%064x", i), Weight: 1})
		doc.Rules = append(doc.Rules, fleet.Rule{Organisation: name, Pipeline: fleet.AnyPipeline, MaxPriority: fleet.PriorityHigh})
	}
	for i := range organisations * 3 / 2 {
		doc.Upstreams = append(doc.Upstreams, fleet.Upstream{Name: fmt.Sprintf("up-%d", i), Stage: "generate", FailureDomain: "a"})
	}
	return doc
}

func mustCommit(t testing.TB, p *Publisher, base uint64, doc fleet.Document) {
	t.Helper()
	if _, err := p.Commit(context.Background(), base, doc); err != nil {
		t.Fatal(err)
	}
}

// Guards against a change of one item that rewrites or moves more than the section of the item.
func TestCommitRewritesOnlyTheChangedSection(t *testing.T) {
	m := newMemoryStore()
	p, h := newTestPublisher(m)
	doc := testDocument(300)
	mustCommit(t, p, 0, doc)
	writes := m.writes
	doc = testDocument(300)
	doc.Organisations[7].Weight = 5
	mustCommit(t, p, 1, doc)
	if got := m.writes - writes; got != 2 {
		t.Fatalf("the change of one item made %d writes, want one section and the head", got)
	}
	for _, o := range h.Current().Document().Organisations {
		if want := map[bool]uint64{true: 2, false: 1}[o.Name == "org-7"]; o.ChangedAt != want {
			t.Fatalf("%s changed at %d, want %d", o.Name, o.ChangedAt, want)
		}
	}
	fresh := newTestHolder()
	if generation, err := NewLoader(m.store(), fresh).Load(context.Background()); err != nil || generation != 2 {
		t.Fatalf("loaded generation %d, error %v", generation, err)
	}
	if fresh.Head().Hash() != h.Head().Hash() {
		t.Fatal("a load returns a different head than the commit")
	}
}

// Guards against accepting two commits on the same base.
func TestConcurrentCommitsConflict(t *testing.T) {
	m := newMemoryStore()
	p, _ := newTestPublisher(m)
	mustCommit(t, p, 0, testDocument(2))
	other, _ := newTestPublisher(m)
	raced := false
	m.beforeWrite = func(kind string) {
		if kind == KindConfigurations && !raced {
			raced = true
			mustCommit(t, other, 1, testDocument(3))
		}
	}
	_, err := p.Commit(context.Background(), 1, testDocument(4))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current != 2 {
		t.Fatalf("got %v, want a conflict with generation 2", err)
	}
}

// Guards against reporting an accepted commit as failed, and the reverse, when the
// reply to the update of the head is lost and others commit before the head is read back.
func TestLostReplyIsResolved(t *testing.T) {
	for _, others := range []int{0, 1, maxRecentOperations, maxRecentOperations + 1} {
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryStore()
			p, _ := newTestPublisher(m)
			mustCommit(t, p, 0, testDocument(2))
			other, _ := newTestPublisher(m)
			lost := false
			m.loseReply = func(kind string) bool {
				defer func() { lost = lost || kind == KindConfigurations }()
				return kind == KindConfigurations && !lost
			}
			m.beforeWrite = func(kind string) {
				for i := 0; kind == KindConfigurations && lost && i < others; i++ {
					m.beforeWrite = nil
					mustCommit(t, other, uint64(2+i), testDocument(3+i))
				}
			}
			generation, err := p.Commit(context.Background(), 1, testDocument(4))
			var unresolved *UnresolvedError
			switch {
			case others <= maxRecentOperations && (err != nil || generation != 2):
				t.Fatalf("%d others: generation %d, error %v", others, generation, err)
			case others > maxRecentOperations && !errors.As(err, &unresolved):
				t.Fatalf("%d others: got %v, want an UnresolvedError", others, err)
			}
		})
	}
}

// Guards against a process that returns to a lower generation or applies a configuration
// whose sections it does not have.
func TestApplyNeverGoesBack(t *testing.T) {
	m := newMemoryStore()
	p, h := newTestPublisher(m)
	mustCommit(t, p, 0, testDocument(2))
	old, oldSections := h.Head(), h.Sections(hashesOf(h.Head()))
	mustCommit(t, p, 1, testDocument(3))
	var seen []uint64
	h.Subscribe(func(c *fleet.Configuration) { seen = append(seen, c.Generation()) })
	if applied, err := h.Apply(old, oldSections); applied || err != nil {
		t.Fatalf("a lower generation was applied (%v), error %v", applied, err)
	}
	fresh := newTestHolder()
	var missing *MissingSectionsError
	if _, err := fresh.Apply(h.Head(), oldSections); !errors.As(err, &missing) || fresh.Current() != nil {
		t.Fatalf("got %v, want a MissingSectionsError and no configuration", err)
	}
	forked := h.Head()
	forked.Sections = old.Sections
	if _, err := h.Apply(forked, oldSections); err == nil || h.Generation() != 2 || len(seen) != 1 {
		t.Fatalf("different content of generation 2: error %v, generations seen %v", err, seen)
	}
}

// Guards against loading a section whose content does not match the hash in its name.
func TestLoadChecksTheHash(t *testing.T) {
	m := newMemoryStore()
	p, h := newTestPublisher(m)
	mustCommit(t, p, 0, testDocument(2))
	refs := h.Head().Sections
	first, last := KindSections+"/"+refs[0].Hash, KindSections+"/"+refs[len(refs)-1].Hash
	m.objects[first], m.objects[last] = m.objects[last], m.objects[first]
	var format *FormatError
	if _, err := NewLoader(m.store(), newTestHolder()).Load(context.Background()); !errors.As(err, &format) {
		t.Fatalf("got %v, want a FormatError", err)
	}
}

// Guards against a delta that is not enough to produce the next head, and against
// applying one whose result has another hash than stated or that has another base.
func TestDelta(t *testing.T) {
	p, h := newTestPublisher(newMemoryStore())
	mustCommit(t, p, 0, testDocument(300))
	peer := newTestHolder()
	if _, err := peer.Apply(h.Head(), h.Sections(hashesOf(h.Head()))); err != nil {
		t.Fatal(err)
	}
	for i, doc := range []fleet.Document{testDocument(301), testDocument(3000), testDocument(1)} {
		mustCommit(t, p, uint64(i+1), doc)
		delta := h.Delta(uint64(i + 1))
		head, ok := peer.ApplyDelta(delta)
		if !ok || len(delta.Sections) >= len(h.Head().Sections) {
			t.Fatalf("generation %d: delta of %d sections applies: %v", i+2, len(delta.Sections), ok)
		}
		forged := delta
		forged.Sections = append([]SectionRef{{Name: "rules.0.1", Hash: strings.Repeat("0", HashLength), ChangedAt: 1}}, delta.Sections...)
		if _, ok := peer.ApplyDelta(forged); ok {
			t.Fatal("a delta with another hash was applied")
		}
		if _, ok := newTestHolder().ApplyDelta(delta); ok {
			t.Fatal("a delta was applied to another base")
		}
		if _, err := peer.Apply(head, h.Sections(hashesOf(head))); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against unused sections that are never removed from the store, and against
// removing a section that a commit in progress needs.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		p, h := newTestPublisher(m)
		s := NewSweeper(m.store(), h, discardLogger(), tally.NoopScope)
		mustCommit(t, p, 0, testDocument(2))
		mustCommit(t, p, 1, testDocument(3))
		m.beforeWrite = func(kind string) {
			if kind == KindConfigurations {
				m.beforeWrite = nil
				if removed, err := s.Sweep(t.Context()); err != nil || removed == 0 {
					t.Errorf("removed %d sections, error %v", removed, err)
				}
			}
		}
		mustCommit(t, p, 2, testDocument(4))
		if _, err := s.Sweep(t.Context()); err != nil {
			t.Fatal(err)
		}
		if len(m.objects) != len(h.Head().Sections)+1 {
			t.Fatalf("%d objects for %d sections", len(m.objects), len(h.Head().Sections))
		}
		if _, err := NewLoader(m.store(), newTestHolder()).Load(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a sweep that removes sections which were unused when it listed them
// but which a head has referred to since: the head of a commit that had written its
// sections but not yet its head, and that of a commit that reuses sections of a failed
// one.
func TestSweepKeepsReusedSections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		p, h := newTestPublisher(m)
		s := NewSweeper(m.store(), h, discardLogger(), tally.NoopScope)
		mustCommit(t, p, 0, testDocument(2))
		swept := make(chan error)
		m.beforeWrite = func(kind string) {
			if kind != KindConfigurations {
				return
			}
			m.beforeWrite = nil
			listed, written := make(chan struct{}), make(chan struct{})
			m.afterList = func() {
				close(listed)
				<-written
			}
			go func() {
				_, err := s.Sweep(t.Context())
				swept <- err
			}()
			<-listed
			time.AfterFunc(time.Second, func() { close(written) })
		}
		mustCommit(t, p, 1, testDocument(3))
		if err := <-swept; !errors.Is(err, errConflict) {
			t.Fatalf("the sweep ended with %v, want a conflict", err)
		}
		m.beforeWrite = func(kind string) {
			if kind == KindConfigurations {
				m.mu.Lock()
				m.down = true
				m.mu.Unlock()
			}
		}
		if _, err := p.Commit(t.Context(), 2, testDocument(4)); err == nil {
			t.Fatal("a commit succeeded while the store was down")
		}
		m.beforeWrite, m.down = nil, false
		m.beforeDelete = func() { mustCommit(t, p, 2, testDocument(4)) }
		if _, err := s.Sweep(t.Context()); err != nil {
			t.Fatal(err)
		}
		if generation, err := NewLoader(m.store(), newTestHolder()).Load(t.Context()); err != nil || generation != 3 {
			t.Fatalf("loaded generation %d, error %v", generation, err)
		}
	})
}

// Guards against a load that starts from scratch each time and so never completes when
// the store allows fewer reads per load than there are sections.
func TestLoadResumesAfterFailure(t *testing.T) {
	m := newMemoryStore()
	p, h := newTestPublisher(m)
	mustCommit(t, p, 0, testDocument(300))
	m.failLists = true
	fresh := newTestHolder()
	l := NewLoader(m.store(), fresh)
	sections := len(h.Head().Sections)
	for loads := 0; fresh.Generation() == 0; loads++ {
		m.readsLeft = 10
		if _, err := l.Load(context.Background()); err != nil && loads > sections/10+1 {
			t.Fatalf("%d loads of 10 reads did not get %d sections: %v", loads, sections, err)
		}
	}
}

// Guards against an initial load that reads each section by its own call, which exhausts
// the rate limit of the store when all entries restart, and against a section whose
// content does not match the hash in its name.
func TestInitialLoadListsSections(t *testing.T) {
	m := newMemoryStore()
	p, h := newTestPublisher(m)
	mustCommit(t, p, 0, testDocument(300))
	m.calls = 0
	if _, err := NewLoader(m.store(), newTestHolder()).Load(t.Context()); err != nil || m.calls != 2 {
		t.Errorf("%d calls, error %v; want the head and one list", m.calls, err)
	}
	refs := h.Head().Sections
	key := KindSections + "/" + refs[0].Hash
	other := m.objects[KindSections+"/"+refs[1].Hash]
	m.objects[key] = Object{Name: refs[0].Hash, ResourceVersion: "1", Spec: other.Spec}
	fresh := newTestHolder()
	if _, err := NewLoader(m.store(), fresh).Load(t.Context()); err == nil || fresh.Generation() != 0 {
		t.Errorf("a section with different content was applied: generation %d, error %v", fresh.Generation(), err)
	}
}

// Guards against a wait that misses the generation or returns before it is in force.
func TestWaitForGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, h := newTestPublisher(newMemoryStore())
		got := make(chan uint64, 1)
		go func() {
			c, err := h.WaitForGeneration(t.Context(), 2)
			if err == nil {
				got <- c.Generation()
			}
		}()
		mustCommit(t, p, 0, testDocument(2))
		synctest.Wait()
		if len(got) != 0 {
			t.Fatal("WaitForGeneration returned before the generation was in force")
		}
		mustCommit(t, p, 1, testDocument(3))
		if generation := <-got; generation != 2 {
			t.Fatalf("WaitForGeneration returned generation %d", generation)
		}
	})
}

// Guards against writing a configuration to the store that is invalid or has a section
// above the maximum size.
func TestRejectedCommitWritesNothing(t *testing.T) {
	m := newMemoryStore()
	p, _ := newTestPublisher(m)
	large := testDocument(1)
	for range 20_000 {
		large.Pipelines[0].Steps = append(large.Pipelines[0].Steps, fleet.Step{Stage: "generate"})
	}
	var size *SizeError
	if _, err := p.Commit(context.Background(), 0, large); !errors.As(err, &size) {
		t.Fatalf("got %v, want a SizeError", err)
	}
	invalid := testDocument(1)
	invalid.Rules[0].Organisation = "nobody"
	var faults *fleet.InvalidError
	if _, err := p.Commit(context.Background(), 0, invalid); !errors.As(err, &faults) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	m.down = true
	var notWritten *NotWrittenError
	if _, err := p.Commit(context.Background(), 0, testDocument(1)); !errors.As(err, &notWritten) {
		t.Fatalf("got %v, want a NotWrittenError", err)
	}
	if m.writes != 0 {
		t.Fatalf("rejected commits made %d writes", m.writes)
	}
}

func hashesOf(h Head) []string {
	var hashes []string
	for _, r := range h.Sections {
		hashes = append(hashes, r.Hash)
	}
	return hashes
}

func FuzzParseHead(f *testing.F) {
	f.Add([]byte(`{"generation":1,"operation":"a","sections":[{"name":"rules.0.1","hash":"` + strings.Repeat("0", HashLength) + `","changedAt":1}]}`))
	f.Add([]byte(`{"generation":1,"sections":[{"name":"rules.00.1"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		head, err := ParseHead(b)
		if err != nil {
			return
		}
		if _, err := newTestHolder().Apply(head, nil); len(head.Sections) > 0 && err == nil {
			t.Fatal("a head without its sections was applied")
		}
	})
}

func FuzzParseSection(f *testing.F) {
	f.Add([]byte(`{"rules":[{"organisation":"a","pipeline":"*","maxPriority":"high","defaultPriority":"batch"}]}`))
	f.Add([]byte(`{"rules":[],"stages":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := ParseSection(b)
		if err != nil {
			return
		}
		back, err := decodeSection(encodeSection(s))
		if err != nil || back.Hash() != hashOf(b) {
			t.Fatalf("the stored form decodes to a different section: %v", err)
		}
	})
}
