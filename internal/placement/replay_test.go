package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
)

// replayed is one request of a replayed load, with the times that its caller sees.
type replayed struct {
	kind    string
	at      float64
	gateway int
	parts   []dialect.PromptPart
	events  int

	unread, left, generated int
	first, last             float64
	gaps                    []float64
	choice                  *Choice
}

// replayEngine reads one chunk of a prompt in each step and generates a token for each request
// that it has read. Its memory keeps the parts that were used last.
type replayEngine struct {
	speed            float64
	reading, running []*replayed
	busyUntil        float64
	chunk            int
	used             map[string]int
	read             int
}

const (
	replayMemory = 381_619
	replayChunk  = 1024
	batchMs      = 120
)

// newLoad returns the requests of a mix of long prompts, short ones and chats with long
// answers in the order of time, which come from several gateways.
func newLoad(seconds float64, perSecond map[string]float64) []*replayed {
	r := rand.New(rand.NewPCG(1, 2))
	var load []*replayed
	for _, kind := range []string{"long", "short", "chat"} {
		for at := 0.0; at < seconds*1000; at += r.ExpFloat64() * 1000 / perSecond[kind] {
			q := &replayed{kind: kind, at: at, gateway: r.IntN(24)}
			own := dialect.PromptPart{ID: fmt.Sprint(kind, at)}
			switch kind {
			case "long":
				session := r.IntN(614)
				own.Tokens, q.events = 1500+int(r.ExpFloat64()*1390), 10
				q.parts = []dialect.PromptPart{{ID: fmt.Sprint("c", session%4), Tokens: 2520}, {ID: fmt.Sprint("s", session), Tokens: 3780}, own}
			case "short":
				own.Tokens, q.events = 600+int(r.ExpFloat64()*1200), 5
				session := r.IntN(701)
				q.parts = []dialect.PromptPart{{ID: fmt.Sprint("dc", session%80), Tokens: 341}, {ID: fmt.Sprint("ds", session), Tokens: 227}, own}
			default:
				own.Tokens, q.events = 543, 20+int(r.ExpFloat64()*36)
				session := r.IntN(467)
				q.parts = []dialect.PromptPart{{ID: fmt.Sprint("ac", session%16), Tokens: 103}, {ID: fmt.Sprint("as", session), Tokens: 69}, own}
			}
			if kind != "long" {
				// The calls of stages end the stages of several requests at once.
				q.at = math.Ceil(at/batchMs) * batchMs
			}
			load = append(load, q)
		}
	}
	slices.SortFunc(load, func(a, b *replayed) int { return cmp.Compare(a.at, b.at) })
	return load
}

func (e *replayEngine) start(q *replayed, reread func(tokens int, id string)) {
	cached := true
	for _, p := range q.parts {
		if at, ok := e.used[p.ID]; !ok || e.read-at > replayMemory || !cached {
			cached = false
			q.unread += p.Tokens
			e.read += p.Tokens
			reread(p.Tokens, p.ID)
		}
	}
	for _, p := range q.parts {
		e.used[p.ID] = e.read
	}
	e.reading = append(e.reading, q)
}

// step begins the next step at the time.
func (e *replayEngine) step(now float64) {
	e.chunk = 0
	if len(e.reading) > 0 {
		e.chunk = min(replayChunk, e.reading[0].unread)
	}
	ms := 5.09 + 0.03*float64(len(e.running)) + float64(e.chunk)/51.1
	// An engine shares its machine with others, which take most of it now and then.
	if math.Mod(now+e.speed*997+float64(len(e.used)), 600) < 90 {
		ms *= 2.5
	}
	e.busyUntil = now + ms*e.speed
}

