package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// storeLossTimeout is the time without a change or bookmark after which the store counts
	// as lost: it allows for the long poll of a watch and a call.
	storeLossTimeout = 2200 * time.Millisecond
	// watchBatchDelay is the pause after a change in which further changes are batched: a
	// twentieth of the 2 s within which a change must be in force.
	watchBatchDelay = 100 * time.Millisecond
	// upstreamBatchDelay is the same for upstreams, which change one after the other while a
	// service is released: a fifth of the 2 s that a leaving upstream still serves. With 610
	// gateways, it keeps the calls of a release below the store's 2,000 reads a second.
	upstreamBatchDelay = 400 * time.Millisecond
	// registrationGrace is how long a registration may be missing after the store recovered
	// before its upstream is removed. Live upstreams register again within about 2 s; one that
	// does so after the grace is missing until then.
	registrationGrace = 1800 * time.Millisecond
	// JoinTimeout is how long a gateway that has read the store waits for the replies of the others
	// before it is ready. They may know a newer configuration.
	JoinTimeout = time.Second
	// maxVersionLag is how long another gateway has a newer configuration before it is fetched from
	// there: several times what the store takes to tell all gateways of a change.
	maxVersionLag = 300 * time.Millisecond
	// confirmationTime is how long a configuration counts as the newest one after the store, or
	// another gateway that had heard from it, last confirmed it: a long poll of configurations, with
	// the time after which a silent connection is found out, and a second.
	confirmationTime = 3500 * time.Millisecond
	// maxFetches bounds the transfers from other gateways, which share this gateway's link and
	// processor. One that takes slowFetchTime doesn't keep another one from being begun.
	maxFetches    = 2
	slowFetchTime = time.Second
	// checkPeriod is the interval of the checks for a lost store and for expired registrations.
	checkPeriod = 100 * time.Millisecond
	// minRelist and maxRelist bound the random delay after a failed call to the store. A
	// configuration must be in force within 2 s of its acknowledgement, also after an outage.
	minRelist = 100 * time.Millisecond
	maxRelist = 600 * time.Millisecond
)

// LongPolls returns the long-poll times and batching delays of a gateway's watches. A
// connection that no longer delivers anything is detected when its long poll should have ended.
// The watch of upstreams, with the shortest bound, detects it for all watches; the times of the
// others bound how long they miss changes if only their own connection is concerned, and are
// fractions of the 3 s after which an instance counts as in touch again, or of the 5 s for
// evacuations. Live gateways detect each other by heartbeats, so the watch of their registrations
// may poll longer, but not beyond the store's history: a poll that fails is sent again with the
// revision that it began with.
func LongPolls() map[platform.Kind]platform.LongPoll {
	return map[platform.Kind]platform.LongPoll{
		platform.KindConfiguration: {Timeout: 2200 * time.Millisecond, BatchDelay: watchBatchDelay},
		platform.KindUpstream:      {Timeout: 1500 * time.Millisecond, BatchDelay: upstreamBatchDelay, Sentinel: true},
		platform.KindEvacuation:    {Timeout: 4 * time.Second},
		platform.KindRollout:       {Timeout: rolloutLongPoll},
		platform.KindInstance:      {Timeout: 15 * time.Second, BatchDelay: watchBatchDelay},
	}
}

