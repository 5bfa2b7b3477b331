package pieces

import (
	"errors"
	"fmt"
	"math/rand/v2"
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
)

var testBatch = catalog.Batch{
	Slots: 1, Queue: 2, Size: 14, CallTime: 200 * time.Millisecond, PieceTime: 12 * time.Millisecond,
	ResultCapacityBytes: 32_000_000, ResultTTL: 4 * time.Second,
}

func newJudge() *availability.Judge {
	return availability.New(&log.Logger{Level: log.ErrorLevel}, tally.NoopScope)
}

func members(n int) []*catalog.Member {
	list := make([]*catalog.Member, n)
	for i := range list {
		list[i] = &catalog.Member{Upstream: catalog.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i, ":80"), FailureDomain: "a"}}
	}
	return list
}

// simulation runs pieces through a batcher against upstreams that take the configured time,
// in steps of a millisecond.
type simulation struct {
	b     *Batcher
	batch catalog.Batch
	now   time.Time
	ends  map[*Call]time.Time
	// slowFactor multiplies the time of calls to an upstream, by its id.
	slowFactor map[string]float64
	// failed has the upstreams whose calls end with an error after a tenth of the time.
	failed map[string]bool
	// lost is the fraction of calls whose responses are lost. With noTimeouts, calls
	// stay open until the deadline of their pieces.
	lost       float64
	noTimeouts bool
	rng        *rand.Rand
	timedOut   map[*Call]bool
	calls      int
}

// release releases results on upstreams that drop them at once.
func release(b *Batcher, results []Result) {
	for _, handles := range b.GroupByUpstream(results) {
		b.ResultsReleased(handles)
	}
}

func newSimulation(batch catalog.Batch, upstreams int) *simulation {
	s := &simulation{b: NewBatcher(newJudge()), batch: batch, now: time.Unix(0, 0), ends: make(map[*Call]time.Time), slowFactor: make(map[string]float64), failed: make(map[string]bool), rng: rand.New(rand.NewPCG(1, 2)), timedOut: make(map[*Call]bool)}
	s.b.SetUpstreams(batch, members(upstreams))
	return s
}

func (s *simulation) step() {
	for c, end := range s.ends {
		if s.now.Before(end) {
			continue
		}
		delete(s.ends, c)
		if s.failed[c.Upstream.ID] || s.timedOut[c] {
			release(s.b, s.b.Finish(s.now, c, nil, errors.New("connection reset")))
			continue
		}
		results := make([]dialect.Result, len(c.Jobs))
		for i, j := range c.Jobs {
			results[i].Handle = fmt.Sprint(j.Piece.ID, "/", j.tries, "/", c.Upstream.ID)
		}
		release(s.b, s.b.Finish(s.now, c, results, nil))
	}
	s.b.RequeueOverdue(s.now)
	s.b.MarkInputsRead(s.now)
	for c := s.b.Next(s.now); c != nil; c = s.b.Next(s.now) {
		took := s.batch.CallTime + time.Duration(len(c.Jobs))*s.batch.PieceTime
		if f := s.slowFactor[c.Upstream.ID]; f > 0 {
			took = time.Duration(f * float64(took))
		}
		if s.failed[c.Upstream.ID] {
			took /= 10
		}
		timeout := c.Timeout()
		if s.noTimeouts {
			timeout = c.Jobs[0].Deadline.Sub(s.now)
		}
		if s.rng.Float64() < s.lost || took > timeout {
			s.timedOut[c] = true
			took = timeout
		}
		s.ends[c] = s.now.Add(took)
		s.calls++
	}
	s.now = s.now.Add(time.Millisecond)
}

// load adds one piece each period, rounded up to whole milliseconds, and counts those that
// are done by their due time, those that are done later and those that fail.
func (s *simulation) load(total int, period, due, deadline time.Duration) (onTime, late, lost int) {
	for i := range total {
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000, Due: s.now.Add(due), Deadline: s.now.Add(deadline), GiveUp: s.now.Add(deadline)}
		j.finish = func(res Result) {
			switch {
			case res.Failure != dialect.FailureNone:
				lost++
			case s.now.After(j.Due):
				late++
			default:
				onTime++
			}
			release(s.b, []Result{res})
		}
		s.b.Add([]*Job{j})
		for until := s.now.Add(period); s.now.Before(until); {
			s.step()
		}
	}
	for range int(deadline / time.Millisecond) {
		s.step()
	}
	return onTime, late, lost
}