// end ends the step: an event has five tokens.
func (e *replayEngine) end(now float64, observe func(q *replayed, now float64, ended bool)) {
	e.running = slices.DeleteFunc(e.running, func(q *replayed) bool {
		if q.generated++; q.generated%5 == 0 {
			q.gaps = append(q.gaps, now-q.last)
			q.last = now
			q.left--
		}
		if q.left > 0 {
			return false
		}
		observe(q, now, true)
		return true
	})
	if len(e.reading) == 0 {
		return
	}
	q := e.reading[0]
	if q.unread -= e.chunk; q.unread <= 0 {
		e.reading = e.reading[1:]
		q.first, q.last, q.left = now-q.at, now, q.events
		observe(q, now, false)
		e.running = append(e.running, q)
	}
}

// replay plays the load on engines of uneven speed. choose returns the engine of a request and
// observe is told of the first event and of the end. It returns the shared tokens that were
// read more than once.
func replay(load []*replayed, count int, choose func(q *replayed) int, observe func(q *replayed, now float64, ended bool)) (rereadTokens int) {
	all := make([]*replayEngine, count)
	for i := range all {
		all[i] = &replayEngine{speed: []float64{0.7, 0.7, 1.7}[i%3], used: make(map[string]int)}
	}
	seen := make(map[string]bool)
	reread := func(tokens int, id string) {
		if seen[id] {
			rereadTokens += tokens
		}
		seen[id] = true
	}
	busy := func(e *replayEngine) bool { return len(e.reading)+len(e.running) > 0 }
	for {
		var next *replayEngine
		for _, e := range all {
			if busy(e) && (next == nil || e.busyUntil < next.busyUntil) {
				next = e
			}
		}
		if len(load) > 0 && (next == nil || load[0].at <= next.busyUntil) {
			q := load[0]
			load = load[1:]
			e := all[choose(q)]
			wasBusy := busy(e)
			if e.start(q, reread); !wasBusy {
				e.step(q.at)
			}
			continue
		}
		if next == nil {
			return rereadTokens
		}
		now := next.busyUntil
		next.end(now, observe)
		next.step(now)
	}
}

// timeOf returns the time of the replay as one of the clock.
func timeOf(ms float64) time.Time { return time.Unix(1000, int64(ms*1e6)) }

// byTable chooses with the tables of 24 gateways.
func byTable(t *testing.T, count int) (choose func(q *replayed) int, observe func(q *replayed, now float64, ended bool)) {
	service := &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 64, CapacityTokens: replayMemory}}
	all := members(count)
	position := make(map[string]int)
	for i, m := range all {
		m.Service = service.Name
		position[m.ID] = i
	}
	tables := make([]*Table, 24)
	for i := range tables {
		tables[i] = New(newJudge(), func() ratelimit.Share { return ratelimit.Share{Index: i, Count: len(tables)} })
	}
	var exchanged float64
	noise := rand.New(rand.NewPCG(3, 4))
	choose = func(q *replayed) int {
		if q.at > exchanged+1000 {
			exchanged = q.at
			for _, from := range tables {
				for _, to := range tables {
					to.AdoptMeasurements(timeOf(q.at), from.Measurements(timeOf(q.at), timeOf(q.at-1000)))
				}
			}
		}
		c, err := tables[q.gateway].Pick(timeOf(q.at), service, all, Request{Prompt: q.parts, Domain: "d0"})
		if err != nil {
			t.Fatal(err)
		}
		q.choice = c
		return position[c.Member().ID]
	}
	observe = func(q *replayed, now float64, ended bool) {
		if !ended {
			q.choice.FirstByte(timeOf(now))
			return
		}
		if gaps := slices.Sorted(slices.Values(q.gaps)); len(gaps) >= 3 {
			q.choice.Pace(timeOf(now), time.Duration(gaps[len(gaps)/8]*1e6*(0.5+0.6*noise.Float64())))
		}
		q.choice.Done(timeOf(now), Answered)
	}
	return choose, observe
}

