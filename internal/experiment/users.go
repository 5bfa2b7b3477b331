package experiment

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Times of the stand-ins. A real warm-up takes minutes; it is shortened so that a run
// covers several of them. Calls take as long as the deadlines allow, so that the request
// rates stay within the capacity of one shared machine; with half of these times, the
// machine is the bottleneck at 3 times the load.
const (
	warmUp       = 2 * time.Second
	collapseTime = time.Second
	tolerance    = 100 * time.Millisecond
	coldSlowdown = 4.0
	// coldGrace is 10 times the longest call of a warm upstream.
	coldGrace = 2 * time.Second
)

func engineStage(name string, protocol fleet.Protocol, upstreams, capacity int) StageSpec {
	return StageSpec{
		Stage: fleet.Stage{
			Name:         name,
			Protocol:     protocol,
			Model:        name,
			Idempotent:   true,
			Capacity:     capacity,
			ColdCapacity: max(1, capacity/upstream.ColdCapacityDivisor),
			WarmUpMs:     warmUp.Milliseconds(),
		},
		Upstreams:    upstreams,
		ColdSlowdown: coldSlowdown,
		Tolerance:    tolerance,
		ColdGrace:    coldGrace,
		CollapseTime: collapseTime,
	}
}

func encoder(name string, upstreams, capacity int, service time.Duration) StageSpec {
	s := engineStage(name, fleet.ProtocolEmbeddings, upstreams, capacity)
	s.ServiceTime = service
	return s
}

func generator(name string, upstreams, capacity, tokens int, perToken time.Duration) StageSpec {
	s := engineStage(name, fleet.ProtocolChat, upstreams, capacity)
	s.Tokens, s.PerToken = tokens, perToken
	return s
}

// service returns a stage of plain services; services that report their own load have a
// load path.
func service(name, path string, upstreams, capacity int, time time.Duration, reportsLoad bool) StageSpec {
	s := engineStage(name, fleet.ProtocolJSON, upstreams, capacity)
	s.Model = ""
	s.Path = path
	s.Idempotent = path != upstream.BookingPath
	s.Kind = name
	s.ServiceTime = time
	if reportsLoad {
		s.LoadPath = upstream.LoadPath
	}
	return s
}

func pipeline(name string, weight float64, deadline time.Duration, stages ...string) PipelineSpec {
	p := PipelineSpec{
		Pipeline: fleet.Pipeline{Name: name, DeadlineMs: deadline.Milliseconds()},
		Weight:   weight,
		Priority: fleet.PriorityNormal,
	}
	for _, s := range stages {
		p.Steps = append(p.Steps, fleet.Step{Stage: s})
	}
	return p
}

func (p PipelineSpec) withCritical(fraction float64) PipelineSpec {
	p.CriticalFraction = fraction
	return p
}

func (p PipelineSpec) withPriority(priority fleet.Priority) PipelineSpec {
	p.Priority = priority
	return p
}

func (p PipelineSpec) streamed() PipelineSpec {
	p.Stream = true
	return p
}

func (p PipelineSpec) withKeysAndTickets(ticketFraction float64) PipelineSpec {
	p.Keyed, p.TicketFraction = true, ticketFraction
	return p
}

// Okafor returns the topology of the repair desk: 4 failure domains, 12 engines (encode and
// generate), 4 dispatch services, and 5 services each of billing, warranty and call log.
// End-to-end attainment matters most to this user.
func Okafor() Topology {
	return Topology{
		Name:           "okafor",
		FailureDomains: []string{"north", "east", "south", "west"},
		Entries:        4,
		Stages: []StageSpec{
			encoder("encode", 4, 10, 40*time.Millisecond),
			generator("generate", 8, 10, 20, 10*time.Millisecond),
			service("call-log", upstream.LookupPath, 5, 20, 30*time.Millisecond, true),
			service("billing", upstream.LookupPath, 5, 20, 30*time.Millisecond, true),
			service("warranty", upstream.LookupPath, 5, 20, 30*time.Millisecond, true),
			service("dispatch", upstream.BookingPath, 4, 10, 60*time.Millisecond, false),
		},
		Pipelines: []PipelineSpec{
			pipeline("diagnosis", 4, time.Second, "encode", "call-log", "generate").withCritical(0.1),
			pipeline("quote", 2, time.Second, "billing", "generate").streamed(),
			pipeline("warranty-check", 2, 300*time.Millisecond, "warranty").withPriority(fleet.PriorityHigh),
			pipeline("visit", 1, 500*time.Millisecond, "warranty", "dispatch").withPriority(fleet.PriorityHigh).withKeysAndTickets(0.3),
			pipeline("summary", 1, 2*time.Second, "call-log", "generate").withPriority(fleet.PriorityBatch),
		},
		Callers: []Caller{
			{Name: "harbour", Weight: 5}, {Name: "mill", Weight: 4}, {Name: "dairy", Weight: 1},
			{Name: "school", Weight: 1}, {Name: "chapel", Weight: 1},
		},
	}
}

// Lumiere returns the topology of the lamp crews: 3 failure domains, 20 engines (encode and
// generate), 3 crew-desk services, 5 services each of donor portal and stock log, and 8 SMS
// services. Service during changes of failure domains matters most to this user, and
// lookups must respond quickly.
func Lumiere() Topology {
	return Topology{
		Name:           "lumiere",
		FailureDomains: []string{"left", "middle", "right"},
		Entries:        3,
		Stages: []StageSpec{
			encoder("encode", 6, 10, 40*time.Millisecond),
			generator("generate", 14, 6, 20, 10*time.Millisecond),
			service("stock-log", upstream.LookupPath, 5, 20, 20*time.Millisecond, true),
			service("donor-portal", upstream.LookupPath, 5, 20, 30*time.Millisecond, true),
			service("crew-desk", upstream.BookingPath, 3, 10, 60*time.Millisecond, false),
			service("sms", upstream.BookingPath, 8, 10, 40*time.Millisecond, true),
		},
		Pipelines: []PipelineSpec{
			pipeline("lamp-report", 5, time.Second, "encode", "stock-log", "generate").withCritical(0.1),
			pipeline("stock-check", 5, 150*time.Millisecond, "stock-log").withPriority(fleet.PriorityHigh),
			pipeline("donor-letter", 2, 1500*time.Millisecond, "donor-portal", "generate").streamed(),
			pipeline("crew-booking", 1, 500*time.Millisecond, "stock-log", "crew-desk").withPriority(fleet.PriorityHigh).withKeysAndTickets(0.3),
			pipeline("alert", 2, 400*time.Millisecond, "sms").withPriority(fleet.PriorityCritical).withKeysAndTickets(0.3),
		},
		Callers: []Caller{
			{Name: "lantern", Weight: 3}, {Name: "beacon", Weight: 2}, {Name: "torch", Weight: 2},
			{Name: "candle", Weight: 1}, {Name: "wick", Weight: 1},
		},
	}
}
