package booking

import (
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// TicketState is the state returned by Begin.
type TicketState int

const (
	// TicketRun allows the caller to run the request and to call Finish afterwards.
	TicketRun TicketState = iota + 1
	// TicketRecorded comes with the outcome of the run.
	TicketRecorded
	// TicketRunning means that the request is running: unknown.
	TicketRunning
	// TicketOtherIncarnation means that another incarnation issued the ticket: unknown.
	TicketOtherIncarnation
	// TicketExpired means that the ticket was not used within TicketLifetime and never
	// will be: notStarted.
	TicketExpired
	// TicketEvicted means that the ticket may have been used and its record evicted:
	// unknown.
	TicketEvicted
	// TicketsFull means that the memory limit is reached: notStarted, and the ticket can
	// be used later.
	TicketsFull
	// TicketInvalid means that the ticket was not issued for the stage: notStarted.
	TicketInvalid
)

// TicketUse is the result of Begin.
type TicketUse struct {
	State TicketState
	// Sequence identifies the ticket in the call of Finish.
	Sequence uint64
	// Outcome is set when State is TicketRecorded.
	Outcome Outcome
}

// Issue returns a new ticket and the time within which it must first be used.
func (t *Tickets) Issue() (string, time.Duration, error) {
	t.mu.Lock()
	t.sequence++
	n := t.sequence
	t.mu.Unlock()
	ticket := Ticket{
		Address:     t.cfg.Address,
		Incarnation: t.cfg.Incarnation,
		Stage:       t.cfg.Stage,
		Sequence:    n,
		IssuedAt:    t.clock.now().UnixMilli(),
	}
	s, err := ticket.encode(t.cfg.Secret)
	return s, TicketLifetime, err
}

// Begin consumes the right to run the ticket's request, or returns the state of an earlier
// use. The caller contacts its upstream only after TicketRun.
func (t *Tickets) Begin(ticket string) TicketUse {
	parsed, err := ParseTicket(t.cfg.Secret, ticket)
	switch {
	case err != nil || parsed.Stage != t.cfg.Stage:
		return TicketUse{State: TicketInvalid}
	case parsed.Incarnation != t.cfg.Incarnation:
		return TicketUse{State: TicketOtherIncarnation}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.now()
	t.sweep(now)
	if u, ok := t.used[parsed.Sequence]; ok {
		if !u.finished {
			return TicketUse{State: TicketRunning}
		}
		return TicketUse{State: TicketRecorded, Outcome: u.outcome}
	}
	issuedAt := time.UnixMilli(parsed.IssuedAt)
	switch {
	case now.Sub(issuedAt) <= TicketLifetime:
		return t.use(parsed.Sequence, issuedAt, now)
	case parsed.Sequence <= t.highestEvicted:
		return TicketUse{State: TicketEvicted}
	default:
		return TicketUse{State: TicketExpired}
	}
}

func (t *Tickets) use(sequence uint64, issuedAt, now time.Time) TicketUse {
	for t.bytes+ticketOverhead > t.cfg.MaxBytes {
		if !t.evictOldest(now) {
			return TicketUse{State: TicketsFull}
		}
	}
	u := &usedTicket{sequence: sequence, issuedAt: issuedAt, usedAt: now}
	u.element = t.byFirstUse.PushBack(u)
	t.used[sequence] = u
	t.bytes += u.size()
	return TicketUse{State: TicketRun, Sequence: sequence}
}

// Finish records the outcome of a ticket for which Begin returned TicketRun. After the
// execution NotStarted the ticket can be used again; the caller ensures that its run never
// contacted the upstream and never will.
func (t *Tickets) Finish(sequence uint64, outcome Outcome) {
	outcome = outcome.withBoundedAnswer(MaxAnswerBytes)
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.used[sequence]
	if !ok || u.finished {
		return
	}
	if outcome.Execution == fleet.NotStarted {
		t.remove(u)
		return
	}
	t.bytes -= u.size()
	u.finished, u.outcome = true, outcome
	t.bytes += u.size()
	now := t.clock.now()
	for t.bytes > t.cfg.MaxBytes && t.evictOldest(now) {
		continue
	}
	if t.bytes > t.cfg.MaxBytes && t.used[sequence] == u {
		t.bytes -= u.size()
		u.outcome = u.outcome.withoutAnswer()
		t.bytes += u.size()
	}
}

// sweep evicts the tickets whose retention has ended.
func (t *Tickets) sweep(now time.Time) {
	for e := t.byFirstUse.Front(); e != nil; e = t.byFirstUse.Front() {
		u, _ := e.Value.(*usedTicket)
		if now.Sub(u.usedAt) <= Retention || !u.isEvictable(now) {
			return
		}
		t.evict(u)
	}
}

// evictOldest evicts the evictable ticket that was used first. It returns false when there
// is none.
func (t *Tickets) evictOldest(now time.Time) bool {
	for e := t.byFirstUse.Front(); e != nil; e = e.Next() {
		u, _ := e.Value.(*usedTicket)
		if u.isEvictable(now) {
			t.evict(u)
			return true
		}
		if now.Sub(u.usedAt) <= TicketLifetime && now.Sub(u.issuedAt) <= TicketLifetime {
			// The search stops here: the tickets that follow were used later, so all but a
			// few of them were also issued later and can't be evicted yet either. The first
			// condition follows from the second, as a ticket is used after its issue.
			return false
		}
	}
	return false
}

func (t *Tickets) evict(u *usedTicket) {
	t.highestEvicted = max(t.highestEvicted, u.sequence)
	t.remove(u)
}

func (t *Tickets) remove(u *usedTicket) {
	t.byFirstUse.Remove(u.element)
	delete(t.used, u.sequence)
	t.bytes -= u.size()
}

// TicketsState holds the counts of tickets for a dump.
type TicketsState struct {
	Issued uint64 `json:"issued"`
	Used   int    `json:"used"`
	Bytes  int    `json:"bytes"`
}

// State returns the current counts.
func (t *Tickets) State() TicketsState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TicketsState{Issued: t.sequence, Used: len(t.used), Bytes: t.bytes}
}
