package pieces

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

var testBatch = catalog.Batch{
	Slots: 1, Queue: 2, Size: 14, CallTime: 200 * time.Millisecond, PieceTime: 12 * time.Millisecond,
	ResultCapacityBytes: 32_000_000, ResultTTL: 4 * time.Second,
}

func members(n int) []*catalog.Member {
	list := make([]*catalog.Member, n)
	for i := range list {
		list[i] = &catalog.Member{Upstream: catalog.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i, ":80"), FailureDomain: "a"}}
	}
	return list
}

// replay runs pieces through a batcher against upstreams that take the stated time, one
// step of the queue a millisecond.
type replay struct {
	b     *Batcher
	batch catalog.Batch
	now   time.Time
	ends  map[*Call]time.Time
	// slow multiplies the time of an upstream's calls.
	slow map[string]float64
	// failed upstreams end their calls with an error after a tenth of the time.
	failed map[string]bool
	// lost is the share of calls whose answers are lost, and uncut keeps these waiting until
	// the deadline of their pieces.
	lost  float64
	uncut bool
	rng   *rand.Rand
	cuts  map[*Call]bool
	calls int
}

// drop releases results whose upstreams drop them at once.
func drop(b *Batcher, results []Result) {
	for _, handles := range b.GroupByUpstream(results) {
		b.ResultsReleased(handles)
	}
}

func newReplay(batch catalog.Batch, upstreams int) *replay {
	r := &replay{b: NewBatcher(), batch: batch, now: time.Unix(0, 0), ends: make(map[*Call]time.Time), slow: make(map[string]float64), failed: make(map[string]bool), rng: rand.New(rand.NewPCG(1, 2)), cuts: make(map[*Call]bool)}
	r.b.SetUpstreams(batch, members(upstreams))
	return r
}

func (r *replay) step() {
	for c, end := range r.ends {
		if r.now.Before(end) {
			continue
		}
		delete(r.ends, c)
		if r.failed[c.Upstream.ID] || r.cuts[c] {
			drop(r.b, r.b.Finish(r.now, c, nil, errors.New("connection reset")))
			continue
		}
		results := make([]dialect.Result, len(c.Jobs))
		for i, j := range c.Jobs {
			results[i].Handle = fmt.Sprint(j.Piece.ID, "/", j.tries, "/", c.Upstream.ID)
		}
		drop(r.b, r.b.Finish(r.now, c, results, nil))
	}
	r.b.RequeueOverdue(r.now)
	for c := r.b.Next(r.now); c != nil; c = r.b.Next(r.now) {
		took := r.batch.CallTime + time.Duration(len(c.Jobs))*r.batch.PieceTime
		if f := r.slow[c.Upstream.ID]; f > 0 {
			took = time.Duration(f * float64(took))
		}
		if r.failed[c.Upstream.ID] {
			took /= 10
		}
		cut := c.Timeout()
		if r.uncut {
			cut = c.Jobs[0].Deadline.Sub(r.now)
		}
		if r.rng.Float64() < r.lost || took > cut {
			r.cuts[c] = true
			took = cut
		}
		r.ends[c] = r.now.Add(took)
		r.calls++
	}
	r.now = r.now.Add(time.Millisecond)
}

// load adds one piece each period and counts those that are done when they are due.
func (r *replay) load(total int, period, due, deadline time.Duration) (inTime, late, lost int) {
	for i := range total {
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000, Due: r.now.Add(due), Deadline: r.now.Add(deadline), GiveUp: r.now.Add(deadline)}
		j.finish = func(res Result) {
			switch {
			case res.Failure != dialect.FailureNone:
				lost++
			case r.now.After(j.Due):
				late++
			default:
				inTime++
			}
			drop(r.b, []Result{res})
		}
		r.b.Add([]*Job{j})
		for until := r.now.Add(period); r.now.Before(until); {
			r.step()
		}
	}
	for range int(deadline / time.Millisecond) {
		r.step()
	}
	return inTime, late, lost
}

