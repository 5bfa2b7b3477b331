package localfleet

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/experiment"
	"bergamotrudder.example/bergamotrudder/internal/operator"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// System returns the current version as a system of an experiment. The name
// distinguishes systems with different settings.
func System(name string, settings map[string]any) experiment.System {
	s := &system{settings: settings, fleets: make(map[*experiment.Platform]*Fleet)}
	return experiment.System{
		Name:          name,
		StartPlatform: s.startPlatform,
		StartSidecar:  s.startSidecar,
		StartEntry:    s.startEntry,
	}
}

// system maps each started platform to its fleet.
type system struct {
	settings map[string]any

	mu     sync.Mutex
	fleets map[*experiment.Platform]*Fleet
}

// operatorKey is the operators' key of fleets in experiments.
const operatorKey = "operators' key of an experiment"

func (s *system) startPlatform(ctx context.Context, doc fleet.Document, env experiment.Environment) (*experiment.Platform, error) {
	f, err := New(ctx, Config{
		Secret:      sharedSecret(env),
		OperatorKey: operatorKey,
		Seed:        env.Seed,
		LogLevel:    "error",
		Settings:    s.settings,
	})
	if err != nil {
		return nil, err
	}
	p := &experiment.Platform{
		URL: f.platform.URL(),
		Commit: func(ctx context.Context, doc fleet.Document) error {
			_, err := f.platform.Commit(ctx, doc)
			return err
		},
		PutInstance:    f.platform.PutInstance,
		RemoveInstance: f.platform.RemoveInstance,
		SetFaults: func(faults experiment.PlatformFaults) {
			f.platform.store.SetFaults(store.Faults{Down: faults.Down, DelayMs: faults.DelayMs, LoseProbability: faults.LoseRatio})
		},
		Calls: func() int64 { return totalCalls(f.platform.store.Counters()) },
		Close: f.Close,
	}
	if err := p.Commit(ctx, doc); err != nil {
		f.Close()
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleets[p] = f
	return p, nil
}

func totalCalls(counters store.Counters) int64 {
	var n int64
	for _, verbs := range counters {
		for _, calls := range verbs {
			n += calls
		}
	}
	return n
}

func (s *system) fleet(p *experiment.Platform) *Fleet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleets[p]
}

func (s *system) startSidecar(ctx context.Context, spec experiment.SidecarSpec, p *experiment.Platform, env experiment.Environment) (*experiment.Process, error) {
	sidecar := SidecarSpec{
		Name:          spec.Name,
		Upstream:      spec.Upstream.Name,
		Stage:         spec.Upstream.Stage.Name,
		FailureDomain: spec.Upstream.FailureDomain,
		UpstreamURL:   spec.Upstream.URL,
		PeerListen:    spec.Listen,
	}
	process, err := s.fleet(p).StartSidecar(ctx, sidecar)
	if err != nil {
		return nil, err
	}
	return &experiment.Process{
		Name:       spec.Name,
		Record:     SidecarRecord(sidecar, process),
		Leave:      process.Shutdown,
		Kill:       process.Close,
		Generation: process.Generation,
		Ready: func(ctx context.Context) error {
			return checkStatus(ctx, "http://"+process.Address()+"/healthz", func(r *http.Request) { peer.Authorize(r, sharedSecret(env)) })
		},
	}, nil
}

// sharedSecret returns the secret of the processes of a run, which must have at least 16 bytes.
func sharedSecret(env experiment.Environment) string { return "shared secret: " + env.Secret }

func (s *system) startEntry(ctx context.Context, spec experiment.EntrySpec, p *experiment.Platform, env experiment.Environment) (*experiment.Process, error) {
	entry := EntrySpec{
		Name:          spec.Name,
		FailureDomain: spec.FailureDomain,
		CallerListen:  spec.Listen,
		Dial:          env.Network.Dialer(experiment.Endpoint{Process: spec.Name, FailureDomain: spec.FailureDomain}),
	}
	process, err := s.fleet(p).StartEntry(ctx, entry)
	if err != nil {
		return nil, err
	}
	operators := operator.NewClient(process.OperatorAddress(), operatorKey)
	return &experiment.Process{
		Name:   spec.Name,
		URL:    "http://" + process.CallerAddress(),
		Record: EntryRecord(entry, process),
		Leave:  process.Shutdown,
		Kill:   process.Close,
		Ready: func(ctx context.Context) error {
			return checkStatus(ctx, "http://"+process.CallerAddress()+"/readyz", func(*http.Request) {})
		},
		Generation: process.Generation,
		Configuration: func(ctx context.Context) (fleet.Document, uint64, error) {
			c, err := operators.Configuration(ctx)
			return c.Document, c.Generation, err
		},
		Commit: func(ctx context.Context, base uint64, doc fleet.Document) (uint64, error) {
			return commit(ctx, operators, base, doc)
		},
	}, nil
}

// commit replaces the configuration document through the operators' interface.
func commit(ctx context.Context, c *operator.Client, base uint64, doc fleet.Document) (uint64, error) {
	body, err := json.Marshal(doc)
	if err != nil {
		return 0, errors.Wrap(err, "encoding the document")
	}
	accepted, err := c.PutConfiguration(ctx, body, operator.PutOptions{IfMatch: base})
	var refused *operator.ProblemError
	if !errors.As(err, &refused) {
		return accepted.Generation, err
	}
	for _, reason := range []string{operator.ReasonPreconditionFailed, operator.ReasonConfigurationChanged, operator.ReasonNotWritten} {
		if strings.HasSuffix(refused.Problem.Type, reason) {
			return 0, errors.WithMessage(experiment.ErrRefused, err.Error())
		}
	}
	return 0, err
}

// checkStatus returns an error unless the URL responds with status 200.
func checkStatus(ctx context.Context, url string, authorize func(*http.Request)) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	authorize(r)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s has status %d", r.URL.Path, resp.StatusCode)
	}
	return nil
}
