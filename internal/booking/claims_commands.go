package booking

import "context"

// Claim consumes the right to run the request of the key, or says who has it. After
// an error the entry must not run the request and may answer notStarted, except
// after IsKeyExpired, which is unknown. The errors are IsKeyExpired, IsFull,
// IsNotSent and IsUnresolved. After a grant the entry checks its deadline again and
// then calls Record or Release exactly once.
func (c *Claims) Claim(ctx context.Context, key Key) (Claim, error) {
	claim, err := c.claim(ctx, key)
	result := claimResult(claim, err)
	c.count("bookingClaims", result)
	if err != nil {
		c.logger.Warn().Err(err).Str("key", key.String()).Str("organisation", key.Organisation).Str("reason", result).Msg("claim was refused")
	}
	return claim, err
}

func (c *Claims) claim(ctx context.Context, key Key) (Claim, error) {
	g, claim, err := c.startClaim(ctx, key)
	if g == nil {
		return claim, err
	}
	select {
	case <-g.done:
	case <-ctx.Done():
		if err := c.abandon(g, ctx.Err()); err != nil {
			return Claim{}, err
		}
	}
	if g.err != nil {
		return Claim{}, g.err
	}
	return g.claim, nil
}

// claimResult is the metric tag of a claim.
func claimResult(claim Claim, err error) string {
	switch {
	case err == nil && claim.State == Granted:
		return "granted"
	case err == nil && claim.Outcome != nil:
		return "recorded"
	case err == nil:
		return "held"
	case IsKeyExpired(err):
		return "keyExpired"
	case IsFull(err):
		return "full"
	case IsUnresolved(err):
		return "unresolved"
	default:
		return "notSent"
	}
}

// startClaim opens a claim, or answers at once without a change.
func (c *Claims) startClaim(ctx context.Context, key Key) (*change, Claim, error) {
	now := c.clock.now()
	if at, ok := key.createdAt(); ok && now.Sub(at) > Retention {
		return nil, Claim{}, errKeyExpired
	}
	if err := ctx.Err(); err != nil {
		return nil, Claim{}, &NotSentError{Cause: err}
	}
	d := key.digest()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.held[d] != nil:
		return nil, Claim{State: Held, Owner: c.holder}, nil
	case c.closed:
		return nil, Claim{}, &NotSentError{Cause: errClosed}
	case len(c.held) >= MaxHeldClaims:
		return nil, Claim{}, &NotSentError{Cause: errBusy}
	}
	c.sequence++
	g := &change{kind: changeClaim, key: d, sequence: c.sequence, at: now.Unix(), done: make(chan struct{})}
	c.held[d] = g
	c.enqueue(c.segmentOf(d), g)
	return g, Claim{}, nil
}

// abandon gives up an unresolved claim. It is nil when the claim was resolved.
func (c *Claims) abandon(g *change, cause error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-g.done:
		return nil
	default:
	}
	g.abandoned = true
	if !g.taken {
		return &NotSentError{Cause: cause}
	}
	return &UnresolvedError{Cause: cause}
}

// Record writes the outcome of a granted claim. It returns when the outcome is in
// the store, or with IsUnresolved when ctx ends; the write then goes on. IsNotOwner
// tells that the entry doesn't hold the claim or that its retention has ended.
func (c *Claims) Record(ctx context.Context, key Key, outcome Outcome) error {
	outcome = outcome.bounded(MaxAnswerBytes)
	return c.finish(ctx, key, changeRecord, &outcome)
}

// Release gives the claim back, so that a retry with the key can run. The caller
// makes sure that no dispatch of the request has started or will start. It returns
// like Record.
func (c *Claims) Release(ctx context.Context, key Key) error {
	return c.finish(ctx, key, changeRelease, nil)
}

// finishMetrics counts the calls of Record and Release by result.
var finishMetrics = map[changeKind]string{changeRecord: "bookingRecords", changeRelease: "bookingReleases"}

func (c *Claims) finish(ctx context.Context, key Key, kind changeKind, outcome *Outcome) error {
	g, err := c.startFinish(key.digest(), kind, outcome)
	if err != nil {
		return err
	}
	result, err := "ok", error(nil)
	select {
	case <-g.done:
		if err = g.err; err != nil {
			result = "failed"
		}
	case <-ctx.Done():
		err = &UnresolvedError{Cause: ctx.Err()}
		result = "unresolved"
	}
	c.count(finishMetrics[kind], result)
	return err
}

func (c *Claims) startFinish(d digest, kind changeKind, outcome *Outcome) (*change, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.held[d]
	if old == nil || !old.granted || old.kind != changeClaim {
		return nil, errNotHeld
	}
	g := &change{kind: kind, key: d, sequence: old.sequence, at: old.at, outcome: outcome, done: make(chan struct{})}
	c.held[d] = g
	c.enqueue(c.segmentOf(d), g)
	return g, nil
}

// take returns the segment's open changes for one write and, of these, the fresh
// ones that no earlier write held. Abandoned claims that no write held are dropped;
// others become releases. Without a change it ends the worker's use of the segment.
func (c *Claims) take(s *segment) (group, fresh []*change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := s.changes[:0]
	for _, g := range s.changes {
		if g.abandoned && g.kind == changeClaim {
			if !g.taken {
				c.resolve(g)
				continue
			}
			g.kind = changeRelease
		}
		open = append(open, g)
	}
	clear(s.changes[len(open):])
	s.changes = open
	group = append(group, open[:min(len(open), MaxBatchChanges)]...)
	for _, g := range group {
		if !g.taken {
			fresh = append(fresh, g)
		}
		g.taken = true
	}
	if len(group) == 0 {
		s.queued = false
	}
	return group, fresh
}

// untake marks fresh changes as not written, because no write was sent.
func (c *Claims) untake(fresh []*change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range fresh {
		g.taken = false
	}
}

// settle resolves the changes that have a decision. A granted claim whose caller has
// given up stays open and becomes a release.
func (c *Claims) settle(s *segment, decisions map[*change]decision) {
	if len(decisions) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	open := s.changes[:0]
	for _, g := range s.changes {
		d, ok := decisions[g]
		granted := d.claim.State == Granted
		if !ok || (granted && g.abandoned) {
			open = append(open, g)
			continue
		}
		g.claim, g.err, g.granted = d.claim, d.err, granted
		c.resolve(g)
	}
	clear(s.changes[len(open):])
	s.changes = open
}

// resolve ends a change and forgets the claim unless it was granted. The caller holds mu.
func (c *Claims) resolve(g *change) {
	if !g.granted && c.held[g.key] == g {
		delete(c.held, g.key)
	}
	close(g.done)
}