// Guards against a burst beyond a service's capacity that makes every piece late. The
// load pattern is 1.3 times the capacity of five upstreams for 6 s; in the order of due
// times alone, nearly all pieces of the later half are late.
func TestBurstLeavesWhatFitsInTime(t *testing.T) {
	const rate, seconds = 250, 6
	capacity := 5.0 * 14 / 0.368 // pieces a second in full calls
	inTime, late, lost := newReplay(testBatch, 5).load(rate*seconds, time.Second/rate, 700*time.Millisecond, 4*time.Second)
	if want := int(0.85 * capacity * seconds); inTime < want {
		t.Errorf("%d pieces in time, %d late, %d lost; want at least %d in time", inTime, late, lost, want)
	}
	if served := inTime + late; served < int(capacity*seconds) {
		t.Errorf("%d pieces made, want at least the capacity of %v a second", served, capacity)
	}

	baseline := newReplay(testBatch, 5)
	total := rate * seconds
	base := 0
	for i := range total {
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000, Deadline: baseline.now.Add(4 * time.Second), GiveUp: baseline.now.Add(4 * time.Second)}
		due := baseline.now.Add(700 * time.Millisecond)
		// Far due times in the order of arrival leave nothing to demote.
		j.Due = baseline.now.Add(time.Hour)
		j.finish = func(res Result) {
			if res.Failure == dialect.FailureNone && !baseline.now.After(due) {
				base++
			}
			drop(baseline.b, []Result{res})
		}
		baseline.b.Add([]*Job{j})
		for range 1000 / rate {
			baseline.step()
		}
	}
	for range 4000 {
		baseline.step()
	}
	if inTime <= base {
		t.Errorf("%d pieces in time, the order of arrival alone has %d", inTime, base)
	}
	t.Logf("in time: %d, by the order of arrival alone: %d, of %d", inTime, base, total)
}

// Guards against calls that are sent with few pieces while many wait, and against waiting
// for a call to fill while an upstream is free.
func TestCallsFillUnderLoadOnly(t *testing.T) {
	quiet := newReplay(testBatch, 5)
	inTime, _, _ := quiet.load(20, 100*time.Millisecond, 220*time.Millisecond, time.Second)
	if inTime != 20 {
		t.Errorf("%d of 20 single pieces went at once", inTime)
	}
	busy := newReplay(testBatch, 5)
	inTime, late, _ := busy.load(900, time.Second/180, 800*time.Millisecond, 4*time.Second)
	if inTime < 890 || busy.calls > 900/8 {
		t.Errorf("%d of 900 pieces in time and %d late in %d calls at 95 %% of the capacity", inTime, late, busy.calls)
	}
}

// Guards against a slow upstream that holds pieces up while others are free.
func TestSlowUpstreamIsNoticedInTheMiddleOfACall(t *testing.T) {
	r := newReplay(testBatch, 5)
	r.slow["u2"] = 8
	inTime, late, lost := r.load(600, time.Second/100, 1200*time.Millisecond, 5*time.Second)
	if inTime < 580 || lost > 0 {
		t.Errorf("%d in time, %d late, %d lost of 600", inTime, late, lost)
	}
}

// Guards against pieces that are lost or given up because some upstreams fail.
func TestPiecesOfFailedCallsAreMadeElsewhere(t *testing.T) {
	r := newReplay(testBatch, 5)
	r.failed["u0"], r.failed["u3"] = true, true
	inTime, late, lost := r.load(400, time.Second/60, time.Second, 4*time.Second)
	if inTime < 390 || lost > 0 {
		t.Errorf("%d in time, %d late, %d lost of 400", inTime, late, lost)
	}
}

// Guards against results that overflow the room of an upstream.
func TestRoomBoundsWhatAnUpstreamHolds(t *testing.T) {
	batch := testBatch
	batch.ResultCapacityBytes = 3_000_000
	b := NewBatcher()
	b.SetUpstreams(batch, members(1))
	now := time.Unix(0, 0)
	var made []Result
	for i := range 6 {
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint(i)}, Bytes: 1_500_000, Due: now.Add(time.Second), Deadline: now.Add(4 * time.Second), GiveUp: now.Add(4 * time.Second)}
		j.finish = func(r Result) { made = append(made, r) }
		b.Add([]*Job{j})
	}
	c := b.Next(now)
	if c == nil || len(c.Jobs) != 2 {
		t.Fatalf("the first call is %+v, want 2 pieces", c)
	}
	now = now.Add(300 * time.Millisecond)
	b.Finish(now, c, []dialect.Result{{Handle: "a"}, {Handle: "b"}}, nil)
	if next := b.Next(now); next != nil {
		t.Fatalf("a call of %d pieces without room", len(next.Jobs))
	}
	drop(b, made[:1])
	if next := b.Next(now); next == nil || len(next.Jobs) != 1 {
		t.Fatalf("after one release the call is %+v, want 1 piece", next)
	}
}

