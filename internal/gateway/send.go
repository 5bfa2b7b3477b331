package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/placement"
)

// trySend sends the request to the chosen upstream and forwards the response. err is nil once
// a response was forwarded or the caller disconnected while it was. Otherwise retryable
// reports whether the request may be sent again.
func (q *request) trySend(ctx context.Context, choice *placement.Choice) (retryable bool, err error) {
	outcome := placement.Cancelled
	q.sendStarted, q.sendFirstByte = time.Now(), 0
	send := q.g.stages.rollouts.decisions().Begin(q.sendStarted, choice.Member(), q.route.Name)
	defer func() {
		if ctx.Err() != nil && outcome != placement.Answered {
			outcome = placement.Cancelled
			if errors.Is(context.Cause(ctx), errDeadline) && !q.headerWritten {
				outcome = placement.TimedOut
			}
		}
		choice.Done(time.Now(), outcome)
		send.End(time.Now(), q.sendOutcome(time.Now(), choice, outcome, err))
	}()
	m := choice.Member()
	q.upstream, q.response, q.choice = m, responseBody{}, choice
	if q.sends == 0 {
		q.g.budgets.For(q.service.Name, "").RecordFirst()
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopTimer := q.startResponseTimer(cancel)
	defer stopTimer()
	resp, err := q.g.pool.Do(sendCtx, q.upstreamTarget(m), q.upstreamRequest(choice))
	if err != nil {
		retryable, outcome = q.failure(err)
		if errors.Is(err, errNoResponse) {
			outcome = placement.TimedOut
		}
		return retryable, err
	}
	isCancelled := !stopTimer()
	defer resp.Close()
	defer q.recordBody(resp)
	q.sends++
	if resp.Info.ColdFor > 0 {
		choice.ColdFor(time.Now(), resp.Info.ColdFor)
	}
	if err := q.checkResponse(resp); err != nil {
		q.mayHaveRun = true
		outcome = placement.Interrupted
		return q.isIdempotent() && q.takeRetry(), err
	}
	q.mayHaveRun = true
	if resp.Length >= 0 && resp.Length <= maxBufferedBytes && q.route.Kind != catalog.KindStreaming || resp.Status/100 != 2 {
		retryable, outcome, err = q.forwardBuffered(choice, resp)
		return retryable, err
	}
	if isCancelled {
		// The connection closes while the body is read, which would break off the stream.
		outcome = placement.TimedOut
		return q.isIdempotent() && q.takeRetry(), errNoResponse
	}
	outcome, err = q.forwardStream(choice, resp, newStallTimer(q.eventTimeoutOf(resp), cancel))
	if cause := context.Cause(sendCtx); err != nil && errors.Is(cause, errNoEvent) {
		outcome, err = placement.TimedOut, cause
	}
	return err != nil && !q.headerWritten && q.isIdempotent() && q.takeRetry(), err
}

// eventTimeoutOf returns the longest wait for a complete event of the response, or 0 if it
// has no events.
func (q *request) eventTimeoutOf(resp *forward.Response) time.Duration {
	if q.route.Kind != catalog.KindStreaming || !resp.IsEventStream() {
		return 0
	}
	return q.eventTimeout
}

// startResponseTimer cancels the send of an idempotent request when its upstream has not
// begun to respond after a fraction of the objective, so that a retry at another upstream
// can still meet the objective. The returned function stops the timer, and reports whether the
// send is not cancelled.
func (q *request) startResponseTimer(cancel context.CancelCauseFunc) (stop func() bool) {
	if !q.isIdempotent() || q.sends-q.refusals+1 >= q.route.Attempts {
		return func() bool { return true }
	}
	fraction := responseTimeoutFraction
	if q.service.Engine != nil {
		fraction = engineResponseTimeoutFraction
	}
	wait := max(time.Duration(fraction*float64(q.route.Objective)), minResponseTimeout)
	return time.AfterFunc(wait, func() { cancel(errNoResponse) }).Stop
}

// failure records whether the request may have run despite the failed exchange, and returns
// whether it may be retried and the outcome for the choice of upstreams.
func (q *request) failure(err error) (retryable bool, outcome placement.Outcome) {
	var failure *forward.Error
	if !errors.As(err, &failure) {
		return false, placement.Interrupted
	}
	switch failure.State {
	case forward.NotSent:
		if failure.Closed {
			return true, placement.Cancelled
		}
		if failure.Busy {
			return true, placement.Refused
		}
		return true, placement.Unreachable
	case forward.NotExecuted:
		q.sends++
		q.refusals++
		if failure.Misdirected {
			return q.takeRetryAfterRefusal(), placement.Unreachable
		}
		if failure.InputMissing {
			// The refusal says nothing of the upstream, and others would refuse as well.
			return false, placement.Cancelled
		}
		return q.takeRetryAfterRefusal(), placement.Refused
	default:
		q.sends++
		q.mayHaveRun = true
		return q.isIdempotent() && q.takeRetry(), placement.Interrupted
	}
}

func (q *request) upstreamTarget(m *catalog.Member) forward.Target {
	t := forward.Target{ID: m.ID, Address: m.Address, Born: m.Born}
	if limit := q.service.MaxConnections; limit > 0 {
		t.MaxConnections = max(1, limit/q.g.stages.roster.ShareCount(time.Now()))
	}
	return t
}

func (q *request) upstreamRequest(choice *placement.Choice) *forward.Request {
	idle := maxIdleNonIdempotent
	if q.isIdempotent() {
		idle = maxIdleIdempotent
	}
	out := dialect.Outgoing{
		Instance:     choice.Member().ID,
		Organisation: q.organisation,
		Urgency:      -1,
		Inputs:       q.inputs.handles,
	}
	if q.service.Engine != nil {
		out.Urgency = min(q.priority*urgencyStep, lastUrgency)
	}
	return &forward.Request{
		Method: q.r.Method,
		Target: q.r.RequestURI,
		Host:   q.r.Host,
		Header: func() http.Header {
			out.Remaining = time.Until(q.deadline)
			return q.g.dialect.Forward(q.r.Header, out)
		},
		Admit:   choice.Admit,
		Body:    q.body,
		ID:      q.attrs.ID,
		MaxIdle: idle,
	}
}

// checkResponse returns an error for a response that must not be forwarded.
func (q *request) checkResponse(resp *forward.Response) error {
	if resp.Info.ID != q.attrs.ID {
		return errors.Wrapf(errUnusable, "the response belongs to request %q", resp.Info.ID)
	}
	if !resp.Info.Signed {
		return errors.Wrapf(errUnusable, "response with status %d is not signed", resp.Status)
	}
	if meansNotExecuted(resp.Status) {
		return errors.Wrapf(errUnusable, "status %d means that the request has not run, but the response lacks the header that states it", resp.Status)
	}
	return nil
}

// meansNotExecuted reports whether the status means to a caller that its request has not
// run.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardBuffered reads the response before it forwards it, so that one that breaks off can
// still be replaced. Beyond maxBufferedBytes it forwards the rest as it arrives.
func (q *request) forwardBuffered(choice *placement.Choice, resp *forward.Response) (bool, placement.Outcome, error) {
	var held intake.Share
	defer held.Release()
	held.Open(q.g.intake)
	body, err := readBuffered(resp, &held)
	if err != nil {
		return q.isIdempotent() && q.takeRetry(), placement.Interrupted, errors.Wrap(err, "reading the response")
	}
	if resp.Status/100 != 2 {
		choice.MarkError()
	}
	q.recordFirstByte(choice)
	outcome := placement.Answered
	if resp.Status >= http.StatusInternalServerError {
		outcome = placement.Failed
		if q.isIdempotent() && q.takeRetry() {
			return true, outcome, errors.Errorf("the upstream failed with status %d", resp.Status)
		}
	}
	q.copyHeader(resp)
	if !resp.IsComplete() {
		if len(body) <= maxBufferedBytes {
			q.g.intake.Count(intake.CauseUnbuffered)
		}
		return false, outcome, q.forwardRest(resp, body)
	}
	// The caller may read slowly; the upstream's connection isn't kept for it.
	resp.Close()
	q.releaseBody()
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.writeHeader(resp.Status)
	q.outcome = outcomeAnswered
	if c := q.conn(); c != nil {
		held.BeginWrite(c.setWriteDeadline)
	}
	if !q.writeParts(body, &held) {
		q.outcome = outcomeCallerGone
		if held.Settle() != nil {
			q.g.intake.Count(intake.CauseStalled)
		}
		return false, outcome, nil
	}
	if held.Settle() != nil {
		_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(callerWriteGrace))
	}
	return false, outcome, nil
}

