package booking

import (
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// TicketState is the answer to Begin.
type TicketState int

const (
	// TicketRun lets the caller run the request; it calls Finish afterwards.
	TicketRun TicketState = iota + 1
	// TicketRecorded comes with the outcome of the run.
	TicketRecorded
	// TicketRunning says that the request runs: unknown.
	TicketRunning
	// TicketOtherIncarnation says that another incarnation issued the ticket: unknown.
	TicketOtherIncarnation
	// TicketExpired says that the ticket was not used in time and never will: notStarted.
	TicketExpired
	// TicketEvicted says that the ticket may have been used: unknown.
	TicketEvicted
	// TicketsFull says that the memory is full: notStarted, and the ticket can be used later.
	TicketsFull
	// TicketInvalid says that the ticket was not issued for the stage: notStarted.
	TicketInvalid
)

// TicketUse is the answer to Begin.
type TicketUse struct {
	State TicketState
	// Sequence is for Finish.
	Sequence uint64
	// Outcome is set when State is TicketRecorded.
	Outcome Outcome
}

// Issue returns a new ticket and the time in which it must first be used.
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

// Begin consumes the right to run the ticket's request, or says what became of it.
// The caller contacts its upstream only after TicketRun.
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
	case parsed.Sequence <= t.forgotten:
		return TicketUse{State: TicketEvicted}
	default:
		return TicketUse{State: TicketExpired}
	}
}

func (t *Tickets) use(sequence uint64, issuedAt, now time.Time) TicketUse {
	for t.bytes+ticketOverhead > t.cfg.MaxBytes {
		if !t.evict(now) {
			return TicketUse{State: TicketsFull}
		}
	}
	u := &usedTicket{sequence: sequence, issuedAt: issuedAt, usedAt: now}
	u.element = t.order.PushBack(u)
	t.used[sequence] = u
	t.bytes += u.size()
	return TicketUse{State: TicketRun, Sequence: sequence}
}

// Finish records the outcome of a ticket that Begin let run. With execution
// NotStarted the ticket can be used again; the caller makes sure that its run never
// contacted the upstream and never will.
func (t *Tickets) Finish(sequence uint64, outcome Outcome) {
	outcome = outcome.bounded(MaxAnswerBytes)
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
	for t.bytes > t.cfg.MaxBytes && t.evict(now) {
		continue
	}
	if t.bytes > t.cfg.MaxBytes && t.used[sequence] == u {
		t.bytes -= u.size()
		u.outcome = u.outcome.withoutAnswer()
		t.bytes += u.size()
	}
}

// sweep forgets the outcomes whose retention has ended.
func (t *Tickets) sweep(now time.Time) {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		u, _ := e.Value.(*usedTicket)
		if now.Sub(u.usedAt) <= Retention || !u.isForgettable(now) {
			return
		}
		t.forget(u)
	}
}

// evict forgets the ticket used first among those that can be forgotten. It is
// false when there is none.
func (t *Tickets) evict(now time.Time) bool {
	for e := t.order.Front(); e != nil; e = e.Next() {
		u, _ := e.Value.(*usedTicket)
		if u.isForgettable(now) {
			t.forget(u)
			return true
		}
		if now.Sub(u.usedAt) <= TicketLifetime && now.Sub(u.issuedAt) <= TicketLifetime {
			// Those after it were used later; they can only be a few that were issued earlier.
			return false
		}
	}
	return false
}

func (t *Tickets) forget(u *usedTicket) {
	t.forgotten = max(t.forgotten, u.sequence)
	t.remove(u)
}

func (t *Tickets) remove(u *usedTicket) {
	t.order.Remove(u.element)
	delete(t.used, u.sequence)
	t.bytes -= u.size()
}

// TicketsState counts the tickets for a dump.
type TicketsState struct {
	Issued uint64 `json:"issued"`
	Used   int    `json:"used"`
	Bytes  int    `json:"bytes"`
}

// State returns the counts.
func (t *Tickets) State() TicketsState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TicketsState{Issued: t.sequence, Used: len(t.used), Bytes: t.bytes}
}
