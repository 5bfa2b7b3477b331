package configuration

// Patch is the difference between a section of one generation and that of the next. A
// changed item leaves the rest of the encoded section unchanged, so one changed region
// is enough.
type Patch struct {
	// Base is the hash of the section to which the patch applies.
	Base string
	// Prefix and Suffix are the numbers of unchanged bytes at both ends.
	Prefix, Suffix int
	Middle         []byte
}

// Changes returns the contents of the delta for a holder of its base: patches of
// sections whose previous version the holder has, and the other sections completely.
func (h *Holder) Changes(d HeadDelta) (patches []Patch, complete []*Section) {
	s := h.state.Load()
	for _, r := range d.Sections {
		section, ok := s.sections[r.Hash]
		if !ok {
			continue
		}
		if base, ok := s.previousSections[r.Name]; ok && d.Base != 0 && d.Base == s.previousGeneration {
			patches = append(patches, newPatch(base, section))
			continue
		}
		complete = append(complete, section)
	}
	return patches, complete
}

// ApplyPatches returns the results of applying the patches to sections in force. It
// ignores a patch of another section or one that doesn't fit its section; the result
// counts as missing.
func (h *Holder) ApplyPatches(patches []Patch) []*Section {
	held := h.state.Load().sections
	var sections []*Section
	for _, p := range patches {
		base, ok := held[p.Base]
		if !ok || p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(base.raw) || p.Suffix > len(base.raw)-p.Prefix {
			continue
		}
		raw := make([]byte, 0, p.Prefix+len(p.Middle)+p.Suffix)
		raw = append(raw, base.raw[:p.Prefix]...)
		raw = append(raw, p.Middle...)
		raw = append(raw, base.raw[len(base.raw)-p.Suffix:]...)
		if section, err := ParseSection(raw); err == nil {
			sections = append(sections, section)
		}
	}
	return sections
}

func newPatch(from, to *Section) Patch {
	a, b := from.raw, to.raw
	shorter := min(len(a), len(b))
	p := Patch{Base: from.hash}
	for p.Prefix < shorter && a[p.Prefix] == b[p.Prefix] {
		p.Prefix++
	}
	for p.Suffix < shorter-p.Prefix && a[len(a)-1-p.Suffix] == b[len(b)-1-p.Suffix] {
		p.Suffix++
	}
	p.Middle = b[p.Prefix : len(b)-p.Suffix]
	return p
}

// replacedSections returns, by name, the old sections whose content differs in the new head.
func replacedSections(old *state, head Head) map[string]*Section {
	replaced := make(map[string]*Section)
	for _, r := range head.Sections {
		if before, ok := old.head.ref(r.Name); ok && before.Hash != r.Hash {
			replaced[r.Name] = old.sections[before.Hash]
		}
	}
	return replaced
}
