package booking

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

func partitionName(i int) string { return fmt.Sprintf("claims-%04d", i) }

func segmentName(i int) string { return fmt.Sprintf("claims-segment-%02d", i) }

// decision is the result of a change.
type decision struct {
	claim Claim
	err   error
}

// writePlan is the next content of a segment and the decisions on the changes of a batch. A
// change without a decision waits for another round.
type writePlan struct {
	next *claimObject
	// now holds the decisions that follow from the contents as read and need no write.
	now map[*change]decision
	// afterWrite holds the decisions that are valid once next is written.
	afterWrite map[*change]decision
	// err is set when the store did not return a partition.
	err error
}

// processPending writes a batch of changes, retrying after conflicts, and schedules the
// next write so that changes are combined under load.
func (c *Claims) processPending(ctx context.Context, s *segment) {
	s.refillTokens()
	conflicts := 0
	for ctx.Err() == nil {
		batch, unsent := c.nextBatch(s)
		if len(batch) == 0 {
			return
		}
		err := c.writeBatch(ctx, s, batch, unsent)
		switch {
		case err == nil:
			s.failures = 0
			s.scheduleAfter(s.takeToken())
			return
		case isWriteConflict(err) && conflicts < MaxConflicts:
			conflicts++
			c.markUnwritten(unsent)
		default:
			if !platform.IsAmbiguous(err) {
				c.markUnwritten(unsent)
			}
			c.logger.Warn().Err(err).Str("object", s.name).Int("changes", len(batch)).Msg("failed to write claims; retrying")
			s.scheduleAfter(c.retryDelay(s))
			return
		}
	}
}

// refillTokens adds the write tokens that the segment has earned since the last refill.
func (s *segment) refillTokens() {
	now := time.Now()
	s.writeTokens = min(SegmentBurst, s.writeTokens+float64(now.Sub(s.refilledAt))/float64(SegmentInterval))
	s.refilledAt = now
}

// takeToken takes a write token and returns the time until the next write. The time of the
// write itself earns no tokens, so that entries with conflicting writes drift apart.
func (s *segment) takeToken() time.Duration {
	s.writeTokens--
	s.refilledAt = time.Now()
	return time.Duration(max(0, 1-s.writeTokens) * float64(SegmentInterval))
}

// isWriteConflict reports whether the object was not in the state that the write was based
// on.
func isWriteConflict(err error) bool {
	return platform.IsConflict(err) || platform.IsAlreadyExists(err) || platform.IsNotFound(err)
}

// writeBatch decides the changes of the batch from the content of the segment and the
// partitions' records of new keys. It writes the next content on the condition that the
// segment has not changed in between.
func (c *Claims) writeBatch(ctx context.Context, s *segment, batch, unsent []*change) error {
	from, plan, err := c.writePlan(ctx, s, batch)
	if err != nil {
		return err
	}
	// A write that may still take effect is fenced by another write based on the same
	// version; nothing is decided before that.
	fence := s.ambiguousVersion != nil && *s.ambiguousVersion == from.version
	if !fence {
		s.ambiguousVersion = nil
		c.resolveDecided(s, plan.now)
		if len(plan.afterWrite) == 0 {
			c.markUndecidedUnwritten(unsent, plan)
			c.updateCompaction(s, from, plan)
			return plan.err
		}
	}
	version, err := c.put(ctx, s.name, plan.next)
	switch {
	case err == nil:
		s.ambiguousVersion = nil
		plan.next.version = version
		s.cacheWritten(plan.next)
		c.resolveDecided(s, plan.now)
		c.resolveDecided(s, plan.afterWrite)
		c.markUndecidedUnwritten(unsent, plan)
		c.updateCompaction(s, plan.next, plan)
		c.count("bookingWrites", "ok")
		return nil
	case isWriteConflict(err):
		s.cached = nil
		s.uncachedWrites = UncachedWritesAfterConflict
		c.count("bookingWrites", "conflict")
	case platform.IsAmbiguous(err):
		s.cached = nil
		s.ambiguousVersion = &from.version
		c.count("bookingWrites", "ambiguous")
	default:
		c.count("bookingWrites", "failed")
	}
	return err
}

