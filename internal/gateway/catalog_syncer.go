package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

const (
	// storeSilence is how long the store may bring neither change nor bookmark before it
	// counts as lost: a held watch and a call.
	storeSilence = 2200 * time.Millisecond
	// watchGather is the pause after a change in which others are waited for: a twentieth
	// of the 2 s in which a change must be in force.
	watchGather = 100 * time.Millisecond
	// lapsedGrace is how long an entry may be missing after the store's return before its
	// upstream is taken for gone. Live upstreams write theirs again within about 2 s.
	lapsedGrace = 1800 * time.Millisecond
	// followTick is how often the follower looks at what is due.
	followTick = 100 * time.Millisecond
	// minRelist and maxRelist bound the random delay after a failed call to the store. A
	// configuration must be in force 2 s after its acknowledgement, also after an outage.
	minRelist = 100 * time.Millisecond
	maxRelist = 600 * time.Millisecond
)

// WatchTimeouts returns how a gateway's watches are held. A watch whose connection has fallen
// silent is noticed when it should have ended, which is a part of the time in which a
// change must be in force: 2 s for configurations and leaving upstreams, 5 s for
// evacuations. Gateways that live find each other by heartbeats.
func WatchTimeouts() map[platform.Kind]platform.Hold {
	return map[platform.Kind]platform.Hold{
		platform.KindConfiguration: {Wait: 1500 * time.Millisecond, Gather: watchGather},
		platform.KindUpstream:      {Wait: 1500 * time.Millisecond, Gather: watchGather},
		platform.KindEvacuation:    {Wait: 3 * time.Second},
		platform.KindInstance:      {Wait: 10 * time.Second, Gather: watchGather},
	}
}

// CatalogSyncer keeps a catalog up to date from the platform's store.
type CatalogSyncer struct {
	client  *platform.Client
	dialect *dialect.Dialect
	catalog *catalog.Catalog
	logger  *log.Logger

	configuration *platform.Reflector
	upstreams     *platform.Reflector
	evacuations   *platform.Reflector

	mu sync.Mutex
	// lost is set while the store is silent, and regained is when it last came back.
	lost     bool
	regained time.Time
	// lapsed are entries that vanished while the store came back, and when they count as gone.
	lapsed map[string]time.Time
	// listed is set once the upstreams were read for the first time.
	listed bool
	// spec is the configuration in force as the store has it, read at specRevision.
	spec         []byte
	specRevision uint64
}

// Snapshot is what one gateway knows of the store, for one that the store turns away.
type Snapshot struct {
	// Configuration is the object as the store has it; empty if the other has it.
	Configuration []byte
	Upstreams     []catalog.Upstream
	Evacuations   []string
	// Revisions are the versions of the store that the parts were read at.
	Revisions catalog.Revisions
}

// Snapshot returns what is newer than the revisions.
func (f *CatalogSyncer) Snapshot(known catalog.Revisions) Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	snapshot := Snapshot{Revisions: f.catalog.Revisions()}
	// The catalog may be ahead of the spec for a moment.
	snapshot.Revisions.Configuration = f.specRevision
	if snapshot.Revisions.Configuration > known.Configuration {
		snapshot.Configuration = f.spec
	}
	if snapshot.Revisions.Upstreams > known.Upstreams {
		snapshot.Upstreams = f.catalog.AllUpstreams()
	}
	if snapshot.Revisions.Evacuations > known.Evacuations {
		snapshot.Evacuations = f.catalog.OutOfServiceDomains()
	}
	return snapshot
}

