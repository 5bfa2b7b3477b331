package entry

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/routing"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// bindingSeparator separates a sidecar's ticket from the MAC that binds it to one
// organisation and pipeline.
const bindingSeparator = "~"

// reservedTicket is a ticket that reserves one run of the last stage at the sidecar that
// issued it.
type reservedTicket struct {
	ticket      string
	reservation string
	address     string
	incarnation string
	// upstream is the name of the sidecar's upstream, or empty if it is not known.
	upstream string
}

// TicketAnswer is the response body for an issued ticket.
type TicketAnswer struct {
	Ticket string `json:"ticket"`
	// ExpiresInSeconds is the time within which the ticket must be used for the first time.
	ExpiresInSeconds int64 `json:"expiresInSeconds"`
}

// serveTicket issues a ticket for one request of a pipeline.
func (e *Entry) serveTicket(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	id := e.nextID()
	req, failure := e.authorise(r, e.Holder.Current())
	if failure != nil {
		e.writeFailure(w, r, id, req, failure, received)
		return
	}
	req.id, req.deadline = id, received.Add(req.pipeline.Deadline())
	ticket, failure := e.issueTicket(r.Context(), req)
	if failure != nil {
		e.writeFailure(w, r, id, req, failure, received)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(ticket); err != nil {
		e.Logger.Debug().Err(err).Str("request", id).Msg("writing the response failed; the caller disconnected")
	}
}

// issueTicket requests a ticket from sidecars of the last stage until one issues it.
func (e *Entry) issueTicket(ctx context.Context, req *request) (*TicketAnswer, *RequestError) {
	stage := req.lastStage()
	if stage.Idempotent {
		return nil, refused(http.StatusConflict, "ticketNotNeeded", "requests of pipeline %q may be repeated and need no ticket", req.pipeline.Name)
	}
	run := &stageRun{req: req, stage: stage}
	for n := 0; n < MaxAttempts+run.uncounted; n++ {
		choice, err := e.Table.Pick(routing.PickRequest{Stage: stage.Name, Exclude: run.tried, Timeout: reserveTimeout, AvoidWarming: true})
		if err != nil {
			return nil, run.noUpstreamFailure(err)
		}
		run.tried = append(run.tried, choice.Name())
		reply, err := e.issueAt(ctx, req, stage, choice)
		if err == nil && reply.Reason == peer.ReasonNone {
			return &TicketAnswer{Ticket: e.bind(reply.Ticket, req), ExpiresInSeconds: int64(reply.ExpiresIn / time.Second)}, nil
		}
		run.last = peer.RunReply{Reason: reply.Reason, Load: reply.Load}
		if err != nil {
			run.last = peer.RunReply{Reason: peer.ReasonConnectionLost, Message: err.Error()}
		}
		if e.pushMissingConfiguration(ctx, run, choice.Name()) {
			run.removeTried(choice.Name())
		}
	}
	return nil, run.failure("")
}

func (e *Entry) issueAt(ctx context.Context, req *request, stage fleet.Stage, choice *routing.Choice) (peer.IssueReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	start := time.Now()
	var reply peer.IssueReply
	err := e.Peers.Call(ctx, choice.Address(), peer.MethodIssue, &peer.IssueRequest{
		Organisation: req.organisation.Name,
		Pipeline:     req.pipeline.Name,
		Stage:        stage.Name,
		Generation:   req.cfg.Generation(),
	}, &reply)
	if err != nil {
		choice.Done(routing.Result{Outcome: routing.Failed, Duration: time.Since(start)})
		return reply, err
	}
	e.recordReply(choice.Name(), choice.Address(), reply.Load)
	outcome := routing.Succeeded
	if reply.Reason != peer.ReasonNone {
		outcome = routing.Refused
	}
	choice.Done(routing.Result{Outcome: outcome, Duration: time.Since(start), Load: &reply.Load})
	return reply, nil
}

// bind appends a MAC of the ticket, the organisation and the pipeline of the request, so
// that no other organisation can query the outcome.
func (e *Entry) bind(ticket string, req *request) string {
	mac := hmac.New(sha256.New, []byte(e.Secret))
	// The label separates this MAC from other uses of the secret.
	_, _ = mac.Write([]byte("bergamotrudder binding\x00" + req.organisation.Name + "\x00" + req.pipeline.Name + "\x00" + ticket))
	return ticket + bindingSeparator + base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// executeTicket runs a request with a ticket. The ticket is reserved at the sidecar
// before any stage runs, and released if the last stage did not run.
func (e *Entry) executeTicket(ctx context.Context, req *request) (*Answer, *RequestError) {
	ticket, ok := e.parseTicket(req)
	if !ok {
		return nil, refused(http.StatusBadRequest, peer.ReasonInvalidTicket, "the ticket was not issued for this organisation and pipeline")
	}
	reply, err := e.reserve(ctx, req, ticket)
	switch {
	case err != nil:
		return nil, &RequestError{
			Status:     http.StatusConflict,
			Reason:     reasonTicketLost,
			Execution:  fleet.Unknown,
			Detail:     "the sidecar that issued the ticket can't be reached: " + err.Error(),
			RetryAfter: time.Second,
		}
	case !reply.Reserved:
		return ticketOutcome(req, reply)
	}
	req.ticket, req.keyGranted = ticket, true
	answer, failure := e.execute(ctx, req, nil)
	if failure != nil && !failure.mayHaveRun {
		e.releaseTicket(ticket)
	}
	return answer, failure
}

func (e *Entry) parseTicket(req *request) (*reservedTicket, bool) {
	ticket, _, ok := strings.Cut(req.key, bindingSeparator)
	if !ok || !hmac.Equal([]byte(e.bind(ticket, req)), []byte(req.key)) {
		return nil, false
	}
	content, err := booking.ParseTicket(e.Secret, ticket)
	if err != nil || content.Stage != req.lastStage().Name {
		return nil, false
	}
	return &reservedTicket{
		ticket:      ticket,
		reservation: e.nextID(),
		address:     content.Address,
		incarnation: content.Incarnation,
		upstream:    e.upstreamAt(content.Address),
	}, true
}

func (e *Entry) upstreamAt(address string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for upstream, record := range e.sidecars {
		if record.Address == address {
			return upstream
		}
	}
	return ""
}

func (e *Entry) reserve(ctx context.Context, req *request, t *reservedTicket) (peer.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(reserveTimeout, req.remaining()))
	defer cancel()
	var reply peer.ReserveReply
	err := e.Peers.Call(ctx, t.address, peer.MethodReserve, &peer.ReserveRequest{Ticket: t.ticket, Reservation: t.reservation}, &reply)
	if err != nil && !peer.IsNotSent(err) {
		e.releaseTicket(t)
	}
	return reply, err
}

// releaseTicket releases the reservation. If that fails, the ticket stays consumed, which
// is safe: a retry gets an unknown outcome.
func (e *Entry) releaseTicket(t *reservedTicket) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	err := e.Peers.Call(ctx, t.address, peer.MethodRelease, &peer.ReleaseRequest{Ticket: t.ticket, Reservation: t.reservation}, &peer.Empty{})
	if err != nil {
		e.Logger.Info().Err(err).Msg("releasing a ticket failed")
	}
}

// ticketOutcome returns the response for a ticket that was used before or can't be used.
func ticketOutcome(req *request, reply peer.ReserveReply) (*Answer, *RequestError) {
	switch {
	case reply.Execution == fleet.Completed && reply.Reason == peer.ReasonNone:
		return &Answer{RequestID: req.id, Pipeline: req.pipeline.Name, Output: reply.Output}, nil
	case reply.Execution == fleet.Completed:
		return nil, answerNotKept()
	default:
		return nil, &RequestError{
			Status:    http.StatusConflict,
			Reason:    reply.Reason,
			Execution: reply.Execution,
			Detail:    "the ticket can't run a request: " + string(reply.Reason),
		}
	}
}