// CatalogSyncer keeps a catalog in sync with the platform's store by list and watch.
type CatalogSyncer struct {
	client  *platform.Client
	dialect *dialect.Dialect
	catalog *catalog.Catalog
	logger  *log.Logger

	configuration *platform.Reflector
	upstreams     *platform.Reflector
	evacuations   *platform.Reflector

	mu sync.Mutex
	// storeLost is set while the store doesn't respond, and storeRecovered is when it last
	// responded again or returned to an earlier state.
	storeLost      bool
	storeRecovered time.Time
	// epochBegan is when this gateway learnt of the newest return.
	epochBegan time.Time
	// expired are registrations that were missing when the store recovered, with the times
	// at which their upstreams are removed.
	expired map[string]time.Time
	// listed is set once the upstreams have been listed for the first time, and syncedAt is when
	// there was a configuration too.
	listed   bool
	syncedAt time.Time
	// spec is the stored form of the configuration in force, read at specRevision.
	spec         []byte
	specRevision catalog.Revision
	specVersion  int64
	// newerSince is when another gateway was first heard to have a newer configuration, and
	// newerHeard when one was last.
	newerSince, newerHeard time.Time
	// fetches is the number of transfers from other gateways in progress, and fetchBegan is when the
	// last one began.
	fetches    int
	fetchBegan time.Time
	// confirmedByOthers is when the configuration was the newest one by what other gateways said.
	confirmedByOthers time.Time
}

// Snapshot is the state that one gateway has read from the store, for another one that the
// store rejects or doesn't respond to.
type Snapshot struct {
	// Configuration is the stored object; empty if the receiver already has it.
	Configuration []byte
	Upstreams     []catalog.Upstream
	Evacuations   []string
	// HeldEvacuations are those of Evacuations that the store lacks since its return to an earlier
	// state, with the time for which they stay in force.
	HeldEvacuations map[string]time.Duration
	// Departures are registrations that aren't believed since then.
	Departures []catalog.Upstream
	// Revisions are the store's revisions at which the fields were read.
	Revisions catalog.Revisions
}

// Snapshot returns the state that is newer than the known revisions.
func (s *CatalogSyncer) Snapshot(known catalog.Revisions) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{Revisions: s.catalog.Revisions()}
	// The catalog is updated before the spec, so its revision may be newer.
	snapshot.Revisions.Configuration, snapshot.Revisions.ConfigurationEpoch = s.specRevision.Number, s.specRevision.Epoch
	if s.specRevision.After(known.ConfigurationAt()) {
		snapshot.Configuration = s.spec
	}
	if snapshot.Revisions.UpstreamsAt().After(known.UpstreamsAt()) {
		snapshot.Upstreams = s.catalog.AllUpstreams()
	}
	if snapshot.Revisions.EvacuationsAt().After(known.EvacuationsAt()) {
		snapshot.Evacuations, snapshot.HeldEvacuations = s.catalog.OutOfServiceDomains(), s.catalog.HeldEvacuations()
	}
	return snapshot
}

// Apply adopts the newer state of another gateway's snapshot.
func (s *CatalogSyncer) Apply(from string, snapshot Snapshot) {
	known := s.catalog.Revisions()
	if at := snapshot.Revisions.ConfigurationAt(); at.After(known.ConfigurationAt()) && len(snapshot.Configuration) > 0 {
		s.setConfiguration(snapshot.Configuration, at)
	}
	if at := snapshot.Revisions.UpstreamsAt(); at.After(known.UpstreamsAt()) {
		s.logger.Info().Str("gateway", from).Int("upstreams", len(snapshot.Upstreams)).Uint64("revision", at.Number).Uint64("epoch", at.Epoch).Msg("upstreams taken from another gateway")
		s.logDoubts(s.catalog.ReplaceUpstreams(snapshot.Upstreams, at))
	}
	if at := snapshot.Revisions.EvacuationsAt(); at.After(known.EvacuationsAt()) {
		s.logger.Info().Str("gateway", from).Int("domains", len(snapshot.Evacuations)).Uint64("revision", at.Number).Uint64("epoch", at.Epoch).Msg("evacuations taken from another gateway")
		listed := slices.DeleteFunc(slices.Clone(snapshot.Evacuations), func(domain string) bool {
			_, held := snapshot.HeldEvacuations[domain]
			return held
		})
		s.logDoubts(s.catalog.ReplaceEvacuations(listed, at))
		s.catalog.HoldEvacuations(snapshot.HeldEvacuations)
	}
}

// Version returns the version of the configuration in force, or 0.
func (s *CatalogSyncer) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.specVersion
}