// Apply takes what is newer in the snapshot of another gateway.
func (f *CatalogSyncer) Apply(from string, snapshot Snapshot) {
	known := f.catalog.Revisions()
	if snapshot.Revisions.Configuration > known.Configuration && len(snapshot.Configuration) > 0 {
		f.setConfiguration(platform.Object{Name: f.dialect.ConfigurationName, ResourceVersion: strconv.FormatUint(snapshot.Revisions.Configuration, 10), Spec: snapshot.Configuration})
	}
	if snapshot.Revisions.Upstreams > known.Upstreams {
		f.logger.Info().Str("gateway", from).Int("upstreams", len(snapshot.Upstreams)).Uint64("revision", snapshot.Revisions.Upstreams).Msg("upstreams taken from another gateway")
		f.catalog.ReplaceUpstreams(snapshot.Upstreams, snapshot.Revisions.Upstreams)
	}
	if snapshot.Revisions.Evacuations > known.Evacuations {
		f.logger.Info().Str("gateway", from).Int("domains", len(snapshot.Evacuations)).Uint64("revision", snapshot.Revisions.Evacuations).Msg("evacuations taken from another gateway")
		f.catalog.ReplaceEvacuations(snapshot.Evacuations, snapshot.Revisions.Evacuations)
	}
}

// IsStoreLost reports whether the store is silent for this gateway.
func (f *CatalogSyncer) IsStoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// NewCatalogSyncer returns a follower that has read nothing yet.
func NewCatalogSyncer(client *platform.Client, d *dialect.Dialect, cat *catalog.Catalog, rng *rand.Rand, logger *log.Logger) *CatalogSyncer {
	f := &CatalogSyncer{client: client, dialect: d, catalog: cat, logger: logger, lapsed: make(map[string]time.Time)}
	f.configuration = f.reflect(platform.KindConfiguration, f.replaceConfiguration, f.applyConfiguration, rng)
	f.upstreams = f.reflect(platform.KindUpstream, f.replaceUpstreams, f.applyUpstream, rng)
	f.evacuations = f.reflect(platform.KindEvacuation, f.replaceEvacuations, f.applyEvacuation, rng)
	return f
}

func (f *CatalogSyncer) reflect(kind platform.Kind, replace func(platform.List), apply func(platform.Event), rng *rand.Rand) *platform.Reflector {
	r := platform.NewReflector(f.client, platform.ShareConfiguration, kind, replace, apply, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), f.logger)
	r.SetDelays(minRelist, maxRelist)
	return r
}

// Run follows the store until ctx ends.
func (f *CatalogSyncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, r := range []*platform.Reflector{f.configuration, f.upstreams, f.evacuations} {
		wg.Go(func() { r.Run(ctx) })
	}
	wg.Go(func() {
		for instance.Pause(ctx, followTick) {
			f.tick(time.Now())
		}
	})
	wg.Wait()
}

// HasSynced reports whether configuration and upstreams have been read.
func (f *CatalogSyncer) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// tick notices when the store falls silent, and forgets entries that lapsed.
func (f *CatalogSyncer) tick(now time.Time) {
	f.mu.Lock()
	silent := now.Sub(f.upstreams.Confirmed()) > storeSilence
	if silent && !f.lost && f.listed {
		f.lost = true
		f.logger.Warn().Dur("silentFor", now.Sub(f.upstreams.Confirmed())).Msg("store lost")
	}
	if !silent {
		f.regain(now)
	}
	var gone []string
	for id, at := range f.lapsed {
		if now.After(at) {
			gone = append(gone, id)
			delete(f.lapsed, id)
		}
	}
	f.mu.Unlock()
	for _, id := range gone {
		f.logger.Info().Str(instance.KeyUpstream, id).Msg("upstream gone, its entry did not return with the store")
		f.catalog.RemoveUpstream(id, 0)
	}
}

// regain notes that the store answers again. The caller holds mu.
func (f *CatalogSyncer) regain(now time.Time) {
	if !f.lost {
		return
	}
	f.lost, f.regained = false, now
	f.logger.Info().Msg("store regained")
}

// lapse reports whether the missing entry is given time to return.
func (f *CatalogSyncer) lapse(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regain(now)
	until := f.regained.Add(lapsedGrace)
	if f.regained.IsZero() || now.After(until) {
		return false
	}
	if _, ok := f.lapsed[id]; !ok {
		f.lapsed[id] = until
	}
	return true
}

func (f *CatalogSyncer) returned(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lapsed, id)
}

