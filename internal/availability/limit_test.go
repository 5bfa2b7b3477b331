package availability

import (
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
)

// stateLimit is an answer of the upstream with the limit, to a request that was sent a millisecond
// before.
func stateLimit(j *Judge, u catalog.Upstream, perSecond float64) {
	now := time.Now()
	j.Observe(forward.Observation{
		Target: forward.Target{ID: u.ID, Address: u.Address, Born: u.Born}, Opened: now.Add(-time.Second), Sent: now.Add(-time.Millisecond),
		Status: 200, Info: dialect.ResponseInfo{Limit: perSecond, HasLimit: perSecond > 0},
	})
}

// Guards against a limit of which other gateways learn late, or whose end they don't, and against one
// that goes round between gateways after its end.
func TestLimitsArePassedOn(t *testing.T) {
	withJudge(t, func(t *testing.T, j *Judge, c *catalog.Catalog) {
		u := catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", Born: 1}
		c.SetUpstream(u, at(1))
		record := j.Upstream(c.View().Upstream("u"))
		early := []LimitNotice{{Start: catalog.Start{ID: "u", Address: u.Address, Born: 1}, PerSecond: 2, IsLimited: true, Age: 300 * time.Millisecond}}
		j.AdoptLimits("other", early, time.Now())
		if !record.limit.IsActive() || len(j.LimitStates(time.Now())) != 1 || len(j.LimitNotices(time.Now())) != 1 {
			t.Fatal("the limit that another gateway read isn't known, or isn't passed on")
		}
		time.Sleep(time.Second)
		stateLimit(j, u, 0)
		if record.limit.IsActive() || j.limited.Load() != 0 {
			t.Error("the limit holds after its end")
		}
		if n := j.LimitNotices(time.Now()); len(n) != 1 || n[0].IsLimited {
			t.Errorf("the end isn't passed on: %+v", n)
		}
		early[0].Age = 1500 * time.Millisecond
		j.AdoptLimits("other", early, time.Now())
		if record.limit.IsActive() {
			t.Error("an older statement of another gateway holds")
		}
		time.Sleep(time.Minute)
		if n := j.LimitNotices(time.Now()); len(n) != 0 {
			t.Errorf("an end is passed on a minute later: %+v", n)
		}
		j.AdoptLimits("other", []LimitNotice{{Start: catalog.Start{ID: "unknown"}, PerSecond: 1, IsLimited: true}}, time.Now())
		if len(j.upstreams) != 1 {
			t.Error("an upstream that isn't registered has a record")
		}
	})
}

// Guards against a restarted upstream that is held to the limit of the start before, and against one
// whose own statement is lost when it registers after its first answer.
func TestLimitHoldsForOneStartOnly(t *testing.T) {
	withJudge(t, func(t *testing.T, j *Judge, c *catalog.Catalog) {
		u := catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", Born: time.Now().UnixMilli()}
		c.SetUpstream(u, at(1))
		stateLimit(j, u, 1)
		next := u
		next.Born = time.Now().Add(time.Second).UnixMilli()
		c.SetUpstream(next, at(2))
		record := func() *Upstream { return j.Upstream(c.View().Upstream("u")) }
		if record().limit.IsActive() {
			t.Error("the next start is held to the limit of the one before")
		}
		// The next start answers under the name of the one before until its registration is read.
		c.SetUpstream(u, at(3))
		time.Sleep(10 * time.Second)
		stateLimit(j, u, 1)
		c.SetUpstream(next, at(4))
		if !record().limit.IsActive() {
			t.Error("the limit that the next start stated before it registered is lost")
		}
	})
}
