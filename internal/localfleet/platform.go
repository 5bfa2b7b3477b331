package localfleet

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/roles"
	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// namespace is the namespace of the objects of a local fleet.
const namespace = "local"

// Platform runs the stand-in for the object API, package store, and writes the
// configuration and the list of instances to it as the real platform does.
type Platform struct {
	store    *store.Server
	listener *instance.Server
	client   *platform.Client

	mu       sync.Mutex
	versions map[string]string
}

// startPlatform serves an empty object API.
func startPlatform(ctx context.Context, seed uint64) (*Platform, error) {
	server := store.New(store.Config{Seed: seed})
	listener, err := instance.Listen(ctx, "127.0.0.1:0", server)
	if err != nil {
		return nil, err
	}
	go func() { _ = listener.Serve() }()
	p := &Platform{store: server, listener: listener, versions: make(map[string]string)}
	p.client = platform.New(platform.Config{BaseURL: p.URL(), Namespace: namespace}, &http.Client{}, tally.NoopScope)
	return p, nil
}

// URL is the scheme, host and port of the object API.
func (p *Platform) URL() string { return "http://" + p.listener.Address() }

// Store returns the stand-in for the object API, to set faults and read counters.
func (p *Platform) Store() *store.Server { return p.store }

// Commit writes doc as the next configuration after the one in the store.
func (p *Platform) Commit(ctx context.Context, doc fleet.Document) (uint64, error) {
	logger := &log.Logger{Level: log.ErrorLevel}
	s := roles.NewConfigurationStore(p.client)
	holder := configuration.NewHolder(logger, tally.NoopScope)
	base, err := configuration.NewLoader(s, holder).Load(ctx)
	if err != nil {
		return 0, err
	}
	return configuration.NewPublisher(s, holder, configuration.NewOperationID, logger, tally.NoopScope).Commit(ctx, base, doc)
}

// ConfigurationStore returns a store that keeps the configuration in the object API.
func (p *Platform) ConfigurationStore() configuration.Store {
	return roles.NewConfigurationStore(p.client)
}

// PutInstance adds an instance to the list of instances or updates its record.
func (p *Platform) PutInstance(ctx context.Context, r fleet.InstanceRecord) error {
	spec, err := json.Marshal(r)
	if err != nil {
		return errors.Wrapf(err, "encoding instance %s", r.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	obj := platform.Object{Kind: platform.KindInstance, Name: r.Name, ResourceVersion: p.versions[r.Name], Spec: spec}
	write := p.client.Update
	if obj.ResourceVersion == "" {
		write = p.client.Create
	}
	stored, err := write(ctx, platform.ShareClaims, obj)
	if err != nil {
		return err
	}
	p.versions[r.Name] = stored.ResourceVersion
	return nil
}

// RemoveInstance removes an instance from the list of instances.
func (p *Platform) RemoveInstance(ctx context.Context, name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.client.Delete(ctx, platform.ShareClaims, platform.KindInstance, name, ""); err != nil {
		return err
	}
	delete(p.versions, name)
	return nil
}

func (p *Platform) close() { _ = p.listener.Close() }
