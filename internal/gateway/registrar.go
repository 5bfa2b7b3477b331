package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

const (
	// secretName is the object with the secret by which gateways authenticate to each other.
	secretName = "peers"
	// registerRetryDelay is the delay after a failed call to the store.
	registerRetryDelay = 500 * time.Millisecond
	// maxRemoved bounds the removed registrations that are remembered.
	maxRemoved = 1024
)

type secretSpec struct {
	Secret string `json:"secret"`
}

// Registrar registers this gateway in the platform's store and watches the registrations
// of the others.
type Registrar struct {
	client *platform.Client
	roster *roster.Roster
	logger *log.Logger
	others *platform.Reflector
	// secret is the last shared secret that was read from the store or created, and onSecret is
	// called with each later one. Only one goroutine uses them: that of Secret, then that of the
	// registration.
	secret   string
	onSecret func(string)
	// epochBegan gets a value when the store has returned to an earlier state.
	epochBegan chan struct{}
	// listedEpoch is the epoch of the last list of the others. Only their reflector uses it.
	listedEpoch uint64
	// removed are the incarnations of gateways whose registrations were removed, by name. Only the
	// reflector uses them.
	removed map[string]string
	// undone gets the registrations that were removed and are back with an older copy.
	undone    chan platform.Object
	hasListed atomic.Bool
}

// NewRegistrar returns a registrar that has not registered the gateway yet.
func NewRegistrar(client *platform.Client, r *roster.Roster, rng *rand.Rand, logger *log.Logger) *Registrar {
	g := &Registrar{client: client, roster: r, logger: logger, epochBegan: make(chan struct{}, 1), removed: make(map[string]string), undone: make(chan platform.Object, maxRemoved)}
	client.OnEpoch(func(platform.EpochChange) {
		select {
		case g.epochBegan <- struct{}{}:
		default:
		}
	})
	g.others = platform.NewReflector(client, platform.ShareHousekeeping, platform.KindInstance, g.replace, g.apply, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), logger)
	g.others.SetBackoff(minRelist, maxRelist)
	return g
}

// OnSecret calls fn with each shared secret that the store has after the one that Secret
// returned. It must be called before Run.
func (g *Registrar) OnSecret(fn func(string)) { g.onSecret = fn }

// Secret returns the secret that all gateways share; the first gateway creates it. It
// retries until ctx ends.
func (g *Registrar) Secret(ctx context.Context) (string, error) {
	for {
		secret, err := g.readSecret(ctx)
		if err == nil {
			g.secret = secret
			return secret, nil
		}
		g.logger.Warn().Err(err).Msg("shared secret of the gateways not available; retrying")
		if !instance.Pause(ctx, registerRetryDelay) {
			return "", err
		}
	}
}

// readSecret reads the secret from the store, which may have lost it, or returned to the one
// before. It then creates the one that this gateway knows, if any.
func (g *Registrar) readSecret(ctx context.Context) (string, error) {
	obj, err := g.client.Get(ctx, platform.ShareHousekeeping, platform.KindSecret, secretName)
	if platform.IsNotFound(err) {
		secret := g.secret
		if secret == "" {
			secret = instance.NewIncarnation()
		}
		spec, err := json.Marshal(secretSpec{Secret: secret})
		if err != nil {
			return "", errors.Wrap(err, "encoding the secret")
		}
		// Of concurrent creators one succeeds. The others, and a creator that lost the reply,
		// read the secret back.
		if _, err := g.client.Create(ctx, platform.ShareHousekeeping, platform.Object{Kind: platform.KindSecret, Name: secretName, Spec: spec}); err != nil && !platform.IsConflict(err) {
			return "", errors.Wrap(err, "creating the secret")
		}
		obj, err = g.client.Get(ctx, platform.ShareHousekeeping, platform.KindSecret, secretName)
		if err != nil {
			return "", errors.Wrap(err, "reading the secret")
		}
	} else if err != nil {
		return "", errors.Wrap(err, "reading the secret")
	}
	var spec secretSpec
	if err := json.Unmarshal(obj.Spec, &spec); err != nil {
		return "", errors.Wrap(err, "decoding the secret")
	}
	if spec.Secret == "" {
		return "", errors.New("the secret in the store is empty")
	}
	return spec.Secret, nil
}

// Run registers this gateway and watches the others until ctx ends.
func (g *Registrar) Run(ctx context.Context) {
	var wg sync.WaitGroup
	// The others are listed at once: until then, this gateway owns all queues by its own view.
	wg.Go(func() { instance.Supervise(ctx, g.logger, "gateways", g.others.Run) })
	wg.Go(func() { instance.Supervise(ctx, g.logger, "registration", g.keepRegistered) })
	wg.Wait()
}

