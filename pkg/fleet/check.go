package fleet

import (
	"fmt"
	"regexp"
	"strings"
)

// Limits of document values.
const (
	// MaxNameLength is the longest name of an item, in bytes.
	MaxNameLength = 63
	// MaxDeadlineMs is the longest deadline of a pipeline, in milliseconds.
	MaxDeadlineMs = 600_000
	// MaxCapacity is the largest capacity of an upstream, in calls in flight.
	MaxCapacity = 100_000
	// MaxWarmUpMs is the longest warm-up time of an upstream, in milliseconds.
	MaxWarmUpMs = 3_600_000
	// MaxWeight is the largest weight of an organisation.
	MaxWeight = 10_000
)

// namePattern is the DNS label syntax of RFC 1123, which the platform requires of object names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]*[a-z0-9])?$`)

var keyPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Fault is one error in a document.
type Fault struct {
	// Item names the item, such as `pipeline "diagnosis"`.
	Item string `json:"item"`
	// Reason describes the error and the allowed values.
	Reason string `json:"reason"`
}

// InvalidError lists all faults of a document.
type InvalidError struct {
	Faults []Fault
}

// Error returns all faults, separated by semicolons.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		parts = append(parts, f.Item+": "+f.Reason)
	}
	return "invalid configuration: " + strings.Join(parts, "; ")
}

type checker struct {
	faults []Fault
	stages map[string]Stage
	names  map[string]bool
}

func check(doc Document) error {
	c := &checker{stages: make(map[string]Stage), names: make(map[string]bool)}
	for _, s := range doc.Stages {
		c.stage(s)
	}
	for _, d := range doc.FailureDomains {
		c.name("failureDomain", d.Name)
	}
	for _, u := range doc.Upstreams {
		c.upstream(u)
	}
	for _, p := range doc.Pipelines {
		c.pipeline(p)
	}
	c.organisations(doc.Organisations)
	for _, r := range doc.Rules {
		c.rule(r)
	}
	if len(c.faults) > 0 {
		return &InvalidError{Faults: c.faults}
	}
	return nil
}

func (c *checker) fail(item, format string, args ...any) {
	c.faults = append(c.faults, Fault{Item: item, Reason: fmt.Sprintf(format, args...)})
}

// name checks the syntax and the uniqueness of an item's name and returns the item's
// kind and quoted name, as used in faults.
func (c *checker) name(kind, name string) string {
	item := fmt.Sprintf("%s %q", kind, name)
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		c.fail(item, "the name must be 1 to %d lower-case letters, digits and hyphens", MaxNameLength)
	}
	c.unique(item)
	return item
}

func (c *checker) unique(item string) {
	if c.names[item] {
		c.fail(item, "appears twice")
	}
	c.names[item] = true
}

func (c *checker) between(item, field string, v, low, high int64) {
	if v < low || v > high {
		c.fail(item, "%s is %d, allowed are %d to %d", field, v, low, high)
	}
}

func (c *checker) stage(s Stage) {
	item := c.name("stage", s.Name)
	c.stages[s.Name] = s
	switch s.Protocol {
	case ProtocolChat, ProtocolEmbeddings:
		if s.Model == "" {
			c.fail(item, "model is missing")
		}
	case ProtocolJSON:
		if !strings.HasPrefix(s.Path, "/") {
			c.fail(item, "path must start with /")
		}
	default:
		c.fail(item, "protocol is %q, allowed are chat, embeddings, json", s.Protocol)
	}
	c.between(item, "capacity", int64(s.Capacity), 1, MaxCapacity)
	c.between(item, "coldCapacity", int64(s.ColdCapacity), 1, int64(max(1, s.Capacity)))
	c.between(item, "warmUpMs", s.WarmUpMs, 0, MaxWarmUpMs)
}

func (c *checker) upstream(u Upstream) {
	item := c.name("upstream", u.Name)
	if _, ok := c.stages[u.Stage]; !ok {
		c.fail(item, "stage %q does not exist", u.Stage)
	}
	if !c.names[fmt.Sprintf("failureDomain %q", u.FailureDomain)] {
		c.fail(item, "failureDomain %q does not exist", u.FailureDomain)
	}
	c.between(item, "capacity", int64(u.Capacity), 0, MaxCapacity)
}

func (c *checker) pipeline(p Pipeline) {
	item := c.name("pipeline", p.Name)
	c.between(item, "deadlineMs", p.DeadlineMs, 1, MaxDeadlineMs)
	if len(p.Steps) == 0 {
		c.fail(item, "has no steps")
	}
	for i, step := range p.Steps {
		s, ok := c.stages[step.Stage]
		if !ok {
			c.fail(item, "stage %q does not exist", step.Stage)
			continue
		}
		last := i == len(p.Steps)-1
		if !s.Idempotent && !last {
			c.fail(item, "stage %q is not idempotent and may only be the last step", step.Stage)
		}
		if step.Optional && last {
			c.fail(item, "the last step may not be optional")
		}
	}
}

func (c *checker) organisations(orgs []Organisation) {
	keys := make(map[string]string, len(orgs))
	for _, o := range orgs {
		item := c.name("organisation", o.Name)
		if !keyPattern.MatchString(o.KeySHA256) {
			c.fail(item, "keySha256 must be 64 hexadecimal digits in lower case")
		}
		if other, ok := keys[o.KeySHA256]; ok {
			c.fail(item, "has the same key as organisation %q", other)
		}
		keys[o.KeySHA256] = o.Name
		c.between(item, "weight", int64(o.Weight), 1, MaxWeight)
	}
}

func (c *checker) rule(r Rule) {
	item := fmt.Sprintf("rule %q/%q", r.Organisation, r.Pipeline)
	c.unique(item)
	if !c.names[fmt.Sprintf("organisation %q", r.Organisation)] {
		c.fail(item, "organisation %q does not exist", r.Organisation)
	}
	if r.Pipeline != AnyPipeline && !c.names[fmt.Sprintf("pipeline %q", r.Pipeline)] {
		c.fail(item, "pipeline %q does not exist", r.Pipeline)
	}
	if r.MaxPriority < 0 || r.MaxPriority >= PriorityCount {
		c.fail(item, "maxPriority is out of range")
	}
	if r.DefaultPriority < 0 || r.DefaultPriority > r.MaxPriority {
		c.fail(item, "defaultPriority must not exceed maxPriority")
	}
}
