package pieces

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/pipeline"
)

// inTime is what of a burst was done in time.
type inTime struct {
	// worth is the part of all requests' worth, small, middle and large the parts of the
	// smallest third, of all and of the largest tenth of requests, by number.
	worth, small, middle, large float64
	// served is the part of all requests that was done at all.
	served float64
}

// replayBurst sends 1.3 times the capacity of five upstreams for 6 s, in requests of one
// piece whose sizes are spread as those of the users' prompts, and takes those for late
// that would be done later than the objective less the reserve.
func replayBurst(reserve func(worth float64, spare time.Duration) time.Duration) inTime {
	const rate, seconds, objective = 250, 6, 700 * time.Millisecond
	r := newReplay(testBatch, 5)
	rng := rand.New(rand.NewPCG(1, 2))
	sizes := pipeline.NewRouteSizes()
	type request struct {
		worth  float64
		onTime bool
	}
	all := make([]*request, 0, rate*seconds)
	done := 0
	for i := range rate * seconds {
		q := &request{worth: sizes.Value("route", int(1000*math.Exp(rng.NormFloat64())), 0)}
		all = append(all, q)
		e := r.b.Estimate(r.now)
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000, Due: r.now.Add(objective), GiveUp: r.now.Add(4 * time.Second), Deadline: r.now.Add(6 * time.Second)}
		if e.Wait(1)+reserve(q.worth, objective-e.UnloadedTime(1)) > objective {
			j.Deferred = e.WaitDeferred(1) <= objective
			j.Background = !j.Deferred
		}
		j.finish = func(res Result) {
			if res.Failure == dialect.FailureNone {
				done++
				q.onTime = !r.now.After(j.Due)
			}
			drop(r.b, []Result{res})
		}
		r.b.Add([]*Job{j})
		for range 1000 / rate {
			r.step()
		}
	}
	for range 6000 {
		r.step()
	}
	part := func(from, to float64) float64 {
		n, on := 0, 0
		for _, q := range all {
			if q.worth >= from && q.worth < to {
				n++
				if q.onTime {
					on++
				}
			}
		}
		return float64(on) / float64(n)
	}
	var got, owed float64
	for _, q := range all {
		owed += q.worth
		if q.onTime {
			got += q.worth
		}
	}
	// A third of these sizes is worth less than 0.58, a tenth more than 1.83.
	return inTime{worth: got / owed, small: part(0, 0.58), middle: part(0, math.Inf(1)), large: part(1.83, math.Inf(1)), served: float64(done) / float64(len(all))}
}

// Guards against a burst in which requests are late whatever they are worth, and against
// small ones that get nothing for it. The load pattern is 1.3 times the capacity of the
// stages for 6 s; the baseline takes every request for one in time that can be.
func TestBurstIsServedByWorth(t *testing.T) {
	without := replayBurst(func(float64, time.Duration) time.Duration { return 0 })
	with := replayBurst(pipeline.Reserve)
	t.Logf("without reserve %+v", without)
	t.Logf("with reserve    %+v", with)
	if with.worth <= without.worth || with.large <= without.large {
		t.Errorf("worth in time %.3f, largest tenth %.3f; without reserve %.3f and %.3f", with.worth, with.large, without.worth, without.large)
	}
	if with.middle < 0.95*without.middle {
		t.Errorf("%.3f of the requests in time, %.3f without reserve", with.middle, without.middle)
	}
	// Large requests are served at most four times as often as small ones: a kind of
	// request counts as starved below a quarter.
	if with.small < with.large/4 || with.served < 0.99*without.served {
		t.Errorf("smallest third %.3f in time, largest tenth %.3f; served at all %.3f, without reserve %.3f", with.small, with.large, with.served, without.served)
	}
}