// Guards against pieces that end twice or never, results that are lost track of, and
// upstreams with more than one call, in any order of events.
func TestStatefulBatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBatcher()
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
					drop(b, b.Finish(now, c, results, nil))
				}
			},
			"release": func(*rapid.T) {
				for h, r := range kept {
					drop(b, []Result{r})
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
				for id, w := range b.workers {
					if w.held < 0 || w.calls < 0 {
						t.Fatalf("%s holds %d bytes in %d calls", id, w.held, w.calls)
					}
				}
			},
		})
		// Whatever happened, every piece ends once upstreams answer again or its time is over.
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

// Guards against results that are moved between failure domains at loads that leave time
// to choose, and against pieces that come too late for it. The load pattern is 70 % of
// five upstreams in four domains, each piece wanted in one of them.
func TestPiecesAreMadeWhereTheyAreWanted(t *testing.T) {
	run := func(wanted bool) (matched, inTime int) {
		r := newReplay(testBatch, 0)
		list := members(5)
		for i, m := range list {
			m.FailureDomain = fmt.Sprint("d", i%4)
		}
		r.b.SetUpstreams(testBatch, list)
		const total, rate = 1000, 130
		for i := range total {
			want := fmt.Sprint("d", i%4)
			j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000, Due: r.now.Add(800 * time.Millisecond), Deadline: r.now.Add(4 * time.Second), GiveUp: r.now.Add(4 * time.Second)}
			if wanted {
				j.Domain = want
			}
			j.finish = func(res Result) {
				if res.FailureDomain == want {
					matched++
				}
				if res.Failure == dialect.FailureNone && !r.now.After(j.Due) {
					inTime++
				}
				drop(r.b, []Result{res})
			}
			r.b.Add([]*Job{j})
			for range 1000 / rate {
				r.step()
			}
		}
		for range 4000 {
			r.step()
		}
		return matched, inTime
	}
	matched, inTime := run(true)
	base, _ := run(false)
	if matched < 700 || matched < 2*base || inTime < 980 {
		t.Errorf("%d of 1000 pieces were made where they are wanted, %d without the wish; %d in time", matched, base, inTime)
	}
	t.Logf("made where they are wanted: %d of 1000, without the wish: %d; in time: %d", matched, base, inTime)
}

// Guards against pieces that wait until their request's deadline behind a burst that
// doesn't end: their callers are told early enough to come back.
func TestBackgroundPiecesAreGivenUpInTime(t *testing.T) {
	r := newReplay(testBatch, 1)
	var told time.Duration
	start := r.now
	late := &Job{Piece: dialect.Piece{ID: "late"}, Background: true, Due: start, Deadline: start.Add(5 * time.Second), GiveUp: start.Add(3 * time.Second)}
	late.finish = func(res Result) {
		if res.Failure != dialect.FailureExpired {
			t.Errorf("the piece ended with %+v", res)
		}
		told = r.now.Sub(start)
	}
	for i := range 1500 {
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Due: r.now.Add(700 * time.Millisecond), Deadline: r.now.Add(5 * time.Second), GiveUp: r.now.Add(3 * time.Second)}
		j.finish = func(Result) {}
		r.b.Add([]*Job{j})
		if i == 20 {
			r.b.Add([]*Job{late})
		}
		for range 3 {
			r.step()
		}
	}
	if told == 0 || told > 3500*time.Millisecond {
		t.Errorf("the caller of the late piece was told after %v of 5 s, want 3 s", told)
	}
}