// Confirmed returns when the configuration was last known to be the newest one: the store said so to
// this gateway or to another one.
func (s *CatalogSyncer) Confirmed() time.Time {
	if s.configuration == nil {
		return time.Time{}
	}
	own := s.configuration.LastConfirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedByOthers.After(own) {
		return s.confirmedByOthers
	}
	return own
}

// IsConfirmed reports whether the configuration was known to be the newest one of late, and no other
// gateway has had a newer one for maxVersionLag and was heard of late.
func (s *CatalogSyncer) IsConfirmed(now time.Time) bool {
	if now.Sub(s.Confirmed()) > confirmationTime {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newerSince.IsZero() || now.Sub(s.newerSince) < maxVersionLag || now.Sub(s.newerHeard) > confirmationTime
}

// hearVersion records the version that another gateway knew to be the newest one at the time.
func (s *CatalogSyncer) hearVersion(version int64, confirmed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.specVersion && confirmed.After(s.confirmedByOthers) {
		s.confirmedByOthers = confirmed
	}
}

// knowledge returns what this gateway knows and the store may lack: the configuration if its
// version is above the known one, and what is held since the store returned.
func (s *CatalogSyncer) knowledge(known int64) Snapshot {
	snapshot := Snapshot{HeldEvacuations: s.catalog.HeldEvacuations(), Departures: s.catalog.Departures()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.specVersion > known {
		snapshot.Configuration = s.spec
		snapshot.Revisions.Configuration, snapshot.Revisions.ConfigurationEpoch = s.specRevision.Number, s.specRevision.Epoch
	}
	return snapshot
}

// HasDoubts reports whether something is held since the store returned to an earlier state.
func (s *CatalogSyncer) HasDoubts() bool {
	return s.catalog != nil && s.catalog.View().HasDoubts()
}

// beginFetch reports whether to fetch what another gateway knows, which has the version and may
// have doubts; the caller must then call endFetch. The store tells all gateways of a change at
// about the same time, so one that has joined waits for it first. Departures that it missed while
// it was suspended or cut off are no longer in a store that has just returned. A gateway that has
// lost the store fetches whatever the others read there. One transfer is in progress at a time, and
// a second one beside one that is slow: the other gateway may have become unreachable.
func (s *CatalogSyncer) beginFetch(version int64, doubts bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	joining := s.syncedAt.IsZero() || now.Sub(s.syncedAt) < JoinTimeout || now.Sub(s.epochBegan) < JoinTimeout
	newer := version > s.specVersion
	if newer {
		s.newerHeard = now
		if s.newerSince.IsZero() {
			s.newerSince = now
		}
	}
	lagging := newer && now.Sub(s.newerSince) >= maxVersionLag
	wanted := s.storeLost || lagging || joining && (newer || doubts)
	isSlow := now.Sub(s.fetchBegan) >= slowFetchTime
	if !wanted || s.fetches >= maxFetches || s.fetches > 0 && !isSlow {
		return false
	}
	s.fetches++
	s.fetchBegan = now
	return true
}

func (s *CatalogSyncer) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches--
}

// adoptKnowledge adopts what another gateway knows and the store may lack.
func (s *CatalogSyncer) adoptKnowledge(from string, snapshot Snapshot) {
	s.logDoubts(s.catalog.AdoptDepartures(snapshot.Departures))
	s.catalog.HoldEvacuations(snapshot.HeldEvacuations)
	if len(snapshot.Configuration) > 0 && s.setConfiguration(snapshot.Configuration, snapshot.Revisions.ConfigurationAt()) {
		s.logger.Warn().Str("gateway", from).Int64(instance.KeyGeneration, s.Version()).Msg("configuration taken from another gateway")
	}
}

// IsStoreLost reports whether the store has stopped responding to this gateway.
func (s *CatalogSyncer) IsStoreLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeLost
}

