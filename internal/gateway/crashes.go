package gateway

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

const (
	// crashGatherTime is the time in which the requests that a crash broke are gathered: a
	// crash closes all connections within a few milliseconds.
	crashGatherTime = 50 * time.Millisecond
	// maxCrashesInProgress bounds the broken upstreams that are examined at a time.
	maxCrashesInProgress = 256
	// crashCallTimeout bounds the calls to other gateways about a crash.
	crashCallTimeout = 300 * time.Millisecond
	// maxCrashAge bounds how long ago the crash was that another gateway reports.
	maxCrashAge = 10 * time.Second
	// maxEventsBeforeCrash is the number of complete events from which on a broken stream does
	// not count as what its upstream crashed on: a part that crashes upstreams does so when the
	// upstream begins to write the answer.
	maxEventsBeforeCrash = 1
	// maxNotices bounds the sets that are adopted from one heartbeat.
	maxNotices = 64
)

// Crashes finds out on which parts of prompts upstreams crash, together with the other
// gateways: each sees only the requests that it sent itself. There is no coordinator; each
// gateway decides by what it knows and has been told.
type Crashes struct {
	table   *quarantine.Table
	judge   *availability.Judge
	pool    *forward.Pool
	roster  *roster.Roster
	call    CallFunc
	logger  *log.Logger
	crashes *instance.CounterVec[string]
	changes *instance.CounterVec[quarantineLabels]
	refused *instance.CounterVec[string]

	mu sync.Mutex
	// inProgress are the upstreams with requests that broke a moment ago, by id and start.
	inProgress map[string]*brokenUpstream
	// deciding is set while the other gateways are asked about a suspect, and decideAgain if
	// there may be another one after it.
	deciding    bool
	decideAgain bool
}

// quarantineLabels are the metric labels of a change of a set in quarantine.
type quarantineLabels struct {
	service string
	kind    quarantine.ChangeKind
}

// brokenUpstream is an upstream whose connections broke a moment ago.
type brokenUpstream struct {
	service string
	id      string
	address string
	record  *availability.Upstream
	at      time.Time
	prompts [][]string
}

// NewCrashes returns crashes without evidence.
func NewCrashes(table *quarantine.Table, judge *availability.Judge, pool *forward.Pool, r *roster.Roster, call CallFunc, logger *log.Logger, scope tally.Scope) *Crashes {
	byService := func(service string) map[string]string { return map[string]string{"service": service} }
	return &Crashes{
		table: table, judge: judge, pool: pool, roster: r, call: call, logger: logger, inProgress: make(map[string]*brokenUpstream),
		crashes: instance.NewCounterVec(scope, "upstreamCrashes", byService),
		changes: instance.NewCounterVec(scope, "quarantineChanges", func(labels quarantineLabels) map[string]string {
			return map[string]string{"service": labels.service, "kind": string(labels.kind)}
		}),
		refused: instance.NewCounterVec(scope, "quarantineRefusals", byService),
	}
}

// partIDs returns the ids of the parts of a prompt.
func partIDs(parts []dialect.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// RecordSuccess records a whole response to a prompt.
func (c *Crashes) RecordSuccess(service string, prompt []string) {
	if len(prompt) > 0 {
		c.reportChanges(c.table.RecordSuccess(time.Now(), service, prompt))
	}
}

// RecordBroken records that the connection of a request broke before its upstream had answered
// much. If it turns out that the upstream crashed, the prompt may be the cause.
func (c *Crashes) RecordBroken(service string, m *catalog.Member, prompt []string) {
	if len(prompt) == 0 {
		return
	}
	key := m.ID + "/" + strconv.FormatInt(m.Born, 10)
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.inProgress[key]
	if b != nil {
		b.prompts = append(b.prompts, prompt)
		return
	}
	if len(c.inProgress) >= maxCrashesInProgress {
		return
	}
	c.inProgress[key] = &brokenUpstream{service: service, id: m.ID, address: m.Address, record: c.judge.Upstream(m), at: time.Now(), prompts: [][]string{prompt}}
	go instance.GuardLogged(c.logger, "crash", func() { c.examine(key) })
}

// takeInProgress ends the gathering of broken connections of an upstream and returns them.
func (c *Crashes) takeInProgress(key string) *brokenUpstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.inProgress[key]
	delete(c.inProgress, key)
	return b
}

// examine finds out whether an upstream whose connections broke has crashed: it accepts no
// connection then. One that doesn't respond at all may be unreachable.
func (c *Crashes) examine(key string) {
	time.Sleep(crashGatherTime)
	b := c.takeInProgress(key)
	if v := b.record.CheckSignals(time.Now()); !v.IsOpen() {
		// One that leaves closes its connections anyway, and one that is quiet wants no probe.
		c.logger.Debug().Str(instance.KeyUpstream, b.id).Str(instance.KeyReason, string(v.Reason)).Msg("broken connections of an upstream not examined")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), forward.DialTimeout)
	defer cancel()
	err := c.pool.Probe(ctx, b.address)
	var netErr net.Error
	if err == nil || ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout() {
		return
	}
	c.crashes.Inc(b.service)
	now := time.Now()
	crash := quarantine.Crash{Service: b.service, Upstream: key, At: b.at, Prompts: c.table.Suspected(now, b.service, b.prompts)}
	c.logger.Info().Str("service", b.service).Str(instance.KeyUpstream, b.id).Int("broken", len(b.prompts)).Int("suspected", len(crash.Prompts)).Msg("upstream crashed")
	if len(crash.Prompts) == 0 {
		return
	}
	c.reportChanges(c.table.RecordCrash(now, crash))
	args := &CrashReport{Service: crash.Service, Upstream: crash.Upstream, Ago: now.Sub(crash.At), Prompts: crash.Prompts}
	c.askAll("Gateway.ReportCrash", args, crash.Service)
	c.decide()
}

// notices returns the sets in quarantine for other gateways.
func (c *Crashes) notices() []quarantine.Notice { return c.table.Notices(time.Now()) }

// adopt puts the sets in quarantine that another gateway has in quarantine.
func (c *Crashes) adopt(notices []quarantine.Notice) {
	for _, n := range notices[:min(len(notices), maxNotices)] {
		c.reportChanges(c.table.Adopt(time.Now(), n))
	}
}

// refuse reports whether the prompt must not reach an upstream of the service, and why.
func (c *Crashes) refuse(service string, prompt []string) (quarantine.Refusal, bool) {
	if len(prompt) == 0 {
		return quarantine.Refusal{}, false
	}
	refusal, ok := c.table.Refuse(time.Now(), service, prompt)
	if ok {
		c.refused.Inc(service)
	}
	return refusal, ok
}

// Expire drops what is no longer evidence.
func (c *Crashes) Expire(context.Context) { c.reportChanges(c.table.Expire(time.Now())) }

// States returns the sets in quarantine and on probation.
func (c *Crashes) States() []quarantine.State { return c.table.States(time.Now()) }

// reportChanges logs and counts changes of the sets in quarantine.
func (c *Crashes) reportChanges(changes []quarantine.Change) {
	for _, change := range changes {
		c.changes.Inc(quarantineLabels{service: change.Service, kind: change.Kind})
		c.logger.Warn().Str("service", change.Service).Str("change", string(change.Kind)).Strs("parts", change.Parts).
			Int("crashes", change.Crashes).Dur("left", change.Left).Msg("quarantine of prompt parts")
	}
}
