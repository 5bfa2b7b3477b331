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

// burstResult is what fraction of a burst met its objective.
type burstResult struct {
	// value is the fraction of the summed value of all requests. small, overall and large are
	// the fractions of the smallest third, of all and of the largest tenth of requests, by
	// number.
	value, small, overall, large float64
	// served is the fraction of all requests that completed at all.
	served float64
}

// simulateBurst sends 1.3 times the capacity of five upstreams for 6 s, in requests of one
// piece whose sizes are distributed like those of users' prompts. A request is deferred or
// background if it is expected to complete later than the objective minus the reserve.
func simulateBurst(reserve func(value float64, spare time.Duration) time.Duration) burstResult {
	const rate, seconds, objective = 250, 6, 700 * time.Millisecond
	s := newSimulation(testBatch, 5)
	rng := rand.New(rand.NewPCG(1, 2))
	sizes := pipeline.NewRouteSizes()
	type request struct {
		value  float64
		onTime bool
	}
	all := make([]*request, 0, rate*seconds)
	done := 0
	for i := range rate * seconds {
		q := &request{value: sizes.Value("route", int(1000*math.Exp(rng.NormFloat64())), 0)}
		all = append(all, q)
		e := s.b.Estimate(s.now)
		j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i)}, Bytes: 1000, Due: s.now.Add(objective), GiveUp: s.now.Add(4 * time.Second), Deadline: s.now.Add(6 * time.Second)}
		if e.Wait(1)+reserve(q.value, objective-e.UnloadedTime(1)) > objective {
			j.Deferred = e.WaitDeferred(1) <= objective
			j.Background = !j.Deferred
		}
		j.finish = func(res Result) {
			if res.Failure == dialect.FailureNone {
				done++
				q.onTime = !s.now.After(j.Due)
			}
			release(s.b, []Result{res})
		}
		s.b.Add([]*Job{j})
		for range 1000 / rate {
			s.step()
		}
	}
	for range 6000 {
		s.step()
	}
	fraction := func(from, to float64) float64 {
		n, on := 0, 0
		for _, q := range all {
			if q.value >= from && q.value < to {
				n++
				if q.onTime {
					on++
				}
			}
		}
		return float64(on) / float64(n)
	}
	var achieved, total float64
	for _, q := range all {
		total += q.value
		if q.onTime {
			achieved += q.value
		}
	}
	// A third of these requests has a value below 0.58, a tenth one above 1.83.
	return burstResult{value: achieved / total, small: fraction(0, 0.58), overall: fraction(0, math.Inf(1)), large: fraction(1.83, math.Inf(1)), served: float64(done) / float64(len(all))}
}

// Guards against a burst in which requests miss their objective whatever their value, and
// against small ones that starve in favour of the others. The load pattern is 1.3 times
// the capacity of the stages for 6 s; the baseline has no reserve and defers no request
// that can meet its objective.
func TestBurstIsServedByValue(t *testing.T) {
	without := simulateBurst(func(float64, time.Duration) time.Duration { return 0 })
	with := simulateBurst(pipeline.Reserve)
	t.Logf("without reserve %+v", without)
	t.Logf("with reserve    %+v", with)
	if with.value <= without.value || with.large <= without.large {
		t.Errorf("%.3f of the value and %.3f of the largest tenth meet the objective; without reserve %.3f and %.3f", with.value, with.large, without.value, without.large)
	}
	if with.overall < 0.95*without.overall {
		t.Errorf("%.3f of the requests meet the objective, %.3f without reserve", with.overall, without.overall)
	}
	// Large requests meet the objective at most four times as often as small ones: a size
	// class counts as starved below a quarter.
	if with.small < with.large/4 || with.served < 0.99*without.served {
		t.Errorf("%.3f of the smallest third and %.3f of the largest tenth meet the objective; %.3f completed at all, %.3f without reserve", with.small, with.large, with.served, without.served)
	}
}
