package intake

import (
	"context"
	"time"
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// Share is what one request or response holds of a budget. Its zero value holds nothing; Open must
// be called before Take. One goroutine uses a share; others only make it yield.
type Share struct {
	budget *Budget
	// setDeadline ends the read or write that the share is held for. It is nil while the share
	// doesn't yield.
	setDeadline func(time.Time) error
	isResponse  bool
	ordinary    int64
	bulk        int64

	// The following are guarded by the budget's mu.

	prev, next *Share
	// movedAt is when the share took memory last, and held what it held then.
	movedAt time.Time
	held    int64
	yielded bool
}

// Open attaches the share to the budget.
func (s *Share) Open(b *Budget) { s.budget = b }

// IsOpen reports whether the share is attached to a budget.
func (s *Share) IsOpen() bool { return s.budget != nil }

// AllowYield lets the share yield from the next Take on, until it is settled. setDeadline sets the
// deadline of the connection that the share is held for.
func (s *Share) AllowYield(setDeadline func(time.Time) error) { s.setDeadline = setDeadline }

// BeginWrite lets the share of a response yield from now on, until it is settled: it is being written
// to its caller. setDeadline is that of AllowYield.
func (s *Share) BeginWrite(setDeadline func(time.Time) error) {
	if s.ordinary == 0 {
		return
	}
	s.setDeadline, s.isResponse = setDeadline, true
	// A share that could not yield before has not yielded.
	_ = s.move(time.Now())
}

// RecordWrite records that the caller has read on since BeginWrite or the last call.
func (s *Share) RecordWrite() {
	// The write of the next part fails if the share has yielded.
	_ = s.move(time.Now())
}

// Take takes n bytes, and waits a moment if there are none. The error is ErrSpent, ErrYielded or
// that of ctx.
func (s *Share) Take(ctx context.Context, n int64) error {
	ordinary, bulk := s.split(n)
	if ordinary > 0 {
		if err := s.takeFrom(ctx, s.budget.ordinary, ordinary); err != nil {
			return err
		}
		s.ordinary += ordinary
	}
	if bulk > 0 {
		if err := s.takeFrom(ctx, s.budget.bulk, bulk); err != nil {
			return err
		}
		s.bulk += bulk
	}
	return s.move(time.Now())
}

// TakeWhole takes n bytes that are needed all together. If they aren't free, a share that stays small
// waits as Take does, until stalled ones have yielded. A larger one is refused at once: waiting for bulk
// memory, it would keep ordinary memory from others. The error is that of Take.
func (s *Share) TakeWhole(ctx context.Context, n int64) error {
	switch {
	case s.TryTake(n):
		return nil
	case s.ordinary+s.bulk+n > smallBytes:
		return ErrSpent
	}
	return s.Take(ctx, n)
}

// TryTake takes n bytes if they are free.
func (s *Share) TryTake(n int64) bool {
	ordinary, bulk := s.split(n)
	if ordinary > 0 && !s.budget.ordinary.tryTake(ordinary) {
		return false
	}
	if bulk > 0 && !s.budget.bulk.tryTake(bulk) {
		s.budget.ordinary.giveBack(ordinary)
		return false
	}
	s.ordinary, s.bulk = s.ordinary+ordinary, s.bulk+bulk
	return s.move(time.Now()) == nil
}

// split returns how much of n bytes is taken from each part of the budget.
func (s *Share) split(n int64) (ordinary, bulk int64) {
	ordinary = min(n, max(0, smallBytes-s.ordinary))
	return ordinary, n - ordinary
}

// takeFrom takes n bytes, if need be once stalled shares have yielded them. The share itself
// isn't stalled meanwhile.
func (s *Share) takeFrom(ctx context.Context, p *pool, n int64) error {
	if p.tryTake(n) {
		return nil
	}
	if err := s.Settle(); err != nil {
		return err
	}
	for end := time.Now().Add(maxWait); time.Now().Before(end); {
		s.budget.yieldStalled(time.Now(), p, n)
		if err := p.take(ctx, n, waitStep); err == nil {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return ErrSpent
}

// move records progress, after which the share is the last one to yield.
func (s *Share) move(now time.Time) error {
	if s.setDeadline == nil {
		return nil
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.yielded {
		return ErrYielded
	}
	s.movedAt, s.held = now, s.ordinary+s.bulk
	switch {
	case s.isResponse:
		b.responses.moveBack(s)
	case s.bulk > 0:
		b.bulk.stalled.moveBack(s)
	default:
		b.ordinary.stalled.moveBack(s)
	}
	return nil
}

// Settle ends the time in which the share may yield. The error is ErrYielded if it has yielded.
func (s *Share) Settle() error {
	if s.budget == nil || s.setDeadline == nil {
		return nil
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	s.unlink()
	if s.yielded {
		return ErrYielded
	}
	return nil
}

// Release gives everything back. The share may be opened again.
func (s *Share) Release() {
	if s.budget == nil {
		return
	}
	_ = s.Settle()
	s.budget.ordinary.giveBack(s.ordinary)
	s.budget.bulk.giveBack(s.bulk)
	*s = Share{}
}

// yield makes the share yield if it is stalled, and returns the bytes that it holds, or 0 if it isn't.
// The caller holds mu.
func (s *Share) yield(now time.Time) (bytes int64) {
	if s == nil {
		return 0
	}
	limit := stallTime
	if s.isResponse {
		limit = responseStallTime
	}
	if now.Sub(s.movedAt) < limit {
		return 0
	}
	s.unlink()
	s.yielded = true
	// A connection that is closed already ends what the share is held for as well.
	_ = s.setDeadline(expired)
	return max(1, s.held)
}

// unlink removes the share from its list, if it is in one.
func (s *Share) unlink() {
	if s.next == nil {
		return
	}
	s.prev.next, s.next.prev = s.next, s.prev
	s.prev, s.next = nil, nil
}

// shareList is a list of shares, which are its elements.
type shareList struct{ root Share }

func (l *shareList) init() { l.root.prev, l.root.next = &l.root, &l.root }

func (l *shareList) front() *Share {
	if l.root.next == &l.root {
		return nil
	}
	return l.root.next
}

func (l *shareList) moveBack(s *Share) {
	s.unlink()
	s.prev, s.next = l.root.prev, &l.root
	s.prev.next, l.root.prev = s, s
}
