package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/placement"
)

// errDeadline is the cause of a context whose request has reached its deadline.
var errDeadline = errors.New("request deadline exceeded")

// errNoResponse is the cause of a send that was cancelled because its upstream had not begun
// to respond.
var errNoResponse = errors.New("no response from the upstream")

// request is one attempt of a caller and its state in the gateway.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	// view is the view of the catalog when the request arrived.
	view  *catalog.View
	attrs dialect.Request
	// prompt lists the ids of the parts of the prompt.
	prompt []string

	route        *catalog.Route
	service      *catalog.Service
	organisation string
	priority     int
	// body is the body in parts, and held the memory for it. held is released once the body can't be
	// sent again.
	body [][]byte
	held intake.Share
	// heldHead is the memory for what the request holds of its head beyond what its connection has
	// taken for it.
	heldHead intake.Share
	// heldResults is the memory for the results of its stages.
	heldResults intake.Share
	// deadline is the earlier of the end of the route's timeout and the caller's deadline, or
	// of defaultTimeout if the caller states none.
	deadline time.Time
	// firstByteDeadline is when the caller stops waiting for the first byte, at the latest
	// the deadline.
	firstByteDeadline time.Time
	// eventTimeout is how long callers of a streaming route wait for an event.
	eventTimeout time.Duration
	// expectedEngineTime is the result of engineTime, or 0 before its first call. The stages
	// start after the first call.
	expectedEngineTime time.Duration
	inputs             inputs
	// reruns has room for the one stage that reruns others.
	reruns chan struct{}

	// deferred is set for a request that is queued behind others at its stages and can still
	// meet its objective.
	deferred bool
	// background is set for a request that can't meet its objective: it is queued behind
	// those that can.
	background bool

	// sendStarted is when the last send began, and sendFirstByte how long it took to its first
	// byte, or 0.
	sendStarted   time.Time
	sendFirstByte time.Duration
	// sends counts the upstreams that the request was sent to.
	sends int
	// refusals counts the sends of which an upstream reported that nothing ran.
	refusals int
	// unreachable counts the upstreams that accepted no connection.
	unreachable int
	// stageRestarts counts how often all stages were begun again.
	stageRestarts int
	exclude       []string
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// headerWritten is set once the header of a response was written to the caller.
	headerWritten bool

	// resetOnClose is set while a close of the caller's connection resets it.
	resetOnClose bool
	// response describes the body of the last response, and is empty before the first one.
	response responseBody

	status         int
	outcome        string
	reason         string
	detail         string
	upstream       *catalog.Member
	choice         *placement.Choice
	stagesDuration time.Duration
	firstByte      time.Duration
	// longestPause is the longest time between two events of a stream.
	longestPause time.Duration
}

// isIdempotent reports whether the request may run more than once, by its route.
func (q *request) isIdempotent() bool {
	return q.route.Kind == catalog.KindSafe || q.route.Kind == catalog.KindStreaming && q.route.Resumable
}