// byConstants chooses as before there was a model of each engine: all read 110 tokens a
// millisecond, and the times beyond that are a moving average.
func byConstants(count int) (choose func(q *replayed) int, observe func(q *replayed, now float64, ended bool)) {
	type known struct {
		running, waiting int
		excess           float64
		used             map[string]bool
	}
	type place struct {
		at                *known
		uncached, aheadOf int
		ranAhead          int
	}
	gateways := make([][]*known, 24)
	for i := range gateways {
		for range count {
			gateways[i] = append(gateways[i], &known{used: make(map[string]bool)})
		}
	}
	places := make(map[*replayed]place)
	choose = func(q *replayed) int {
		preferred, most := 0, uint64(0)
		for i := range count {
			if h := xxhash.Sum64String(fmt.Sprint(q.parts[1].ID, "/", i)); h >= most {
				preferred, most = i, h
			}
		}
		best, bestCost, uncached := 0, math.Inf(1), 0
		for i, k := range gateways[q.gateway] {
			tokens := q.parts[2].Tokens
			if i == preferred {
				tokens += (q.parts[0].Tokens + q.parts[1].Tokens) / 20
			} else {
				for j, p := range q.parts[:2] {
					if !k.used[p.ID] || j == 1 && !k.used[q.parts[0].ID] {
						tokens += p.Tokens
					}
				}
			}
			if cost := float64(k.waiting+4*tokens)/110 + float64(k.running)*1.5 + k.excess + float64(i%2)*0.6; cost < bestCost {
				best, bestCost, uncached = i, cost, tokens
			}
		}
		k := gateways[q.gateway][best]
		places[q] = place{k, uncached, k.waiting, k.running}
		k.running++
		k.waiting += uncached
		for _, p := range q.parts {
			k.used[p.ID] = true
		}
		return best
	}
	observe = func(q *replayed, _ float64, ended bool) {
		p := places[q]
		if ended {
			p.at.running--
			return
		}
		p.at.waiting -= p.uncached
		excess := q.first - float64(p.aheadOf+p.uncached)/110 - float64(p.ranAhead)*1.5
		p.at.excess += 0.3 * (max(excess, 0) - p.at.excess)
	}
	return choose, observe
}

// inTime returns the share of the requests of each kind that get their first event within
// firstMs and no pause over pauseMs between events.
func inTime(load []*replayed, firstMs, pauseMs float64) map[string]float64 {
	all, good := make(map[string]float64), make(map[string]float64)
	for _, q := range load {
		all[q.kind]++
		if q.first <= firstMs && slices.Max(append(q.gaps, 0)) <= pauseMs {
			good[q.kind]++
		}
	}
	for kind := range all {
		good[kind] /= all[kind]
	}
	return good
}

// Guards against engines that are taken for equally fast: a third of these takes 2.4 times as
// long as the others. The load is a mix of long prompts, short ones and chats from gateways that
// tell each other only what they measured. The baseline is the policy with one constant engine.
func TestUnevenEnginesGetWorkByTheirSpeed(t *testing.T) {
	const count, firstMs, pauseMs = 44, 600, 250
	mixes := map[string]map[string]float64{
		"usual":        {"long": 46, "short": 52, "chat": 35},
		"long prompts": {"long": 90, "short": 52, "chat": 35},
		"long answers": {"long": 30, "short": 52, "chat": 90},
	}
	for name, mix := range mixes {
		t.Run(name, func(t *testing.T) {
			before, after := newLoad(30, mix), newLoad(30, mix)
			choose, observe := byConstants(count)
			rereadBefore := replay(before, count, choose, observe)
			choose, observe = byTable(t, count)
			rereadAfter := replay(after, count, choose, observe)
			was, is := inTime(before, firstMs, pauseMs), inTime(after, firstMs, pauseMs)
			for _, kind := range []string{"long", "short", "chat"} {
				t.Logf("%s: %.3f in time, before %.3f", kind, is[kind], was[kind])
				if is[kind] < was[kind] {
					t.Errorf("%s requests were served worse than before", kind)
				}
			}
			t.Logf("shared tokens read again: %d, before %d", rereadAfter, rereadBefore)
			if rereadAfter > rereadBefore {
				t.Errorf("more shared tokens were read again than before")
			}
		})
	}
}