func (f *CatalogSyncer) replaceConfiguration(list platform.List) {
	for _, o := range list.Items {
		f.setConfiguration(o)
	}
}

func (f *CatalogSyncer) applyConfiguration(e platform.Event) {
	if e.Type != platform.EventDeleted {
		f.setConfiguration(e.Object)
	}
}

func (f *CatalogSyncer) setConfiguration(o platform.Object) {
	if o.Name != f.dialect.ConfigurationName {
		return
	}
	cfg, err := f.dialect.Configuration(o.Spec)
	if err != nil {
		f.logger.Error().Err(err).Str("revision", o.ResourceVersion).Msg("configuration not taken")
		return
	}
	if f.catalog.SetConfiguration(cfg, revision(o.ResourceVersion)) {
		f.mu.Lock()
		f.spec, f.specRevision = o.Spec, revision(o.ResourceVersion)
		f.mu.Unlock()
		f.logger.Info().Int64(instance.KeyGeneration, cfg.Version).Str("revision", o.ResourceVersion).
			Int("routes", len(cfg.Routes)).Int("organisations", len(cfg.Organisations)).Msg("configuration in force")
	}
}

// revision is a version of the store as a number. This store's versions are numbers; any
// other text counts as older than all.
func revision(version string) uint64 {
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (f *CatalogSyncer) replaceUpstreams(list platform.List) {
	now := time.Now()
	var members []catalog.Upstream
	listed := make(map[string]bool)
	for _, o := range list.Items {
		if u, ok := f.decodeUpstream(o); ok {
			listed[u.ID] = true
			f.returned(u.ID)
			members = append(members, u)
		}
	}
	for _, u := range f.catalog.AllUpstreams() {
		if !listed[u.ID] && f.lapse(now, u.ID) {
			members = append(members, u)
		}
	}
	f.catalog.ReplaceUpstreams(members, revision(list.ResourceVersion))
	f.mu.Lock()
	f.listed = true
	f.mu.Unlock()
	f.logger.Info().Int("upstreams", len(members)).Str("revision", list.ResourceVersion).Msg("upstreams listed")
}

func (f *CatalogSyncer) decodeUpstream(o platform.Object) (catalog.Upstream, bool) {
	u, err := f.dialect.Upstream(o.Name, o.Spec)
	if err != nil {
		f.logger.Warn().Err(err).Str(instance.KeyUpstream, o.Name).Str("revision", o.ResourceVersion).Msg("entry names no upstream to use")
		return u, false
	}
	return u, true
}

func (f *CatalogSyncer) applyUpstream(e platform.Event) {
	id, rev := e.Object.Name, revision(e.Object.ResourceVersion)
	if e.Type == platform.EventDeleted {
		if f.lapse(time.Now(), id) {
			return
		}
		f.logger.Info().Str(instance.KeyUpstream, id).Uint64("revision", rev).Msg("upstream gone")
		f.catalog.RemoveUpstream(id, rev)
		return
	}
	u, ok := f.decodeUpstream(e.Object)
	if !ok {
		f.catalog.RemoveUpstream(id, rev)
		return
	}
	f.returned(id)
	f.logger.Info().Str(instance.KeyUpstream, id).Str("service", u.Service).Bool("draining", u.Draining).
		Int64("coldMs", u.ColdFor.Milliseconds()).Uint64("revision", rev).Msg("upstream changed")
	f.catalog.SetUpstream(u, rev)
}

func (f *CatalogSyncer) replaceEvacuations(list platform.List) {
	var domains []string
	for _, o := range list.Items {
		domains = append(domains, o.Name)
	}
	f.catalog.ReplaceEvacuations(domains, revision(list.ResourceVersion))
}

func (f *CatalogSyncer) applyEvacuation(e platform.Event) {
	out := e.Type != platform.EventDeleted
	f.logger.Info().Str(instance.KeyFailureDomain, e.Object.Name).Bool("outOfService", out).Str("revision", e.Object.ResourceVersion).Msg("failure domain changed")
	f.catalog.SetEvacuation(e.Object.Name, out, revision(e.Object.ResourceVersion))
}
