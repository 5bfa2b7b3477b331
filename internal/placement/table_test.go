package placement

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
)

var modelService = &catalog.Service{Name: "model", ColdRate: 20, Engine: &catalog.Engine{Slots: 128}}

func oneGateway() ratelimit.Share { return ratelimit.Share{Count: 1} }

func newJudge() *availability.Judge { return availability.New(&log.Logger{}, tally.NoopScope) }

func members(n int) []*catalog.Member {
	list := make([]*catalog.Member, n)
	for i := range list {
		list[i] = &catalog.Member{Upstream: catalog.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i, ":80"), FailureDomain: fmt.Sprint("d", i%2)}}
	}
	return list
}

func prompt(session, request int) []dialect.PromptPart {
	return []dialect.PromptPart{{ID: fmt.Sprint("common", session%4), Tokens: 2500}, {ID: fmt.Sprint("session", session), Tokens: 3800}, {ID: fmt.Sprint("own", request), Tokens: 2900}}
}

// Guards against shared parts of prompts that are read by several engines: four gateways
// place the same 60 sessions without communicating. The baseline is round robin.
func TestGatewaysAgreeOnSessionEngines(t *testing.T) {
	now := time.Unix(100, 0)
	all := members(12)
	read := func(choose func(table *Table, session, request int) string) int {
		tables := make([]*Table, 4)
		for i := range tables {
			tables[i] = New(newJudge(), func() ratelimit.Share { return ratelimit.Share{Index: i, Count: 4} })
		}
		kept := make(map[string]bool)
		tokens := 0
		for request := range 1200 {
			session := request % 60
			id := choose(tables[request%4], session, request)
			for _, p := range prompt(session, request)[:2] {
				if key := id + p.ID; !kept[key] {
					kept[key] = true
					tokens += p.Tokens
				}
			}
		}
		return tokens
	}
	placed := read(func(table *Table, session, request int) string {
		c, err := table.Pick(now, modelService, all, Request{Prompt: prompt(session, request), Domain: "d0"})
		if err != nil {
			t.Fatal(err)
		}
		c.FirstByte(now.Add(50 * time.Millisecond))
		c.Done(now, Answered)
		return c.Member().ID
	})
	spread := read(func(_ *Table, _, request int) string { return all[(request+request/60)%12].ID })
	least := 60*3800 + 4*2500
	if placed > 2*least || placed*2 > spread {
		t.Errorf("%d shared tokens were read, %d by round robin; reading each once takes %d", placed, spread, least)
	}
	t.Logf("shared tokens read: %d; by round robin: %d; each once: %d", placed, spread, least)
}

// Guards against one engine that gets more than half of the simultaneous requests with one
// prompt prefix.
func TestRequestsWithOnePrefixUseSeveralEngines(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(newJudge(), oneGateway)
	all := members(6)
	most, used := 0, make(map[string]int)
	for request := range 120 {
		c, err := table.Pick(now, modelService, all, Request{Prompt: prompt(1, request)})
		if err != nil {
			t.Fatal(err)
		}
		used[c.Member().ID]++
		most = max(most, used[c.Member().ID])
	}
	if len(used) < 4 || most > 60 {
		t.Errorf("120 simultaneous requests were sent to %v", used)
	}
}

// Guards against gateways that together exceed the rate of a cold upstream.
func TestColdUpstreamStaysWithinItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 64).Draw(t, "gateways")
		cat := catalog.New()
		cat.SetUpstream(catalog.Upstream{ID: "u", Service: "model", Address: "10.0.0.1:80", FailureDomain: "d0", ColdFor: time.Hour}, catalog.Revision{Number: 1})
		all := cat.View().Upstreams("model")
		now := time.Now()
		tables := make([]*Table, gateways)
		for i := range tables {
			tables[i] = New(newJudge(), func() ratelimit.Share { return ratelimit.Share{Index: i, Count: gateways} })
		}
		var sent []time.Time
		for range 400 {
			table := tables[rapid.IntRange(0, gateways-1).Draw(t, "at")]
			if c, err := table.Pick(now, modelService, all, Request{}); err == nil {
				sent = append(sent, now)
				c.Done(now, Answered)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
		}
		// The platform allows 1.5 times the rate plus 5 in any second.
		for i := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s.Sub(sent[i]) < time.Second {
					n++
				}
			}
			if n > 35 {
				t.Fatalf("%d requests in a second from %d gateways", n, gateways)
			}
		}
	})
}

