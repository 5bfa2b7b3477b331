package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// quarantineSavePeriod is the interval at which changes of the sets in quarantine are written
// to the store.
const quarantineSavePeriod = 500 * time.Millisecond

// QuarantineStore keeps the sets in quarantine in the platform's store, so that they outlive a
// restart of all gateways. Each set is an object, which one gateway writes: the one that owns
// its name. Decisions don't depend on the store.
type QuarantineStore struct {
	client  *platform.Client
	crashes *Crashes
	roster  *roster.Roster
	logger  *log.Logger
	// saved are the rounds of the sets that the store is known to hold, by object name; 0 means
	// that another gateway may have written the set.
	saved map[string]int
	// epoch is the epoch of the store that saved is of.
	epoch uint64
}

// quarantineSpec is a set in the store. Times are Unix milliseconds.
type quarantineSpec struct {
	Service string   `json:"service"`
	Parts   []string `json:"parts"`
	Round   int      `json:"round"`
	Crashes int      `json:"crashes"`
	Since   int64    `json:"since"`
	Until   int64    `json:"until"`
}

// NewQuarantineStore returns a store from which nothing was loaded.
func NewQuarantineStore(client *platform.Client, crashes *Crashes, r *roster.Roster, logger *log.Logger) *QuarantineStore {
	return &QuarantineStore{client: client, crashes: crashes, roster: r, logger: logger, saved: make(map[string]int)}
}

// Run adopts the sets in the store and then writes changes to it until ctx ends.
func (s *QuarantineStore) Run(ctx context.Context) {
	for {
		err := s.load(ctx)
		if err == nil {
			break
		}
		s.logger.Warn().Err(err).Msg("prompt parts in quarantine not loaded yet; retrying")
		if !instance.Pause(ctx, registerRetryDelay) {
			return
		}
	}
	for instance.Pause(ctx, quarantineSavePeriod) {
		if err := s.save(ctx); err != nil {
			s.logger.Debug().Err(err).Msg("prompt parts in quarantine not saved yet; retrying")
		}
	}
}

// load adopts the sets in the store whose quarantine has not ended.
func (s *QuarantineStore) load(ctx context.Context) error {
	list, err := s.client.List(ctx, platform.ShareHousekeeping, platform.KindQuarantine)
	if err != nil {
		return errors.Wrap(err, "listing prompt parts in quarantine")
	}
	s.epoch = list.Epoch
	now := time.Now()
	for _, o := range list.Items {
		s.saved[o.Name] = 0
		var spec quarantineSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			s.logger.Warn().Err(err).Str("name", o.Name).Msg("malformed entry of prompt parts in quarantine ignored")
			continue
		}
		s.crashes.adopt([]quarantine.Notice{{
			Service: spec.Service, Parts: spec.Parts, Round: spec.Round, Crashes: spec.Crashes,
			Age: max(0, now.Sub(time.UnixMilli(spec.Since))), Left: time.UnixMilli(spec.Until).Sub(now),
		}})
	}
	return nil
}

// relist finds out what the store holds after it returned to an earlier state. The sets are not
// adopted: this gateway knows later ones.
func (s *QuarantineStore) relist(ctx context.Context) error {
	list, err := s.client.List(ctx, platform.ShareHousekeeping, platform.KindQuarantine)
	if err != nil {
		return errors.Wrap(err, "listing prompt parts in quarantine")
	}
	s.epoch = list.Epoch
	clear(s.saved)
	for _, o := range list.Items {
		s.saved[o.Name] = 0
	}
	return nil
}

// save writes the sets that this gateway owns and that the store may not hold, and removes
// those whose quarantine has ended.
func (s *QuarantineStore) save(ctx context.Context) error {
	if s.client.Epoch() != s.epoch {
		if err := s.relist(ctx); err != nil {
			return err
		}
	}
	now := time.Now()
	active := make(map[string]bool)
	for _, n := range s.crashes.notices() {
		name := quarantineName(n)
		active[name] = true
		round, known := s.saved[name]
		if !s.owns(name) {
			s.saved[name] = 0
			continue
		}
		if known && round == n.Round {
			continue
		}
		spec, err := json.Marshal(quarantineSpec{
			Service: n.Service, Parts: n.Parts, Round: n.Round, Crashes: n.Crashes,
			Since: now.Add(-n.Age).UnixMilli(), Until: now.Add(n.Left).UnixMilli(),
		})
		if err != nil {
			return errors.Wrap(err, "encoding prompt parts in quarantine")
		}
		if err := s.write(ctx, platform.Object{Kind: platform.KindQuarantine, Name: name, Spec: spec}); err != nil {
			return err
		}
		s.saved[name] = n.Round
	}
	return s.removeEnded(ctx, active)
}

// removeEnded removes the sets that are no longer active and that this gateway owns.
func (s *QuarantineStore) removeEnded(ctx context.Context, active map[string]bool) error {
	for _, name := range slices.Sorted(maps.Keys(s.saved)) {
		if active[name] {
			continue
		}
		if s.owns(name) {
			if err := s.client.Delete(ctx, platform.ShareHousekeeping, platform.KindQuarantine, name, ""); err != nil && !platform.IsNotFound(err) {
				return errors.Wrap(err, "removing prompt parts from quarantine")
			}
		}
		delete(s.saved, name)
	}
	return nil
}

func (s *QuarantineStore) owns(name string) bool {
	return s.roster.Owner(name).Name == s.roster.Self().Name
}

// write creates or replaces the object.
func (s *QuarantineStore) write(ctx context.Context, obj platform.Object) error {
	_, err := s.client.Create(ctx, platform.ShareHousekeeping, obj)
	if err == nil || !platform.IsConflict(err) && !platform.IsAlreadyExists(err) {
		return errors.Wrap(err, "saving prompt parts in quarantine")
	}
	old, err := s.client.Get(ctx, platform.ShareHousekeeping, platform.KindQuarantine, obj.Name)
	if err != nil {
		return errors.Wrap(err, "reading prompt parts in quarantine")
	}
	obj.ResourceVersion = old.ResourceVersion
	_, err = s.client.Update(ctx, platform.ShareHousekeeping, obj)
	return errors.Wrap(err, "replacing prompt parts in quarantine")
}

// quarantineName returns the object name of the set, which is the same for all gateways.
func quarantineName(n quarantine.Notice) string {
	parts := slices.Sorted(slices.Values(n.Parts))
	return "q-" + strconv.FormatUint(xxhash.Sum64String(n.Service+"\x00"+strings.Join(parts, "\x00")), 16)
}