// keepRegistered registers this gateway, and again after each return of the store to an earlier
// state, until ctx ends.
func (g *Registrar) keepRegistered(ctx context.Context) {
	g.registerUntilDone(ctx)
	for {
		select {
		case <-g.epochBegan:
			g.refreshSecret(ctx)
			g.registerUntilDone(ctx)
		case o := <-g.undone:
			g.removeAgain(ctx, o)
		case <-ctx.Done():
			return
		}
	}
}

// removeAgain removes the registration of a gateway that had removed it, unless the gateway has
// registered again.
func (g *Registrar) removeAgain(ctx context.Context, o platform.Object) {
	err := g.client.Delete(ctx, platform.ShareHousekeeping, platform.KindInstance, o.Name, o.ResourceVersion)
	g.logger.Info().Err(err).Str("gateway", o.Name).Msg("registration removed again: it came back with an older copy of the store")
}

// refreshSecret adopts the secret in the store, or writes this gateway's to a store that has
// none, so that all gateways end with one whoever wrote it first.
func (g *Registrar) refreshSecret(ctx context.Context) {
	before := g.secret
	secret, err := g.Secret(ctx)
	if err != nil || secret == before || g.onSecret == nil {
		return
	}
	g.logger.Warn().Msg("the store has another shared secret; it is used from now on, and the earlier one stays valid")
	g.onSecret(secret)
}

// registerUntilDone registers this gateway unless it leaves, and retries until ctx ends.
func (g *Registrar) registerUntilDone(ctx context.Context) {
	for !g.roster.IsLeaving() {
		err := g.register(ctx)
		if err == nil {
			return
		}
		g.logger.Warn().Err(err).Msg("gateway not registered yet; retrying")
		if !instance.Pause(ctx, registerRetryDelay) {
			return
		}
	}
}

// register writes this gateway's registration and replaces that of an earlier start.
func (g *Registrar) register(ctx context.Context) error {
	self := g.roster.Self()
	spec, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encoding the registration")
	}
	obj := platform.Object{Kind: platform.KindInstance, Name: self.Name, Spec: spec}
	old, err := g.client.Get(ctx, platform.ShareHousekeeping, platform.KindInstance, self.Name)
	if platform.IsNotFound(err) {
		_, err = g.client.Create(ctx, platform.ShareHousekeeping, obj)
		return errors.Wrap(err, "creating the registration")
	}
	if err != nil {
		return errors.Wrap(err, "reading the earlier registration")
	}
	if bytes.Equal(old.Spec, spec) {
		return nil
	}
	obj.ResourceVersion = old.ResourceVersion
	_, err = g.client.Update(ctx, platform.ShareHousekeeping, obj)
	return errors.Wrap(err, "replacing the earlier registration")
}

// Deregister removes this gateway's registration.
func (g *Registrar) Deregister(ctx context.Context) error {
	err := g.client.Delete(ctx, platform.ShareHousekeeping, platform.KindInstance, g.roster.Self().Name, "")
	return errors.Wrap(err, "removing the registration")
}

func (g *Registrar) replace(list platform.List) {
	put, outdated := g.roster.Put, g.listedEpoch != 0 && g.listedEpoch != list.Epoch
	if outdated {
		// The list may be older than what the heartbeats say.
		put = g.roster.PutUnconfirmed
	}
	g.listedEpoch = list.Epoch
	listed := make(map[string]bool)
	for _, o := range list.Items {
		if outdated && g.wasRemoved(o) {
			continue
		}
		listed[o.Name] = true
		g.putGateway(o, put)
	}
	g.roster.Retain(func(name string) bool { return listed[name] })
	g.hasListed.Store(true)
}

// HasListed reports whether the other gateways have been listed.
func (g *Registrar) HasListed() bool { return g.hasListed.Load() }

func (g *Registrar) apply(e platform.Event) {
	if e.Type == platform.EventDeleted {
		if incarnation := g.roster.Remove(e.Object.Name); incarnation != "" && len(g.removed) < maxRemoved {
			g.removed[e.Object.Name] = incarnation
		}
		return
	}
	delete(g.removed, e.Object.Name)
	g.putGateway(e.Object, g.roster.Put)
}

// wasRemoved reports whether the registration is one that was removed before. The owner of its
// name removes it again.
func (g *Registrar) wasRemoved(o platform.Object) bool {
	var other roster.Gateway
	if err := json.Unmarshal(o.Spec, &other); err != nil || other.Incarnation == "" || g.removed[o.Name] != other.Incarnation {
		return false
	}
	if g.roster.Owner(o.Name).Name == g.roster.Self().Name {
		select {
		case g.undone <- o:
		default:
		}
	}
	return true
}

func (g *Registrar) putGateway(o platform.Object, put func(roster.Gateway, time.Time)) {
	var other roster.Gateway
	if err := json.Unmarshal(o.Spec, &other); err != nil || other.Name != o.Name || other.Address == "" {
		g.logger.Warn().Err(err).Str("gateway", o.Name).Msg("malformed registration of a gateway ignored")
		return
	}
	put(other, time.Now())
}