// Guards against a burst beyond a service's capacity that makes every piece late. The
// load pattern is 1.3 times the capacity of five upstreams for 6 s; in the order of due
// times alone, nearly all pieces of the second half are late.
func TestOverloadMeetsDueTimesUpToCapacity(t *testing.T) {
	const rate, seconds = 250, 6
	capacity := 5.0 * 14 / 0.368 // pieces a second in full calls
	onTime, late, lost := newSimulation(testBatch, 5).load(rate*seconds, time.Second/rate, 700*time.Millisecond, 4*time.Second)
	if want := int(0.85 * capacity * seconds); onTime < want {
		t.Errorf("%d pieces done by their due time, %d late, %d lost; want at least %d by their due time", onTime, late, lost, want)
	}
	if served := onTime + late; served < int(capacity*seconds) {
		t.Errorf("%d pieces done, want at least the capacity of %v a second", served, capacity)
	}

	baseline := newSimulation(testBatch, 5)
	total := rate * seconds
	base := 0
	for i := range total {
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000, Deadline: baseline.now.Add(4 * time.Second), GiveUp: baseline.now.Add(4 * time.Second)}
		due := baseline.now.Add(700 * time.Millisecond)
		// Due times an hour away keep the order of arrival and cause no demotion.
		j.Due = baseline.now.Add(time.Hour)
		j.finish = func(res Result) {
			if res.Failure == dialect.FailureNone && !baseline.now.After(due) {
				base++
			}
			release(baseline.b, []Result{res})
		}
		baseline.b.Add([]*Job{j})
		for range 1000 / rate {
			baseline.step()
		}
	}
	for range 4000 {
		baseline.step()
	}
	if onTime <= base {
		t.Errorf("%d pieces done by their due time, %d in the order of arrival alone", onTime, base)
	}
	t.Logf("done by their due time: %d, in the order of arrival alone: %d, of %d", onTime, base, total)
}

// Guards against calls that are sent with few pieces while many are queued, and against
// waiting for a call to fill while an upstream is free.
func TestCallsFillUnderLoadOnly(t *testing.T) {
	lightLoad := newSimulation(testBatch, 5)
	onTime, _, _ := lightLoad.load(20, 100*time.Millisecond, 220*time.Millisecond, time.Second)
	if onTime != 20 {
		t.Errorf("%d of 20 single pieces were sent at once", onTime)
	}
	heavyLoad := newSimulation(testBatch, 5)
	// One piece each 6 ms, 167 a second, is 88 % of the capacity.
	onTime, late, _ := heavyLoad.load(900, time.Second/180, 800*time.Millisecond, 4*time.Second)
	if onTime < 890 || heavyLoad.calls > 900/8 {
		t.Errorf("%d of 900 pieces done by their due time and %d late in %d calls at 88 %% of the capacity", onTime, late, heavyLoad.calls)
	}
}

// Guards against a slow upstream that delays pieces while other upstreams are free.
func TestSlowUpstreamIsDetectedDuringACall(t *testing.T) {
	s := newSimulation(testBatch, 5)
	s.slowFactor["u2"] = 8
	onTime, late, lost := s.load(600, time.Second/100, 1200*time.Millisecond, 5*time.Second)
	if onTime < 580 || lost > 0 {
		t.Errorf("%d of 600 pieces done by their due time, %d late, %d lost", onTime, late, lost)
	}
}

// Guards against pieces that are lost or fail because some upstreams fail.
func TestPiecesOfFailedCallsRunElsewhere(t *testing.T) {
	s := newSimulation(testBatch, 5)
	s.failed["u0"], s.failed["u3"] = true, true
	onTime, late, lost := s.load(400, time.Second/60, time.Second, 4*time.Second)
	if onTime < 390 || lost > 0 {
		t.Errorf("%d of 400 pieces done by their due time, %d late, %d lost", onTime, late, lost)
	}
}

