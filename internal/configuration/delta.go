package configuration

import (
	"slices"
	"strings"
)

// HeadDelta is the difference between the head of one generation and that of a later one.
type HeadDelta struct {
	// Base is the generation to which the delta applies; 0 means that Sections are all
	// sections of the head.
	Base       uint64
	Generation uint64
	Operation  string
	// Hash is the Head.Hash of the result.
	Hash uint64
	// Sections are those that changed after Base, or all if Base is 0, sorted by name.
	Sections []SectionRef
}

// Delta returns the difference between the head of the base generation and the one in
// force. If base is 0 or not lower than the generation in force, it has base 0 and all
// sections.
func (h *Holder) Delta(base uint64) HeadDelta {
	s := h.state.Load()
	d := HeadDelta{Generation: s.head.Generation, Operation: s.head.Operation, Hash: s.hash}
	if base == 0 || base >= s.head.Generation {
		d.Sections = s.head.Sections
		return d
	}
	d.Base = base
	for _, r := range s.head.Sections {
		if r.ChangedAt > base {
			d.Sections = append(d.Sections, r)
		}
	}
	return d
}

// ApplyDelta returns the result of applying the delta to the head in force. It returns
// false if the head in force is not the base, or if the result has another hash or too
// many sections; a delta with base 0 is needed then.
func (h *Holder) ApplyDelta(d HeadDelta) (Head, bool) {
	current := h.Head()
	head := Head{Generation: d.Generation, Operation: d.Operation, Sections: d.Sections}
	if d.Base != 0 {
		if d.Base != current.Generation {
			return Head{}, false
		}
		head.Sections = overlaySections(current.Sections, d.Sections)
	}
	return head, len(head.Sections) <= MaxSections && head.Hash() == d.Hash
}

// overlaySections replaces sections of base by changes. If the number of shards of an
// item kind changed, changes contains all its sections, so those with the old number are
// dropped.
func overlaySections(base, changes []SectionRef) []SectionRef {
	counts := make(map[string]int)
	replaced := make(map[string]bool, len(changes))
	for _, r := range changes {
		replaced[r.Name] = true
		if n, ok := parseName(r.Name); ok {
			counts[n.itemKind] = n.count
		}
	}
	sections := slices.Clone(changes)
	for _, r := range base {
		n, _ := parseName(r.Name)
		count, changed := counts[n.itemKind]
		if !replaced[r.Name] && (!changed || count == n.count) {
			sections = append(sections, r)
		}
	}
	slices.SortFunc(sections, func(a, b SectionRef) int { return strings.Compare(a.Name, b.Name) })
	return sections
}