// accept matches the request to a route, authenticates it and checks the limits.
func (q *request) accept() *errorResponse {
	q.setBodyDeadline(q.started.Add(refusedBodyWait))
	if err := q.takeHead(); err != nil {
		q.closeUnread()
		q.g.intake.Count(intake.CauseMemory)
		return notExecuted(reasonMemory, "the gateway has no memory for the head", spentRetryAfter())
	}
	if !q.view.HasConfiguration() {
		return notExecuted(reasonNoConfiguration, "this gateway has no configuration yet", minRetryAfter)
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	host := q.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if q.route = q.view.Route(host, path); q.route == nil {
		return q.finalRefusal(http.StatusNotFound, reasonUnknownRoute, "no route matches the host and path")
	}
	if failure := q.authenticate(); failure != nil {
		return failure
	}
	refused := q.g.departure.refusesNew() && (q.route.Kind == catalog.KindStreaming || len(q.route.Stages) > 0)
	if refused || q.g.departure.refusesAll() {
		return notExecuted(reasonLeaving, "this gateway is shutting down", leavingRetryAfter)
	}
	q.service = q.view.Service(q.pickService())
	if q.service == nil {
		return notExecuted(reasonNoUpstream, "the route's service is not configured", minRetryAfter)
	}
	if failure := q.checkQuarantine(); failure != nil {
		return failure
	}
	q.setDeadline()
	return q.readBody()
}

// checkQuarantine refuses a request whose prompt is known to crash upstreams.
func (q *request) checkQuarantine() *errorResponse {
	refusal, ok := q.g.crashes.refuse(q.service.Name, q.prompt)
	if !ok {
		return nil
	}
	detail := fmt.Sprintf("%d upstreams crashed when they began to answer prompts with the parts %q", refusal.Crashes, refusal.Parts)
	if q.mayHaveRun {
		return mayHaveRun(http.StatusBadGateway, reasonQuarantined, detail)
	}
	return notExecuted(reasonQuarantined, detail, refusal.Left)
}

func (q *request) authenticate() *errorResponse {
	q.priority = q.route.Priority
	if !q.view.HasOrganisations() {
		return nil
	}
	o := q.view.Organisation(q.attrs.Key)
	if o == nil {
		if q.route.Public {
			return nil
		}
		return q.finalRefusal(http.StatusUnauthorized, reasonUnauthenticated, "the key belongs to no organisation")
	}
	q.organisation = o.Name
	if o.HasPriority {
		q.priority = o.Priority
	}
	return nil
}

// finalRefusal returns the response to a request that the configuration does not allow, after which
// callers don't come back. If a newer configuration may allow it, they may go to another gateway.
func (q *request) finalRefusal(status int, reason, detail string) *errorResponse {
	if q.g.isConfirmed(q.started) {
		return invalid(status, reason, detail)
	}
	return notExecuted(reasonUnconfirmed, fmt.Sprintf("%s by configuration %d, which may be outdated: neither the store nor other gateways confirm it", detail, q.view.Version()), minRetryAfter)
}

// pickService returns one of the route's services at random, by their weights.
func (q *request) pickService() string {
	total := 0.0
	for _, t := range q.route.Targets {
		total += t.Weight
	}
	remaining := rand.Float64() * total
	for _, t := range q.route.Targets {
		if remaining -= t.Weight; remaining < 0 {
			return t.Service
		}
	}
	return q.route.Targets[len(q.route.Targets)-1].Service
}

// callerDeadline returns the end of the time that the caller states, or of defaultTimeout.
func (q *request) callerDeadline() time.Time {
	if q.attrs.Remaining > 0 {
		return q.started.Add(q.attrs.Remaining)
	}
	return q.started.Add(defaultTimeout)
}

// setBodyDeadline limits how long the body may take to arrive. It also holds for a request that is
// refused, whose body the server discards before it writes the response. If there is no body, the
// server's background read, which detects that the caller disconnected, has begun and would be
// subject to the deadline.
func (q *request) setBodyDeadline(deadline time.Time) {
	if q.r.Body != http.NoBody {
		_ = http.NewResponseController(q.w).SetReadDeadline(deadline)
	}
}

func (q *request) setDeadline() {
	q.deadline = q.callerDeadline()
	if q.route.Timeout > 0 && q.started.Add(q.route.Timeout).Before(q.deadline) {
		q.deadline = q.started.Add(q.route.Timeout)
	}
	q.firstByteDeadline = q.deadline
	if q.route.Kind == catalog.KindStreaming {
		q.eventTimeout = max(minEventTimeout, eventObjectives*q.route.Objective, eventGaps*q.route.GapObjective)
		if end := q.started.Add(q.eventTimeout); end.Before(q.firstByteDeadline) {
			q.firstByteDeadline = end
		}
	}
}

func (q *request) readBody() *errorResponse {
	limits := q.view.Limits()
	if size := headerSize(q.r); size > max(limits.HeaderBytes, defaultHeaderBytes) {
		q.closeUnread()
		return invalid(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge, "the header is larger than the limit")
	}
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	controller := http.NewResponseController(q.w)
	if q.r.Body != http.NoBody {
		q.setBodyDeadline(q.deadline)
		if failure := q.receive(maxBytes); failure != nil {
			q.closeUnread()
			return failure
		}
	}
	// The background read begins at the end of the body.
	_ = controller.SetReadDeadline(time.Time{})
	_ = controller.SetWriteDeadline(q.deadline.Add(callerWriteGrace))
	return nil
}

// receive reads the body, for which memory is taken as it arrives.
func (q *request) receive(maxBytes int64) *errorResponse {
	q.held.Open(q.g.intake)
	if c := q.conn(); c != nil {
		q.held.AllowYield(c.setReadDeadline)
	}
	body, err := intake.ReadBody(q.r.Context(), q.r.Body, q.r.ContentLength, maxBytes, &q.held)
	var timeout net.Error
	switch {
	case err == nil:
		q.body = body
		// Trailers aren't sent on, and their fields would stay for as long as the request.
		q.r.Trailer = nil
		return nil
	case errors.Is(err, intake.ErrTooLarge):
		q.g.intake.Count(intake.CauseTooLarge)
		return invalid(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is larger than the limit")
	case errors.Is(err, intake.ErrSpent):
		q.g.intake.Count(intake.CauseMemory)
		return notExecuted(reasonMemory, "the gateway has no memory for the body", spentRetryAfter())
	case errors.Is(err, intake.ErrYielded):
		q.g.intake.Count(intake.CauseStalled)
		return notExecuted(reasonBodyStalled, "the body didn't arrive while others waited for memory", spentRetryAfter())
	case errors.As(err, &timeout) && timeout.Timeout():
		q.g.intake.Count(intake.CauseTimeout)
		return invalid(http.StatusRequestTimeout, reasonBodyTimeout, "the body didn't arrive in time")
	}
	return invalid(http.StatusBadRequest, reasonBodyBroken, "the request body is incomplete")
}

// takeHead takes the memory for what was parsed of the head, beyond what was taken as it arrived: the
// server may have read the beginning of the head with the request before it, and a prompt of many parts
// takes more than its field.
func (q *request) takeHead() error {
	cost := intake.RequestCost(q.r, len(q.prompt)+len(q.attrs.Pieces)) - intake.FreeHeadBytes
	if c := q.conn(); c != nil {
		cost -= c.headTaken
	}
	if cost <= 0 {
		return nil
	}
	q.heldHead.Open(q.g.intake)
	return q.heldHead.TakeWhole(q.r.Context(), cost)
}

// releaseBody gives the memory of the body back. It must not be sent any more.
func (q *request) releaseBody() {
	q.body = nil
	q.held.Release()
}

// releaseSentBody gives the memory of the body back once the upstream has all of it. The response has
// begun, so that the request isn't sent again.
func (q *request) releaseSentBody(resp *forward.Response) {
	if len(q.body) > 0 && resp.HasSent() {
		q.releaseBody()
	}
}

// closeUnread makes the server close the connection after the response and not read the rest of the
// body, for which it would wait before the response. http.MaxBytesReader tells the server so, whatever
// it reads from.
func (q *request) closeUnread() {
	q.setBodyDeadline(expiredDeadline)
	exceeded := http.MaxBytesReader(q.w, io.NopCloser(strings.NewReader("x")), 0)
	// The error is that of the limit.
	_, _ = exceeded.Read(make([]byte, 1))
}

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// serve runs the stages and sends the request to upstreams until one responds or it may not
// be retried.
func (q *request) serve(ctx context.Context) {
	defer q.releaseInputs()
	if failure := q.checkStageOutlook(); failure != nil {
		q.respondError(failure)
		return
	}
	if failure := q.runStages(ctx); failure != nil {
		q.respondError(failure)
		return
	}
	for {
		if failure := q.checkSend(); failure != nil {
			q.respondError(failure)
			return
		}
		choice, err := q.pickUpstream()
		if err != nil {
			q.respondError(q.noUpstreamResponse())
			return
		}
		retryable, err := q.trySend(ctx, choice)
		q.recordPrompt(ctx, choice.Member(), err)
		if err == nil {
			return
		}
		q.logFailedAttempt(choice.Member(), retryable, err)
		if ctx.Err() != nil {
			q.respondError(q.contextError(ctx))
			return
		}
		if q.headerWritten {
			q.abort("the stream broke")
			return
		}
		if q.canRestartStages(err) {
			if failure := q.restartStages(ctx); failure != nil {
				q.respondError(failure)
				return
			}
			continue
		}
		q.exclude = append(q.exclude, choice.Member().ID)
		if !retryable || q.hasReachedTooFew(err) {
			q.respondError(q.sendError(err))
			return
		}
	}
}

// hasReachedTooFew counts upstreams that accepted no connection, and reports whether there were
// too many of them for another attempt.
func (q *request) hasReachedTooFew(err error) bool {
	var failed *forward.Error
	if errors.As(err, &failed) && failed.State == forward.NotSent && !failed.Closed {
		q.unreachable++
		return q.unreachable >= maxConnectFailures
	}
	return false
}

// hasConnectionBroken reports whether the last attempt ended because the upstream closed the
// connection before it had answered much.
func (q *request) hasConnectionBroken(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errNoResponse) || errors.Is(err, errNoEvent) {
		return false
	}
	var failed *forward.Error
	if errors.As(err, &failed) && failed.State != forward.Unknown {
		return false
	}
	return q.response.end != bodyComplete && q.response.events <= maxEventsBeforeCrash
}

// logFailedAttempt logs a failed attempt with the parts of the prompt, by which requests that
// fail for the same cause can be found.
func (q *request) logFailedAttempt(m *catalog.Member, retryable bool, err error) {
	q.g.logger.Info().Str(instance.KeyRequest, instance.LogText(q.attrs.ID)).Str(instance.KeyUpstream, m.ID).
		Dur("entryAge", time.Since(m.Seen())).Int("sends", q.sends).Bool("again", retryable).
		Strs("parts", loggedParts(q.prompt)).Int("events", q.response.events).Err(err).Msg("attempt failed")
}

// loggedParts returns the first parts of a prompt for a log line.
func loggedParts(prompt []string) []string {
	parts := make([]string, min(len(prompt), maxLoggedParts))
	for i := range parts {
		parts[i] = instance.LogText(prompt[i])
	}
	return parts
}

// checkSend returns the response to a request that must not be sent to an upstream any more.
func (q *request) checkSend() *errorResponse {
	if !q.g.departure.admits(time.Now(), 0) {
		return q.leavingResponse()
	}
	return q.checkQuarantine()
}

// recordPrompt records what the outcome of the last attempt says of the prompt.
func (q *request) recordPrompt(ctx context.Context, m *catalog.Member, err error) {
	switch {
	case err == nil && q.response.end == bodyComplete && q.status/100 == 2:
		q.g.crashes.RecordSuccess(q.service.Name, q.prompt)
	case err != nil && q.hasConnectionBroken(ctx, err):
		q.g.crashes.RecordBroken(q.service.Name, m, q.prompt)
	}
}

// takeRetry takes a retry from the shared budget, if the route allows the request to run once
// more.
func (q *request) takeRetry() bool {
	return q.sends-q.refusals < max(1, q.route.Attempts) && q.g.budgets.For(q.service.Name, "").TryRetry()
}

// takeRetryAfterRefusal is takeRetry for a send that did not run, which is none of the route's
// attempts.
func (q *request) takeRetryAfterRefusal() bool {
	return q.refusals <= maxResendsAfterRefusal && q.takeRetry()
}

func (q *request) pickUpstream() (*placement.Choice, error) {
	view := q.g.catalog.View()
	return q.g.table.Pick(time.Now(), q.service, view.Upstreams(q.service.Name), placement.Request{
		Prompt:     q.attrs.Parts,
		Tokens:     q.attrs.PromptTokens,
		InputBytes: q.inputs.bytes,
		Exclude:    q.exclude,
		Domain:     q.g.cfg.FailureDomain,
	})
}

// errorResponse returns the response after the last send. It states that the request has
// not run unless an upstream may have run it.
func (q *request) errorResponse(reason, detail string) *errorResponse {
	if q.mayHaveRun {
		return mayHaveRun(http.StatusBadGateway, reason, detail)
	}
	return notExecuted(reason, detail, minRetryAfter)
}

// contextError returns the response to a request whose context ended.
func (q *request) contextError(ctx context.Context) *errorResponse {
	if errors.Is(context.Cause(ctx), errDeadline) {
		if q.mayHaveRun {
			return mayHaveRun(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before a response arrived")
		}
		return notExecuted(reasonDeadline, "the deadline passed before the request ran", minRetryAfter)
	}
	if errors.Is(context.Cause(ctx), errLeaving) {
		return q.leavingResponse()
	}
	return callerDisconnected
}

// leavingResponse returns the response to a request that this gateway can't finish before it
// exits. Its caller may go on at another gateway at once if it has not run.
func (q *request) leavingResponse() *errorResponse {
	if q.mayHaveRun {
		return mayHaveRun(http.StatusGatewayTimeout, reasonLeaving, "this gateway shut down before a response arrived")
	}
	return notExecuted(reasonLeaving, "this gateway is shutting down", leavingRetryAfter)
}

func (q *request) sendError(err error) *errorResponse {
	var failed *forward.Error
	if errors.As(err, &failed) && failed.InputMissing && !q.mayHaveRun {
		return notExecuted(reasonStageFailed, "a result of the stages no longer exists", minRetryAfter)
	}
	if errors.As(err, &failed) && failed.State == forward.NotExecuted && !q.mayHaveRun {
		if outlook := q.outlook(); outlook.IsHeldBack() {
			return q.heldBackResponse(outlook)
		}
		return notExecuted(reasonUpstreamFull, "all upstreams are full", minRetryAfter)
	}
	return q.errorResponse(reasonUpstreamFailed, "the upstream returned no valid response")
}

// respondError writes an error response that the gateway generates itself.
func (q *request) respondError(response *errorResponse) {
	if response == callerDisconnected {
		q.outcome = outcomeCallerGone
		panic(http.ErrAbortHandler)
	}
	q.reason, q.detail, q.status = response.reason, response.detail, response.status
	if q.headerWritten {
		q.abort(response.reason)
	}
	q.outcome = outcomeRefused
	if err := response.write(q.w, q.attrs.ID); err != nil {
		q.outcome = outcomeCallerGone
	}
}

// respondPanicked writes the response to a request whose handling panicked before its header was
// written.
func (q *request) respondPanicked() {
	// The header may already have fields of an upstream's response.
	clear(q.w.Header())
	q.w.Header().Set("Connection", "close")
	q.respondError(mayHaveRun(http.StatusBadGateway, reasonInternal, "the gateway failed to handle the request"))
}

// abort closes the connection, so that the caller sees that the response is incomplete.
func (q *request) abort(reason string) {
	q.outcome, q.reason = outcomeBrokenOff, reason
	panic(http.ErrAbortHandler)
}

// isIntakeRefusal reports whether the request was refused for its body. A crowd of such requests is
// logged by the budget.
func (q *request) isIntakeRefusal() bool {
	switch q.reason {
	case reasonMemory, reasonBodyStalled, reasonBodyTimeout, reasonBodyTooLarge:
		return true
	}
	return false
}

// finish logs the end of the request and updates the metrics.
func (q *request) finish() {
	took := time.Since(q.started)
	line := q.g.logger.Info()
	if q.isIntakeRefusal() && !q.g.refusalLines.Allow() {
		line = q.g.logger.Debug()
	}
	entry := line.Str(instance.KeyRequest, instance.LogText(q.attrs.ID))
	service := "none"
	if q.route != nil {
		entry = entry.Str("route", q.route.Name)
	}
	if q.service != nil {
		service = q.service.Name
		entry = entry.Str("service", service)
	}
	if q.organisation != "" {
		entry = entry.Str(instance.KeyOrganisation, q.organisation)
	}
	if q.upstream != nil {
		entry = entry.Str(instance.KeyUpstream, q.upstream.ID).Str(instance.KeyFailureDomain, q.upstream.FailureDomain).
			Int64("upstreamEntryAgeMs", time.Since(q.upstream.Seen()).Milliseconds())
	}
	if q.reason != "" {
		entry = entry.Str(instance.KeyReason, q.reason).Str("detail", q.detail)
	}
	if q.response.framing != "" {
		entry = entry.Str("framing", string(q.response.framing)).Str("bodyEnd", string(q.response.end)).Int("events", q.response.events)
	}
	if q.choice != nil {
		entry = entry.Int("uncachedTokens", q.choice.UncachedTokens()).Int64("predictedMs", q.choice.Predicted().Milliseconds()).Bool("preferred", q.choice.IsPreferred())
	}
	if q.deferred {
		entry = entry.Bool("yields", true)
	}
	if q.background {
		entry = entry.Bool("background", true)
	}
	entry.Int64(instance.KeyGeneration, q.view.Version()).Str("outcome", q.outcome).Int("status", q.status).Int("sends", q.sends).
		Int64("stagesMs", q.stagesDuration.Milliseconds()).Int64("firstByteMs", q.firstByte.Milliseconds()).
		Int64("longestPauseMs", q.longestPause.Milliseconds()).
		Int64("tookMs", took.Milliseconds()).Int64("leftMs", time.Until(q.deadline).Milliseconds()).Msg("request ended")
	if q.g.departure.isLeaving() {
		q.g.ended.add(q.outcome)
	}
	q.g.requests.Inc(requestLabels{service: service, outcome: q.outcome})
	q.g.latency.Record(service, took)
	if q.headerWritten {
		q.g.firstByteTime.Record(service, q.firstByte)
	}
}