// Guards against calls whose results exceed the result memory of an upstream.
func TestResultCapacityBoundsCalls(t *testing.T) {
	batch := testBatch
	batch.ResultCapacityBytes = 3_000_000
	b := NewBatcher(newJudge())
	b.SetUpstreams(batch, members(1))
	now := time.Unix(0, 0)
	var produced []Result
	for i := range 6 {
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint(i)}, Bytes: 1_500_000, Due: now.Add(time.Second), Deadline: now.Add(4 * time.Second), GiveUp: now.Add(4 * time.Second)}
		j.finish = func(r Result) { produced = append(produced, r) }
		b.Add([]*Job{j})
	}
	c := b.Next(now)
	if c == nil || len(c.Jobs) != 2 {
		t.Fatalf("the first call is %+v, want 2 pieces", c)
	}
	now = now.Add(300 * time.Millisecond)
	b.Finish(now, c, []dialect.Result{{Handle: "a"}, {Handle: "b"}}, nil)
	if next := b.Next(now); next != nil {
		t.Fatalf("a call of %d pieces without capacity for results", len(next.Jobs))
	}
	release(b, produced[:1])
	if next := b.Next(now); next == nil || len(next.Jobs) != 1 {
		t.Fatalf("after one release the call is %+v, want 1 piece", next)
	}
}

// Guards against pieces that end twice or never, results that are not tracked, and
// upstreams with more than one call, in any order of events.
func TestStatefulBatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBatcher(newJudge())
		now := time.Unix(0, 0)
		all := members(3)
		b.SetUpstreams(testBatch, all)
		ended := make(map[int]int)
		var calls []*Call
		jobs := make(map[int]*Job)
		kept := make(map[string]Result)
		busy := make(map[string]int)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id := len(jobs)
				j := &Job{Piece: dialect.Piece{ID: fmt.Sprint(id)}, Bytes: int64(rapid.IntRange(1, 2_000_000).Draw(t, "bytes")),
					Due: now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "due")) * time.Millisecond), Deadline: now.Add(3 * time.Second), GiveUp: now.Add(2 * time.Second)}
				j.finish = func(r Result) {
					ended[id]++
					if r.Handle != "" {
						kept[r.Handle] = r
					}
				}
				jobs[id] = j
				b.Add([]*Job{j})
			},
			"next": func(t *rapid.T) {
				if c := b.Next(now); c != nil {
					calls = append(calls, c)
					if busy[c.Upstream.ID]++; busy[c.Upstream.ID] > testBatch.Slots {
						t.Fatalf("%s has %d calls", c.Upstream.ID, busy[c.Upstream.ID])
					}
					if len(c.Jobs) > testBatch.Size {
						t.Fatalf("a call of %d pieces", len(c.Jobs))
					}
				}
			},
			"finish": func(t *rapid.T) {
				if len(calls) == 0 {
					return
				}
				i := rapid.IntRange(0, len(calls)-1).Draw(t, "call")
				c := calls[i]
				calls = append(calls[:i], calls[i+1:]...)
				busy[c.Upstream.ID]--
				switch rapid.IntRange(0, 3).Draw(t, "outcome") {
				case 0:
					b.Finish(now, c, nil, errors.New("failed"))
				case 1:
					b.Refused(now, c)
				default:
					results := make([]dialect.Result, len(c.Jobs))
					for i, j := range c.Jobs {
						results[i].Handle = fmt.Sprint(j.Piece.ID, "/", now.UnixNano(), "/", c.Upstream.ID)
						if rapid.IntRange(0, 5).Draw(t, "failure") == 0 {
							results[i] = dialect.Result{Failure: dialect.FailureNoCapacity}
						}
					}
					release(b, b.Finish(now, c, results, nil))
				}
			},
			"release": func(*rapid.T) {
				for h, r := range kept {
					release(b, []Result{r})
					delete(kept, h)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(jobs) > 0 {
					b.Cancel([]*Job{jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "job")]})
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				b.RequeueOverdue(now)
			},
			"": func(t *rapid.T) {
				for id, n := range ended {
					if n > 1 {
						t.Fatalf("piece %d ended %d times", id, n)
					}
				}
				for id, u := range b.upstreams {
					if u.heldBytes < 0 || u.calls < 0 {
						t.Fatalf("%s holds %d bytes in %d calls", id, u.heldBytes, u.calls)
					}
				}
			},
		})
		// In any case a piece ends once upstreams respond again or its deadline has passed.
		now = now.Add(5 * time.Second)
		for _, c := range calls {
			b.Finish(now, c, nil, errors.New("failed"))
		}
		b.Next(now)
		for id, j := range jobs {
			if !j.done {
				t.Fatalf("piece %d never ends", id)
			}
		}
	})
}

