package booking

import (
	"container/list"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// attemptIDLength is the length of an attempt id: 12 hexadecimal digits with the deadline
// in milliseconds since 1970, a hyphen and 32 random hexadecimal digits.
const attemptIDLength = 12 + 1 + 32

// NewAttemptID returns an attempt id that contains the deadline of the request. An entry
// uses the one deadline that it set when the request arrived for all attempts of the
// request. A sidecar refuses to begin an attempt more than AttemptClockMargin after the
// deadline, however long its message was delayed.
func NewAttemptID(deadline time.Time, rng *rand.Rand) string {
	ms := max(0, deadline.UnixMilli()) & (1<<48 - 1)
	return fmt.Sprintf("%012x-%016x%016x", ms, rng.Uint64(), rng.Uint64())
}

func parseAttemptID(id string) (time.Time, error) {
	if len(id) != attemptIDLength || id[12] != '-' {
		return time.Time{}, errInvalidAttempt
	}
	ms, err := strconv.ParseUint(id[:12], 16, 48)
	if err != nil {
		return time.Time{}, errInvalidAttempt
	}
	if _, err := hex.DecodeString(id[13:]); err != nil {
		return time.Time{}, errInvalidAttempt
	}
	return time.UnixMilli(int64(ms)), nil
}

// Attempts records the attempts of one sidecar incarnation in memory. It is safe for
// concurrent use. An attempt is removed only when it can no longer begin.
type Attempts struct {
	incarnation string
	maxAttempts int
	maxBytes    int
	clock       clock

	mu       sync.Mutex
	attempts map[string]*attempt
	// byExpiry lists the attempt ids by the second since 1970 from which they can no
	// longer begin. Attempts still running then are listed under the second after the
	// sweep that found them. The map has at most one element per second, over
	// MaxDeadlineAhead plus AttemptClockMargin.
	byExpiry  map[int64][]string
	lastSweep int64
	// answers lists the finished attempts that have an answer, oldest first.
	answers *list.List
	bytes   int
}

type attempt struct {
	// finished is false while the attempt may be running.
	finished bool
	outcome  Outcome
	answer   *list.Element
}

// AttemptsConfig sets the memory limits; zero values mean MaxAttempts and MaxAttemptBytes.
type AttemptsConfig struct {
	Incarnation string
	MaxAttempts int
	// MaxBytes bounds the total size of the answers.
	MaxBytes int
}

// NewAttempts returns an empty table for the incarnation.
func NewAttempts(cfg AttemptsConfig) *Attempts {
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = MaxAttempts
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = MaxAttemptBytes
	}
	return &Attempts{
		incarnation: cfg.Incarnation,
		maxAttempts: cfg.MaxAttempts,
		maxBytes:    cfg.MaxBytes,
		attempts:    make(map[string]*attempt),
		byExpiry:    make(map[int64][]string),
		answers:     list.New(),
	}
}

// expiry returns the second since 1970 from which the attempt can no longer begin.
func expiry(deadline time.Time) int64 { return deadline.Add(AttemptClockMargin).Unix() + 1 }

// sweep removes, at most once a second, the attempts that can no longer begin and are not
// running. The caller holds mu.
func (a *Attempts) sweep(now int64) {
	if a.lastSweep == now {
		return
	}
	a.lastSweep = now
	for second, ids := range a.byExpiry {
		if second >= now {
			continue
		}
		delete(a.byExpiry, second)
		for _, id := range ids {
			a.expire(id, now)
		}
	}
}

// expire removes a finished attempt and reschedules the check of a running one.
func (a *Attempts) expire(id string, now int64) {
	t := a.attempts[id]
	if !t.finished {
		a.byExpiry[now+1] = append(a.byExpiry[now+1], id)
		return
	}
	a.dropAnswer(t)
	delete(a.attempts, id)
}

func (a *Attempts) dropAnswer(t *attempt) {
	if t.answer == nil {
		return
	}
	a.bytes -= len(t.outcome.Answer)
	t.outcome = t.outcome.withoutAnswer()
	a.answers.Remove(t.answer)
	t.answer = nil
}

// isRevoked reports whether the attempt has finished as not started and so never begins.
func (t *attempt) isRevoked() bool { return t.finished && t.outcome.Execution == fleet.NotStarted }
