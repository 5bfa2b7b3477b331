package configuration

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Item kinds, named as the lists of fleet.Document in JSON.
const (
	itemKindPipelines      = "pipelines"
	itemKindStages         = "stages"
	itemKindUpstreams      = "upstreams"
	itemKindFailureDomains = "failureDomains"
	itemKindOrganisations  = "organisations"
	itemKindRules          = "rules"
)

var itemKinds = []string{itemKindPipelines, itemKindStages, itemKindUpstreams, itemKindFailureDomains, itemKindOrganisations, itemKindRules}

// stamp returns a copy of doc in which an item that is equal to the one in base keeps
// its ChangedAt, and ChangedAt of every other item is the generation.
func stamp(base, doc fleet.Document, generation uint64) fleet.Document {
	return fleet.Document{
		Pipelines:      stampItems(base.Pipelines, doc.Pipelines, pipelineKey, func(p *fleet.Pipeline) *uint64 { return &p.ChangedAt }, generation),
		Stages:         stampItems(base.Stages, doc.Stages, stageKey, func(s *fleet.Stage) *uint64 { return &s.ChangedAt }, generation),
		Upstreams:      stampItems(base.Upstreams, doc.Upstreams, upstreamKey, func(u *fleet.Upstream) *uint64 { return &u.ChangedAt }, generation),
		FailureDomains: stampItems(base.FailureDomains, doc.FailureDomains, failureDomainKey, func(d *fleet.FailureDomain) *uint64 { return &d.ChangedAt }, generation),
		Organisations:  stampItems(base.Organisations, doc.Organisations, organisationKey, func(o *fleet.Organisation) *uint64 { return &o.ChangedAt }, generation),
		Rules:          stampItems(base.Rules, doc.Rules, ruleKey, func(r *fleet.Rule) *uint64 { return &r.ChangedAt }, generation),
	}
}

func stampItems[T any](base, items []T, key func(*T) string, changedAt func(*T) *uint64, generation uint64) []T {
	old := make(map[string]*T, len(base))
	for i := range base {
		old[key(&base[i])] = &base[i]
	}
	out := slices.Clone(items)
	for i := range out {
		at := changedAt(&out[i])
		*at = generation
		before, ok := old[key(&out[i])]
		if !ok {
			continue
		}
		*at = *changedAt(before)
		if !reflect.DeepEqual(&out[i], before) {
			*at = generation
		}
	}
	return out
}

// split splits the document into sections. It returns the references sorted by name and
// the sections by hash. It keeps the numbers of shards of base where they still fit.
func split(base Head, doc fleet.Document) ([]SectionRef, map[string]*Section, error) {
	s := &splitter{base: base, sections: make(map[string]*Section)}
	for _, step := range []func() error{
		func() error { return splitItems(s, itemKindPipelines, doc.Pipelines, pipelineKey) },
		func() error { return splitItems(s, itemKindStages, doc.Stages, stageKey) },
		func() error { return splitItems(s, itemKindUpstreams, doc.Upstreams, upstreamKey) },
		func() error { return splitItems(s, itemKindFailureDomains, doc.FailureDomains, failureDomainKey) },
		func() error { return splitItems(s, itemKindOrganisations, doc.Organisations, organisationKey) },
		func() error { return splitItems(s, itemKindRules, doc.Rules, ruleKey) },
	} {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	slices.SortFunc(s.refs, func(a, b SectionRef) int { return cmp.Compare(a.Name, b.Name) })
	return s.refs, s.sections, nil
}

type splitter struct {
	base     Head
	refs     []SectionRef
	sections map[string]*Section
}

func splitItems[T any](s *splitter, itemKind string, items []T, key func(*T) string) error {
	count := shardCount(s.base.shards(itemKind), len(items))
	shards := make([][]T, count)
	for i := range shards {
		shards[i] = []T{}
	}
	for _, item := range items {
		i := shardOf(key(&item), count)
		shards[i] = append(shards[i], item)
	}
	for i, shard := range shards {
		slices.SortFunc(shard, func(a, b T) int { return cmp.Compare(key(&a), key(&b)) })
		if err := s.add(sectionName{itemKind: itemKind, shard: i, count: count}, shard); err != nil {
			return err
		}
	}
	return nil
}

func (s *splitter) add(name sectionName, items any) error {
	raw, err := json.Marshal(map[string]any{name.itemKind: items})
	if err != nil {
		return errors.Wrapf(err, "encoding section %s", name)
	}
	if len(raw) > MaxSectionBytes {
		return &SizeError{Name: "section " + name.String(), Size: len(raw), Limit: MaxSectionBytes}
	}
	section, err := ParseSection(raw)
	if err != nil {
		return err
	}
	s.sections[section.hash] = section
	s.refs = append(s.refs, SectionRef{Name: name.String(), Hash: section.hash})
	return nil
}

// shards returns the number of shards of the item kind in the head, or 0 if there are none.
func (h Head) shards(itemKind string) int {
	for _, r := range h.Sections {
		if n, ok := parseName(r.Name); ok && n.itemKind == itemKind {
			return n.count
		}
	}
	return 0
}

// shardCount returns the smallest power of two, up to MaxShards, that gives shards of at
// most itemsPerShard items on average. It returns current while the mean is between
// minItemsPerShard and maxItemsPerShard.
func shardCount(current, n int) int {
	if current > 0 && n <= current*maxItemsPerShard && (current == 1 || n >= current*minItemsPerShard) {
		return current
	}
	count := 1
	for count*itemsPerShard < n && count < MaxShards {
		count *= 2
	}
	return count
}

func shardOf(key string, count int) int { return int(xxhash.Sum64String(key) % uint64(count)) }

func pipelineKey(p *fleet.Pipeline) string           { return p.Name }
func stageKey(s *fleet.Stage) string                 { return s.Name }
func upstreamKey(u *fleet.Upstream) string           { return u.Name }
func failureDomainKey(d *fleet.FailureDomain) string { return d.Name }
func organisationKey(o *fleet.Organisation) string   { return o.Name }
func ruleKey(r *fleet.Rule) string                   { return r.Organisation + "/" + r.Pipeline }