// Guards against results that are transferred between failure domains at loads that leave
// time to wait for the right one, and against pieces that are late because they waited.
// The load pattern is a piece each 7 ms (1000/rate rounded down), 75 % of the capacity of
// five upstreams in four domains, with the result of each piece needed in one of them.
func TestPiecesRunInTheWantedFailureDomain(t *testing.T) {
	run := func(wanted bool) (matched, onTime int) {
		s := newSimulation(testBatch, 0)
		list := members(5)
		for i, m := range list {
			m.FailureDomain = fmt.Sprint("d", i%4)
		}
		s.b.SetUpstreams(testBatch, list)
		const total, rate = 1000, 130
		for i := range total {
			want := fmt.Sprint("d", i%4)
			j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000, Due: s.now.Add(800 * time.Millisecond), Deadline: s.now.Add(4 * time.Second), GiveUp: s.now.Add(4 * time.Second)}
			if wanted {
				j.Domain = want
			}
			j.finish = func(res Result) {
				if res.FailureDomain == want {
					matched++
				}
				if res.Failure == dialect.FailureNone && !s.now.After(j.Due) {
					onTime++
				}
				release(s.b, []Result{res})
			}
			s.b.Add([]*Job{j})
			for range 1000 / rate {
				s.step()
			}
		}
		for range 4000 {
			s.step()
		}
		return matched, onTime
	}
	matched, onTime := run(true)
	base, _ := run(false)
	if matched < 700 || matched < 2*base || onTime < 980 {
		t.Errorf("%d of 1000 pieces ran in the wanted failure domain, %d without a wanted one; %d done by their due time", matched, base, onTime)
	}
	t.Logf("ran in the wanted failure domain: %d of 1000, without a wanted one: %d; done by their due time: %d", matched, base, onTime)
}

// Guards against background pieces that stay queued until their request's deadline behind
// a burst that doesn't end: they must end early enough for their caller to retry.
func TestBackgroundPiecesExpireForARetry(t *testing.T) {
	s := newSimulation(testBatch, 1)
	var ended time.Duration
	start := s.now
	background := &Job{Piece: dialect.Piece{ID: "background"}, Background: true, Due: start, Deadline: start.Add(5 * time.Second), GiveUp: start.Add(3 * time.Second)}
	background.finish = func(res Result) {
		if res.Failure != dialect.FailureExpired {
			t.Errorf("the piece ended with %+v", res)
		}
		ended = s.now.Sub(start)
	}
	for i := range 1500 {
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Due: s.now.Add(700 * time.Millisecond), Deadline: s.now.Add(5 * time.Second), GiveUp: s.now.Add(3 * time.Second)}
		j.finish = func(Result) {}
		s.b.Add([]*Job{j})
		if i == 20 {
			s.b.Add([]*Job{background})
		}
		for range 3 {
			s.step()
		}
	}
	if ended == 0 || ended > 3500*time.Millisecond {
		t.Errorf("the background piece ended after %v of 5 s, want 3 s", ended)
	}
}

// Guards against pieces that stay queued after their expiry, as the queue is not scanned
// at each call: any piece ends at most one scan interval late, and the estimate counts the
// queued pieces.
func TestWaitingPiecesEndWhenTheyMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(testBatch, rapid.IntRange(1, 3).Draw(t, "upstreams"))
		s.failed["u0"] = rapid.Bool().Draw(t, "failed")
		waiting := make(map[*Job]bool)
		for i := range rapid.IntRange(1, 120).Draw(t, "pieces") {
			j := &Job{
				Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000,
				Due:        s.now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(t, "due")) * time.Millisecond),
				GiveUp:     s.now.Add(time.Duration(rapid.IntRange(500, 2000).Draw(t, "giveUp")) * time.Millisecond),
				Deadline:   s.now.Add(time.Duration(rapid.IntRange(1000, 4000).Draw(t, "deadline")) * time.Millisecond),
				Background: rapid.Bool().Draw(t, "background"),
			}
			j.finish = func(res Result) {
				delete(waiting, j)
				release(s.b, []Result{res})
			}
			waiting[j] = true
			s.b.Add([]*Job{j})
			for range rapid.IntRange(0, 20).Draw(t, "pause") {
				s.step()
			}
			background, ahead := 0, 0
			for _, j := range s.b.queue {
				if j.Background {
					background++
				} else {
					ahead++
				}
			}
			if e := s.b.Estimate(s.now); e.Late != background || e.Ahead != ahead {
				t.Fatalf("estimate of %d and %d pieces, %d and %d are queued", e.Ahead, e.Late, ahead, background)
			}
			for j := range waiting {
				if end := s.b.expiryOf(j); j.queued && s.now.After(end.Add(maxExpiryInterval)) {
					t.Fatalf("piece %s is still queued at %v, its expiry was %v", j.Piece.ID, s.now, end)
				}
			}
		}
	})
}

