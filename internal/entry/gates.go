package entry

import (
	"sync"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/admission"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// minGateLimit is the minimum limit of a pipeline's gate, so that it never closes
// completely.
const minGateLimit = 2

// gates are the admission gates by pipeline.
type gates struct {
	bounds Bounds
	logger *log.Logger
	scope  tally.Scope

	mu    sync.Mutex
	gates map[string]*admission.Gate
}

func newGates(bounds Bounds, logger *log.Logger, scope tally.Scope) *gates {
	return &gates{bounds: bounds, logger: logger, scope: scope, gates: make(map[string]*admission.Gate)}
}

// closeRemoved closes the gates of pipelines that no longer exist.
func (g *gates) closeRemoved(cfg *fleet.Configuration) {
	for _, gate := range g.takeRemoved(cfg) {
		gate.Close()
	}
}

func (g *gates) takeRemoved(cfg *fleet.Configuration) []*admission.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	var removed []*admission.Gate
	for name, gate := range g.gates {
		if _, ok := cfg.Pipeline(name); !ok {
			removed = append(removed, gate)
			delete(g.gates, name)
		}
	}
	return removed
}

// forPipeline returns the gate of an existing pipeline.
func (g *gates) forPipeline(pipeline string) *admission.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate, ok := g.gates[pipeline]
	if !ok {
		limit := g.bounds.PipelineInFlight(pipeline)
		gate = admission.NewGate(admission.GateConfig{
			Pipeline:  pipeline,
			MaxQueued: g.bounds.PipelineQueued(pipeline),
			MinLimit:  minGateLimit,
			MaxLimit:  limit,
			Limit:     limit,
		}, g.logger, g.scope)
		g.gates[pipeline] = gate
	}
	return gate
}

// snapshot returns the state of each gate by pipeline.
func (g *gates) snapshot() map[string]admission.Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := make(map[string]admission.Snapshot, len(g.gates))
	for name, gate := range g.gates {
		m[name] = gate.Snapshot()
	}
	return m
}
