package sidecar

import (
	"context"
	"encoding/json"
	"net/http"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

// maxStreamRequestBytes bounds the JSON form of a RunRequest with its input.
const maxStreamRequestBytes = peer.MaxMessageBytes

// stageService is the rpc service "Stage".
type stageService struct{ s *Sidecar }

// Run runs one attempt and replies with the complete answer.
func (v *stageService) Run(r *peer.RunRequest, reply *peer.RunReply) error {
	*reply = v.s.run(context.Background(), r, nil)
	return nil
}

// Cancel stops an attempt.
func (v *stageService) Cancel(r *peer.CancelRequest, _ *peer.Empty) error {
	v.s.cancel(r.Attempt)
	return nil
}

// Resolve returns the outcome of an attempt.
func (v *stageService) Resolve(r *peer.ResolveRequest, reply *peer.RunReply) error {
	*reply = v.s.resolve(r)
	return nil
}

// Describe returns the load and the incarnation.
func (v *stageService) Describe(_ *peer.Empty, reply *peer.Load) error {
	*reply = v.s.load(0, 0)
	return nil
}

// ticketService is the rpc service "Ticket".
type ticketService struct{ s *Sidecar }

// Issue returns a new ticket.
func (v *ticketService) Issue(r *peer.IssueRequest, reply *peer.IssueReply) error {
	*reply = v.s.issue(r)
	v.s.countTicket("ticketsIssued", reply.Reason)
	return nil
}

// Reserve consumes the right to run under a ticket.
func (v *ticketService) Reserve(r *peer.ReserveRequest, reply *peer.ReserveReply) error {
	*reply = v.s.reservations.reserve(r)
	v.s.countTicket("ticketsReserved", reply.Reason)
	return nil
}

// Release cancels a reservation and makes its ticket usable again.
func (v *ticketService) Release(r *peer.ReleaseRequest, _ *peer.Empty) error {
	v.s.reservations.release(r)
	return nil
}

// Register registers the sidecar's services on the peer listener.
func (s *Sidecar) Register(server *peer.Server) error {
	if err := server.Register("Stage", &stageService{s: s}); err != nil {
		return err
	}
	if err := server.Register("Ticket", &ticketService{s: s}); err != nil {
		return err
	}
	if err := server.Register("Engine", &engineService{s: s}); err != nil {
		return err
	}
	server.Handle("POST "+peer.StreamPath, http.HandlerFunc(s.serveStream))
	return nil
}

// serveStream runs one attempt, sends the chunks of its answer as they arrive and then the
// reply. A stage that is not idempotent sends only the reply.
func (s *Sidecar) serveStream(w http.ResponseWriter, r *http.Request) {
	var run peer.RunRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStreamRequestBytes)).Decode(&run); err != nil {
		http.Error(w, "malformed run request: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	reply := s.run(r.Context(), &run, func(c engine.Chunk) error {
		if err := enc.Encode(peer.StreamFrame{Text: c.Text}); err != nil {
			return err
		}
		return flusher.Flush()
	})
	if err := enc.Encode(peer.StreamFrame{Reply: &reply}); err != nil {
		s.Logger.Debug().Err(err).Msg("client closed the stream before its last frame")
	}
}
