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

// attemptIDLength is the length of an attempt id: 12 hexadecimal digits of the
// deadline in milliseconds since 1970, a hyphen and 32 random hexadecimal digits.
const attemptIDLength = 12 + 1 + 32

// NewAttemptID returns the id of an attempt of a request with the deadline. An entry
// makes the ids of a request from the one deadline that it set when the request
// arrived: a sidecar lets no attempt begin once the deadline is over by more than
// AttemptClockMargin, however late its message comes.
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

// Attempts remembers the attempts of one sidecar incarnation. It is safe for
// concurrent use. An attempt is forgotten only when it can't begin any more.
type Attempts struct {
	incarnation string
	maxAttempts int
	maxBytes    int
	clock       clock

	mu       sync.Mutex
	attempts map[string]*attempt
	// byExpiry holds the ids that can't begin any more after a second since 1970. It has
	// at most one entry for each second of MaxDeadlineAhead and AttemptClockMargin.
	byExpiry map[int64][]string
	swept    int64
	// answers holds the finished attempts with an answer, the oldest first.
	answers *list.List
	bytes   int
}

type attempt struct {
	// finished is false while the attempt may run.
	finished bool
	outcome  Outcome
	answer   *list.Element
}

// AttemptsConfig bounds the memory; zero values take MaxAttempts and MaxAttemptBytes.
type AttemptsConfig struct {
	Incarnation string
	MaxAttempts int
	// MaxBytes bounds the answers.
	MaxBytes int
}

// NewAttempts returns an empty memory of the incarnation.
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

// expiry is when an attempt can't begin any more, in seconds since 1970.
func expiry(deadline time.Time) int64 { return deadline.Add(AttemptClockMargin).Unix() + 1 }

// sweep forgets, once a second, the attempts that can't begin any more and aren't
// running. The caller holds mu.
func (a *Attempts) sweep(now int64) {
	if a.swept == now {
		return
	}
	a.swept = now
	for second, ids := range a.byExpiry {
		if second >= now {
			continue
		}
		delete(a.byExpiry, second)
		for _, id := range ids {
			a.forget(id, now)
		}
	}
}

// forget removes a finished attempt; a running one is looked at again later.
func (a *Attempts) forget(id string, now int64) {
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

// isFinal reports whether nothing more can become of the attempt.
func (t *attempt) isFinal() bool { return t.finished && t.outcome.Execution == fleet.NotStarted }
