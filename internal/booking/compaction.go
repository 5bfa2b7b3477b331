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

var errPartitionFull = errors.New("partition has no free capacity for finished claims")

// runCompactor moves finished claims of the segment to their partitions whenever the
// segment is large and this entry has decided enough claims.
func (c *Claims) runCompactor(ctx context.Context, s *segment) {
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
	if s.bytes < c.minCompactedBytes || c.compactionCredit < c.compactionCost(s) {
		return 0, false
	}
	delay := c.compactionInterval
	if s.bytes > c.maxSegmentBytes/2 {
		delay = SegmentInterval
	}
	return delay/2 + time.Duration(c.rng.Int64N(int64(delay))), true
}

// compactionCost returns the number of decided claims to spend on each partition. The
// caller holds mu.
func (c *Claims) compactionCost(s *segment) int {
	if s.bytes > c.maxSegmentBytes/2 {
		return 1
	}
	return CompactionCost
}

// compact moves the claims of some partitions. A claim that has an outcome never changes
// again, so it may be in the segment and its partition at the same time. It is removed
// from the segment only after the partition is known to contain it. A compaction that is
// interrupted at any point is repeated by the next one. The result is false when nothing
// was moved.
func (c *Claims) compact(ctx context.Context, s *segment) bool {
	from, err := c.loadSegment(ctx, s)
	if err != nil {
		c.count("bookingCompactions", "failed")
		return false
	}
	moved := make(map[int]map[digest]record)
	for p, records := range c.selectFinished(s, from) {
		if err := c.moveToPartition(ctx, p, records); err != nil {
			c.count("bookingCompactions", "failed")
			c.logger.Warn().Err(err).Str("object", partitionName(p)).Int("claims", len(records)).Msg("failed to move claims to their partition")
			continue
		}
		c.count("bookingCompactions", "ok")
		moved[p] = records
	}
	if len(moved) == 0 {
		return false
	}
	return c.removeMoved(ctx, s, moved)
}

// removeMoved enqueues the removal of the moved claims from the segment and waits for its
// write.
func (c *Claims) removeMoved(ctx context.Context, s *segment, moved map[int]map[digest]record) bool {
	ch := &change{kind: changeMove, moved: moved, done: make(chan struct{})}
	c.mu.Lock()
	c.enqueue(s, ch)
	c.mu.Unlock()
	select {
	case <-ch.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// selectFinished returns the finished claims of the partitions that have most of them in
// the segment, and spends the credit for them. Of many partitions it considers a random
// half, so that entries which compact at the same time rarely do the same work.
func (c *Claims) selectFinished(s *segment, from *claimObject) map[int]map[digest]record {
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
	order = order[:min(len(order), CompactionBatch, c.compactionCredit/cost)]
	c.compactionCredit -= cost * len(order)
	selected := make(map[int]map[digest]record)
	for _, p := range order {
		selected[p] = finished[p]
	}
	return selected
}

// moveToPartition ensures that the partition contains the claims. Without an error they
// are in a version that was read or whose write was confirmed.
func (c *Claims) moveToPartition(ctx context.Context, p int, records map[digest]record) error {
	partition, err := c.loadPartition(ctx, p)
	if err != nil {
		return err
	}
	next := partition.clone()
	next.writes++
	next.purge(c.clock.now())
	changed := false
	for key, r := range records {
		old, ok := next.records[key]
		switch {
		case ok && old.isWrittenBy(r.owner, r.sequence):
			continue
		case ok && old.at >= r.at:
			// The retention of the segment's claim has ended; a later claim of the key
			// replaced it.
			return errors.Errorf("partition already has another claim of key %s", key)
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
		return errors.Wrap(err, "write of the partition is ambiguous; the next compaction reads it again")
	}
	return err
}
