package booking

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

var errPartitionFull = errors.New("the partition has no room for finished claims")

// compactAlways moves finished claims of the segment to their partitions whenever the
// segment is large and this entry has decided enough claims.
func (c *Claims) compactAlways(ctx context.Context, s *segment) {
	for {
		select {
		case <-s.compact:
		case <-ctx.Done():
			return
		}
		for {
			delay, ok := c.planCompaction(s)
			if !ok || !instance.Pause(ctx, delay) || !c.compact(ctx, s) {
				break
			}
		}
	}
}

// planCompaction returns the time until the next compaction, if one is due.
func (c *Claims) planCompaction(s *segment) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.bytes < c.compactedBytes || c.credit < c.compactionCost(s) {
		return 0, false
	}
	delay := c.compactionInterval
	if s.bytes > c.segmentBytes/2 {
		delay = SegmentInterval
	}
	return delay/2 + time.Duration(c.rng.Int64N(int64(delay))), true
}

// compactionCost is the number of decided claims that one partition costs. The
// caller holds mu.
func (c *Claims) compactionCost(s *segment) int {
	if s.bytes > c.segmentBytes/2 {
		return 1
	}
	return CompactionCost
}

// compact moves the claims of some partitions. A claim that has an outcome never
// changes again, so that it may be in the segment and its partition at once; it is
// removed from the segment only after the partition was seen with it. A compaction
// that stops anywhere is repeated by the next. The result is false when nothing was moved.
func (c *Claims) compact(ctx context.Context, s *segment) bool {
	from, err := c.loadSegment(ctx, s)
	if err != nil {
		c.count("bookingCompactions", "failed")
		return false
	}
	moved := make(map[int]map[digest]record)
	for p, records := range c.pickFinished(s, from) {
		if err := c.moveTo(ctx, p, records); err != nil {
			c.count("bookingCompactions", "failed")
			c.logger.Warn().Err(err).Str("object", partitionName(p)).Int("claims", len(records)).Msg("claims were not moved to their partition")
			continue
		}
		c.count("bookingCompactions", "ok")
		moved[p] = records
	}
	if len(moved) == 0 {
		return false
	}
	return c.truncate(ctx, s, moved)
}

// truncate lets the segment's next write remove the moved claims.
func (c *Claims) truncate(ctx context.Context, s *segment, moved map[int]map[digest]record) bool {
	g := &change{kind: changeMove, moved: moved, done: make(chan struct{})}
	c.mu.Lock()
	c.enqueue(s, g)
	c.mu.Unlock()
	select {
	case <-g.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// pickFinished returns the finished claims of the partitions that have most of them
// in the segment, and uses up the credit for them. It looks at a random half of many
// partitions, so that entries which compact at once seldom do the same work.
func (c *Claims) pickFinished(s *segment, from *content) map[int]map[digest]record {
	finished := make(map[int]map[digest]record)
	now := c.clock.now()
	for key, r := range from.records {
		if r.outcome == nil || r.isExpired(now) {
			continue
		}
		p := key.partition(c.partitions)
		if finished[p] == nil {
			finished[p] = make(map[digest]record)
		}
		finished[p][key] = r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	order := slices.Sorted(maps.Keys(finished))
	c.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	order = order[:min(len(order), max(CompactionBatch, len(order)/2))]
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(len(finished[b]), len(finished[a])) })
	cost := c.compactionCost(s)
	order = order[:min(len(order), CompactionBatch, c.credit/cost)]
	c.credit -= cost * len(order)
	picked := make(map[int]map[digest]record)
	for _, p := range order {
		picked[p] = finished[p]
	}
	return picked
}

// moveTo makes sure that the partition has the claims. Without an error it has them
// in a version that was read or whose write was confirmed.
func (c *Claims) moveTo(ctx context.Context, p int, records map[digest]record) error {
	held, err := c.loadPartition(ctx, p)
	if err != nil {
		return err
	}
	next := held.clone()
	next.writes++
	next.purge(c.clock.now())
	changed := false
	for key, r := range records {
		old, ok := next.records[key]
		switch {
		case ok && old.isOf(r.holder, r.sequence):
			continue
		case ok && old.at >= r.at:
			// The claim of the segment is older than the retention of its key.
			return errors.Errorf("partition has another claim of %s", key)
		case next.bytes+r.size() > MaxOutcomeBytes:
			return errPartitionFull
		}
		next.set(key, r)
		changed = true
	}
	if !changed {
		return nil
	}
	_, err = c.put(ctx, partitionName(p), next)
	if platform.IsAmbiguous(err) {
		return errors.Wrap(err, "the next compaction reads the partition again")
	}
	return err
}