// Guards against upstreams that stay idle because the response to their last call was lost.
// The load pattern is half of the capacity with a fifth of all responses lost; the baseline
// waits for each response until the deadline of its pieces.
func TestUpstreamsAreReusedAfterLostResponses(t *testing.T) {
	run := func(noTimeouts bool) (onTime, lost int) {
		s := newSimulation(testBatch, 5)
		s.lost, s.noTimeouts = 0.2, noTimeouts
		onTime, _, lost = s.load(600, time.Second/95, 2500*time.Millisecond, 6*time.Second)
		return onTime, lost
	}
	onTime, lost := run(false)
	base, baseLost := run(true)
	t.Logf("%d done by their due time, %d lost; %d and %d with calls that stay open until their deadline", onTime, lost, base, baseLost)
	if onTime < 570 || lost > 6 || onTime <= base {
		t.Errorf("%d of 600 done by their due time, %d lost; %d and %d with calls that stay open until their deadline", onTime, lost, base, baseLost)
	}
}

// Guards against a service that completes no pieces because all of its upstreams are five
// times slower than configured, so that every call times out before it ends.
func TestSlowServiceCompletesInTheEnd(t *testing.T) {
	s := newSimulation(testBatch, 5)
	for i := range 5 {
		s.slowFactor[fmt.Sprint("u", i)] = 5
	}
	_, late, lost := s.load(40, 500*time.Millisecond, time.Second, 15*time.Second)
	if late < 36 {
		t.Errorf("%d of 40 pieces done late, %d lost", late, lost)
	}
}

// Guards against a piece that doesn't expire after a call with it became overdue and it was
// queued again, now as background: it must expire although that call never ends.
func TestBackgroundPieceOfAHangingCallExpires(t *testing.T) {
	s := newSimulation(testBatch, 1)
	s.lost, s.noTimeouts = 1, true
	started := s.now
	var ended time.Duration
	j := &Job{Piece: dialect.Piece{ID: "p"}, Bytes: 1000, Due: started.Add(500 * time.Millisecond), GiveUp: started.Add(2 * time.Second), Deadline: started.Add(6 * time.Second)}
	j.finish = func(Result) { ended = s.now.Sub(started) }
	s.b.Add([]*Job{j})
	for range 6000 {
		s.step()
	}
	if ended == 0 || ended > 2*time.Second+maxExpiryInterval {
		t.Errorf("the piece ended after %v, its caller could retry until 2 s", ended)
	}
}

// Guards against a piece that is moved to the background after its GiveUp time and stays
// queued there until some other event: its upstreams are busy and no timer is set for a time
// that has passed.
func TestPieceDemotedAfterItsGiveUpTimeEnds(t *testing.T) {
	s := newSimulation(testBatch, 1)
	busy := Job{Due: s.now.Add(time.Minute), Deadline: s.now.Add(time.Minute), GiveUp: s.now.Add(time.Minute), finish: func(Result) {}}
	s.b.Add(busy.Copies(1))
	s.step()
	var ended time.Time
	j := &Job{Due: s.now.Add(250 * time.Millisecond), GiveUp: s.now, Deadline: s.now.Add(time.Minute)}
	j.finish = func(Result) { ended = s.now }
	s.b.Add([]*Job{j})
	for s.b.Next(s.now); ended.IsZero(); s.b.Next(s.now) {
		next := s.b.NextCheck(s.now)
		if next.IsZero() {
			t.Fatal("no check is due, and the piece is still queued")
		}
		s.now = next
	}
	if latest := j.Due.Add(-s.b.callTime(1)).Add(maxExpiryInterval); ended.After(latest) {
		t.Errorf("the piece ended at %v, want at most %v", ended, latest)
	}
}

