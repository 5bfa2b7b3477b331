package availability

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
)

// withJudge runs a test with a fake clock and a judge that follows a catalog.
func withJudge(t *testing.T, test func(t *testing.T, j *Judge, c *catalog.Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		j, c := New(&log.Logger{Level: log.PanicLevel}, tally.NoopScope), catalog.New()
		c.OnChange(j.Update)
		test(t, j, c)
	})
}

func registered(c *catalog.Catalog, id string, born int64) *catalog.Member {
	c.SetUpstream(catalog.Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", Born: born}, catalog.Revision{})
	return c.View().Upstream(id)
}

// answer is an observation of a refusal with the Retry-After time.
func answer(m *catalog.Member, retryAfter time.Duration) forward.Observation {
	return forward.Observation{
		Target: forward.Target{ID: m.ID, Address: m.Address, Born: m.Born}, Opened: time.Now(), Request: "r", Status: http.StatusServiceUnavailable,
		Info: dialect.ResponseInfo{RetryAfter: retryAfter},
	}
}

// Guards against a quiet time that is shortened by a shorter or earlier one, or by an answer
// that was overtaken on another connection.
func TestLatestEndOfQuietTimesHolds(t *testing.T) {
	withJudge(t, func(t *testing.T, j *Judge, c *catalog.Catalog) {
		m := registered(c, "u", 1)
		u, started := j.Upstream(m), time.Now()
		for _, d := range []time.Duration{2 * time.Second, 200 * time.Millisecond, 4500 * time.Millisecond, time.Second} {
			j.Observe(answer(m, d))
			time.Sleep(100 * time.Millisecond)
		}
		for !u.Check(time.Now()).IsOpen() {
			if v := u.Check(time.Now()); v.Reason != Quiet || v.Until.Sub(started) > 5*time.Second {
				t.Fatalf("the verdict is %+v", v)
			}
			time.Sleep(10 * time.Millisecond)
		}
		// The third one was read after 200 ms.
		if quiet := time.Since(started); quiet < 4700*time.Millisecond || quiet > 4700*time.Millisecond+returnSpread+10*time.Millisecond {
			t.Errorf("the upstream was quiet for %v, want 4.7 s and up to %v", quiet, returnSpread)
		}
	})
}

// Guards against a value without sense that takes an upstream out for good, and against one of
// another status that is taken as the upstream's own.
func TestSenselessRetryAfterIsBounded(t *testing.T) {
	for _, c := range []struct {
		name  string
		o     func(o *forward.Observation)
		quiet time.Duration
	}{
		{"a year", func(o *forward.Observation) { o.Info.RetryAfter = 365 * 24 * time.Hour }, maxQuiet},
		{"no number", func(o *forward.Observation) { o.Info.RetryAfter, o.Info.InvalidRetryAfter = 0, "soon" }, 0},
		{"none", func(o *forward.Observation) { o.Info.RetryAfter = 0 }, 0},
		{"other status", func(o *forward.Observation) { o.Status = http.StatusTooManyRequests }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withJudge(t, func(t *testing.T, j *Judge, cat *catalog.Catalog) {
				m := registered(cat, "u", 1)
				o := answer(m, time.Second)
				c.o(&o)
				j.Observe(o)
				started := time.Now()
				for !j.Upstream(m).Check(time.Now()).IsOpen() {
					time.Sleep(50 * time.Millisecond)
				}
				if quiet := time.Since(started); quiet < c.quiet || quiet > c.quiet+returnSpread+50*time.Millisecond {
					t.Errorf("the upstream was quiet for %v, want %v", quiet, c.quiet)
				}
			})
		})
	}
}

// Guards against a rush on upstreams whose quiet times end together: each may get one request
// at first, and soon as many as before.
func TestReturnFromQuietIsGradual(t *testing.T) {
	withJudge(t, func(t *testing.T, j *Judge, c *catalog.Catalog) {
		var first []time.Time
		for i := range 40 {
			m := registered(c, fmt.Sprint("u", i), 1)
			j.Observe(answer(m, time.Second))
			first = append(first, j.Upstream(m).Check(time.Now()).Until)
		}
		spread := time.Duration(0)
		for _, at := range first {
			spread = max(spread, at.Sub(first[0]).Abs())
		}
		if spread < returnSpread/4 {
			t.Errorf("40 upstreams return within %v", spread)
		}
		u := j.Upstream(c.View().Upstream("u0"))
		time.Sleep(time.Until(first[0]))
		sent := make(map[int]int)
		for at := time.Duration(0); at < returnSteps*returnStep; at += time.Millisecond {
			for range 10 {
				if u.Check(time.Now()).IsOpen() {
					u.Begin(time.Now())
					sent[int(at/returnStep)]++
				}
			}
			time.Sleep(time.Millisecond)
		}
		if want := map[int]int{0: 1, 1: 1, 2: 2, 3: 4, 4: 8}; fmt.Sprint(sent) != fmt.Sprint(want) {
			t.Errorf("requests by step: %v, want %v", sent, want)
		}
		for range 1000 {
			u.Begin(time.Now())
			if !u.Check(time.Now()).IsOpen() {
				t.Fatal("the upstream is still returning")
			}
		}
	})
}