// readBuffered reads a response to its end, or its first maxBufferedBytes and one more, or less if
// there is no memory for it.
func readBuffered(resp *forward.Response, held *intake.Share) ([]byte, error) {
	size, limit := intake.FreeBytes, maxBufferedBytes+1
	if resp.Length >= 0 {
		// One more byte than the length, so that the end is seen.
		limit = int(min(int64(limit), resp.Length+1))
		if limit <= size || held.TryTake(int64(limit)) {
			size = limit
		}
	}
	body := make([]byte, 0, size)
	for len(body) < limit {
		if len(body) == cap(body) {
			grown := min(4*cap(body), limit)
			if !held.TryTake(int64(grown)) {
				return body, nil
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// forwardRest forwards a response with the first bytes of its body and the rest as it
// arrives. One that breaks off is incomplete for the caller as well: it ends before its
// length, or without the end of its last chunk.
func (q *request) forwardRest(resp *forward.Response, first []byte) error {
	q.copyLength(resp)
	q.writeHeader(resp.Status)
	q.outcome = outcomeAnswered
	if !q.write(first) {
		q.outcome = outcomeCallerGone
		return nil
	}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Read(buf)
		q.releaseSentBody(resp)
		if n > 0 && !q.write(buf[:n]) {
			q.outcome = outcomeCallerGone
			return nil
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading the response")
		}
	}
}

// write sends bytes to the caller without buffering and reports whether the caller is
// still connected.
func (q *request) write(b []byte) bool {
	if _, err := q.w.Write(b); err != nil {
		return false
	}
	return http.NewResponseController(q.w).Flush() == nil
}

// writeParts is write of a buffered response, in parts, so that its share sees the caller's progress.
func (q *request) writeParts(body []byte, held *intake.Share) bool {
	for len(body) > writePartBytes {
		if !q.write(body[:writePartBytes]) {
			return false
		}
		held.RecordWrite()
		body = body[writePartBytes:]
	}
	return q.write(body)
}

func (q *request) writeHeader(status int) {
	q.headerWritten, q.status = true, status
	q.firstByte = time.Since(q.started)
	if q.isEndedByClose() {
		q.setResetOnClose(true)
	}
	q.w.WriteHeader(status)
}

// connectionHeaders of an upstream's response are not forwarded: those that apply to the
// connection to the upstream only (RFC 9110, section 7.6.1), and Content-Length, which the
// gateway sets itself.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

func (q *request) copyHeader(resp *forward.Response) {
	h := q.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	if q.g.departure.isLeaving() {
		h.Set("Connection", "close")
	}
}

// copyLength states the upstream's length to the caller. A stream of events has none, because
// one that ends inside an event must look incomplete to the caller, also at its full length.
func (q *request) copyLength(resp *forward.Response) {
	if resp.Length >= 0 && !resp.IsEventStream() {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
}

// recordPace records the pace of a stream of the upstream.
func (q *request) recordPace(choice *placement.Choice, pace *streamPace) {
	q.longestPause = pace.longest
	if usual, ok := pace.usual(); ok {
		choice.Pace(time.Now(), usual)
	}
}

// forwardStream forwards the response as it arrives. The header is withheld until the first
// bytes of the body, so that a response that is interrupted before them can be retried.
func (q *request) forwardStream(choice *placement.Choice, resp *forward.Response, stall *stallTimer) (placement.Outcome, error) {
	buf := make([]byte, streamBufferBytes)
	var pace streamPace
	defer func() { q.recordPace(choice, &pace) }()
	for {
		stall.begin()
		events := resp.Events()
		n, err := resp.Read(buf)
		stall.end(resp.Events() > events)
		pace.record(time.Now(), resp.Events()-events)
		if n > 0 {
			if !q.headerWritten {
				q.recordFirstByte(choice)
				q.copyHeader(resp)
				q.copyLength(resp)
				q.writeHeader(resp.Status)
				q.releaseInputs()
			}
			q.releaseSentBody(resp)
			if !q.write(buf[:n]) {
				q.outcome = outcomeCallerGone
				return placement.Cancelled, nil
			}
		}
		if err == io.EOF {
			if !q.headerWritten {
				q.copyHeader(resp)
				q.writeHeader(resp.Status)
			}
			q.outcome = outcomeAnswered
			return placement.Answered, nil
		}
		if err != nil {
			return placement.Interrupted, errors.Wrap(err, "reading the stream")
		}
	}
}
