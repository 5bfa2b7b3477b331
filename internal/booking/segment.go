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

// decision is what a change comes to.
type decision struct {
	claim Claim
	err   error
}

// plan is the next content of a segment and what the group's changes come to. A change
// without a decision waits for another round.
type plan struct {
	next *content
	// now holds the decisions that the contents as they were read prove.
	now map[*change]decision
	// written holds the decisions that hold once next is written.
	written map[*change]decision
	// err says why the store gave no answer on a partition.
	err error
}

// process runs one round of writes of the segment, and sets its next turn so that
// changes share writes when there are many.
func (c *Claims) process(ctx context.Context, s *segment) {
	s.refill()
	conflicts := 0
	for ctx.Err() == nil {
		group, fresh := c.take(s)
		if len(group) == 0 {
			return
		}
		err := c.write(ctx, s, group, fresh)
		switch {
		case err == nil:
			s.failures = 0
			s.requeue(s.spend())
			return
		case isOvertaken(err) && conflicts < MaxConflicts:
			conflicts++
			c.untake(fresh)
		default:
			if !platform.IsAmbiguous(err) {
				c.untake(fresh)
			}
			c.logger.Warn().Err(err).Str("object", s.name).Int("changes", len(group)).Msg("claims were not written")
			s.requeue(c.retryDelay(s))
			return
		}
	}
}

// refill adds the turns that the segment has earned since its last one.
func (s *segment) refill() {
	now := time.Now()
	s.turns = min(SegmentBurst, s.turns+float64(now.Sub(s.turned))/float64(SegmentInterval))
	s.turned = now
}

// spend uses up a turn and returns the time until the next. The time of the turn itself
// earns nothing: entries whose writes were in conflict then drift apart.
func (s *segment) spend() time.Duration {
	s.turns--
	s.turned = time.Now()
	return time.Duration(max(0, 1-s.turns) * float64(SegmentInterval))
}

// isOvertaken reports whether the object was another one than the write was for.
func isOvertaken(err error) bool {
	return platform.IsConflict(err) || platform.IsAlreadyExists(err) || platform.IsNotFound(err)
}

// write decides the group's changes from the segment's content and what partitions say
// of new keys, and writes the next content, all under the condition that the segment
// has not changed in between.
func (c *Claims) write(ctx context.Context, s *segment, group, fresh []*change) error {
	from, n, err := c.plan(ctx, s, group)
	if err != nil {
		return err
	}
	// A write that may still take effect is shut out by another write from the same
	// version; nothing is decided before.
	fence := s.unresolved != nil && *s.unresolved == from.version
	if !fence {
		s.unresolved = nil
		c.settle(s, n.now)
		if len(n.written) == 0 {
			c.untakeUndecided(fresh, n)
			c.sawSegment(s, from, n)
			return n.err
		}
	}
	version, err := c.put(ctx, s.name, n.next)
	switch {
	case err == nil:
		s.unresolved = nil
		n.next.version = version
		s.keep(n.next)
		c.settle(s, n.now)
		c.settle(s, n.written)
		c.untakeUndecided(fresh, n)
		c.sawSegment(s, n.next, n)
		c.count("bookingWrites", "ok")
		return nil
	case isOvertaken(err):
		s.cached = nil
		s.uncached = UncachedWritesAfterConflict
		c.count("bookingWrites", "conflict")
	case platform.IsAmbiguous(err):
		s.cached = nil
		s.unresolved = &from.version
		c.count("bookingWrites", "ambiguous")
	default:
		c.count("bookingWrites", "failed")
	}
	return err
}

// untakeUndecided marks fresh changes that are not in the next content as not written.
func (c *Claims) untakeUndecided(fresh []*change, n plan) {
	var undecided []*change
	for _, g := range fresh {
		if _, ok := n.written[g]; !ok {
			undecided = append(undecided, g)
		}
	}
	c.untake(undecided)
}

// plan decides from the cached content. Decisions that need no write are made from
// the segment as it is now.
func (c *Claims) plan(ctx context.Context, s *segment, group []*change) (*content, plan, error) {
	now := c.clock.now()
	if s.cached != nil {
		if n := c.decide(ctx, s.cached, group, now); len(n.now) == 0 {
			return s.cached, n, nil
		}
		s.cached = nil
	}
	if s.last != nil {
		// Partitions that are read before the segment don't lengthen the time in which
		// another entry's write of the segment is a conflict.
		if _, err := c.search(ctx, s.last, group, now); err != nil {
			return nil, plan{}, err
		}
	}
	from, err := c.loadSegment(ctx, s)
	if err != nil {
		return nil, plan{}, err
	}
	s.note(from)
	return from, c.decide(ctx, from, group, now), nil
}

func (c *Claims) loadSegment(ctx context.Context, s *segment) (*content, error) {
	obj, err := c.get(ctx, s.name)
	if platform.IsNotFound(err) {
		return newSegment(s.partitions), nil
	}
	if err != nil {
		// The read has no effect, so that what it was for has not been written.
		return nil, &readError{cause: err}
	}
	from, err := decodeSegment(obj.ResourceVersion, obj.Spec, s.partitions)
	return from, errors.Wrap(err, s.name)
}

