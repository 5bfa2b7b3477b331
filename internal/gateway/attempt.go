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
	"bergamotrudder.example/bergamotrudder/internal/placement"
)

// attempt sends the request to the chosen upstream and passes the answer on. It returns
// nil if the caller has its answer, and otherwise whether the request may be sent again.
func (q *request) attempt(ctx context.Context, choice *placement.Choice) (again bool, err error) {
	outcome := placement.Cancelled
	defer func() {
		if ctx.Err() != nil && outcome != placement.Answered {
			outcome = placement.Cancelled
			if errors.Is(context.Cause(ctx), errDeadline) && !q.begun {
				outcome = placement.TimedOut
			}
		}
		choice.Done(time.Now(), outcome)
	}()
	m := choice.Member()
	q.upstream = m
	if q.sends == 0 {
		q.g.budgets.For(q.service.Name, "").RecordFirst()
	}
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	heard := q.watchSilence(cancel)
	defer heard()
	resp, err := q.g.pool.Do(tryCtx, q.target(m), q.outgoing(m))
	if err != nil {
		again, outcome = q.failed(err)
		if errors.Is(err, errSilent) {
			outcome = placement.TimedOut
		}
		return again, err
	}
	heard()
	defer resp.Close()
	q.sends++
	if resp.Info.ColdFor > 0 {
		choice.ColdFor(time.Now(), resp.Info.ColdFor)
	}
	if err := q.checkAnswer(resp); err != nil {
		q.mayHaveRun = true
		outcome = placement.Interrupted
		return q.repeatable() && q.mayRepeat(), err
	}
	q.mayHaveRun = true
	if resp.Length >= 0 && resp.Length <= plainAnswerBytes && q.route.Kind != catalog.KindStreaming || resp.Status/100 != 2 {
		again, outcome, err = q.passPlain(choice, resp)
		return again, err
	}
	outcome, err = q.passStream(choice, resp)
	return err != nil && !q.begun && q.repeatable() && q.mayRepeat(), err
}

// watchSilence ends the try of a request that may be repeated when its upstream has not
// begun to answer after a part of the objective, so that another one can still be in time.
// The returned function ends the watch.
func (q *request) watchSilence(cancel context.CancelCauseFunc) (stop func() bool) {
	if !q.repeatable() || q.sends+1 >= q.route.Attempts {
		return func() bool { return true }
	}
	wait := max(time.Duration(silenceShare*float64(q.route.Objective)), minSilence)
	return time.AfterFunc(wait, func() { cancel(errSilent) }).Stop
}

// failed records what a failed exchange says of the request and of the upstream.
func (q *request) failed(err error) (again bool, outcome placement.Outcome) {
	var failed *forward.Error
	if !errors.As(err, &failed) {
		return false, placement.Interrupted
	}
	switch failed.State {
	case forward.NotSent:
		if failed.Busy {
			return true, placement.Refused
		}
		return true, placement.Unreachable
	case forward.NotExecuted:
		q.sends++
		if failed.Misdirected {
			return q.mayRepeat(), placement.Unreachable
		}
		return q.mayRepeat(), placement.Refused
	default:
		q.sends++
		q.mayHaveRun = true
		return q.repeatable() && q.mayRepeat(), placement.Interrupted
	}
}

func (q *request) target(m *catalog.Member) forward.Target {
	t := forward.Target{ID: m.ID, Address: m.Address}
	if most := q.service.MaxConnections; most > 0 {
		t.MaxConnections = max(1, most/q.g.stages.roster.ShareCount(time.Now()))
	}
	return t
}

func (q *request) outgoing(m *catalog.Member) *forward.Request {
	idle := unsafeIdle
	if q.repeatable() {
		idle = safeIdle
	}
	out := dialect.Outgoing{
		Remaining:    time.Until(q.deadline),
		Instance:     m.ID,
		Organisation: q.organisation,
		Urgency:      -1,
		Inputs:       q.inputs.handles,
	}
	if q.service.Engine != nil {
		out.Urgency = min(q.priority*urgencyStep, maxUrgency)
	}
	return &forward.Request{
		Method:  q.r.Method,
		Target:  q.r.RequestURI,
		Host:    q.r.Host,
		Header:  q.g.dialect.Forward(q.r.Header, out),
		Body:    q.body,
		ID:      q.attrs.ID,
		MaxIdle: idle,
	}
}

// checkAnswer returns an error for an answer that must not be passed on.
func (q *request) checkAnswer(resp *forward.Response) error {
	if resp.Info.ID != q.attrs.ID {
		return errors.Errorf("the answer names request %q", resp.Info.ID)
	}
	if !resp.Info.Signed {
		return errors.Errorf("the answer of status %d carries no signature", resp.Status)
	}
	if promises(resp.Status) {
		return errors.Errorf("status %d without the word that the request has not run", resp.Status)
	}
	return nil
}

// promises reports whether the status tells a caller that its request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passPlain reads the answer whole and passes it on.
func (q *request) passPlain(choice *placement.Choice, resp *forward.Response) (bool, placement.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(resp, plainAnswerBytes+1))
	if err != nil {
		return q.repeatable() && q.mayRepeat(), placement.Interrupted, errors.Wrap(err, "reading the answer")
	}
	choice.FirstByte(time.Now())
	outcome := placement.Answered
	if resp.Status >= http.StatusInternalServerError {
		outcome = placement.Failed
		if q.repeatable() && q.mayRepeat() {
			return true, outcome, errors.Errorf("status %d", resp.Status)
		}
	}
	q.copyHeader(resp)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.begin(resp.Status)
	q.outcome = outcomeAnswered
	if !q.write(body) {
		q.outcome = outcomeCallerGone
	}
	return false, outcome, nil
}

// write sends bytes to the caller at once, and reports false if it has gone.
func (q *request) write(b []byte) bool {
	if _, err := q.w.Write(b); err != nil {
		return false
	}
	return http.NewResponseController(q.w).Flush() == nil
}

func (q *request) begin(status int) {
	q.begun, q.status = true, status
	q.firstByte = time.Since(q.started)
	q.w.WriteHeader(status)
}

// connectionHeaders concern the connection to the upstream only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

func (q *request) copyHeader(resp *forward.Response) {
	h := q.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	if q.g.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// passStream passes the answer on as it comes. The head is held until the first bytes of
// the body, so that an upstream that breaks before them can still be replaced.
func (q *request) passStream(choice *placement.Choice, resp *forward.Response) (placement.Outcome, error) {
	buf := make([]byte, streamBuffer)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if !q.begun {
				choice.FirstByte(time.Now())
				q.copyHeader(resp)
				if resp.Length >= 0 {
					q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
				}
				q.begin(resp.Status)
				q.releaseInputs()
			}
			if !q.write(buf[:n]) {
				q.outcome = outcomeCallerGone
				return placement.Cancelled, nil
			}
		}
		if err == io.EOF {
			if !q.begun {
				q.copyHeader(resp)
				q.begin(resp.Status)
			}
			q.outcome = outcomeAnswered
			return placement.Answered, nil
		}
		if err != nil {
			return placement.Interrupted, errors.Wrap(err, "reading the stream")
		}
	}
}
