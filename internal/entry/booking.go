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

// executeAtMostOnce runs a request whose last stage is not idempotent. It continues
// after the caller disconnects, so that a retry can get the outcome.
func (e *Entry) executeAtMostOnce(ctx context.Context, req *request) (*Answer, *RequestError) {
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

// executeClaim runs a request with an idempotency key chosen by the caller if this
// entry gets the claim. Otherwise it returns the outcome of the request that has the claim.
func (e *Entry) executeClaim(ctx context.Context, req *request) (*Answer, *RequestError) {
	key := booking.Key{Organisation: req.organisation.Name, Value: req.key}
	// An owner that no longer has the claim has recorded its outcome or released it,
	// so the claim is read again.
	for reads := range maxClaimReads {
		claim, failure := e.claim(ctx, req, key)
		switch {
		case failure != nil && reads == 0:
			return nil, failure
		case failure != nil:
			return nil, inProgress()
		case claim.State == booking.Granted:
			req.keyGranted = true
			answer, failure := e.execute(ctx, req, nil)
			e.recordOutcome(key, req, answer, failure)
			return answer, failure
		case claim.Outcome != nil:
			return recordedAnswer(*claim.Outcome)
		}
		if outcome := e.awaitOwner(ctx, req, key, claim.Owner); outcome != nil {
			return recordedAnswer(*outcome)
		}
	}
	return nil, inProgress()
}

// claim claims the key, or returns its owner or its recorded outcome.
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

// recordOutcome records the outcome of a claimed request, or releases the claim if
// the non-idempotent stage certainly did not run.
func (e *Entry) recordOutcome(key booking.Key, req *request, answer *Answer, failure *RequestError) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	var err error
	switch {
	case failure == nil:
		err = e.Claims.Record(ctx, key, answerOutcome(answer))
	case !failure.mayHaveRun:
		err = e.Claims.Release(ctx, key)
	case failure.pending != nil:
		go e.resolvePending(key, req, failure.pending)
	default:
		err = e.Claims.Record(ctx, key, booking.Outcome{Execution: failure.Execution, Reason: string(failure.Reason)})
	}
	if err != nil {
		e.Scope.Counter("outcomesDelayed").Inc(1)
		e.Logger.Warn().Err(err).Str("key", key.String()).Msg("outcome not recorded in the store yet")
	}
}

func answerOutcome(answer *Answer) booking.Outcome {
	raw, err := json.Marshal(answer)
	if err != nil || len(raw) > booking.MaxAnswerBytes {
		return booking.Outcome{Execution: fleet.Completed, Dropped: true}
	}
	return booking.Outcome{Execution: fleet.Completed, Answer: raw}
}

// resolvePending finds out and records the outcome of an attempt that was still
// pending when its caller got a response.
func (e *Entry) resolvePending(key booking.Key, req *request, pending *pendingAttempt) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	reply := e.resolve(context.Background(), pending, time.Now().Add(pendingTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	var err error
	switch {
	case reply.Execution == fleet.NotStarted:
		err = e.Claims.Release(ctx, key)
	case reply.Succeeded():
		err = e.Claims.Record(ctx, key, answerOutcome(&Answer{RequestID: req.id, Pipeline: req.pipeline.Name, Output: reply.Output}))
	default:
		err = e.Claims.Record(ctx, key, booking.Outcome{Execution: reply.Execution, Reason: string(reply.Reason)})
	}
	e.Logger.Info().Err(err).Str("key", key.String()).Str("execution", string(reply.Execution)).
		Str(instance.KeyReason, string(reply.Reason)).Msg("outcome of a pending attempt")
}

// awaitOwner polls the owner of a claim until its request has ended. The result is nil
// if the owner can't be reached, no longer has the claim (reply.Held is about the claim,
// not about the response) or takes too long.
func (e *Entry) awaitOwner(ctx context.Context, req *request, key booking.Key, owner booking.Owner) *booking.Outcome {
	for req.remaining() > ownerPollInterval {
		reply, err := e.queryOwner(ctx, req, key, owner)
		switch {
		case err != nil || !reply.Held:
			return nil
		case !reply.Running:
			return &booking.Outcome{Execution: reply.Execution, Reason: string(reply.Reason), Answer: reply.Answer, Dropped: reply.Dropped}
		}
		instance.Pause(ctx, ownerPollInterval)
	}
	return nil
}

func (e *Entry) queryOwner(ctx context.Context, req *request, key booking.Key, owner booking.Owner) (peer.OutcomeReply, error) {
	query := &peer.OutcomeRequest{Incarnation: owner.Incarnation, Key: key.String()}
	var reply peer.OutcomeReply
	if owner.Incarnation == e.id.Incarnation {
		err := e.outcomes.Outcome(query, &reply)
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(req.remaining(), resolveTimeout))
	defer cancel()
	err := e.Peers.Call(ctx, owner.Address, peer.MethodOutcome, query, &reply)
	return reply, err
}

// recordedAnswer returns the response for a recorded outcome of the same key.
func recordedAnswer(outcome booking.Outcome) (*Answer, *RequestError) {
	switch outcome.Execution {
	case fleet.Completed:
	case fleet.NotStarted:
		// The owner ran nothing and its claim is not released in the store yet. It abandons
		// a claim if the store's reply to the write does not arrive in time. Another entry
		// may have claimed the key and run the request before that write; this is not known
		// until the abandoned claim is resolved.
		return nil, &RequestError{
			Status:     http.StatusServiceUnavailable,
			Reason:     reasonStoreUnavailable,
			Execution:  fleet.Unknown,
			Detail:     "an attempt with this key was abandoned and its claim is not released yet",
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
		return nil, answerNotKept()
	}
	return answer, nil
}

func answerNotKept() *RequestError {
	return &RequestError{
		Status:    http.StatusGone,
		Reason:    peer.ReasonOutputNotKept,
		Execution: fleet.Completed,
		Detail:    "the request completed before and its answer is no longer kept",
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
