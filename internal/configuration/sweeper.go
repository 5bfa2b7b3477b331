package configuration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// Sweeper removes sections that the head does not refer to from the store. Sweeps of
// several processes and commits may run concurrently.
//
// A sweep lists the sections, then changes the head's resource version, and then
// removes the unused sections on condition that they have not changed since they were
// listed. A commit that began before the change of the head fails to write the head and
// starts again. One that began later changes the resource version of an unused section
// that it needs, or creates the section again.
type Sweeper struct {
	store  Store
	loader *Loader
	logger *log.Logger
	scope  tally.Scope
}

// NewSweeper returns a sweeper. The store needs List and Delete.
func NewSweeper(store Store, holder *Holder, logger *log.Logger, scope tally.Scope) *Sweeper {
	return &Sweeper{store: store, loader: NewLoader(store, holder), logger: logger, scope: scope}
}

// Run sweeps about once per period if shouldSweep is true then, until ctx ends.
func (s *Sweeper) Run(ctx context.Context, period time.Duration, shouldSweep func() bool, rng *rand.Rand) {
	for {
		timer := time.NewTimer(period/2 + time.Duration(rng.Int64N(int64(period))))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if !shouldSweep() {
			continue
		}
		removed, err := s.Sweep(ctx)
		s.logger.Info().Int("removed", removed).Err(err).Msg("sweep of unused sections finished")
	}
}

// Sweep removes the unused sections and returns the number of removed ones. After an
// error the others are left to the next sweep.
func (s *Sweeper) Sweep(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	head, version, err := s.loader.readHead(ctx)
	if err != nil || head.Generation == 0 {
		return 0, err
	}
	unused, err := s.unused(ctx, head)
	if err != nil || len(unused) == 0 {
		return 0, err
	}
	if err := s.bumpHeadVersion(ctx, head, version); err != nil {
		return 0, err
	}
	return s.remove(ctx, unused)
}

func (s *Sweeper) unused(ctx context.Context, head Head) ([]Object, error) {
	listed, err := s.store.List(ctx, KindSections)
	if err != nil {
		return nil, errors.Wrap(err, "listing the sections")
	}
	used := make(map[string]bool, len(head.Sections))
	for _, r := range head.Sections {
		used[r.Hash] = true
	}
	var unused []Object
	for _, obj := range listed {
		if !used[obj.Name] {
			unused = append(unused, obj)
		}
	}
	return unused, nil
}

// bumpHeadVersion changes the head's resource version.
func (s *Sweeper) bumpHeadVersion(ctx context.Context, head Head, version string) error {
	head.Sweep++
	spec, err := json.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encoding the configuration head")
	}
	_, err = s.store.Update(ctx, KindConfigurations, Object{Name: HeadName, ResourceVersion: version, Spec: spec})
	return errors.Wrap(err, "updating the head for a sweep")
}

func (s *Sweeper) remove(ctx context.Context, unused []Object) (int, error) {
	removed := 0
	for _, obj := range unused {
		err := s.store.Delete(ctx, KindSections, obj.Name, obj.ResourceVersion)
		switch {
		case err == nil:
			removed++
			s.scope.Counter("configurationSectionsRemoved").Inc(1)
		case s.store.IsConflict(err) || s.store.IsNotFound(err):
		default:
			return removed, errors.Wrapf(err, "removing section %s", obj.Name)
		}
	}
	return removed, nil
}
