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

// decision is what a change comes to.
type decision struct {
	claim Claim
	err   error
}

// plan is the next content of a claim object and what the group's changes come to.
type plan struct {
	next *content
	// now holds the decisions that the content as it was read proves.
	now map[*change]decision
	// written holds the decisions that hold once next is written.
	written map[*change]decision
}

// process runs one round of writes of the partition. A partition that still has
// changes goes back to the queue, so that others get their turn.
func (c *Claims) process(ctx context.Context, p *partition) {
	conflicts := 0
	for ctx.Err() == nil {
		group, fresh := c.take(p)
		if len(group) == 0 {
			return
		}
		err := c.write(ctx, p, group)
		switch {
		case err == nil:
			p.failures = 0
			c.ready <- p
			return
		case isOvertaken(err) && conflicts < MaxConflicts:
			conflicts++
			c.untake(fresh)
		default:
			if !platform.IsAmbiguous(err) {
				c.untake(fresh)
			}
			c.logger.Warn().Err(err).Str("object", p.name).Int("changes", len(group)).Msg("claim object was not written")
			c.requeue(p)
			return
		}
	}
}

// isOvertaken reports whether the object was another one than the write was for.
func isOvertaken(err error) bool {
	return platform.IsConflict(err) || platform.IsAlreadyExists(err) || platform.IsNotFound(err)
}

// write decides the group's changes from the object's content and writes the next
// content, all under the condition that the object has not changed in between.
func (c *Claims) write(ctx context.Context, p *partition, group []*change) error {
	from, n, err := c.plan(ctx, p, group)
	if err != nil {
		return err
	}
	// A write that may still take effect is shut out by another write from the same
	// version; nothing is decided before.
	fence := p.unresolved != nil && *p.unresolved == from.version
	if !fence {
		p.unresolved = nil
		c.settle(p, n.now)
		if len(n.written) == 0 {
			return nil
		}
	}
	version, err := c.put(ctx, p, n.next)
	switch {
	case err == nil:
		p.unresolved = nil
		n.next.version = version
		c.keep(p, n.next)
		c.settle(p, n.now)
		c.settle(p, n.written)
		c.count("bookingWrites", "ok")
		return nil
	case isOvertaken(err):
		c.drop(p)
		p.uncached = UncachedWrites
		c.count("bookingWrites", "conflict")
	case platform.IsAmbiguous(err):
		c.drop(p)
		p.unresolved = &from.version
		c.count("bookingWrites", "ambiguous")
	default:
		c.count("bookingWrites", "failed")
	}
	return err
}

// plan decides from the cached content. Decisions that need no write are made from
// the object as it is now.
func (c *Claims) plan(ctx context.Context, p *partition, group []*change) (*content, plan, error) {
	now := c.clock.now()
	if p.cached != nil {
		if n := c.decide(p.cached, group, now); len(n.now) == 0 {
			return p.cached, n, nil
		}
		c.drop(p)
	}
	from, err := c.load(ctx, p)
	if err != nil {
		return nil, plan{}, err
	}
	return from, c.decide(from, group, now), nil
}

func (c *Claims) load(ctx context.Context, p *partition) (*content, error) {
	obj, err := c.get(ctx, p.name)
	if platform.IsNotFound(err) {
		return newContent(), nil
	}
	if err != nil {
		// The read has no effect, so that what it was for has not been written.
		return nil, &readError{cause: err}
	}
	return decodeContent(obj.ResourceVersion, obj.Spec)
}

// readError hides the kind of a failed read from the rules for writes.
type readError struct{ cause error }

func (e *readError) Error() string { return fmt.Sprintf("reading a claim object: %v", e.cause) }

// put writes the content under the condition of its version.
func (c *Claims) put(ctx context.Context, p *partition, next *content) (string, error) {
	spec, err := next.encode()
	if err != nil {
		return "", err
	}
	obj := platform.Object{Kind: platform.KindClaim, Name: p.name, ResourceVersion: next.version, Spec: spec}
	put := c.update
	if next.version == "" {
		put = c.create
	}
	obj, err = put(ctx, obj)
	return obj.ResourceVersion, err
}

// decide applies the group's changes to a copy of the content.
func (c *Claims) decide(from *content, group []*change, now time.Time) plan {
	n := plan{next: from.clone(), now: make(map[*change]decision), written: make(map[*change]decision)}
	n.next.writes++
	n.next.purge(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range group {
		r, ok := n.next.records[g.key]
		mine := ok && r.isOf(c.holder, g.sequence)
		switch g.kind {
		case changeClaim:
			c.decideClaim(&n, g, now, r, ok, mine)
		case changeRecord:
			decideRecord(&n, g, r, mine)
		case changeRelease:
			decideRelease(&n, g, r, mine)
		}
	}
	return n
}

func (c *Claims) decideClaim(n *plan, g *change, now time.Time, r record, ok, mine bool) {
	switch {
	case mine:
		n.now[g] = decision{claim: Claim{State: Granted}}
	case ok:
		n.now[g] = decision{claim: Claim{State: Held, Holder: r.holder, Outcome: r.outcome}}
	case now.Sub(time.Unix(g.at, 0)) > MaxClaimWait:
		n.now[g] = decision{err: &NotSentError{Cause: errTooLate}}
	default:
		r = record{holder: c.holder, sequence: g.sequence, at: g.at}
		if n.next.bytes+r.size() > MaxClaimBytes {
			n.now[g] = decision{err: errFull}
			return
		}
		n.next.set(g.key, r)
		n.written[g] = decision{claim: Claim{State: Granted}}
	}
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

// keep caches the content within the bound of the cache.
func (c *Claims) keep(p *partition, next *content) {
	c.drop(p)
	if p.uncached > 0 {
		p.uncached--
		return
	}
	if c.cacheBytes.Add(int64(next.bytes)) > MaxCacheBytes {
		c.cacheBytes.Add(-int64(next.bytes))
		return
	}
	p.cached = next
}

func (c *Claims) drop(p *partition) {
	if p.cached != nil {
		c.cacheBytes.Add(-int64(p.cached.bytes))
		p.cached = nil
	}
}
