package limits

import (
	"math"
	"slices"
)

// serviceTimes compares the latest service times per unit of work with those
// before them. Medians keep single slow calls from mattering.
type serviceTimes struct {
	// baseline and recent are rings of natural logarithms of seconds per unit.
	baseline [baselineSize]float64
	count    int
	recent   [recentSize]bool
	seen     int
}

func (t *serviceTimes) reset() { *t = serviceTimes{} }

// add records a call and reports whether the latest calls have left the baseline.
func (t *serviceTimes) add(o Observation) bool {
	work := o.Work
	if work <= 0 {
		work = 1
	}
	v := math.Log(max(o.Duration.Seconds(), 1e-9) / work)
	slow := t.count >= baselineMinimum && v > t.threshold()
	t.recent[t.seen%recentSize] = slow
	t.seen++
	if !slow {
		t.baseline[t.count%baselineSize] = v
		t.count++
	}
	return t.slowCalls() >= slowMinimum
}

func (t *serviceTimes) slowCalls() int {
	n := 0
	for _, slow := range t.recent {
		if slow {
			n++
		}
	}
	return n
}

// threshold is the logarithm above which a call is slow.
func (t *serviceTimes) threshold() float64 {
	n := min(t.count, baselineSize)
	var buf [baselineSize]float64
	values := buf[:n]
	copy(values, t.baseline[:n])
	slices.Sort(values)
	median := values[n/2]
	for i, v := range values {
		values[i] = math.Abs(v - median)
	}
	slices.Sort(values)
	return median + max(math.Log(slowFactor), slowDeviations*values[n/2])
}
