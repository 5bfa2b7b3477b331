package availability

import (
	"cmp"
	"slices"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
)

const (
	// maxLimitNotices bounds the notices of limits in one heartbeat, about 80 bytes each.
	maxLimitNotices = 256
	// unknownShareWait is how long a limited upstream gets nothing from a gateway that doesn't know
	// yet how many share the limit.
	unknownShareWait = time.Second
)

// Grant is what a request was granted when it was placed on an upstream.
type Grant struct {
	isProbe bool
	turn    ratelimit.Reservation
}

// IsProbe reports whether the request probes the upstream after a back-off.
func (g Grant) IsProbe() bool { return g.isProbe }

// LimitNotice tells another gateway of a statement of an upstream.
type LimitNotice struct {
	Start catalog.Start
	// PerSecond is the limit if IsLimited; otherwise the upstream has ended its limit.
	PerSecond float64
	IsLimited bool
	// Age is how long ago the statement was read.
	Age time.Duration
}

// UseShares sets the function that returns the part of an upstream's limit that belongs to this
// gateway, if that is known. It must be called before the first request.
func (j *Judge) UseShares(shareOf func(service, id string) (ratelimit.Share, bool)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.shareOf = shareOf
}

// share is the function of UseShares; without it the whole limit belongs to this gateway.
func (j *Judge) share(service, id string) (ratelimit.Share, bool) {
	if j.shareOf == nil {
		return ratelimit.Share{Count: 1}, true
	}
	return j.shareOf(service, id)
}

