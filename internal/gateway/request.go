package gateway

import (
	"context"
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
	"bergamotrudder.example/bergamotrudder/internal/placement"
)

// errDeadline is the cause of a context whose request's time is over.
var errDeadline = errors.New("the request's time is over")

// errSilent is the cause of a try that ended because its upstream had not begun to answer.
var errSilent = errors.New("the upstream is silent")

// request is one attempt of a caller on its way through the gateway.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	// view is what the gateway believed when the request came.
	view  *catalog.View
	attrs dialect.Request

	route        *catalog.Route
	service      *catalog.Service
	organisation string
	priority     int
	body         []byte
	// deadline is when the caller stops waiting or the route's timeout, whichever is earlier.
	deadline time.Time
	// firstBy is when the caller stops waiting for the first byte, at the latest the deadline.
	firstBy time.Time
	inputs  inputs

	// yields is set for a request that lets others go first at its stages, and may still be
	// on time.
	yields bool
	// background is set for a request that can't be on time: it waits behind those that can.
	background bool

	// sends counts the upstreams that the request was sent to.
	sends   int
	exclude []string
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// begun is set once the head of an answer was written to the caller.
	begun bool

	status     int
	outcome    string
	reason     string
	detail     string
	upstream   *catalog.Member
	stagesTook time.Duration
	firstByte  time.Duration
}

// repeatable reports whether the request may run more than once.
func (q *request) repeatable() bool {
	return q.route.Kind == catalog.KindSafe || q.route.Kind == catalog.KindStreaming && q.route.Resumable
}

// accept finds the route and checks the request against it and the limits.
func (q *request) accept() *refusal {
	if !q.view.HasConfiguration() {
		return notRun(reasonNoConfiguration, "this gateway knows no configuration yet", shortRetry)
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	host := q.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if q.route = q.view.Route(host, path); q.route == nil {
		return invalid(http.StatusNotFound, reasonUnknownRoute, "no route takes this host and path")
	}
	if f := q.authenticate(); f != nil {
		return f
	}
	q.service = q.view.Service(q.pickTarget())
	if q.service == nil {
		return notRun(reasonNoUpstream, "the route's service is not configured", shortRetry)
	}
	q.setDeadline()
	return q.readBody()
}

func (q *request) authenticate() *refusal {
	q.priority = q.route.Priority
	if !q.view.HasOrganisations() {
		return nil
	}
	o := q.view.Organisation(q.attrs.Key)
	if o == nil {
		if q.route.Public {
			return nil
		}
		return invalid(http.StatusUnauthorized, reasonUnauthenticated, "the key belongs to no organisation")
	}
	q.organisation = o.Name
	if o.HasPriority {
		q.priority = o.Priority
	}
	return nil
}

// pickTarget returns one of the route's services by their weights.
func (q *request) pickTarget() string {
	total := 0.0
	for _, t := range q.route.Targets {
		total += t.Weight
	}
	at := rand.Float64() * total
	for _, t := range q.route.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return q.route.Targets[len(q.route.Targets)-1].Service
}

func (q *request) setDeadline() {
	q.deadline = q.started.Add(defaultTimeout)
	if q.attrs.Remaining > 0 {
		q.deadline = q.started.Add(q.attrs.Remaining)
	}
	if q.route.Timeout > 0 && q.started.Add(q.route.Timeout).Before(q.deadline) {
		q.deadline = q.started.Add(q.route.Timeout)
	}
	q.firstBy = q.deadline
	if q.route.Kind == catalog.KindStreaming {
		patience := max(minPatience, objectivePatience*q.route.Objective, gapPatience*q.route.GapObjective)
		if left := q.started.Add(patience); left.Before(q.firstBy) {
			q.firstBy = left
		}
	}
}

func (q *request) readBody() *refusal {
	limits := q.view.Limits()
	if size := headerSize(q.r); size > max(limits.HeaderBytes, defaultHeaderBytes) {
		return invalid(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge, "the header is larger than the limit")
	}
	reader := q.r.Body
	if limits.BodyBytes > 0 {
		reader = http.MaxBytesReader(q.w, q.r.Body, limits.BodyBytes)
	}
	// The deadline of the body is lifted once it was read, because the server also uses
	// it to notice that the caller has gone.
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(q.deadline)
	body, err := io.ReadAll(reader)
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return invalid(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is larger than the limit")
		}
		q.w.Header().Set("Connection", "close")
		return &refusal{status: http.StatusBadRequest, reason: reasonBodyBroken, detail: "the body did not arrive whole"}
	}
	_ = control.SetReadDeadline(time.Time{})
	q.body = body
	return nil
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

// serve runs the stages and sends the request until it has an answer.
func (q *request) serve(ctx context.Context) {
	defer q.releaseInputs()
	if f := q.runStages(ctx); f != nil {
		q.refuse(f)
		return
	}
	unreachable := 0
	for {
		choice, err := q.pick()
		if err != nil {
			q.refuse(q.refusal(reasonNoUpstream, "no upstream can take the request now"))
			return
		}
		more, err := q.attempt(ctx, choice)
		if err == nil {
			return
		}
		q.g.logger.Info().Str(instance.KeyRequest, q.attrs.ID).Str(instance.KeyUpstream, choice.Member().ID).
			Dur("entryAge", time.Since(choice.Member().Seen())).Int("sends", q.sends).Bool("again", more).Err(err).Msg("attempt failed")
		if ctx.Err() != nil {
			q.refuse(q.ended(ctx))
			return
		}
		if q.begun {
			q.abort("the stream broke")
			return
		}
		q.exclude = append(q.exclude, choice.Member().ID)
		var failed *forward.Error
		if errors.As(err, &failed) && failed.State == forward.NotSent {
			if unreachable++; unreachable >= maxUnreachable {
				more = false
			}
		}
		if !more {
			q.refuse(q.afterFailure(err))
			return
		}
	}
}

// mayRepeat takes one repeat from the shared budget, if the route allows another send.
func (q *request) mayRepeat() bool {
	return q.sends < max(1, q.route.Attempts) && q.g.budgets.For(q.service.Name, "").TryRetry()
}

func (q *request) pick() (*placement.Choice, error) {
	view := q.g.catalog.View()
	return q.g.table.Pick(time.Now(), q.service, view.Upstreams(q.service.Name), placement.Request{
		Prompt:     q.attrs.Parts,
		Tokens:     q.attrs.PromptTokens,
		InputBytes: q.inputs.bytes,
		Exclude:    q.exclude,
		Domain:     q.g.cfg.FailureDomain,
	})
}

// refusal is the answer when nothing more is tried: a promise if it can be kept.
func (q *request) refusal(reason, detail string) *refusal {
	if q.mayHaveRun {
		return mayHaveRun(http.StatusBadGateway, reason, detail)
	}
	return notRun(reason, detail, shortRetry)
}

// ended is the answer to a request whose context ended.
func (q *request) ended(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), errDeadline) {
		if q.mayHaveRun {
			return mayHaveRun(http.StatusGatewayTimeout, reasonDeadline, "the time was over before the answer was there")
		}
		return notRun(reasonDeadline, "the time was over before the request ran", shortRetry)
	}
	return callerGone
}

