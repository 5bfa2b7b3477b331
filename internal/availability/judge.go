package availability

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
)

const (
	// retention is how long the record of a start is kept after its registration is gone. The
	// store may list it again: it was restored to an older copy, or the upstream reaches it
	// again.
	retention = time.Hour
	// maxRecords bounds the records: several times the upstreams of the largest fleet.
	maxRecords = 16384
	// maxClockSkew is the difference between the clocks of a gateway and an upstream up to
	// which an upstream's start is compared with the time of a connection.
	maxClockSkew = time.Second
)

// Judge has the records of all upstreams. It is safe for concurrent use.
type Judge struct {
	logger  *log.Logger
	signals *instance.CounterVec[signalLabels]

	mu        sync.Mutex
	view      *catalog.View
	upstreams map[catalog.Start]*Upstream
	closures  map[Version]Closure
	shareOf   func(service, id string) (ratelimit.Share, bool)

	// limited counts the records with a limit, and newsUntil is until when the end of one is passed
	// on to other gateways. mu guards newsUntil.
	limited   atomic.Int64
	newsUntil time.Time
}

// signalLabels are the metric labels of a signal in a response.
type signalLabels struct {
	service string
	kind    string
}

// Kinds of signals in logs and metrics.
const (
	kindLeaving = "leaving"
	kindQuiet   = "quiet"
	kindInvalid = "invalid"
	kindLimit   = "limit"
	// kindLimitEnd is the first answer without a limit.
	kindLimitEnd = "limitEnd"
)

// New returns a judge without records. Until the first Update, each upstream counts as
// registered.
func New(logger *log.Logger, scope tally.Scope) *Judge {
	return &Judge{
		logger:    logger,
		upstreams: make(map[catalog.Start]*Upstream),
		signals: instance.NewCounterVec(scope, "upstreamSignals", func(labels signalLabels) map[string]string {
			return map[string]string{"service": labels.service, "kind": labels.kind}
		}),
	}
}

// Upstream returns the record of the start that the member is.
func (j *Judge) Upstream(m *catalog.Member) *Upstream {
	j.mu.Lock()
	defer j.mu.Unlock()
	u := j.record(m.Start())
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.service != m.Service || u.version != m.Version {
		u.service, u.version = m.Service, m.Version
		u.closure = j.closures[Version{Service: m.Service, Version: m.Version}]
	}
	return u
}

// record returns the record of the start. The caller holds mu.
func (j *Judge) record(start catalog.Start) *Upstream {
	u := j.upstreams[start]
	if u != nil {
		return u
	}
	u = &Upstream{start: start, shareOf: j.share}
	if j.view != nil {
		u.setRegistration(time.Now(), j.view.Registration(start))
	}
	j.upstreams[start] = u
	return u
}

// setRegistration sets the state of the registration. The caller holds mu, or is the only one
// that has the record.
func (u *Upstream) setRegistration(now time.Time, r catalog.Registration) {
	if r == catalog.Unregistered && u.registration != catalog.Unregistered {
		u.unregisteredAt = now
	}
	u.registration = r
}

// Update applies a new view of the catalog to the records.
func (j *Judge) Update(v *catalog.View) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.view = v
	for _, u := range j.upstreams {
		var expired bool
		instance.Locked(&u.mu, func() {
			u.setRegistration(now, v.Registration(u.start))
			expired = u.registration == catalog.Unregistered && now.Sub(u.unregisteredAt) > retention
		})
		if expired {
			j.forget(u)
			continue
		}
		j.carry(u)
	}
	j.evict()
}

// carry passes what was read under the name of one start on to the registered start of the
// upstream, if it holds for that one too. The caller holds mu.
func (j *Judge) carry(u *Upstream) {
	if j.view == nil {
		return
	}
	m := j.view.Registered(u.start.ID)
	if m == nil || m.Start() == u.start {
		return
	}
	leaving, quiet := u.signals()
	if holdsFor(leaving, u.start, m) {
		j.setLeaving(j.record(m.Start()), leaving)
	}
	if holdsFor(quiet.signal, u.start, m) {
		j.setQuiet(j.record(m.Start()), quiet.signal, quiet.end)
	}
	j.carryLimit(u, m)
}

// signals returns what the upstream said last.
func (u *Upstream) signals() (leaving signal, quiet quietTime) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving, u.quiet
}

// holdsFor reports whether a signal that was read under the name of one start holds for the
// registered one. It came from the registered one if its connection was opened, or its request written,
// after that had begun: a connection doesn't outlive the start that it was opened to. And a registration of an earlier start is an old copy, under which the later one is
// reached.
func holdsFor(s signal, start catalog.Start, m *catalog.Member) bool {
	if s.at.IsZero() || m.Address != start.Address {
		return false
	}
	return m.Born < start.Born || m.Born > start.Born && s.begun().After(time.UnixMilli(m.Born).Add(maxClockSkew))
}

