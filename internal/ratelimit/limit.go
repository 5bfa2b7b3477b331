package ratelimit

import (
	"math"
	"time"
)

const (
	// minRate is the least rate, in requests a second, at which an upstream is asked that states a
	// lower one: only its answers tell that the limit has ended.
	minRate = 0.25
	// maxRate bounds a stated rate. A higher one limits nothing.
	maxRate = 1e6
	// staleTime is how long ago the latest answer was when an upstream should be asked again.
	staleTime = 2 * time.Second
	// reservationTime is how long a turn that was taken for a request may wait for its connection.
	reservationTime = minGrantTime
	// endMemory is how long the end of a limit is remembered, so that other gateways, which may hear
	// of the limit later than of its end, learn of both in order.
	endMemory = 10 * time.Second
	// reportedChange is the relative change of a limit from which on it counts as another one.
	reportedChange = 0.1
)

// Answer is what one answer of an upstream says of its limit.
type Answer struct {
	// Read is when the answer was read, and Sent when the request was written that it belongs to;
	// zero if that isn't known.
	Read, Sent time.Time
	// PerSecond is the number of requests a second that the upstream takes from all gateways
	// together, if IsStated.
	PerSecond float64
	IsStated  bool
}

// Statement is the latest known statement of an upstream: a limit, or that it has ended.
type Statement struct {
	PerSecond float64
	IsLimited bool
	// At is when the statement was read, by whichever gateway.
	At time.Time
}

// Change is how a statement changes the one before.
type Change int

// Changes.
const (
	// Unchanged statements repeat the one before, or are older.
	Unchanged Change = iota
	// Stated limits are new or differ from the one before.
	Stated
	// Ended limits are stated no more.
	Ended
)

// Limit is what is known of the limit of one start of an upstream, and its turns. The zero value is
// without a limit.
type Limit struct {
	stated Statement
	turns  Turns
	// reported is the rate that the last Stated change had.
	reported float64
}

// Reservation is the turn of one request.
type Reservation struct {
	// takenAt is when the turn was taken; zero if there is none.
	takenAt time.Time
}

// IsActive reports whether a limit is in force.
func (l *Limit) IsActive() bool { return l.stated.IsLimited }

// Statement returns the latest known statement.
func (l *Limit) Statement() Statement { return l.stated }

// Observe records an answer. An answer without a limit ends one only if its request was written
// after the limit was stated last: answers overtake each other.
func (l *Limit) Observe(a Answer) Change {
	if a.IsStated {
		return l.set(Statement{PerSecond: a.PerSecond, IsLimited: true, At: a.Read})
	}
	if !l.stated.IsLimited || !a.Sent.After(l.stated.At) {
		return Unchanged
	}
	return l.set(Statement{At: a.Read})
}

// Adopt records a statement that another gateway knows. The later one of two statements holds.
func (l *Limit) Adopt(s Statement) Change {
	if !s.At.After(l.stated.At) {
		return Unchanged
	}
	if !s.IsLimited && !l.stated.IsLimited {
		// It outlasts an earlier limit that is heard of later.
		l.stated = s
		return Unchanged
	}
	return l.set(s)
}

func (l *Limit) set(s Statement) Change {
	before := l.stated
	s.PerSecond = min(max(s.PerSecond, 0), maxRate)
	l.stated = s
	switch {
	case !s.IsLimited:
		return Ended
	case !before.IsLimited || math.Abs(s.PerSecond-l.reported) > reportedChange*l.reported:
		l.reported = s.PerSecond
		return Stated
	}
	return Unchanged
}

// rate returns the rate that is split between the gateways.
func (l *Limit) rate() float64 { return max(l.stated.PerSecond, minRate) }

// Rate returns the part of the limit that belongs to the share, in requests a second.
func (l *Limit) Rate(share Share) float64 { return l.rate() / float64(max(share.Count, 1)) }

// Next returns when the next turn of this gateway begins, and whether that is now.
func (l *Limit) Next(now time.Time, key string, share Share) (time.Time, bool) {
	if !l.IsActive() {
		return now, true
	}
	return l.turns.Next(now, key, l.rate(), share)
}

// Reserve takes a turn for a request that was placed, if there is a limit and a turn now.
func (l *Limit) Reserve(now time.Time, key string, share Share) Reservation {
	if !l.IsActive() || !l.turns.Take(now, key, l.rate(), share) {
		return Reservation{}
	}
	return Reservation{takenAt: now}
}

// Admit reports whether a request may be written now, by its reservation or by a turn that it
// takes. A reservation is used once and holds for a short time: a request that waited for its
// connection would arrive beside those of the next turns.
func (l *Limit) Admit(now time.Time, key string, share Share, r *Reservation) bool {
	takenAt := r.takenAt
	r.takenAt = time.Time{}
	if !l.IsActive() || !takenAt.IsZero() && now.Sub(takenAt) < reservationTime {
		return true
	}
	return l.turns.Take(now, key, l.rate(), share)
}

// IsStale reports whether no answer of the limited upstream is known of late, so that it should be
// asked again: it may have ended its limit.
func (l *Limit) IsStale(now time.Time) bool {
	return l.IsActive() && now.Sub(l.stated.At) >= staleTime
}

// IsNews reports whether other gateways should be told of the latest statement.
func (l *Limit) IsNews(now time.Time) bool { return l.IsActive() || now.Before(l.NewsUntil()) }

// NewsUntil returns until when other gateways should be told of the latest statement, if it isn't a
// limit in force.
func (l *Limit) NewsUntil() time.Time { return l.stated.At.Add(endMemory) }