// Guards against records that grow without bound while upstreams come and go, and against a
// record that is dropped while its upstream is registered.
func TestRecordsAreBounded(t *testing.T) {
	withJudge(t, func(t *testing.T, j *Judge, c *catalog.Catalog) {
		kept := registered(c, "kept", 1)
		j.Observe(forward.Observation{Target: forward.Target{ID: "kept", Address: kept.Address, Born: 1}, Info: dialect.ResponseInfo{Leaving: true}})
		for i := range maxRecords + 500 {
			j.Observe(forward.Observation{Target: forward.Target{ID: fmt.Sprint("u", i)}, Info: dialect.ResponseInfo{Leaving: true}})
		}
		c.SetUpstream(catalog.Upstream{ID: "other"}, at(0))
		if n := len(j.upstreams); n > maxRecords {
			t.Errorf("%d records", n)
		}
		time.Sleep(retention + time.Second)
		c.RemoveUpstream("other", at(0))
		if n := len(j.upstreams); n != 1 || j.Upstream(kept).Check(time.Now()).Reason != Leaving {
			t.Errorf("%d records, and the registered upstream is %q", n, j.Upstream(kept).Check(time.Now()).Reason)
		}
	})
}

// Guards against a verdict that differs from what the registration says.
func TestRegistrationIsJudged(t *testing.T) {
	withJudge(t, func(t *testing.T, j *Judge, c *catalog.Catalog) {
		u := catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", FailureDomain: "d", Born: 1}
		c.SetUpstream(u, at(1))
		record := j.Upstream(c.View().Upstream("u"))
		expect := func(want Reason) {
			t.Helper()
			if v := record.Check(time.Now()); v.Reason != want {
				t.Errorf("the verdict is %q, want %q", v.Reason, want)
			}
			if err := record.Admit(time.Now(), &Grant{}); (err == nil) != (want == Open) {
				t.Errorf("Admit returns %v for %q", err, want)
			}
		}
		expect(Open)
		u.Draining = true
		c.SetUpstream(u, at(2))
		expect(Draining)
		u.Draining = false
		c.SetUpstream(u, at(3))
		c.SetEvacuation("d", true, at(4))
		expect(OutOfService)
		c.SetEvacuation("d", false, at(5))
		expect(Open)
		c.SetUpstream(catalog.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", FailureDomain: "d", Born: 2}, at(6))
		expect(Unregistered)
	})
}

// Guards against a change of belief that can't be found from the id of a refused request: in the
// log, and in the state of the process.
func TestSignalsAreLoggedAndShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logs strings.Builder
		j, c := New(&log.Logger{Writer: &log.IOWriter{Writer: &logs}}, tally.NoopScope), catalog.New()
		c.OnChange(j.Update)
		quiet, leaving := registered(c, "quiet", 1), registered(c, "leaving", 1)
		registered(c, "other", 1)
		j.Upstream(quiet)
		for range 20 {
			j.Observe(answer(quiet, 2*time.Second))
		}
		o := answer(leaving, 0)
		o.Info.Leaving, o.Request = true, "r-leaving"
		for range 20 {
			j.Observe(o)
		}
		time.Sleep(time.Second)
		services, closed := j.States(time.Now())
		if len(services) != 1 || services[0].Open != 1 || services[0].ByReason[Quiet] != 1 || services[0].ByReason[Leaving] != 1 {
			t.Errorf("the state of the services is %+v", services)
		}
		if len(closed) != 2 || closed[0].Request != "r-leaving" || closed[0].ClosedMs != 0 || closed[1].Request != "r" || closed[1].AgeMs != 1000 || closed[1].ClosedMs < 1000 {
			t.Errorf("the state of the upstreams is %+v", closed)
		}
		time.Sleep(2 * time.Second)
		j.ReportReturns(t.Context())
		j.ReportReturns(t.Context())
		for _, text := range []string{"upstream asked for quiet", "upstream says that it leaves", "quiet time of an upstream has ended"} {
			if n := strings.Count(logs.String(), text); n != 1 {
				t.Errorf("%q is logged %d times: %s", text, n, logs.String())
			}
		}
	})
}

// BenchmarkCheck measures the check on the path of a request by the number of upstreams.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			j, c := New(&log.Logger{Level: log.PanicLevel}, tally.NoopScope), catalog.New()
			c.OnChange(j.Update)
			list := make([]catalog.Upstream, n)
			for i := range list {
				list[i] = catalog.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i), Born: 1}
			}
			c.ReplaceUpstreams(list, at(1))
			records := make([]*Upstream, n)
			for i, m := range c.View().Upstreams("s") {
				records[i] = j.Upstream(m)
				if i%3 == 0 {
					j.Observe(answer(m, time.Hour))
				}
			}
			now, i := time.Now(), 0
			b.ReportAllocs()
			for b.Loop() {
				records[i%n].Check(now)
				i += 7
			}
		})
	}
}

func at(number uint64) catalog.Revision { return catalog.Revision{Number: number} }

// Guards against a word that is lost with the restart of its upstream: a connection that was opened right
// after the restart, before the new registration was read, belongs to the earlier start for this gateway.
// What the earlier start said before it ended doesn't hold for the later one, however late it is read.
func TestWordAfterARestartHoldsForTheLaterStart(t *testing.T) {
	for name, sinceRestart := range map[string]time.Duration{"of the later start": 3 * time.Second, "of the earlier start": -time.Second} {
		withJudge(t, func(t *testing.T, j *Judge, c *catalog.Catalog) {
			started := time.Now()
			earlier := registered(c, "u", started.UnixMilli())
			time.Sleep(time.Minute)
			restarted := time.Now()
			o := answer(earlier, 0)
			o.Status, o.Info.Leaving = http.StatusOK, true
			o.Opened, o.Sent = restarted.Add(min(sinceRestart, maxClockSkew/2)), restarted.Add(sinceRestart)
			time.Sleep(5 * time.Second)
			later := registered(c, "u", restarted.UnixMilli())
			j.Observe(o)
			if isOpen := j.Upstream(later).Check(time.Now()).IsOpen(); isOpen == (sinceRestart > 0) {
				t.Errorf("%s: open is %v", name, isOpen)
			}
		})
	}
}
