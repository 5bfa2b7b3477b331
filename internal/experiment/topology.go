package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// StageSpec is a stage together with the stand-ins that serve it.
type StageSpec struct {
	fleet.Stage
	// Kind is upstream.ServiceConfig.Kind of the services of a json stage.
	Kind string
	// Upstreams is the number of upstreams, distributed over the failure domains in turn.
	Upstreams int
	// ServiceTime is the duration of one call of a json or embeddings stage.
	ServiceTime time.Duration
	// Tokens is the number of tokens of one call of a chat stage, and PerToken the time for
	// each.
	Tokens   int
	PerToken time.Duration
	// ColdSlowdown is the factor on the duration of calls of a cold upstream.
	ColdSlowdown float64
	// Tolerance is how long an upstream sustains more calls than its capacity before an
	// overload collapse.
	Tolerance time.Duration
	// ColdGrace is the same after a cold transition without notice.
	ColdGrace time.Duration
	// CollapseTime is how long all calls fail after an overload collapse.
	CollapseTime time.Duration
}

// Time returns the duration of one call on a warm upstream.
func (s StageSpec) Time() time.Duration {
	if s.Protocol == fleet.ProtocolChat {
		return time.Duration(s.Tokens) * s.PerToken
	}
	return s.ServiceTime
}

// Rate returns the calls per second that all warm upstreams of the stage can handle.
func (s StageSpec) Rate() float64 {
	return float64(s.Upstreams*s.Capacity) / s.Time().Seconds()
}

// PipelineSpec is a pipeline with the requests that callers send to it.
type PipelineSpec struct {
	fleet.Pipeline
	// Weight is the rate of requests relative to that of the other pipelines.
	Weight float64
	// Priority is the priority of most requests; CriticalFraction is the fraction of
	// requests, from 0 to 1, that have the highest priority instead.
	Priority         fleet.Priority
	CriticalFraction float64
	Stream           bool
	// Keyed requests carry an idempotency key; TicketFraction is the fraction of them that
	// carry a ticket instead.
	Keyed          bool
	TicketFraction float64
}

// Caller is an organisation that sends requests.
type Caller struct {
	Name string
	// Weight is the rate of requests relative to that of the other callers.
	Weight float64
}

// Topology describes the fleet that a scenario runs on, and its callers.
type Topology struct {
	Name           string
	FailureDomains []string
	Entries        int
	Stages         []StageSpec
	Pipelines      []PipelineSpec
	Callers        []Caller
}

// UpstreamSpec is one upstream of a topology.
type UpstreamSpec struct {
	Name          string
	FailureDomain string
	Stage         StageSpec
}

// Upstreams returns the upstreams of all stages.
func (t Topology) Upstreams() []UpstreamSpec {
	var all []UpstreamSpec
	for i, s := range t.Stages {
		for n := range s.Upstreams {
			all = append(all, UpstreamSpec{
				Name:          fmt.Sprintf("%s-%d", s.Name, n),
				FailureDomain: t.FailureDomains[(n+i)%len(t.FailureDomains)],
				Stage:         s,
			})
		}
	}
	return all
}

// EntryDomain returns the failure domain of the entry with the number.
func (t Topology) EntryDomain(n int) string { return t.FailureDomains[n%len(t.FailureDomains)] }

// Key returns the bearer key of an organisation.
func Key(organisation string) string { return "key-of-" + organisation }

// Document returns the configuration of the topology.
func (t Topology) Document() fleet.Document {
	var doc fleet.Document
	for _, d := range t.FailureDomains {
		doc.FailureDomains = append(doc.FailureDomains, fleet.FailureDomain{Name: d})
	}
	for _, s := range t.Stages {
		doc.Stages = append(doc.Stages, s.Stage)
	}
	for _, p := range t.Pipelines {
		doc.Pipelines = append(doc.Pipelines, p.Pipeline)
	}
	for _, c := range t.Callers {
		sum := sha256.Sum256([]byte(Key(c.Name)))
		doc.Organisations = append(doc.Organisations, fleet.Organisation{
			Name:      c.Name,
			KeySHA256: hex.EncodeToString(sum[:]),
			Weight:    1,
		})
		doc.Rules = append(doc.Rules, fleet.Rule{
			Organisation:    c.Name,
			Pipeline:        fleet.AnyPipeline,
			MaxPriority:     fleet.PriorityCritical,
			DefaultPriority: fleet.PriorityNormal,
		})
	}
	return doc
}

// Stage returns the stage with the name.
func (t Topology) Stage(name string) (StageSpec, bool) {
	for _, s := range t.Stages {
		if s.Name == name {
			return s, true
		}
	}
	return StageSpec{}, false
}

// ExpectedPipeline returns the model of the pipeline that computes the output of the
// stand-ins.
func (t Topology) ExpectedPipeline(p PipelineSpec) upstream.ExpectedPipeline {
	var c upstream.ExpectedPipeline
	for _, step := range p.Steps {
		s, _ := t.Stage(step.Stage)
		c = append(c, upstream.ExpectedStage{Stage: s.Name, Protocol: s.Protocol, Kind: s.Kind, Tokens: s.Tokens})
	}
	return c
}

// Capacity returns the rate of the mix, in requests per second, that saturates the
// bottleneck stage.
func (t Topology) Capacity() float64 {
	total := 0.0
	calls := make(map[string]float64)
	for _, p := range t.Pipelines {
		total += p.Weight
		for _, step := range p.Steps {
			calls[step.Stage] += p.Weight
		}
	}
	capacity := math.Inf(1)
	for _, s := range t.Stages {
		if calls[s.Name] > 0 {
			capacity = min(capacity, s.Rate()*total/calls[s.Name])
		}
	}
	return capacity
}

// Mix returns the classes of requests of all callers to all pipelines.
func (t Topology) Mix() []load.RequestClass {
	var mix []load.RequestClass
	for _, p := range t.Pipelines {
		for _, c := range t.Callers {
			mix = append(mix, t.requestClasses(p, c)...)
		}
	}
	return mix
}

// requestClasses returns the classes of requests of one caller to one pipeline: by priority,
// and by key or ticket.
func (t Topology) requestClasses(p PipelineSpec, c Caller) []load.RequestClass {
	expected := t.ExpectedPipeline(p)
	base := load.RequestClass{
		Pipeline:     p.Name,
		Organisation: c.Name,
		Key:          Key(c.Name),
		Deadline:     p.Deadline(),
		Stream:       p.Stream,
		Keyed:        p.Keyed,
		Idempotent:   t.isIdempotent(p),
		Check: func(input json.RawMessage, a load.Response) error {
			return expected.Check(input, a.Output, 0, a.SkippedStages)
		},
	}
	var classes []load.RequestClass
	for _, urgent := range []bool{false, true} {
		for _, ticket := range []bool{false, true} {
			s := base
			s.Priority = p.Priority
			s.Weight = p.Weight * c.Weight * branchFraction(p.CriticalFraction, urgent) * branchFraction(p.TicketFraction, ticket)
			if urgent {
				s.Priority = fleet.PriorityCritical
			}
			if ticket {
				s.Keyed, s.Ticket = false, true
			}
			if s.Weight > 0 {
				classes = append(classes, s)
			}
		}
	}
	return classes
}

func branchFraction(fraction float64, in bool) float64 {
	if in {
		return fraction
	}
	return 1 - fraction
}

func (t Topology) isIdempotent(p PipelineSpec) bool {
	for _, step := range p.Steps {
		if s, ok := t.Stage(step.Stage); ok && !s.Idempotent {
			return false
		}
	}
	return true
}
