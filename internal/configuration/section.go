package configuration

import (
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Section is one parsed section. It is immutable.
type Section struct {
	hash     string
	itemKind string
	raw      []byte
	doc      fleet.Document
}

// ParseSection parses the JSON form of a section: an object with exactly one of the
// lists of fleet.Document. The error is a *FormatError or a *SizeError.
func ParseSection(raw []byte) (*Section, error) {
	if len(raw) > MaxSectionBytes {
		return nil, &SizeError{Name: "section", Size: len(raw), Limit: MaxSectionBytes}
	}
	if !utf8.Valid(raw) {
		return nil, &FormatError{Name: "section", Reason: "not valid UTF-8"}
	}
	s := &Section{hash: hashOf(raw), raw: raw}
	if err := strictDecode(raw, &s.doc); err != nil {
		return nil, &FormatError{Name: "section " + s.hash, Reason: err.Error()}
	}
	present := presentItemKinds(&s.doc)
	if len(present) != 1 {
		return nil, &FormatError{Name: "section " + s.hash, Reason: fmt.Sprintf("%d kinds of items, want 1", len(present))}
	}
	s.itemKind = present[0]
	return s, nil
}

// Hash returns the name of the section object.
func (s *Section) Hash() string { return s.hash }

// Raw returns the stored form, which must not be changed.
func (s *Section) Raw() []byte { return s.raw }

// presentItemKinds returns the item kinds whose list is present, even if it is empty.
func presentItemKinds(doc *fleet.Document) []string {
	var present []string
	add := func(itemKind string, isPresent bool) {
		if isPresent {
			present = append(present, itemKind)
		}
	}
	add(itemKindPipelines, doc.Pipelines != nil)
	add(itemKindStages, doc.Stages != nil)
	add(itemKindUpstreams, doc.Upstreams != nil)
	add(itemKindFailureDomains, doc.FailureDomains != nil)
	add(itemKindOrganisations, doc.Organisations != nil)
	add(itemKindRules, doc.Rules != nil)
	return present
}

// assemble joins the sections of the head into one document.
func assemble(h Head, sections map[string]*Section) (fleet.Document, error) {
	var doc fleet.Document
	for _, r := range h.Sections {
		s := sections[r.Hash]
		if n, _ := parseName(r.Name); n.itemKind != s.itemKind {
			return doc, &FormatError{Name: "section " + r.Name, Reason: "contains " + s.itemKind}
		}
		doc.Pipelines = append(doc.Pipelines, s.doc.Pipelines...)
		doc.Stages = append(doc.Stages, s.doc.Stages...)
		doc.Upstreams = append(doc.Upstreams, s.doc.Upstreams...)
		doc.FailureDomains = append(doc.FailureDomains, s.doc.FailureDomains...)
		doc.Organisations = append(doc.Organisations, s.doc.Organisations...)
		doc.Rules = append(doc.Rules, s.doc.Rules...)
	}
	return doc, nil
}

// sectionObject is the content of a section object. The section is stored as a string
// so that the store can't reformat it, which would change its hash.
type sectionObject struct {
	Content string `json:"content"`
	// Uses counts the writes that found the section already stored.
	Uses uint64 `json:"uses,omitempty"`
}

func encodeSection(s *Section) []byte {
	b, _ := json.Marshal(sectionObject{Content: string(s.raw)})
	return b
}

func decodeSection(spec []byte) (*Section, error) {
	var obj sectionObject
	if err := strictDecode(spec, &obj); err != nil {
		return nil, &FormatError{Name: "section object", Reason: err.Error()}
	}
	return ParseSection([]byte(obj.Content))
}