// Guards against a cold rate that is split between many gateways and then used in part only:
// each has its turns at times that differ from those of the others.
func TestColdRateIsUsedByManyGateways(t *testing.T) {
	const gateways, span = 42, 10 * time.Second
	cat := catalog.New()
	cat.SetUpstream(catalog.Upstream{ID: "u", Service: "model", Address: "10.0.0.1:80", FailureDomain: "d0", ColdFor: time.Hour}, catalog.Revision{Number: 1})
	all := cat.View().Upstreams("model")
	tables := make([]*Table, gateways)
	for i := range tables {
		tables[i] = New(newJudge(), func() ratelimit.Share { return ratelimit.Share{Index: i, Count: gateways} })
	}
	start := time.Now()
	sent := 0
	for now := start; now.Sub(start) < span; now = now.Add(20 * time.Millisecond) {
		for i, table := range tables {
			// The clocks of gateways differ.
			at := now.Add(time.Duration(i%5) * 10 * time.Millisecond)
			if c, err := table.Pick(at, modelService, all, Request{}); err == nil {
				sent++
				c.Done(at, Answered)
			}
		}
	}
	if want := modelService.ColdRate * span.Seconds(); float64(sent) < 0.95*want || float64(sent) > 1.05*want {
		t.Errorf("%d requests in %v, want about %.0f", sent, span, want)
	}
}

// Guards against an upstream that is tried without back-off although it accepts no
// connection, and against one that is never tried again.
func TestUnreachableUpstreamBacksOffAndReturns(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(newJudge(), oneGateway)
	all := members(2)
	tries := 0
	for range 200 {
		c, err := table.Pick(now, modelService, all, Request{})
		if err != nil {
			t.Fatal(err)
		}
		if c.Member().ID == "u0" {
			tries++
			c.Done(now, Unreachable)
		} else {
			c.FirstByte(now)
			c.Done(now, Answered)
		}
		now = now.Add(50 * time.Millisecond)
	}
	if tries == 0 || tries > 8 {
		t.Errorf("the unreachable upstream was tried %d times in 10 s", tries)
	}
	for range 200 {
		c, _ := table.Pick(now, modelService, all, Request{Exclude: []string{"u1"}})
		if c != nil {
			c.FirstByte(now)
			c.Done(now, Answered)
			return
		}
		now = now.Add(50 * time.Millisecond)
	}
	t.Error("the upstream is never tried again")
}

// Guards against an upstream with error responses that gets as many requests as the
// others.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(newJudge(), oneGateway)
	service := &catalog.Service{Name: "plain"}
	all := members(4)
	failed := 0
	for i := range 400 {
		c, err := table.Pick(now, service, all, Request{})
		if err != nil {
			t.Fatal(err)
		}
		c.FirstByte(now.Add(15 * time.Millisecond))
		if c.Member().ID == "u1" && i%2 == 0 {
			failed++
			c.Done(now, Failed)
		} else {
			c.Done(now, Answered)
		}
		now = now.Add(10 * time.Millisecond)
	}
	if failed > 40 {
		t.Errorf("%d of 400 requests failed on the upstream that fails half of its requests", failed)
	}
}

// Guards against counters that don't return to zero after any sequence of outcomes.
func TestStatefulTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		table := New(newJudge(), oneGateway)
		all := members(3)
		var open []*Choice
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				if c, err := table.Pick(now, modelService, all, Request{Prompt: prompt(rapid.IntRange(0, 5).Draw(t, "session"), 1)}); err == nil {
					open = append(open, c)
				}
			},
			"first": func(t *rapid.T) {
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "c")].FirstByte(now)
				}
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				open[0].Done(now, Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")))
				open = open[1:]
			},
			"wait": func(t *rapid.T) { now = now.Add(time.Second) },
		})
		for _, c := range open {
			c.Done(now, Answered)
		}
		for id, u := range table.upstreams {
			probing := u.record.Check(now.Add(time.Hour)).Reason == availability.Probing
			if u.running != 0 || u.prefillTokens > 0.001 || u.prefillTokens < -0.001 || probing {
				t.Fatalf("%s is left with %d requests, %f tokens, probing %v", id, u.running, u.prefillTokens, probing)
			}
		}
	})
}

// Guards against full load on an engine that restarted after a crash: its registration
// shows that it is cold only after its next heartbeat.
func TestRestartedUpstreamIsTreatedAsCold(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(newJudge(), oneGateway)
	all := members(1)
	c, err := table.Pick(now, modelService, all, Request{})
	if err != nil {
		t.Fatal(err)
	}
	c.Done(now, Unreachable)
	now = now.Add(time.Second)
	sent := 0
	for end := now.Add(time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
		if c, err := table.Pick(now, modelService, all, Request{}); err == nil {
			sent++
			c.FirstByte(now)
			c.Done(now, Answered)
		}
	}
	if sent < 2 || float64(sent) > 1.5*modelService.ColdRate+5 {
		t.Errorf("%d requests in the first second after the restart", sent)
	}
	now = now.Add(3 * time.Second)
	for range 50 {
		if _, err := table.Pick(now, modelService, all, Request{}); err != nil {
			t.Fatal("the upstream stays cold")
		}
	}
}