// sawSegment notes the size of the segment and the claims that count for compactions.
// Claims that are refused count too: a full segment would otherwise stay full.
func (c *Claims) sawSegment(s *segment, seen *content, n plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.bytes = seen.bytes
	for _, decisions := range []map[*change]decision{n.now, n.written} {
		for g := range decisions {
			if g.kind == changeClaim && c.credit < MaxCompactionCredit {
				c.credit++
			}
		}
	}
	if s.bytes < c.compactedBytes {
		return
	}
	select {
	case s.compact <- struct{}{}:
	default:
	}
}

// readError hides the kind of a failed read from the rules for writes.
type readError struct{ cause error }

func (e *readError) Error() string { return fmt.Sprintf("reading a claim object: %v", e.cause) }

// put writes the content under the condition of its version.
func (c *Claims) put(ctx context.Context, name string, next *content) (string, error) {
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

// decide applies the group's changes to a copy of the content.
func (c *Claims) decide(ctx context.Context, from *content, group []*change, now time.Time) plan {
	found, err := c.search(ctx, from, group, now)
	n := plan{next: from.clone(), now: make(map[*change]decision), written: make(map[*change]decision), err: err}
	n.next.writes++
	n.next.purge(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.next.id == 0 {
		// JSON numbers are exact up to 53 bits everywhere.
		n.next.id = c.rng.Uint64()>>11 | 1
	}
	for _, g := range group {
		r, ok := n.next.records[g.key]
		mine := ok && r.isOf(c.holder, g.sequence)
		switch g.kind {
		case changeClaim:
			c.decideClaim(&n, g, now, r, ok, mine, found)
		case changeRecord:
			decideRecord(&n, g, r, mine)
		case changeRelease:
			decideRelease(&n, g, r, mine)
		case changeMove:
			c.decideMove(&n, g)
		}
	}
	return n
}

func (c *Claims) decideClaim(n *plan, g *change, now time.Time, r record, ok, mine bool, found map[digest]lookup) {
	in, looked := found[g.key]
	switch {
	case mine:
		n.now[g] = decision{claim: Claim{State: Granted}}
	case ok:
		n.now[g] = decision{claim: Claim{State: Held, Owner: r.holder, Outcome: r.outcome}}
	case !looked:
		return
	case in.held:
		n.now[g] = decision{claim: Claim{State: Held, Owner: in.record.holder, Outcome: in.record.outcome}}
	case now.Sub(time.Unix(g.at, 0)) > MaxClaimWait:
		n.now[g] = decision{err: &NotSentError{Cause: errTooLate}}
	default:
		r = record{holder: c.holder, sequence: g.sequence, at: g.at}
		if in.full || n.next.bytes+r.size() > c.segmentBytes {
			n.now[g] = decision{err: errFull}
			return
		}
		n.next.set(g.key, r)
		n.written[g] = decision{claim: Claim{State: Granted}}
	}
}

// decideMove removes claims that their partitions have and raises the epochs of these
// partitions, so that older views of them don't hold any more.
func (c *Claims) decideMove(n *plan, g *change) {
	removed := false
	for p, records := range g.moved {
		epoch := n.next.epochs[p/len(c.segments)]
		for key, moved := range records {
			r, ok := n.next.records[key]
			if !ok || r.outcome == nil || !r.isOf(moved.holder, moved.sequence) {
				continue
			}
			n.next.remove(key)
			n.next.epochs[p/len(c.segments)] = epoch + 1
			removed = true
		}
	}
	if removed {
		n.written[g] = decision{}
		return
	}
	n.now[g] = decision{}
}

func decideRecord(n *plan, g *change, r record, mine bool) {
	switch {
	case !mine:
		n.now[g] = decision{err: errNotHeld}
	case r.outcome != nil:
		n.now[g] = decision{}
	default:
		outcome := *g.outcome
		encoded, err := json.Marshal(outcome)
		if err == nil && n.next.bytes+len(encoded) > MaxOutcomeBytes {
			outcome = outcome.bare()
			encoded, err = json.Marshal(outcome)
		}
		if err != nil {
			n.now[g] = decision{err: errors.Wrap(err, "encoding an outcome")}
			return
		}
		r.outcome, r.encoded = &outcome, encoded
		n.next.set(g.key, r)
		n.written[g] = decision{}
	}
}

func decideRelease(n *plan, g *change, r record, mine bool) {
	if !mine || r.outcome != nil {
		n.now[g] = decision{}
		return
	}
	n.next.remove(g.key)
	n.written[g] = decision{}
}

// keep caches the content, unless another entry has changed the segment lately.
func (s *segment) keep(next *content) {
	s.cached = nil
	s.note(next)
	if s.uncached > 0 {
		s.uncached--
		return
	}
	s.cached = next
}

// note keeps the epochs of the segment.
func (s *segment) note(seen *content) { s.last = &content{id: seen.id, epochs: seen.epochs} }
