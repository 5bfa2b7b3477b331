package booking

import "context"

// Claim consumes the right to run the request of the key, or returns its owner. After an
// error the entry must not run the request and may reply notStarted, except after
// IsKeyExpired, which means unknown. The errors are IsKeyExpired, IsFull, IsNotSent and
// IsUnresolved. After a grant the entry checks its deadline again and then calls Record or
// Release exactly once.
func (c *Claims) Claim(ctx context.Context, key Key) (Claim, error) {
	claim, err := c.claim(ctx, key)
	result := claimResult(claim, err)
	c.count("bookingClaims", result)
	if err != nil {
		c.logger.Warn().Err(err).Str("key", key.String()).Str("organisation", key.Organisation).Str("reason", result).Msg("claim refused")
	}
	return claim, err
}

func (c *Claims) claim(ctx context.Context, key Key) (Claim, error) {
	ch, claim, err := c.startClaim(ctx, key)
	if ch == nil {
		return claim, err
	}
	select {
	case <-ch.done:
	case <-ctx.Done():
		if err := c.abandon(ch, ctx.Err()); err != nil {
			return Claim{}, err
		}
	}
	if ch.err != nil {
		return Claim{}, ch.err
	}
	return ch.claim, nil
}

// claimResult returns the metric tag for the result of a claim.
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

// startClaim enqueues a claim, or returns a nil change and the result if it is known
// already.
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
	case c.owned[d] != nil:
		return nil, Claim{State: Held, Owner: c.owner}, nil
	case c.closed:
		return nil, Claim{}, &NotSentError{Cause: errClosed}
	case len(c.owned) >= MaxOwnedClaims:
		return nil, Claim{}, &NotSentError{Cause: errTooManyClaims}
	}
	c.sequence++
	ch := &change{kind: changeClaim, key: d, sequence: c.sequence, at: now.Unix(), done: make(chan struct{})}
	c.owned[d] = ch
	c.enqueue(c.segmentOf(d), ch)
	return ch, Claim{}, nil
}

// abandon marks an unresolved claim as abandoned and returns the reason. It returns nil
// when the claim has been resolved.
func (c *Claims) abandon(ch *change, cause error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-ch.done:
		return nil
	default:
	}
	ch.abandoned = true
	if !ch.maybeWritten {
		return &NotSentError{Cause: cause}
	}
	return &UnresolvedError{Cause: cause}
}

// Record writes the outcome of a granted claim. It returns when the outcome is in the
// store, or with IsUnresolved when ctx ends; the write then continues. IsNotOwner means
// that the entry does not own the claim or that its retention has ended.
func (c *Claims) Record(ctx context.Context, key Key, outcome Outcome) error {
	outcome = outcome.withBoundedAnswer(MaxAnswerBytes)
	return c.finish(ctx, key, changeOutcome, &outcome)
}

// Release removes the claim, so that a retry with the key can run. The caller ensures that
// no dispatch of the request has started or will start. It returns like Record.
func (c *Claims) Release(ctx context.Context, key Key) error {
	return c.finish(ctx, key, changeRelease, nil)
}

// finishMetrics are the counters of Record and Release calls by result.
var finishMetrics = map[changeKind]string{changeOutcome: "bookingRecords", changeRelease: "bookingReleases"}

func (c *Claims) finish(ctx context.Context, key Key, kind changeKind, outcome *Outcome) error {
	ch, err := c.startFinish(key.digest(), kind, outcome)
	if err != nil {
		return err
	}
	result, err := "ok", error(nil)
	select {
	case <-ch.done:
		if err = ch.err; err != nil {
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
	old := c.owned[d]
	if old == nil || !old.granted || old.kind != changeClaim {
		return nil, errNotOwner
	}
	ch := &change{kind: kind, key: d, sequence: old.sequence, at: old.at, outcome: outcome, done: make(chan struct{})}
	c.owned[d] = ch
	c.enqueue(c.segmentOf(d), ch)
	return ch, nil
}

// nextBatch returns the segment's pending changes for one write and, of these, the ones
// that no earlier write contained. Abandoned claims that no write contained are dropped;
// other abandoned claims become releases. Without pending changes the segment is no longer
// scheduled.
func (c *Claims) nextBatch(s *segment) (batch, unsent []*change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := s.pending[:0]
	for _, ch := range s.pending {
		if ch.abandoned && ch.kind == changeClaim {
			if !ch.maybeWritten {
				c.resolve(ch)
				continue
			}
			ch.kind = changeRelease
		}
		open = append(open, ch)
	}
	clear(s.pending[len(open):])
	s.pending = open
	batch = append(batch, open[:min(len(open), MaxBatchChanges)]...)
	for _, ch := range batch {
		if !ch.maybeWritten {
			unsent = append(unsent, ch)
		}
		ch.maybeWritten = true
	}
	if len(batch) == 0 {
		s.scheduled = false
	}
	return batch, unsent
}

// markUnwritten marks the changes as not written, because no write with them took effect.
func (c *Claims) markUnwritten(unsent []*change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range unsent {
		ch.maybeWritten = false
	}
}

// resolveDecided resolves the changes that have a decision. A granted claim that was
// abandoned stays pending and becomes a release.
func (c *Claims) resolveDecided(s *segment, decisions map[*change]decision) {
	if len(decisions) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	open := s.pending[:0]
	for _, ch := range s.pending {
		d, ok := decisions[ch]
		granted := d.claim.State == Granted
		if !ok || (granted && ch.abandoned) {
			open = append(open, ch)
			continue
		}
		ch.claim, ch.err, ch.granted = d.claim, d.err, granted
		c.resolve(ch)
	}
	clear(s.pending[len(open):])
	s.pending = open
}

// resolve completes a change. It drops the entry's record of the claim, except after a
// granted changeClaim. The caller holds mu.
func (c *Claims) resolve(ch *change) {
	if !ch.granted && c.owned[ch.key] == ch {
		delete(c.owned, ch.key)
	}
	close(ch.done)
}