// evict drops the records beyond maxRecords that have been without a registration for longest.
// The caller holds mu.
func (j *Judge) evict() {
	excess := len(j.upstreams) - maxRecords
	if excess <= 0 {
		return
	}
	var gone []*Upstream
	for _, u := range j.upstreams {
		if u.registration == catalog.Unregistered {
			gone = append(gone, u)
		}
	}
	slices.SortFunc(gone, func(a, b *Upstream) int { return a.unregisteredAt.Compare(b.unregisteredAt) })
	for _, u := range gone[:min(excess, len(gone))] {
		j.forget(u)
	}
}

// forget drops a record. The caller holds mu.
func (j *Judge) forget(u *Upstream) {
	delete(j.upstreams, u.start)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit.IsActive() {
		j.limited.Add(-1)
	}
}

// Observe records what the head of a response says of its upstream.
func (j *Judge) Observe(o forward.Observation) {
	if o.Info.Load.Slots > 0 {
		j.setLoad(o)
	}
	j.observeLimit(o)
	isRefusal := o.Status == http.StatusServiceUnavailable
	isQuiet := isRefusal && o.Info.RetryAfter > 0
	isInvalid := o.Info.InvalidLeaving != "" || o.Info.InvalidLimit != "" || isRefusal && o.Info.InvalidRetryAfter != ""
	if !o.Info.Leaving && !isQuiet && !isInvalid {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	s := signal{at: time.Now(), request: instance.LogText(o.Request), opened: o.Opened, requested: o.Sent}
	u := j.record(catalog.Start{ID: o.Target.ID, Address: o.Target.Address, Born: o.Target.Born})
	if isInvalid {
		j.reportInvalid(u, s, o.Info)
	}
	if o.Info.Leaving {
		j.setLeaving(u, s)
	}
	if isQuiet {
		s.isShortened = o.Info.RetryAfter > maxQuiet
		j.setQuiet(u, s, s.at.Add(min(o.Info.RetryAfter, maxQuiet)))
	}
	j.carry(u)
}

// setLoad records the load that an upstream stated, if it is known.
func (j *Judge) setLoad(o forward.Observation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if u := j.upstreams[catalog.Start{ID: o.Target.ID, Address: o.Target.Address, Born: o.Target.Born}]; u != nil {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.load, u.loadAt = o.Info.Load, time.Now()
	}
}

// setQuiet records that the upstream wants no requests until the end. The caller holds mu of
// the judge.
func (j *Judge) setQuiet(u *Upstream, s signal, end time.Time) {
	var report bool
	var service string
	var until time.Time
	instance.Locked(&u.mu, func() {
		report = u.quiet.extend(s, end, rand.N(returnSpread))
		service, until = u.service, u.quiet.until
	})
	if !report {
		return
	}
	j.signals.Inc(signalLabels{service: service, kind: kindQuiet})
	j.logger.Info().Str(instance.KeyRequest, s.request).Str(instance.KeyUpstream, u.start.ID).Int64("born", u.start.Born).Str("service", service).
		Dur("quietFor", end.Sub(s.at)).Bool("shortened", s.isShortened).Dur("closedFor", until.Sub(s.at)).Dur("age", time.Since(s.at)).
		Dur("connectionAge", s.at.Sub(s.opened)).Msg("upstream asked for quiet; it gets no requests meanwhile")
}

// setLeaving records that the upstream leaves. The caller holds mu of the judge.
func (j *Judge) setLeaving(u *Upstream, s signal) {
	var known bool
	var service string
	var registration catalog.Registration
	instance.Locked(&u.mu, func() {
		known = !u.leaving.at.IsZero()
		if !known || s.begun().After(u.leaving.begun()) {
			u.leaving = s
		}
		service, registration = u.service, u.registration
	})
	if known {
		return
	}
	j.signals.Inc(signalLabels{service: service, kind: kindLeaving})
	j.logger.Info().Str(instance.KeyRequest, s.request).Str(instance.KeyUpstream, u.start.ID).Int64("born", u.start.Born).Str("service", service).
		Str("registration", registration.String()).Dur("age", time.Since(s.at)).Dur("connectionAge", s.at.Sub(s.opened)).Msg("upstream says that it leaves; it gets no new requests")
}

// reportInvalid logs a signal that can't be read and is ignored, unless the upstream sent the same
// before. The caller holds mu of the judge.
func (j *Judge) reportInvalid(u *Upstream, s signal, info dialect.ResponseInfo) {
	j.signals.Inc(signalLabels{service: u.service, kind: kindInvalid})
	values := info.InvalidLeaving + "\x00" + info.InvalidRetryAfter + "\x00" + info.InvalidLimit
	if u.invalid == values {
		return
	}
	u.invalid = values
	j.logger.Warn().Str(instance.KeyRequest, s.request).Str(instance.KeyUpstream, u.start.ID).Str("leaving", info.InvalidLeaving).
		Str("retryAfter", info.InvalidRetryAfter).Str("limit", info.InvalidLimit).Msg("signal of an upstream ignored: its value can't be read")
}
