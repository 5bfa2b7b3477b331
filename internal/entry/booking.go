package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/booking"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// executeOnce runs a request whose last stage may not be repeated. It goes on when
// the caller goes away, so that its outcome is known to a retry.
func (e *Entry) executeOnce(ctx context.Context, req *request) (*Answer, *RequestError) {
	ctx = context.WithoutCancel(ctx)
	switch {
	case req.key == "":
		return e.execute(ctx, req, nil)
	case booking.IsTicket(req.key):
		return e.executeTicket(ctx, req)
	default:
		return e.executeClaim(ctx, req)
	}
}

// executeClaim runs a request under a caller's own key, if this entry gets the
// claim, or answers with the outcome of the request that got it.
func (e *Entry) executeClaim(ctx context.Context, req *request) (*Answer, *RequestError) {
	key := booking.Key{Organisation: req.organisation.Name, Value: req.key}
	// A holder that doesn't hold the claim any more has recorded or released it, so
	// the claim is read once more.
	for asked := range maxClaimReads {
		claim, failure := e.claim(ctx, req, key)
		switch {
		case failure != nil && asked == 0:
			return nil, failure
		case failure != nil:
			return nil, inProgress()
		case claim.State == booking.Granted:
			req.keyGranted = true
			answer, failure := e.execute(ctx, req, nil)
			e.settle(key, req, answer, failure)
			return answer, failure
		case claim.Outcome != nil:
			return recordedAnswer(*claim.Outcome)
		}
		if outcome := e.awaitHolder(ctx, req, key, claim.Owner); outcome != nil {
			return recordedAnswer(*outcome)
		}
	}
	return nil, inProgress()
}

// claim consumes the key, or says who holds it.
func (e *Entry) claim(ctx context.Context, req *request, key booking.Key) (booking.Claim, *RequestError) {
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(-claimMargin))
	defer cancel()
	claim, err := e.Claims.Claim(ctx, key)
	switch {
	case err == nil:
		return claim, nil
	case booking.IsKeyExpired(err):
		return claim, &RequestError{Status: http.StatusConflict, Reason: "keyExpired", Execution: fleet.Unknown, Detail: err.Error()}
	case booking.IsFull(err):
		return claim, refused(http.StatusServiceUnavailable, "claimsFull", "%v", err)
	default:
		f := refused(http.StatusServiceUnavailable, reasonStoreUnavailable, "the key could not be claimed: %v; a ticket needs no claim", err)
		f.RetryAfter = time.Second
		return claim, f
	}
}

// settle records the end of a claimed request, or releases the claim when the stage
// that may not be repeated certainly did not run.
func (e *Entry) settle(key booking.Key, req *request, answer *Answer, failure *RequestError) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	var err error
	switch {
	case failure == nil:
		err = e.Claims.Record(ctx, key, answerOutcome(answer))
	case !failure.atRisk:
		err = e.Claims.Release(ctx, key)
	case failure.pending != nil:
		go e.follow(key, req, failure.pending)
	default:
		err = e.Claims.Record(ctx, key, booking.Outcome{Execution: failure.Execution, Reason: string(failure.Reason)})
	}
	if err != nil {
		e.Scope.Counter("outcomesDelayed").Inc(1)
		e.Logger.Warn().Err(err).Str("key", key.String()).Msg("outcome is not in the store yet")
	}
}

func answerOutcome(answer *Answer) booking.Outcome {
	raw, err := json.Marshal(answer)
	if err != nil || len(raw) > booking.MaxAnswerBytes {
		return booking.Outcome{Execution: fleet.Completed, Dropped: true}
	}
	return booking.Outcome{Execution: fleet.Completed, Answer: raw}
}

// follow finds out what became of an attempt whose caller got no answer, and records it.
func (e *Entry) follow(key booking.Key, req *request, p *pendingRun) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	reply := e.resolve(context.Background(), p, time.Now().Add(followTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	var err error
	switch {
	case reply.Execution == fleet.NotStarted:
		err = e.Claims.Release(ctx, key)
	case reply.IsWhole():
		err = e.Claims.Record(ctx, key, answerOutcome(&Answer{RequestID: req.id, Pipeline: req.pipeline.Name, Output: reply.Output}))
	default:
		err = e.Claims.Record(ctx, key, booking.Outcome{Execution: reply.Execution, Reason: string(reply.Reason)})
	}
	e.Logger.Info().Err(err).Str("key", key.String()).Str("execution", string(reply.Execution)).
		Str(instance.KeyReason, string(reply.Reason)).Msg("outcome of an unanswered request")
}

// awaitHolder asks the holder of a claim until its request has ended. The result is
// nil when the holder can't be asked, doesn't hold the claim or takes too long.
func (e *Entry) awaitHolder(ctx context.Context, req *request, key booking.Key, holder booking.Owner) *booking.Outcome {
	for req.remaining() > holderPoll {
		reply, err := e.askHolder(ctx, req, key, holder)
		switch {
		case err != nil || !reply.Held:
			return nil
		case !reply.Running:
			return &booking.Outcome{Execution: reply.Execution, Reason: string(reply.Reason), Answer: reply.Answer, Dropped: reply.Dropped}
		}
		instance.Pause(ctx, holderPoll)
	}
	return nil
}

func (e *Entry) askHolder(ctx context.Context, req *request, key booking.Key, holder booking.Owner) (peer.OutcomeReply, error) {
	question := &peer.OutcomeRequest{Incarnation: holder.Incarnation, Key: key.String()}
	var reply peer.OutcomeReply
	if holder.Incarnation == e.id.Incarnation {
		err := e.outcomes.Outcome(question, &reply)
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(req.remaining(), resolveTimeout))
	defer cancel()
	err := e.Peers.Call(ctx, holder.Address, peer.MethodOutcome, question, &reply)
	return reply, err
}

// recordedAnswer returns what a request with the same key ended with.
func recordedAnswer(outcome booking.Outcome) (*Answer, *RequestError) {
	switch outcome.Execution {
	case fleet.Completed:
	case fleet.NotStarted:
		// The holder gave its claim up; what other entries did before isn't known
		// until the store has released it.
		return nil, &RequestError{
			Status:     http.StatusServiceUnavailable,
			Reason:     reasonStoreUnavailable,
			Execution:  fleet.Unknown,
			Detail:     "an attempt with this key was given up and its claim is not released yet",
			RetryAfter: time.Second,
		}
	default:
		return nil, &RequestError{
			Status:    http.StatusConflict,
			Reason:    reasonRecorded,
			Execution: fleet.Unknown,
			Detail:    "a request with this key was accepted before; whether it ran is not known: " + outcome.Reason,
		}
	}
	answer := &Answer{}
	if outcome.Dropped || json.Unmarshal(outcome.Answer, answer) != nil {
		return nil, answerNotHeld()
	}
	return answer, nil
}

func answerNotHeld() *RequestError {
	return &RequestError{
		Status:    http.StatusGone,
		Reason:    peer.ReasonAnswerNotHeld,
		Execution: fleet.Completed,
		Detail:    "the request completed before and its answer is no longer held",
	}
}

func inProgress() *RequestError {
	return &RequestError{
		Status:     http.StatusConflict,
		Reason:     reasonInProgress,
		Execution:  fleet.Unknown,
		Detail:     "a request with this key was accepted before and its outcome is not known here yet",
		RetryAfter: time.Second,
	}
}