// Guards against gateways that exceed the rate of a cold upstream when its quiet time ends.
func TestColdUpstreamStaysWithinItsRateAfterAQuietTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 4
		cat := catalog.New()
		cat.SetUpstream(catalog.Upstream{ID: "u", Service: "model", Address: "10.0.0.1:80", ColdFor: time.Hour}, catalog.Revision{Number: 1})
		all := cat.View().Upstreams("model")
		tables := make([]*Table, gateways)
		for i := range tables {
			judge := newJudge()
			tables[i] = New(judge, func() ratelimit.Share { return ratelimit.Share{Index: i, Count: gateways} })
			judge.Observe(forward.Observation{Target: forward.Target{ID: "u", Address: all[0].Address}, Status: http.StatusServiceUnavailable, Info: dialect.ResponseInfo{RetryAfter: time.Second}})
		}
		sent := make(map[int64]int)
		for range 4000 {
			for _, table := range tables {
				if c, err := table.Pick(time.Now(), modelService, all, Request{}); err == nil {
					sent[time.Now().Unix()]++
					c.Done(time.Now(), Answered)
				}
			}
			time.Sleep(time.Millisecond)
		}
		most := 0
		for _, n := range sent {
			most = max(most, n)
		}
		// The platform allows 1.5 times the rate plus 5 in any second.
		if most > 35 || most < 10 {
			t.Errorf("up to %d requests in a second: %v", most, sent)
		}
	})
}

// Guards against parts that are taken for cached although the engine's memory has been filled
// with others since, and against a record that grows without end.
func TestCacheHoldsWhatTheMemoryOfTheEngineHolds(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(newJudge(), func() ratelimit.Share { return ratelimit.Share{Count: 2} })
	service := &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 64, CapacityTokens: 100_000}}
	one := members(1)
	uncached := func(session, request int) int {
		c, err := table.Pick(now, service, one, Request{Prompt: append(prompt(session, request)[1:], dialect.PromptPart{ID: "end", Tokens: 1})})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Done(now, Answered)
		c.FirstByte(now)
		return table.upstreams["u0"].cache.cachedTokens(prompt(session, request)[1:2])
	}
	uncached(1, 1)
	if got := uncached(1, 2); got != 3800 {
		t.Errorf("%d tokens of a session are taken for cached after its last request", got)
	}
	for i := range 200 {
		uncached(100+i, 1000+i)
	}
	if got := table.upstreams["u0"].cache.cachedTokens(prompt(1, 1)[1:2]); got != 0 {
		t.Errorf("%d tokens of a session are taken for cached after other prompts filled the memory", got)
	}
	if n := len(table.upstreams["u0"].cache.used); n > 40 {
		t.Errorf("%d parts are recorded", n)
	}
}

// Guards against a load that remains after odd sizes of prompts, and against errors and their
// sizes in the model of engines: they come without reading a prompt.
func TestOddSizesAndErrorsLeaveTheModel(t *testing.T) {
	now := time.Unix(100, 0)
	table := New(newJudge(), oneGateway)
	one := members(1)
	before := table.model(modelService.Name).FirstEventMs(3000)
	var open []*Choice
	for _, tokens := range []int{1_000_000_000_000, 700, 3_000_000_000} {
		c, err := table.Pick(now, modelService, one, Request{Tokens: tokens})
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	for _, c := range open {
		c.MarkError()
		c.FirstByte(now.Add(time.Millisecond))
		c.Done(now.Add(time.Millisecond), Failed)
	}
	if left := table.upstreams["u0"].prefillTokens; left != 0 {
		t.Errorf("%v tokens are left to read on an idle upstream", left)
	}
	if after := table.model(modelService.Name).FirstEventMs(3000); after != before {
		t.Errorf("after errors a first event is expected after %.1f ms, before after %.1f", after, before)
	}
}

// Guards against prompts of many small parts, of which an engine's memory in tokens holds millions.
func TestCachedPartsAreBoundedInNumber(t *testing.T) {
	const capacity, maxParts = 1_000_000, 100
	c := newCache()
	for i := range 1000 {
		parts := make([]dialect.PromptPart, 200)
		for j := range parts {
			parts[j] = dialect.PromptPart{ID: fmt.Sprint(i, "-", j), Tokens: 1}
		}
		c.add(parts, capacity, maxParts)
	}
	if n := len(c.used); n > 2*maxParts+maxParts/4 {
		t.Errorf("%d parts are kept, want about %d", n, maxParts)
	}
	large := []dialect.PromptPart{{ID: "a", Tokens: capacity / 4}, {ID: "b", Tokens: capacity / 4}}
	c.add(large, capacity, maxParts)
	if got := c.cachedTokens(large); got != capacity/2 {
		t.Errorf("%d tokens of the last prompt are kept, want %d", got, capacity/2)
	}
}
