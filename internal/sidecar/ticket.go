package sidecar

import (
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// reservations holds the tickets' rights to run from the start of a request until its run
// of this sidecar's stage. The earlier stages of the request run in between.
type reservations struct {
	tickets *booking.Tickets

	mu sync.Mutex
	// reserved maps a reservation id to its ticket and the ticket's sequence number.
	reserved map[string]reservation
}

type reservation struct {
	ticket   string
	sequence uint64
}

func newReservations(tickets *booking.Tickets) *reservations {
	return &reservations{tickets: tickets, reserved: make(map[string]reservation)}
}

// reserve consumes the ticket for one request.
func (v *reservations) reserve(r *peer.ReserveRequest) peer.ReserveReply {
	use := v.tickets.Begin(r.Ticket)
	switch use.State {
	case booking.TicketRun:
		v.mu.Lock()
		v.reserved[r.Reservation] = reservation{ticket: r.Ticket, sequence: use.Sequence}
		v.mu.Unlock()
		return peer.ReserveReply{Reserved: true}
	case booking.TicketRecorded:
		return recordedReply(use.Outcome)
	case booking.TicketRunning:
		return peer.ReserveReply{Execution: fleet.Unknown, Reason: peer.ReasonRunning}
	case booking.TicketOtherIncarnation:
		return peer.ReserveReply{Execution: fleet.Unknown, Reason: peer.ReasonIncarnationEnded}
	case booking.TicketExpired:
		return peer.ReserveReply{Execution: fleet.NotStarted, Reason: peer.ReasonTicketExpired}
	case booking.TicketsFull:
		return peer.ReserveReply{Execution: fleet.NotStarted, Reason: peer.ReasonMemoryFull}
	case booking.TicketInvalid:
		return peer.ReserveReply{Execution: fleet.NotStarted, Reason: peer.ReasonInvalidTicket}
	default:
		return peer.ReserveReply{Execution: fleet.Unknown, Reason: peer.ReasonTicketEvicted}
	}
}

func recordedReply(outcome booking.Outcome) peer.ReserveReply {
	reply := peer.ReserveReply{Execution: outcome.Execution, Reason: peer.Reason(outcome.Reason), Output: outcome.Answer}
	if outcome.Execution == fleet.Completed && reply.Reason == peer.ReasonNone && len(outcome.Answer) == 0 {
		reply.Reason = peer.ReasonOutputNotKept
	}
	return reply
}

// consume uses up the reservation named by the run. A run without a ticket needs none.
func (v *reservations) consume(r *peer.RunRequest) (uint64, peer.Reason) {
	if r.Ticket == "" {
		return 0, peer.ReasonNone
	}
	reserved, ok := v.remove(r.Reservation, r.Ticket)
	if !ok {
		return 0, peer.ReasonInvalidTicket
	}
	return reserved.sequence, peer.ReasonNone
}

// release makes the ticket usable again. A reservation that was consumed stays consumed.
func (v *reservations) release(r *peer.ReleaseRequest) {
	if reserved, ok := v.remove(r.Reservation, r.Ticket); ok {
		v.tickets.Finish(reserved.sequence, booking.Outcome{Execution: fleet.NotStarted})
	}
}

func (v *reservations) remove(id, ticket string) (reservation, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	reserved, ok := v.reserved[id]
	if !ok || reserved.ticket != ticket {
		return reservation{}, false
	}
	delete(v.reserved, id)
	return reserved, true
}

func (v *reservations) count() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.reserved)
}

// issue returns a ticket for one request of the sidecar's stage.
func (s *Sidecar) issue(r *peer.IssueRequest) peer.IssueReply {
	reply := peer.IssueReply{Load: s.load(0, 0)}
	run := &peer.RunRequest{Stage: r.Stage, Generation: r.Generation}
	if reply.Reason = s.refusalFor(run, s.Holder.Current()); reply.Reason != peer.ReasonNone {
		return reply
	}
	ticket, expiresIn, err := s.Tickets.Issue()
	if err != nil {
		s.Logger.Warn().Err(err).Msg("failed to issue a ticket")
		reply.Reason = peer.ReasonMemoryFull
		return reply
	}
	reply.Ticket, reply.ExpiresIn = ticket, expiresIn.Truncate(time.Second)
	return reply
}

// countTicket counts a decision on a ticket and logs a refusal.
func (s *Sidecar) countTicket(metric string, reason peer.Reason) {
	s.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter(metric).Inc(1)
	if reason != peer.ReasonNone {
		s.Logger.Info().Str(instance.KeyUpstream, s.id.Upstream).Str(instance.KeyReason, string(reason)).Msg("ticket refused")
	}
}