// observeLimit records what the answer says of the limit of its upstream. Without a limit it does
// nothing unless one is known: j.limited counts the records with a limit.
func (j *Judge) observeLimit(o forward.Observation) {
	if !o.Info.HasLimit && (o.Info.InvalidLimit != "" || j.limited.Load() == 0) {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	start := catalog.Start{ID: o.Target.ID, Address: o.Target.Address, Born: o.Target.Born}
	if !o.Info.HasLimit && j.upstreams[start] == nil {
		return
	}
	now := time.Now()
	u := j.record(start)
	j.changeLimit(u, "", func() ratelimit.Change {
		change := u.limit.Observe(ratelimit.Answer{Read: now, Sent: o.Sent, PerSecond: o.Info.Limit, IsStated: o.Info.HasLimit})
		if o.Info.HasLimit || change == ratelimit.Ended {
			u.limitSaid = signal{at: now, request: instance.LogText(o.Request), opened: o.Opened, requested: o.Sent}
		}
		return change
	})
	j.carry(u)
}

// AdoptLimits records what another gateway, which replied to a call that was sent at the time, knows
// of limits. The age of a statement is counted from the call, so that a statement never becomes
// younger by being passed on.
func (j *Judge) AdoptLimits(gateway string, notices []LimitNotice, sent time.Time) {
	if len(notices) == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, n := range notices[:min(len(notices), maxLimitNotices)] {
		if j.upstreams[n.Start] == nil && (j.view == nil || j.view.Registration(n.Start) == catalog.Unregistered) {
			continue
		}
		u := j.record(n.Start)
		j.changeLimit(u, gateway, func() ratelimit.Change {
			return u.limit.Adopt(ratelimit.Statement{PerSecond: n.PerSecond, IsLimited: n.IsLimited, At: sent.Add(-max(n.Age, 0))})
		})
	}
}

// carryLimit passes what was read of the limit under the name of one start on to the registered
// one, if it holds for that one too. The caller holds mu.
func (j *Judge) carryLimit(u *Upstream, m *catalog.Member) {
	var said signal
	var stated ratelimit.Statement
	instance.Locked(&u.mu, func() { said, stated = u.limitSaid, u.limit.Statement() })
	if !holdsFor(said, u.start, m) {
		return
	}
	to := j.record(m.Start())
	j.changeLimit(to, "", func() ratelimit.Change {
		change := to.limit.Adopt(stated)
		if change != ratelimit.Unchanged {
			to.limitSaid = said
		}
		return change
	})
}

// changeLimit applies a statement to the record, and logs and counts a change. gateway is the one
// that read it, or empty for this one. The caller holds mu.
func (j *Judge) changeLimit(u *Upstream, gateway string, apply func() ratelimit.Change) {
	var wasActive, isActive bool
	var change ratelimit.Change
	var service, request string
	var perSecond float64
	instance.Locked(&u.mu, func() {
		wasActive = u.limit.IsActive()
		change = apply()
		isActive, perSecond = u.limit.IsActive(), u.limit.Statement().PerSecond
		u.isLimited.Store(isActive)
		if until := u.limit.NewsUntil(); until.After(j.newsUntil) {
			j.newsUntil = until
		}
		service, request = u.service, u.limitSaid.request
	})
	if wasActive != isActive {
		if isActive {
			j.limited.Add(1)
		} else {
			j.limited.Add(-1)
		}
	}
	var entry *log.Entry
	var text string
	switch change {
	case ratelimit.Stated:
		j.signals.Inc(signalLabels{service: service, kind: kindLimit})
		entry, text = j.logger.Info().Float64("perSecond", perSecond), "upstream limits the requests from all gateways"
	case ratelimit.Ended:
		j.signals.Inc(signalLabels{service: service, kind: kindLimitEnd})
		entry, text = j.logger.Info(), "upstream limits requests no longer"
	default:
		return
	}
	if gateway != "" {
		entry = entry.Str("gateway", gateway)
	} else {
		entry = entry.Str(instance.KeyRequest, request)
	}
	entry.Str(instance.KeyUpstream, u.start.ID).Int64("born", u.start.Born).Str("service", service).Msg(text)
}

// LimitNotices returns what other gateways should be told of limits.
func (j *Judge) LimitNotices(now time.Time) []LimitNotice {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.limited.Load() == 0 && now.After(j.newsUntil) {
		return nil
	}
	var notices []LimitNotice
	for _, u := range j.upstreams {
		if len(notices) == maxLimitNotices {
			break
		}
		instance.Locked(&u.mu, func() {
			if u.registration == catalog.Unregistered || !u.limit.IsNews(now) {
				return
			}
			s := u.limit.Statement()
			notices = append(notices, LimitNotice{Start: u.start, PerSecond: s.PerSecond, IsLimited: s.IsLimited, Age: now.Sub(s.At)})
		})
	}
	return notices
}

// checkLimit judges by the limit of the upstream. The caller holds mu.
func (u *Upstream) checkLimit(now time.Time) Verdict {
	if !u.limit.IsActive() {
		return Verdict{}
	}
	share, isKnown := u.shareOf(u.service, u.start.ID)
	if !isKnown {
		return Verdict{Reason: Limited, Until: now.Add(unknownShareWait)}
	}
	if until, ok := u.limit.Next(now, u.start.ID, share); !ok {
		return Verdict{Reason: Limited, Until: until}
	}
	return Verdict{}
}

// reserveTurn takes a turn for a request that was placed, if the upstream is limited. The caller
// holds mu.
func (u *Upstream) reserveTurn(now time.Time) ratelimit.Reservation {
	if !u.limit.IsActive() {
		return ratelimit.Reservation{}
	}
	share, isKnown := u.shareOf(u.service, u.start.ID)
	if !isKnown {
		return ratelimit.Reservation{}
	}
	return u.limit.Reserve(now, u.start.ID, share)
}

// takeTurn judges by the limit whether a request may be written now, and counts it. The caller holds
// mu.
func (u *Upstream) takeTurn(now time.Time, g *Grant) Verdict {
	if !u.limit.IsActive() {
		return Verdict{}
	}
	share, isKnown := u.shareOf(u.service, u.start.ID)
	if isKnown && u.limit.Admit(now, u.start.ID, share, &g.turn) {
		return Verdict{}
	}
	if v := u.checkLimit(now); !v.IsOpen() {
		return v
	}
	return Verdict{Reason: Limited, Until: now}
}

// IsLimitStale reports whether the upstream is limited and should be asked again: only its answers
// tell that the limit has ended.
func (u *Upstream) IsLimitStale(now time.Time) bool {
	if !u.isLimited.Load() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit.IsStale(now)
}

// LimitRate returns the requests a second that this gateway may send to the upstream by its limit,
// and whether it has one.
func (u *Upstream) LimitRate() (perSecond float64, isLimited bool) {
	if !u.isLimited.Load() {
		return 0, false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.limit.IsActive() {
		return 0, false
	}
	share, _ := u.shareOf(u.service, u.start.ID)
	return u.limit.Rate(share), true
}

// LimitState is the limit of an upstream, for the dump of the process's state.
type LimitState struct {
	ID        string  `json:"id"`
	Service   string  `json:"service"`
	Born      int64   `json:"born"`
	PerSecond float64 `json:"perSecond"`
	// OwnPerSecond is the part of this gateway.
	OwnPerSecond float64 `json:"ownPerSecond"`
	// NextMs is the time until the next turn of this gateway, and AgeMs how long ago the limit was
	// stated last, to whichever gateway.
	NextMs int64 `json:"nextMs"`
	AgeMs  int64 `json:"ageMs"`
	// Request is the id of the attempt whose response stated the limit to this gateway.
	Request string `json:"request,omitempty"`
}

// LimitStates returns the registered upstreams that state a limit.
func (j *Judge) LimitStates(now time.Time) []LimitState {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []LimitState
	for _, u := range j.upstreams {
		instance.Locked(&u.mu, func() {
			if !u.limit.IsActive() || u.registration == catalog.Unregistered {
				return
			}
			s := u.limit.Statement()
			share, _ := u.shareOf(u.service, u.start.ID)
			list = append(list, LimitState{
				ID: u.start.ID, Service: u.service, Born: u.start.Born, PerSecond: s.PerSecond, OwnPerSecond: u.limit.Rate(share),
				NextMs: max(0, u.checkLimit(now).Until.Sub(now).Milliseconds()), AgeMs: now.Sub(s.At).Milliseconds(), Request: u.limitSaid.request,
			})
		})
	}
	slices.SortFunc(list, func(a, b LimitState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list
}
