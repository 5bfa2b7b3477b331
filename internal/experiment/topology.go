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
	// Kind is the Kind of the services of a json stage.
	Kind string
	// Upstreams is the number of upstreams, spread over the failure domains in turn.
	Upstreams int
	// Service is the time of one call of a json or embeddings stage.
	Service time.Duration
	// Tokens and PerToken make up the time of one call of a chat stage.
	Tokens   int
	PerToken time.Duration
	// ColdSlowdown multiplies the time of work of a cold upstream.
	ColdSlowdown float64
	// Tolerance is how long an upstream bears too many calls before it falls over.
	Tolerance time.Duration
	// ColdGrace is how long it bears too many calls after a cold turn without a sign.
	ColdGrace time.Duration
	// FallOver is how long all calls fail after that.
	FallOver time.Duration
}

// Time returns the time of one call on a warm upstream.
func (s StageSpec) Time() time.Duration {
	if s.Protocol == fleet.ProtocolChat {
		return time.Duration(s.Tokens) * s.PerToken
	}
	return s.Service
}

// Rate returns the calls per second that all warm upstreams of the stage can do.
func (s StageSpec) Rate() float64 {
	return float64(s.Upstreams*s.Capacity) / s.Time().Seconds()
}

// PipelineSpec is a pipeline together with the load on it.
type PipelineSpec struct {
	fleet.Pipeline
	// Weight is the share of the requests relative to the other pipelines.
	Weight float64
	// Priority is that of most requests; Urgent is the share of them, from 0 to 1,
	// that comes with the highest priority.
	Priority fleet.Priority
	Urgent   float64
	Stream   bool
	// Keyed requests carry an idempotency key; Tickets is the share of them that
	// carries a ticket in its place.
	Keyed   bool
	Tickets float64
}

// Caller is an organisation that sends requests.
type Caller struct {
	Name string
	// Weight is the organisation's share of the requests.
	Weight float64
}

// Topology is everything that a scenario runs on.
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

// Chain returns what the stand-ins answer as the pipeline.
func (t Topology) Chain(p PipelineSpec) upstream.ExpectedPipeline {
	var c upstream.ExpectedPipeline
	for _, step := range p.Steps {
		s, _ := t.Stage(step.Stage)
		c = append(c, upstream.ExpectedStage{Stage: s.Name, Protocol: s.Protocol, Kind: s.Kind, Tokens: s.Tokens})
	}
	return c
}

// Capacity returns the requests per second of the mix at which the first stage is full.
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

// Mix returns the requests of all callers to all pipelines.
func (t Topology) Mix() []load.RequestClass {
	var mix []load.RequestClass
	for _, p := range t.Pipelines {
		for _, c := range t.Callers {
			mix = append(mix, t.shares(p, c)...)
		}
	}
	return mix
}

// shares returns the parts of one pipeline and caller: by priority, and by key or ticket.
func (t Topology) shares(p PipelineSpec, c Caller) []load.RequestClass {
	chain := t.Chain(p)
	base := load.RequestClass{
		Pipeline:     p.Name,
		Organisation: c.Name,
		Key:          Key(c.Name),
		Deadline:     p.Deadline(),
		Stream:       p.Stream,
		Keyed:        p.Keyed,
		Idempotent:   t.isIdempotent(p),
		Check: func(input json.RawMessage, a load.Response) error {
			return chain.Check(input, a.Output, 0, a.SkippedStages)
		},
	}
	var shares []load.RequestClass
	for _, urgent := range []bool{false, true} {
		for _, ticket := range []bool{false, true} {
			s := base
			s.Priority = p.Priority
			s.Weight = p.Weight * c.Weight * part(p.Urgent, urgent) * part(p.Tickets, ticket)
			if urgent {
				s.Priority = fleet.PriorityCritical
			}
			if ticket {
				s.Keyed, s.Ticket = false, true
			}
			if s.Weight > 0 {
				shares = append(shares, s)
			}
		}
	}
	return shares
}

func part(share float64, in bool) float64 {
	if in {
		return share
	}
	return 1 - share
}

func (t Topology) isIdempotent(p PipelineSpec) bool {
	for _, step := range p.Steps {
		if s, ok := t.Stage(step.Stage); ok && !s.Idempotent {
			return false
		}
	}
	return true
}