// NewCatalogSyncer returns a syncer that has not read the store yet.
func NewCatalogSyncer(client *platform.Client, d *dialect.Dialect, cat *catalog.Catalog, rng *rand.Rand, logger *log.Logger) *CatalogSyncer {
	s := &CatalogSyncer{client: client, dialect: d, catalog: cat, logger: logger, expired: make(map[string]time.Time)}
	client.OnEpoch(s.beginEpoch)
	client.OnSilentConnection(s.reportSilence)
	s.configuration = s.newReflector(platform.KindConfiguration, s.replaceConfiguration, s.applyConfiguration, rng)
	s.upstreams = s.newReflector(platform.KindUpstream, s.replaceUpstreams, s.applyUpstream, rng)
	s.upstreams.GatherChanges(s.applyUpstreams)
	s.evacuations = s.newReflector(platform.KindEvacuation, s.replaceEvacuations, s.applyEvacuation, rng)
	return s
}

func (s *CatalogSyncer) newReflector(kind platform.Kind, replace func(platform.List), apply func(platform.Event), rng *rand.Rand) *platform.Reflector {
	r := platform.NewReflector(s.client, platform.ShareConfiguration, kind, replace, apply, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())), s.logger)
	r.SetBackoff(minRelist, maxRelist)
	return r
}

// Run watches the store until ctx ends.
func (s *CatalogSyncer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, r := range []*platform.Reflector{s.configuration, s.upstreams, s.evacuations} {
		wg.Go(func() { instance.Supervise(ctx, s.logger, "watch", r.Run) })
	}
	wg.Go(func() {
		for instance.Pause(ctx, checkPeriod) {
			instance.GuardLogged(s.logger, "storeCheck", func() { s.check(time.Now()) })
		}
	})
	wg.Wait()
}

// beginEpoch records that the store returned to an earlier state. It counts as an outage,
// however short it was: live upstreams register again.
func (s *CatalogSyncer) beginEpoch(change platform.EpochChange) {
	instance.Locked(&s.mu, func() {
		s.storeRecovered = time.Now()
		s.epochBegan = s.storeRecovered
	})
	known := s.catalog.Revisions()
	s.logger.Warn().Uint64("epoch", change.After).Uint64("epochBefore", change.Before).Str("kind", string(change.Kind)).Str("verb", change.Verb).
		Int64(instance.KeyGeneration, s.catalog.View().Version()).Uint64("configurationRevision", known.Configuration).
		Uint64("upstreamsRevision", known.Upstreams).Uint64("evacuationsRevision", known.Evacuations).
		Msg("store returned to an earlier state; listing again")
}

// reportSilence logs that a connection to the store delivered nothing more. That is no outage:
// the store was there for the upstreams, so a missing registration was removed and hasn't expired.
func (s *CatalogSyncer) reportSilence(c platform.SilentConnection) {
	s.logger.Warn().Str("kind", string(c.Kind)).Dur("silentFor", c.After).Msg("connection to the store is silent; a new one is used")
}

// Epoch returns the newest epoch of the store that is known, or 0.
func (s *CatalogSyncer) Epoch() uint64 { return s.client.Epoch() }

// HasSynced reports whether the upstreams have been listed and a configuration has been read,
// and for how long.
func (s *CatalogSyncer) HasSynced(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.syncedAt), !s.syncedAt.IsZero()
}

// check detects that the store has stopped responding, and removes upstreams whose
// registrations expired.
func (s *CatalogSyncer) check(now time.Time) {
	s.detectLoss(now)
	for _, id := range s.takeExpired(now) {
		s.logger.Info().Str(instance.KeyUpstream, id).Msg("upstream removed: its registration did not return after a store outage")
		s.catalog.RemoveUpstream(id, catalog.Revision{})
	}
	for _, d := range s.catalog.Settle(now) {
		s.logger.Info().Str("name", d.Name).Str("rule", string(d.Rule)).Msg("store is believed again: it still says the same")
	}
}

