package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
)

// CrashReport tells another gateway of a crash and of the suspected prompts that the sender had
// sent.
type CrashReport struct {
	Service  string
	Upstream string
	Ago      time.Duration
	Prompts  [][]string
}

// SoundQuery asks which of the parts were in whole responses within the time.
type SoundQuery struct {
	Service string
	Parts   []string
	Within  time.Duration
}

// SoundParts are parts that were in whole responses.
type SoundParts struct{ Parts []string }

// askAll calls the method at all other live gateways, waits for their replies for at most
// crashCallTimeout, and records the parts that they know to be sound.
func (c *Crashes) askAll(method string, args any, service string) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, gateway := range c.roster.Live() {
		wg.Go(func() {
			reply := &SoundParts{}
			var err error
			if panicked := instance.Guard(func() { err = c.call(ctx, gateway.Address, method, args, reply) }); panicked != nil {
				instance.LogPanic(c.logger, "crash", panicked)
				return
			}
			if err != nil {
				c.logger.Debug().Err(err).Str("gateway", gateway.Name).Str("method", method).Msg("another gateway was not asked about a crash")
				return
			}
			c.reportChanges(c.table.RecordSound(time.Now(), service, reply.Parts))
		})
	}
	wg.Wait()
}

// decide confines the suspects, each after the other gateways were asked for whole responses
// with its parts.
func (c *Crashes) decide() {
	if !c.beginDecision() {
		return
	}
	for again := true; again; {
		confined := false
		// After a panic the decision ends as well, so that later crashes are considered.
		instance.GuardLogged(c.logger, "crash", func() { confined = c.confineSuspects() })
		again = confined || c.endDecision()
	}
}

// confineSuspects asks for whole responses with the parts of the suspects and confines those that
// remain. It reports whether there were any.
func (c *Crashes) confineSuspects() bool {
	asked := c.table.Suspects(time.Now())
	for _, suspect := range asked {
		query := &SoundQuery{Service: suspect.Service, Parts: suspect.Parts, Within: time.Since(suspect.Since)}
		c.askAll("Gateway.FindSound", query, suspect.Service)
	}
	for _, suspect := range c.table.Suspects(time.Now()) {
		if slices.ContainsFunc(asked, suspect.IsWithin) {
			c.reportChanges(c.table.Confine(time.Now(), suspect))
		}
	}
	return len(asked) > 0
}

// beginDecision reports whether no decision is in progress. Otherwise the one in progress
// considers what is known now as well.
func (c *Crashes) beginDecision() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decideAgain = c.deciding
	if c.deciding {
		return false
	}
	c.deciding = true
	return true
}

// endDecision ends the decision in progress, unless there is more to consider.
func (c *Crashes) endDecision() (again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	again, c.decideAgain = c.decideAgain, false
	c.deciding = again
	return again
}

// reportCrash records the report of another gateway and returns the parts that are sound.
func (c *Crashes) reportCrash(report *CrashReport) []string {
	now := time.Now()
	ago := min(max(report.Ago, 0), maxCrashAge)
	sound := c.table.SoundBefore(now.Add(-ago), report.Service, report.Prompts)
	c.reportChanges(c.table.RecordCrash(now, quarantine.Crash{Service: report.Service, Upstream: report.Upstream, At: now.Add(-ago), Prompts: report.Prompts}))
	go instance.GuardLogged(c.logger, "crash", c.decide)
	return sound
}

// findSound returns the parts that were in whole responses within the time.
func (c *Crashes) findSound(query *SoundQuery) []string {
	return c.table.Sound(time.Now().Add(-query.Within), query.Service, query.Parts)
}
