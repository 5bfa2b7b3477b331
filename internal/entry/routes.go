package entry

import (
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// UpdateRoutes sets the routing candidates of each stage from the configuration and the
// known sidecars.
func (e *Entry) UpdateRoutes(cfg *fleet.Configuration, sidecars []fleet.InstanceRecord) {
	e.mu.Lock()
	e.sidecars = sidecarsByUpstream(sidecars)
	e.mu.Unlock()
	byStage := make(map[string][]routing.Candidate)
	for _, record := range sidecars {
		if record.Role != fleet.RoleSidecar {
			continue
		}
		stage, ok := cfg.Stage(record.Stage)
		if !ok {
			continue
		}
		capacity := cfg.Capacity(record.Upstream, record.Stage)
		byStage[record.Stage] = append(byStage[record.Stage], routing.Candidate{
			Name:          record.Upstream,
			Address:       record.Address,
			FailureDomain: record.FailureDomain,
			IsRemote:      !cfg.InSameRegion(record.FailureDomain, e.id.FailureDomain),
			Incarnation:   record.Incarnation,
			Capacity:      capacity,
			ColdCapacity:  min(stage.ColdCapacity, capacity),
			InService:     cfg.IsInService(record.Upstream, record.FailureDomain),
			Leaving:       record.Phase == fleet.PhaseLeaving,
		})
	}
	for _, stage := range cfg.Document().Stages {
		e.Table.Update(stage.Name, byStage[stage.Name])
	}
}
