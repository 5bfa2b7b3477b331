package roles

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/entry"
	"bergamotrudder.example/bergamotrudder/internal/operator"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func (p *EntryProcess) newOperator() *operator.Server {
	return operator.New(operator.Dependencies{
		Key:      p.cfg.OperatorKey().Read,
		Current:  p.holder.Current,
		Commit:   p.commit,
		Classify: classifyCommit,
		Status:   p.status,
		Dump:     p.dumpOf,
		Logger:   p.logger,
		Scope:    p.metrics.Scope(),
	})
}

func (p *EntryProcess) commit(ctx context.Context, base uint64, doc fleet.Document) (uint64, error) {
	return p.publisher.Commit(ctx, base, doc)
}

func classifyCommit(err error) operator.CommitFailure {
	var notWritten *configuration.NotWrittenError
	var unresolved *configuration.UnresolvedError
	switch {
	case configuration.IsConflict(err):
		return operator.CommitConflict
	case errors.As(err, &notWritten):
		return operator.CommitNotWritten
	case errors.As(err, &unresolved):
		return operator.CommitUnresolved
	default:
		return operator.CommitFailed
	}
}

// entryState is the dump of an entry.
type entryState struct {
	entry.State
	Fresh     bool                   `json:"fresh"`
	Watcher   bool                   `json:"watcher"`
	Instances []fleet.InstanceRecord `json:"instances"`
}

func (p *EntryProcess) dump() ([]byte, error) {
	return json.Marshal(entryState{
		State:     p.entry.State(),
		Fresh:     p.fresh.IsFresh(),
		Watcher:   p.table.IsWatcher(),
		Instances: p.table.All(),
	})
}

// dumpOf returns the state of the process at the address, or of this one when it is empty.
func (p *EntryProcess) dumpOf(ctx context.Context, address string) ([]byte, error) {
	if address == "" || address == p.PeerAddress() {
		return p.dump()
	}
	var reply peer.DumpReply
	if err := p.peers.Call(ctx, address, peer.MethodDump, &peer.DumpRequest{}, &reply); err != nil {
		return nil, err
	}
	return reply.State, nil
}

// status returns this entry's view of the fleet. It queries the generation of each
// process, because operators use it to decide whether a configuration is in force.
func (p *EntryProcess) status(ctx context.Context) (operator.Status, error) {
	s := operator.Status{
		Instance:          p.cfg.Name(),
		Generation:        p.holder.Generation(),
		StoreContactAgeMs: p.storeContactAge().Milliseconds(),
		Upstreams:         upstreamStatus(p.entry.Table.Status()),
		Processes:         p.processes(ctx),
	}
	if cfg := p.holder.Current(); cfg != nil {
		s.Pipelines = p.pipelines(cfg)
	}
	return s, nil
}

// storeContactAge is the time since this entry or a peer last had contact with the store.
func (p *EntryProcess) storeContactAge() time.Duration { return p.table.PlatformAge() }

func (p *EntryProcess) pipelines(cfg *fleet.Configuration) []operator.PipelineStatus {
	gates := p.entry.Gates()
	var all []operator.PipelineStatus
	for _, pipeline := range cfg.Document().Pipelines {
		gate := gates[pipeline.Name]
		all = append(all, operator.PipelineStatus{
			Name:       pipeline.Name,
			DeadlineMs: pipeline.DeadlineMs,
			InFlight:   gate.InFlight,
			Queued:     gate.Queued,
			ExpectedMs: p.entry.ExpectedDuration(pipeline).Milliseconds(),
		})
	}
	return all
}

func upstreamStatus(all []routing.Status) []operator.UpstreamStatus {
	upstreams := make([]operator.UpstreamStatus, 0, len(all))
	for _, s := range all {
		upstreams = append(upstreams, operator.UpstreamStatus{
			Name:          s.Upstream,
			Stage:         s.Stage,
			FailureDomain: s.FailureDomain,
			Address:       s.Address,
			State:         operator.UpstreamState(s.State),
			Reason:        s.Reason,
			InFlight:      s.InFlight,
			Limit:         s.Limit,
			Capacity:      s.Capacity,
			FailureRate:   s.FailureRate,
			EjectedForMs:  s.EjectedForMs,
		})
	}
	return upstreams
}

// processes queries the generation of every known process, with at most queryWorkers
// queries at a time.
func (p *EntryProcess) processes(ctx context.Context) []operator.ProcessStatus {
	records := p.table.All()
	all := make([]operator.ProcessStatus, len(records))
	slots := make(chan struct{}, queryWorkers)
	var wg sync.WaitGroup
	for i, r := range records {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			all[i] = operator.ProcessStatus{
				Name:          r.Name,
				Role:          r.Role,
				FailureDomain: r.FailureDomain,
				Address:       r.Address,
				Phase:         r.Phase,
				Generation:    p.generationAt(ctx, r),
			}
		})
	}
	wg.Wait()
	return all
}

func (p *EntryProcess) generationAt(ctx context.Context, r fleet.InstanceRecord) uint64 {
	if r.Name == p.cfg.Name() {
		return p.holder.Generation()
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply peer.GenerationReply
	if err := p.peers.Call(ctx, r.Address, peer.MethodGeneration, &peer.Empty{}, &reply); err != nil {
		return 0
	}
	return reply.Generation
}
