package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Configuration is a validated, immutable snapshot of a Document.
type Configuration struct {
	generation     uint64
	doc            Document
	pipelines      map[string]*Pipeline
	stages         map[string]*Stage
	upstreams      map[string]*Upstream
	failureDomains map[string]*FailureDomain
	byKey          map[string]*Organisation
	rules          map[ruleKey]*Rule
}

type ruleKey struct {
	organisation string
	pipeline     string
}

// New validates doc and returns its snapshot at the generation. The error is an
// *InvalidError that lists all faults. The caller must not modify doc afterwards.
func New(generation uint64, doc Document) (*Configuration, error) {
	if err := check(doc); err != nil {
		return nil, err
	}
	c := &Configuration{
		generation:     generation,
		doc:            doc,
		pipelines:      index(doc.Pipelines, func(p *Pipeline) string { return p.Name }),
		stages:         index(doc.Stages, func(s *Stage) string { return s.Name }),
		upstreams:      index(doc.Upstreams, func(u *Upstream) string { return u.Name }),
		failureDomains: index(doc.FailureDomains, func(d *FailureDomain) string { return d.Name }),
		byKey:          index(doc.Organisations, func(o *Organisation) string { return o.KeySHA256 }),
		rules: index(doc.Rules, func(r *Rule) ruleKey {
			return ruleKey{organisation: r.Organisation, pipeline: r.Pipeline}
		}),
	}
	return c, nil
}

func index[K comparable, T any](items []T, key func(*T) K) map[K]*T {
	m := make(map[K]*T, len(items))
	for i := range items {
		m[key(&items[i])] = &items[i]
	}
	return m
}

// Generation returns the generation of the snapshot.
func (c *Configuration) Generation() uint64 { return c.generation }

// Document returns the document of the snapshot, which must not be modified.
func (c *Configuration) Document() Document { return c.doc }

// Pipeline returns the pipeline with the name.
func (c *Configuration) Pipeline(name string) (Pipeline, bool) { return lookup(c.pipelines, name) }

// Stage returns the stage with the name.
func (c *Configuration) Stage(name string) (Stage, bool) { return lookup(c.stages, name) }

// Upstream returns the operators' settings of the upstream, if there are any.
func (c *Configuration) Upstream(name string) (Upstream, bool) { return lookup(c.upstreams, name) }

// FailureDomain returns the failure domain with the name.
func (c *Configuration) FailureDomain(name string) (FailureDomain, bool) {
	return lookup(c.failureDomains, name)
}

// OrganisationByKey returns the organisation with the bearer key, which is looked up by its SHA-256.
func (c *Configuration) OrganisationByKey(key string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	return lookup(c.byKey, hex.EncodeToString(sum[:]))
}

// Rule returns the rule for the organisation and the pipeline. A rule for the pipeline
// takes precedence over one for every pipeline.
func (c *Configuration) Rule(organisation, pipeline string) (Rule, bool) {
	if r, ok := c.rules[ruleKey{organisation: organisation, pipeline: pipeline}]; ok {
		return *r, true
	}
	return lookup(c.rules, ruleKey{organisation: organisation, pipeline: AnyPipeline})
}

// Capacity returns the number of calls in flight that the warm upstream of the stage
// sustains: the upstream's own capacity if it is set, or that of the stage.
func (c *Configuration) Capacity(upstream, stage string) int {
	if u, ok := c.upstreams[upstream]; ok && u.Capacity > 0 {
		return u.Capacity
	}
	return c.stages[stage].capacity()
}

// IsInService reports whether the upstream may accept new work, which operators can
// disable for the upstream or its failure domain. It is false for an unknown failure domain.
func (c *Configuration) IsInService(upstream, failureDomain string) bool {
	if d, ok := c.failureDomains[failureDomain]; !ok || d.OutOfService {
		return false
	}
	u, ok := c.upstreams[upstream]
	return !ok || !u.OutOfService
}

// InSameRegion reports whether two failure domains are in the same region. A failure
// domain without a region counts as being in every region.
func (c *Configuration) InSameRegion(a, b string) bool {
	return a == b || c.failureDomains[a].Region == "" || c.failureDomains[b].Region == "" || c.failureDomains[a].Region == c.failureDomains[b].Region
}

// IsIdempotent reports whether every stage of the pipeline may be rerun after a failure.
func (c *Configuration) IsIdempotent(p Pipeline) bool {
	for _, step := range p.Steps {
		if s, ok := c.stages[step.Stage]; ok && !s.Idempotent {
			return false
		}
	}
	return true
}

// Deadline returns the pipeline's deadline.
func (p Pipeline) Deadline() time.Duration { return time.Duration(p.DeadlineMs) * time.Millisecond }

// WarmUp returns the warm-up time of an upstream of the stage.
func (s Stage) WarmUp() time.Duration { return time.Duration(s.WarmUpMs) * time.Millisecond }

func (s *Stage) capacity() int {
	if s == nil {
		return 0
	}
	return s.Capacity
}

func lookup[K comparable, T any](m map[K]*T, key K) (T, bool) {
	if v, ok := m[key]; ok {
		return *v, true
	}
	var zero T
	return zero, false
}