// markUndecidedUnwritten marks unsent changes that are not in the next content as not
// written.
func (c *Claims) markUndecidedUnwritten(unsent []*change, plan writePlan) {
	var undecided []*change
	for _, ch := range unsent {
		if _, ok := plan.afterWrite[ch]; !ok {
			undecided = append(undecided, ch)
		}
	}
	c.markUnwritten(undecided)
}

// writePlan decides from the cached content if every decision needs a write. Decisions that
// need no write are made from a fresh read of the segment.
func (c *Claims) writePlan(ctx context.Context, s *segment, batch []*change) (*claimObject, writePlan, error) {
	now := c.clock.now()
	if s.cached != nil {
		if plan := c.decide(ctx, s.cached, batch, now); len(plan.now) == 0 {
			return s.cached, plan, nil
		}
		s.cached = nil
	}
	if s.lastEpochs != nil {
		// Reading partitions before the segment keeps the time short in which a write of
		// the segment by another entry causes a conflict.
		if _, err := c.lookupPartitions(ctx, s.lastEpochs, batch, now); err != nil {
			return nil, writePlan{}, err
		}
	}
	from, err := c.loadSegment(ctx, s)
	if err != nil {
		return nil, writePlan{}, err
	}
	s.setEpochs(from)
	return from, c.decide(ctx, from, batch, now), nil
}

func (c *Claims) loadSegment(ctx context.Context, s *segment) (*claimObject, error) {
	obj, err := c.get(ctx, s.name)
	if platform.IsNotFound(err) {
		return newSegmentObject(s.partitions), nil
	}
	if err != nil {
		// A failed read has no effect, so the changes it was needed for have not been
		// written.
		return nil, &readError{cause: err}
	}
	from, err := decodeSegment(obj.ResourceVersion, obj.Spec, s.partitions)
	return from, errors.Wrap(err, s.name)
}

// updateCompaction records the size of the segment and adds the decided claims to the
// compaction credit. Refused claims count too; otherwise a full segment would stay full.
func (c *Claims) updateCompaction(s *segment, object *claimObject, plan writePlan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.bytes = object.bytes
	for _, decisions := range []map[*change]decision{plan.now, plan.afterWrite} {
		for ch := range decisions {
			if ch.kind == changeClaim && c.compactionCredit < MaxCompactionCredit {
				c.compactionCredit++
			}
		}
	}
	if s.bytes < c.minCompactedBytes {
		return
	}
	select {
	case s.compact <- struct{}{}:
	default:
	}
}

// readError hides the type of a failed read, so that it isn't handled like a failed write.
type readError struct{ cause error }

func (e *readError) Error() string { return fmt.Sprintf("reading a claim object: %v", e.cause) }

// put writes the content on the condition that the object still has its version.
func (c *Claims) put(ctx context.Context, name string, next *claimObject) (string, error) {
	spec, err := next.encode()
	if err != nil {
		return "", err
	}
	obj := platform.Object{Kind: platform.KindClaim, Name: name, ResourceVersion: next.version, Spec: spec}
	put := c.update
	if next.version == "" {
		put = c.create
	}
	obj, err = put(ctx, obj)
	return obj.ResourceVersion, err
}

