package configuration

import (
	"bytes"
	"context"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a patch that does not reproduce the section from which it was computed,
// and against one that reads out of bounds of its base.
func TestPatchReproducesSection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ab]{0,12}`)
		from, to := &Section{hash: "from", raw: []byte(text.Draw(t, "from"))}, &Section{raw: []byte(text.Draw(t, "to"))}
		p := newPatch(from, to)
		patched := append(append(bytes.Clone(from.raw[:p.Prefix]), p.Middle...), from.raw[len(from.raw)-p.Suffix:]...)
		if !bytes.Equal(patched, to.raw) {
			t.Fatalf("patch %+v of %q results in %q, want %q", p, from.raw, patched, to.raw)
		}
		h := newTestHolder()
		h.state.Store(&state{sections: map[string]*Section{"from": from}})
		h.ApplyPatches([]Patch{{Base: "from", Prefix: rapid.Int().Draw(t, "prefix"), Suffix: rapid.Int().Draw(t, "suffix")}})
	})
}

// Guards against sending complete sections to a holder that is one generation behind,
// and patches without a base to one that is further behind.
func TestChangesPatchesPreviousGeneration(t *testing.T) {
	publisher, holder := newTestPublisher(newMemoryStore())
	behind := newTestHolder()
	doc := testDocument(100)
	mustCommit(t, publisher, 0, doc)
	initial := holder.Delta(0)
	_, complete := holder.Changes(initial)
	head, _ := behind.ApplyDelta(initial)
	if _, err := behind.Apply(head, complete); err != nil {
		t.Fatal(err)
	}
	for generation := uint64(1); generation <= 2; generation++ {
		doc.Organisations[3].Weight++
		if _, err := publisher.Commit(context.Background(), generation, doc); err != nil {
			t.Fatal(err)
		}
		patches, complete := holder.Changes(holder.Delta(1))
		if want := int(2 - generation); len(patches) != want || len(complete) != 1-want {
			t.Fatalf("at generation %d: %d patches and %d sections, want %d and %d", generation+1, len(patches), len(complete), want, 1-want)
		}
		if generation == 1 {
			head, _ := behind.ApplyDelta(holder.Delta(1))
			if _, err := behind.Apply(head, behind.ApplyPatches(patches)); err != nil {
				t.Fatal(err)
			}
		}
	}
}
