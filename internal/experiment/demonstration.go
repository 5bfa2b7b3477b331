package experiment

import (
	"context"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Demonstration returns a small topology with pipelines of both users, three failure
// domains and two entries.
func Demonstration() Topology {
	return Topology{
		Name:           "demonstration",
		FailureDomains: []string{"north", "middle", "south"},
		Entries:        2,
		Stages: []StageSpec{
			encoder("encode", 3, 10, 10*time.Millisecond),
			service("retrieve", upstream.LookupPath, 3, 20, 5*time.Millisecond, false),
			service("rerank", upstream.LookupPath, 3, 20, 5*time.Millisecond, false),
			generator("generate", 6, 10, 20, 5*time.Millisecond),
			service("stock-log", upstream.LookupPath, 3, 20, 5*time.Millisecond, true),
			service("dispatch", upstream.BookingPath, 3, 10, 20*time.Millisecond, false),
			service("crew-desk", upstream.BookingPath, 3, 10, 20*time.Millisecond, false),
		},
		Pipelines: []PipelineSpec{
			pipeline("diagnosis", 4, 2*time.Second, "encode", "retrieve", "rerank", "generate").withCritical(0.1),
			pipeline("visit", 2, time.Second, "stock-log", "dispatch").withPriority(fleet.PriorityHigh).withKeysAndTickets(0.5),
			pipeline("guidance", 2, 2*time.Second, "retrieve", "generate").streamed(),
			pipeline("lamp-status", 3, 500*time.Millisecond, "stock-log").withPriority(fleet.PriorityHigh),
			pipeline("round", 2, time.Second, "crew-desk").withPriority(fleet.PriorityHigh).withKeysAndTickets(0.5),
		},
		Callers: []Caller{{Name: "okafor", Weight: 2}, {Name: "lumiere", Weight: 1}},
	}
}

// demonstrationLoad is the arrival rate as a fraction of the capacity. It leaves enough
// spare capacity for the loss of one of three failure domains.
const demonstrationLoad = 0.25

// DemonstrationScenario takes a failure domain out of service and back, has a short
// outage of the object API, and kills the processes of another failure domain and
// starts them again.
func DemonstrationScenario() Scenario {
	t := Demonstration()
	s := Scenario{Name: "demonstration", Topology: t, StartWarm: true, Retries: 1}
	s.WarmUp = []Phase{{Duration: 4 * time.Second, Load: coldLoad}}
	s.Phases = []Phase{{Duration: 18 * time.Second, Load: demonstrationLoad}}
	s.Actions = []Action{
		{Name: "failure domain middle is taken out of service", At: 2 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
			return c.SetOutOfService(ctx, c.Domain(1), true)
		}},
		{Name: "failure domain middle is brought back", At: 6 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
			return c.SetOutOfService(ctx, c.Domain(1), false)
		}},
		{Name: "the platform's store goes down", At: 8 * time.Second, Do: func(_ context.Context, c *Cluster) error {
			c.SetPlatformFaults(PlatformFaults{Down: true})
			return nil
		}},
		{Name: "the platform's store returns", At: 11 * time.Second, Do: func(_ context.Context, c *Cluster) error {
			c.SetPlatformFaults(PlatformFaults{})
			return nil
		}},
		{Name: "the sidecars and upstreams of failure domain south die", At: 12 * time.Second, Do: func(_ context.Context, c *Cluster) error {
			c.KillDomain(c.Domain(2))
			return nil
		}},
		{Name: "failure domain south starts again", At: 14 * time.Second, Do: func(ctx context.Context, c *Cluster) error {
			return c.StartDomain(ctx, c.Domain(2))
		}},
	}
	s.Windows = []Window{{Name: windowBefore, To: 2 * time.Second}}
	s.Bounds = invariantBounds()
	return s
}