// domainLoad runs a service of 46 upstreams in six failure domains at nine tenths of its
// capacity for 4 s. It returns the pieces done by their due time, and those done in the failure
// domain where their result is needed.
func domainLoad(withDomains bool) (onTime, inDomain, total int) {
	const upstreams, domains = 46, 6
	domainOf := func(n int) string { return fmt.Sprint("domain-", n%domains) }
	s := newSimulation(testBatch, 0)
	all := members(upstreams)
	for i, m := range all {
		m.FailureDomain = domainOf(i)
	}
	s.b.SetUpstreams(testBatch, all)
	full := testBatch.CallTime + time.Duration(testBatch.Size)*testBatch.PieceTime
	perMs := 0.9 * upstreams * float64(testBatch.Size) / full.Seconds() / 1000
	expected := 0.0
	for started := s.now; s.now.Sub(started) < 6*time.Second; s.step() {
		if s.now.Sub(started) < 4*time.Second {
			expected += perMs
		}
		for ; total < int(expected); total++ {
			domain := domainOf(s.rng.IntN(domains))
			j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", total)}, Bytes: 1000, Due: s.now.Add(800 * time.Millisecond), GiveUp: s.now.Add(2 * time.Second), Deadline: s.now.Add(4 * time.Second)}
			if withDomains {
				j.Domain = domain
			}
			j.finish = func(r Result) {
				if r.Failure == dialect.FailureNone && !s.now.After(j.Due) {
					onTime++
				}
				if r.FailureDomain == domain {
					inDomain++
				}
				release(s.b, []Result{r})
			}
			s.b.Add([]*Job{j})
		}
	}
	return onTime, inDomain, total
}

// Guards against large results that cross failure domains because the queue of a service with
// many upstreams counts as long: with 46 of them, two calls' worth of pieces are queued at any
// time. The baseline runs each piece on any upstream.
func TestLargeServiceKeepsResultsInTheirDomain(t *testing.T) {
	onTime, inDomain, total := domainLoad(true)
	base, baseInDomain, _ := domainLoad(false)
	t.Logf("of %d, %d done in time and %d in their domain; %d and %d on any upstream", total, onTime, inDomain, base, baseInDomain)
	if inDomain*10 < total*7 {
		t.Errorf("%d of %d pieces were done in the domain where their result is needed", inDomain, total)
	}
	if onTime*100 < base*99 {
		t.Errorf("%d pieces done in time, %d on any upstream", onTime, base)
	}
}

// Guards against pieces that wait in the queue until they expire although each upstream leaves
// or wants quiet for longer, and against pieces that are ended although they can wait.
func TestPiecesThatOutliveNoQuietTimeEndAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		judge := newJudge()
		b := NewBatcher(judge)
		list := members(2)
		b.SetUpstreams(testBatch, list)
		say := func(m *catalog.Member, info dialect.ResponseInfo) {
			judge.Observe(forward.Observation{Target: forward.Target{ID: m.ID, Address: m.Address}, Status: http.StatusServiceUnavailable, Info: info})
		}
		results := make(map[string]Result)
		add := func(id string, deadline time.Duration) {
			now := time.Now()
			b.Add([]*Job{{
				Piece: dialect.Piece{ID: id}, Bytes: 1000, Due: now.Add(deadline), GiveUp: now.Add(deadline), Deadline: now.Add(deadline),
				finish: func(r Result) { results[id] = r },
			}})
		}
		say(list[0], dialect.ResponseInfo{RetryAfter: 3 * time.Second})
		say(list[1], dialect.ResponseInfo{Leaving: true})
		if e := b.Estimate(time.Now()); !e.Closed || e.ClosedFor < 3*time.Second {
			t.Errorf("the estimate is %+v", e)
		}
		add("short", 2*time.Second)
		add("long", 10*time.Second)
		if c := b.Next(time.Now()); c != nil {
			t.Fatalf("a call to %s", c.Upstream.ID)
		}
		if r, ok := results["short"]; !ok || r.Failure != FailureNoUpstream {
			t.Errorf("the piece that can't be run in time has ended %v with %q", ok, r.Failure)
		}
		time.Sleep(time.Until(b.NextCheck(time.Now())))
		var c *Call
		for range 50 {
			if c = b.Next(time.Now()); c != nil {
				break
			}
			time.Sleep(time.Until(b.NextCheck(time.Now())))
		}
		if c == nil || c.Upstream.ID != "u0" || c.Jobs[0].Piece.ID != "long" {
			t.Fatalf("the piece that can wait is in call %+v", c)
		}
		say(list[0], dialect.ResponseInfo{Leaving: true})
		add("last", 10*time.Second)
		if b.Next(time.Now()) != nil || results["last"].Failure != FailureNoUpstream {
			t.Errorf("with all upstreams leaving, a piece ends with %q", results["last"].Failure)
		}
	})
}