// detectLoss records whether the store responds to this gateway.
func (s *CatalogSyncer) detectLoss(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silentFor := now.Sub(s.upstreams.LastConfirmed())
	if silentFor <= storeLossTimeout {
		s.recordStoreResponse(now)
		return
	}
	if !s.storeLost && s.listed {
		s.storeLost = true
		s.logger.Warn().Dur("silentFor", silentFor).Msg("store lost")
	}
}

// takeExpired returns the upstreams whose registrations didn't return in time.
func (s *CatalogSyncer) takeExpired(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removed []string
	for id, at := range s.expired {
		if now.After(at) {
			removed = append(removed, id)
			delete(s.expired, id)
		}
	}
	return removed
}

// logDoubts logs what the store says and the catalog doesn't believe.
func (s *CatalogSyncer) logDoubts(doubts []catalog.Doubt) {
	for _, d := range doubts {
		s.logger.Warn().Str("name", d.Name).Str("rule", string(d.Rule)).Uint64("epoch", s.client.Epoch()).
			Msg("store not believed: it returned to an earlier state")
	}
}

// recordStoreResponse records that the store responds again. The caller holds mu.
func (s *CatalogSyncer) recordStoreResponse(now time.Time) {
	if !s.storeLost {
		return
	}
	s.storeLost, s.storeRecovered = false, now
	s.logger.Info().Msg("store regained")
}

// deferRemoval reports whether the upstream with the missing registration is kept for now,
// because the store recovered less than registrationGrace ago.
func (s *CatalogSyncer) deferRemoval(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordStoreResponse(now)
	until := s.storeRecovered.Add(registrationGrace)
	if s.storeRecovered.IsZero() || now.After(until) {
		return false
	}
	if _, ok := s.expired[id]; !ok {
		s.expired[id] = until
	}
	return true
}

func (s *CatalogSyncer) cancelRemoval(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expired, id)
}

func (s *CatalogSyncer) replaceConfiguration(list platform.List) {
	for _, o := range list.Items {
		s.storedConfiguration(o)
	}
}

func (s *CatalogSyncer) applyConfiguration(e platform.Event) {
	if e.Type != platform.EventDeleted {
		s.storedConfiguration(e.Object)
	}
}

func (s *CatalogSyncer) storedConfiguration(o platform.Object) {
	if o.Name == s.dialect.ConfigurationName {
		s.setConfiguration(o.Spec, revisionOf(o.Epoch, o.ResourceVersion))
	}
}

// setConfiguration puts the configuration in force if its version is higher, and reports whether
// it did.
func (s *CatalogSyncer) setConfiguration(spec []byte, at catalog.Revision) bool {
	cfg, err := s.dialect.Configuration(spec)
	if err != nil {
		s.logger.Error().Err(err).Uint64("revision", at.Number).Uint64("epoch", at.Epoch).Msg("configuration rejected")
		return false
	}
	if !s.catalog.SetConfiguration(cfg, at) {
		if version := s.Version(); cfg.Version < version {
			s.logger.Warn().Int64(instance.KeyGeneration, version).Int64("ignored", cfg.Version).Uint64("revision", at.Number).Uint64("epoch", at.Epoch).Msg("older configuration ignored")
		}
		return false
	}
	instance.Locked(&s.mu, func() {
		if s.spec == nil || cfg.Version > s.specVersion {
			s.spec, s.specRevision, s.specVersion, s.newerSince = spec, at, cfg.Version, time.Time{}
		}
		s.recordSync()
	})
	s.logger.Info().Int64(instance.KeyGeneration, cfg.Version).Uint64("revision", at.Number).Uint64("epoch", at.Epoch).
		Int("routes", len(cfg.Routes)).Int("organisations", len(cfg.Organisations)).Msg("configuration in force")
	return true
}

// recordSync records when the configuration and the upstreams were known for the first time. The
// caller holds mu.
func (s *CatalogSyncer) recordSync() {
	if s.syncedAt.IsZero() && s.listed && s.spec != nil {
		s.syncedAt = time.Now()
	}
}