// Guards against pieces that stay in the queue after they must end, now that the queue is
// not looked through at each call: whatever becomes of a piece, it ends at most one look
// late, and the estimate counts what waits.
func TestWaitingPiecesEndWhenTheyMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplay(testBatch, rapid.IntRange(1, 3).Draw(t, "upstreams"))
		r.failed["u0"] = rapid.Bool().Draw(t, "failed")
		waiting := make(map[*Job]bool)
		for i := range rapid.IntRange(1, 120).Draw(t, "pieces") {
			j := &Job{
				Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000,
				Due:        r.now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(t, "due")) * time.Millisecond),
				GiveUp:     r.now.Add(time.Duration(rapid.IntRange(500, 2000).Draw(t, "giveUp")) * time.Millisecond),
				Deadline:   r.now.Add(time.Duration(rapid.IntRange(1000, 4000).Draw(t, "deadline")) * time.Millisecond),
				Background: rapid.Bool().Draw(t, "background"),
			}
			j.finish = func(res Result) {
				delete(waiting, j)
				drop(r.b, []Result{res})
			}
			waiting[j] = true
			r.b.Add([]*Job{j})
			for range rapid.IntRange(0, 20).Draw(t, "pause") {
				r.step()
			}
			late, ahead := 0, 0
			for _, j := range r.b.queue {
				if j.Background {
					late++
				} else {
					ahead++
				}
			}
			if e := r.b.Estimate(r.now); e.Late != late || e.Ahead != ahead {
				t.Fatalf("estimate of %d and %d pieces, %d and %d wait", e.Ahead, e.Late, ahead, late)
			}
			for j := range waiting {
				if end := r.b.endOf(j); j.queued && r.now.After(end.Add(maxExpireLook)) {
					t.Fatalf("piece %s waits at %v, it had to end at %v", j.Piece.ID, r.now, end)
				}
			}
		}
	})
}

// Guards against upstreams that stand idle because the answer to their last call was lost.
// The load pattern is half of the capacity with a fifth of all answers lost; the baseline
// waits for each until the deadline of its pieces.
func TestUpstreamsGoOnAfterLostAnswers(t *testing.T) {
	run := func(uncut bool) (inTime, lost int) {
		r := newReplay(testBatch, 5)
		r.lost, r.uncut = 0.2, uncut
		inTime, _, lost = r.load(600, time.Second/95, 2500*time.Millisecond, 6*time.Second)
		return inTime, lost
	}
	inTime, lost := run(false)
	base, baseLost := run(true)
	t.Logf("in time %d, lost %d; with calls that wait until their deadline %d and %d", inTime, lost, base, baseLost)
	if inTime < 570 || lost > 6 || inTime <= base {
		t.Errorf("%d of 600 in time, %d lost; %d and %d with calls that wait until their deadline", inTime, lost, base, baseLost)
	}
}

// Guards against a service whose upstreams are all many times slower than stated, and
// whose every call is cut before it ends.
func TestSlowServiceIsWaitedForInTheEnd(t *testing.T) {
	r := newReplay(testBatch, 5)
	for i := range 5 {
		r.slow[fmt.Sprint("u", i)] = 5
	}
	_, late, lost := r.load(40, 500*time.Millisecond, time.Second, 15*time.Second)
	if late < 36 {
		t.Errorf("%d of 40 pieces made, %d lost", late, lost)
	}
}

// Guards against late pieces that are held until their caller leaves because an earlier
// call with them hangs: they wait behind others again, and that call brings nothing.
func TestLatePieceOfAHangingCallIsGivenUp(t *testing.T) {
	r := newReplay(testBatch, 1)
	r.lost, r.uncut = 1, true
	started := r.now
	var ended time.Duration
	j := &Job{Piece: dialect.Piece{ID: "p"}, Bytes: 1000, Due: started.Add(500 * time.Millisecond), GiveUp: started.Add(2 * time.Second), Deadline: started.Add(6 * time.Second)}
	j.finish = func(Result) { ended = r.now.Sub(started) }
	r.b.Add([]*Job{j})
	for range 6000 {
		r.step()
	}
	if ended == 0 || ended > 2*time.Second+maxExpireLook {
		t.Errorf("the piece ended after %v, its caller could come back until 2 s", ended)
	}
}