func (q *request) afterFailure(err error) *refusal {
	var failed *forward.Error
	if errors.As(err, &failed) && failed.State == forward.NotExecuted && !q.mayHaveRun {
		return notRun(reasonUpstreamFull, "the upstreams are full", max(failed.RetryAfter, shortRetry))
	}
	return q.refusal(reasonUpstreamFailed, "the upstream brought no usable answer")
}

// refuse writes an answer of the gateway's own.
func (q *request) refuse(f *refusal) {
	if f == callerGone {
		q.outcome = outcomeCallerGone
		panic(http.ErrAbortHandler)
	}
	q.reason, q.detail, q.status = f.reason, f.detail, f.status
	if q.begun {
		q.abort(f.reason)
	}
	q.outcome = outcomeRefused
	if err := f.write(q.w, q.attrs.ID); err != nil {
		q.outcome = outcomeCallerGone
	}
}

// abort breaks the connection, so that an answer that has begun doesn't look whole.
func (q *request) abort(reason string) {
	q.outcome, q.reason = outcomeBrokenOff, reason
	panic(http.ErrAbortHandler)
}

// finish records how the request ended.
func (q *request) finish() {
	took := time.Since(q.started)
	entry := q.g.logger.Info().Str(instance.KeyRequest, q.attrs.ID)
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
	if q.yields {
		entry = entry.Bool("yields", true)
	}
	if q.background {
		entry = entry.Bool("background", true)
	}
	entry.Int64(instance.KeyGeneration, q.view.Version()).Str("outcome", q.outcome).Int("status", q.status).Int("sends", q.sends).
		Int64("stagesMs", q.stagesTook.Milliseconds()).Int64("firstByteMs", q.firstByte.Milliseconds()).
		Int64("tookMs", took.Milliseconds()).Int64("leftMs", time.Until(q.deadline).Milliseconds()).Msg("request ended")
	q.g.ended.Inc(ending{service: service, outcome: q.outcome})
	q.g.latency.Record(service, took)
	if q.begun {
		q.g.first.Record(service, q.firstByte)
	}
}