// decide applies the changes of the batch to a copy of the content.
func (c *Claims) decide(ctx context.Context, from *claimObject, batch []*change, now time.Time) writePlan {
	found, err := c.lookupPartitions(ctx, from, batch, now)
	plan := writePlan{next: from.clone(), now: make(map[*change]decision), afterWrite: make(map[*change]decision), err: err}
	plan.next.writes++
	plan.next.purge(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if plan.next.id == 0 {
		// JSON numbers are exact up to 53 bits in all implementations.
		plan.next.id = c.rng.Uint64()>>11 | 1
	}
	for _, ch := range batch {
		r, ok := plan.next.records[ch.key]
		own := ok && r.isWrittenBy(c.owner, ch.sequence)
		switch ch.kind {
		case changeClaim:
			c.decideClaim(&plan, ch, now, r, ok, own, found)
		case changeOutcome:
			decideOutcome(&plan, ch, r, own)
		case changeRelease:
			decideRelease(&plan, ch, r, own)
		case changeMove:
			c.decideMove(&plan, ch)
		}
	}
	return plan
}

func (c *Claims) decideClaim(plan *writePlan, ch *change, now time.Time, r record, ok, own bool, found map[digest]lookup) {
	result, searched := found[ch.key]
	switch {
	case own:
		plan.now[ch] = decision{claim: Claim{State: Granted}}
	case ok:
		plan.now[ch] = decision{claim: Claim{State: Held, Owner: r.owner, Outcome: r.outcome}}
	case !searched:
		return
	case result.stored:
		plan.now[ch] = decision{claim: Claim{State: Held, Owner: result.record.owner, Outcome: result.record.outcome}}
	case now.Sub(time.Unix(ch.at, 0)) > MaxClaimWait:
		plan.now[ch] = decision{err: &NotSentError{Cause: errClaimTooOld}}
	default:
		r = record{owner: c.owner, sequence: ch.sequence, at: ch.at}
		if result.full || plan.next.bytes+r.size() > c.maxSegmentBytes {
			plan.now[ch] = decision{err: errObjectsFull}
			return
		}
		plan.next.set(ch.key, r)
		plan.afterWrite[ch] = decision{claim: Claim{State: Granted}}
	}
}

// decideMove removes claims that are stored in their partitions and increments the epochs
// of these partitions, which invalidates older views of them.
func (c *Claims) decideMove(plan *writePlan, ch *change) {
	removed := false
	for p, records := range ch.moved {
		epoch := plan.next.epochs[p/len(c.segments)]
		for key, moved := range records {
			r, ok := plan.next.records[key]
			if !ok || r.outcome == nil || !r.isWrittenBy(moved.owner, moved.sequence) {
				continue
			}
			plan.next.remove(key)
			plan.next.epochs[p/len(c.segments)] = epoch + 1
			removed = true
		}
	}
	if removed {
		plan.afterWrite[ch] = decision{}
		return
	}
	plan.now[ch] = decision{}
}

func decideOutcome(plan *writePlan, ch *change, r record, own bool) {
	switch {
	case !own:
		plan.now[ch] = decision{err: errNotOwner}
	case r.outcome != nil:
		plan.now[ch] = decision{}
	default:
		outcome := *ch.outcome
		encoded, err := json.Marshal(outcome)
		if err == nil && plan.next.bytes+len(encoded) > MaxOutcomeBytes {
			outcome = outcome.executionOnly()
			encoded, err = json.Marshal(outcome)
		}
		if err != nil {
			plan.now[ch] = decision{err: errors.Wrap(err, "encoding an outcome")}
			return
		}
		r.outcome, r.encoded = &outcome, encoded
		plan.next.set(ch.key, r)
		plan.afterWrite[ch] = decision{}
	}
}

func decideRelease(plan *writePlan, ch *change, r record, own bool) {
	if !own || r.outcome != nil {
		plan.now[ch] = decision{}
		return
	}
	plan.next.remove(ch.key)
	plan.afterWrite[ch] = decision{}
}

// cacheWritten caches the content, unless another entry has recently changed the segment.
func (s *segment) cacheWritten(next *claimObject) {
	s.cached = nil
	s.setEpochs(next)
	if s.uncachedWrites > 0 {
		s.uncachedWrites--
		return
	}
	s.cached = next
}

// setEpochs keeps the id and epochs of the object for reading partitions in advance.
func (s *segment) setEpochs(object *claimObject) {
	s.lastEpochs = &claimObject{id: object.id, epochs: object.epochs}
}