// revisionOf parses a resource version. The store's versions are numbers; any other text
// counts as older than all of them.
func revisionOf(epoch uint64, version string) catalog.Revision {
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		n = 0
	}
	return catalog.Revision{Epoch: epoch, Number: n}
}

func (s *CatalogSyncer) replaceUpstreams(list platform.List) {
	now := time.Now()
	var members []catalog.Upstream
	listed := make(map[string]bool)
	for _, o := range list.Items {
		if u, ok := s.decodeUpstream(o); ok {
			listed[u.ID] = true
			s.cancelRemoval(u.ID)
			members = append(members, u)
		}
	}
	kept := 0
	for _, u := range s.catalog.AllUpstreams() {
		if !listed[u.ID] && s.deferRemoval(now, u.ID) {
			kept++
			members = append(members, u)
		}
	}
	s.logDoubts(s.catalog.ReplaceUpstreams(members, revisionOf(list.Epoch, list.ResourceVersion)))
	instance.Locked(&s.mu, func() {
		s.listed = true
		s.recordSync()
	})
	s.logger.Info().Int("upstreams", len(members)).Int("keptUnlisted", kept).Str("revision", list.ResourceVersion).Uint64("epoch", list.Epoch).Msg("upstreams listed")
}

func (s *CatalogSyncer) decodeUpstream(o platform.Object) (catalog.Upstream, bool) {
	u, err := s.dialect.Upstream(o.Name, o.Spec)
	if err != nil {
		s.logger.Warn().Err(err).Str(instance.KeyUpstream, o.Name).Str("revision", o.ResourceVersion).Msg("entry names no upstream to use")
		return u, false
	}
	u.Revision = revisionOf(o.Epoch, o.ResourceVersion).Number
	return u, true
}

// applyUpstreams applies the changes of one reply of the store.
func (s *CatalogSyncer) applyUpstreams(events []platform.Event) {
	s.catalog.ChangeUpstreams(func() {
		for _, e := range events {
			s.applyUpstream(e)
		}
	})
}

func (s *CatalogSyncer) applyUpstream(e platform.Event) {
	id, at := e.Object.Name, revisionOf(e.Object.Epoch, e.Object.ResourceVersion)
	if e.Type == platform.EventDeleted {
		if s.deferRemoval(time.Now(), id) {
			return
		}
		s.logger.Info().Str(instance.KeyUpstream, id).Uint64("revision", at.Number).Msg("upstream removed")
		s.catalog.RemoveUpstream(id, at)
		return
	}
	u, ok := s.decodeUpstream(e.Object)
	if !ok {
		s.catalog.RemoveUpstream(id, at)
		return
	}
	s.cancelRemoval(id)
	s.logger.Info().Str(instance.KeyUpstream, id).Str("service", u.Service).Bool("draining", u.Draining).
		Int64("coldMs", u.ColdFor.Milliseconds()).Uint64("revision", at.Number).Msg("upstream changed")
	if rule := s.catalog.SetUpstream(u, at); rule != catalog.RuleNone {
		s.logDoubts([]catalog.Doubt{{Name: id, Rule: rule}})
	}
}

func (s *CatalogSyncer) replaceEvacuations(list platform.List) {
	var domains []string
	for _, o := range list.Items {
		domains = append(domains, o.Name)
	}
	s.logDoubts(s.catalog.ReplaceEvacuations(domains, revisionOf(list.Epoch, list.ResourceVersion)))
}

func (s *CatalogSyncer) applyEvacuation(e platform.Event) {
	evacuated := e.Type != platform.EventDeleted
	s.logger.Info().Str(instance.KeyFailureDomain, e.Object.Name).Bool("outOfService", evacuated).Str("revision", e.Object.ResourceVersion).Msg("failure domain changed")
	s.catalog.SetEvacuation(e.Object.Name, evacuated, revisionOf(e.Object.Epoch, e.Object.ResourceVersion))
}
