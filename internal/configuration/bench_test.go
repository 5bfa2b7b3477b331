package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
)

// benchSizes are numbers of organisations. Each has a rule, and there are 1.5 upstreams
// per organisation, so a size has 3.5 items per organisation. The target is 1800.
var benchSizes = []int{20, 300, 1800}

func items(organisations int) int { return organisations*7/2 + 4 }

// BenchmarkConfigurationCommit changes one item and reports the bytes written to the store.
func BenchmarkConfigurationCommit(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			m := newMemoryStore()
			p, h := newTestPublisher(m)
			mustCommit(b, p, 0, testDocument(n))
			bytes, writes := m.bytes, m.writes
			doc := testDocument(n)
			b.ReportAllocs()
			for b.Loop() {
				doc.Organisations[0].Weight = 2 + doc.Organisations[0].Weight%1000
				mustCommit(b, p, h.Generation(), doc)
			}
			b.ReportMetric(float64(m.bytes-bytes)/float64(b.N), "bytes/op")
			b.ReportMetric(float64(m.writes-writes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(len(h.Head().Sections)), "sections")
		})
	}
}

// BenchmarkConfigurationLayout encodes the document in the layouts that
// docs/decisions/configuration.md compares, and reports the bytes that a change of one
// item writes in each.
func BenchmarkConfigurationLayout(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			doc := testDocument(n)
			var whole, item, head int
			for b.Loop() {
				refs, _, err := split(Head{}, doc)
				if err != nil {
					b.Fatal(err)
				}
				whole, item = size(b, doc), size(b, doc.Organisations[0])
				head = size(b, Head{Generation: 1, Operation: NewOperationID(), Sections: refs})
			}
			b.ReportMetric(float64(whole), "wholeBytes")
			b.ReportMetric(float64(item), "itemBytes")
			b.ReportMetric(float64(head), "headBytes")
			b.ReportMetric(float64(items(n)), "items")
		})
	}
}

func size(b *testing.B, v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(raw)
}

// BenchmarkConfigurationOffer applies a change of one item from a peer with Holder.Apply
// and reports the bytes of the delta's sections.
func BenchmarkConfigurationOffer(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			p, h := newTestPublisher(newMemoryStore())
			mustCommit(b, p, 0, testDocument(n))
			old := h.state.Load()
			doc := testDocument(n)
			doc.Organisations[0].Weight = 2
			mustCommit(b, p, 1, doc)
			delta := h.Delta(1)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				peer := newTestHolder()
				peer.state.Store(&state{cfg: old.cfg, head: old.head, hash: old.hash, sections: old.sections, replaced: make(chan struct{})})
				head, ok := peer.ApplyDelta(delta)
				sections := h.Sections(hashesOf(Head{Sections: delta.Sections}))
				if applied, err := peer.Apply(head, sections); !ok || !applied || err != nil {
					b.Fatal(ok, applied, err)
				}
				size = 0
				for _, s := range sections {
					size += len(s.Raw())
				}
			}
			b.ReportMetric(float64(size), "sectionBytes/op")
		})
	}
}

// BenchmarkConfigurationLoad reads the complete configuration and reports the memory
// that a process uses per item.
func BenchmarkConfigurationLoad(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			m := newMemoryStore()
			p, _ := newTestPublisher(m)
			mustCommit(b, p, 0, testDocument(n))
			var held uint64
			for b.Loop() {
				before := heapInUse()
				h := newTestHolder()
				if _, err := NewLoader(m.store(), h).Load(context.Background()); err != nil {
					b.Fatal(err)
				}
				held += heapInUse() - before
				runtime.KeepAlive(h)
			}
			b.ReportMetric(float64(held)/float64(b.N*items(n)), "heldBytes/item")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
