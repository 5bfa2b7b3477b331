package rollout

import (
	"fmt"
	"math"
	"slices"
)

// Suspicion is how much the evidence says against a version.
type Suspicion int

// Suspicions.
const (
	// Clear versions have no evidence against them.
	Clear Suspicion = iota
	// Suspected versions may not get all traffic yet.
	Suspected
	// Convicted versions are bad.
	Convicted
)

// finding is what a comparison found.
type finding struct {
	suspicion Suspicion
	reason    string
}

// worse returns the graver finding.
func (f finding) worse(other finding) finding {
	if other.suspicion > f.suspicion {
		return other
	}
	return f
}

// judge compares the answers of both versions in one window, by route and together. whole is the
// evidence of the whole time, in which the old version's is found that a window lacks.
func judge(window, whole evidence) finding {
	var f finding
	byRoute := make(map[string][]Counts)
	for c, counts := range window {
		if c.New {
			byRoute[c.Route] = append(byRoute[c.Route], counts)
		}
	}
	var failures failureTest
	var first, gap timeTest
	for route, upstreams := range byRoute {
		old := baseline(window[Cell{Route: route}], whole[Cell{Route: route}])
		kept := withoutWorst(upstreams, func(c Counts) float64 { return float64(c.Bad()) })
		one := failureTest{}
		one.add(kept, old)
		failures.add(kept, old)
		f = f.worse(one.find(route))
		for _, times := range []struct {
			all  *timeTest
			of   func(Counts) Times
			what string
		}{{&first, func(c Counts) Times { return c.First }, "first bytes"}, {&gap, func(c Counts) Times { return c.Gap }, "events"}} {
			slow := withoutWorst(upstreams, func(c Counts) float64 { return times.of(c).mean() })
			one := timeTest{}
			one.add(times.of(slow), times.of(old))
			times.all.add(times.of(slow), times.of(old))
			f = f.worse(one.find(route, times.what))
		}
	}
	return f.worse(failures.find("all routes")).worse(first.find("all routes", "first bytes")).worse(gap.find("all routes", "events"))
}

// baseline returns the old version's answers of the window, or of the whole time if the window
// has hardly any or has more bad ones: an old version that is ill counts neither for nor against
// the new one.
func baseline(window, whole Counts) Counts {
	if window.Answers() < 2*minTimes || badShare(window) > badShare(whole) {
		return whole
	}
	return window
}

func badShare(c Counts) float64 { return float64(c.Bad()+1) / float64(c.Answers()+4) }

// withoutWorst returns the sum over the upstreams without the worst of them, which may be ill by
// themselves.
func withoutWorst(upstreams []Counts, badness func(Counts) float64) Counts {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b Counts) int {
		return int(math.Copysign(1, badness(b)-badness(a)))
	})
	if n := len(sorted); n > 1 {
		sorted = sorted[(n+trimDivisor-1)/trimDivisor:]
	}
	var sum Counts
	for _, c := range sorted {
		sum = sum.plus(c, 1)
	}
	return sum
}

// failureTest compares shares of bad answers. Over several routes, the old version's share is
// weighted by the new one's answers.
type failureTest struct {
	bad, answers int
	expected     float64
}

func (t *failureTest) add(updated, old Counts) {
	t.bad += updated.Bad()
	t.answers += updated.Answers()
	t.expected += badShare(old) * float64(updated.Answers())
}

func (t *failureTest) find(route string) finding {
	if t.answers == 0 {
		return finding{}
	}
	share, old := float64(t.bad)/float64(t.answers), t.expected/float64(t.answers)
	if share-old < minDifference {
		return finding{}
	}
	support := float64(t.answers) * divergence(share, old)
	reason := fmt.Sprintf("%s: %d of %d answers bad, expected %.1f%%", route, t.bad, t.answers, 100*old)
	switch {
	case t.bad >= minBad && support >= minEvidence:
		return finding{suspicion: Convicted, reason: reason}
	case t.bad >= minSuspectedBad && support >= minSuspicion:
		return finding{suspicion: Suspected, reason: reason}
	}
	return finding{}
}

// divergence returns the Kullback-Leibler divergence of two shares.
func divergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// timeTest compares the logarithms of times, over several routes weighted by the new version's
// answers.
type timeTest struct {
	count                int
	difference, variance float64
}

func (t *timeTest) add(updated, old Times) {
	if updated.Count == 0 || old.Count < minSuspectedTimes {
		return
	}
	n := float64(updated.Count)
	t.count += updated.Count
	t.difference += n * (updated.mean() - old.mean())
	// Few times of the new version say little of their variance; the old version's is known.
	spread := max(updated.variance(), old.variance())
	t.variance += n * n * (spread/n + spread/float64(old.Count))
}

func (t *timeTest) find(route, what string) finding {
	if t.count == 0 {
		return finding{}
	}
	n := float64(t.count)
	difference := t.difference / n
	deviations := difference / (math.Sqrt(t.variance) / n)
	if difference < math.Log(minSlowdown) {
		return finding{}
	}
	reason := fmt.Sprintf("%s: %s %.1f times as slow in %d answers", route, what, math.Exp(difference), t.count)
	switch {
	case t.count >= minTimes && deviations >= minDeviations:
		return finding{suspicion: Convicted, reason: reason}
	case t.count >= minSuspectedTimes && deviations >= minSuspectDeviations:
		return finding{suspicion: Suspected, reason: reason}
	}
	return finding{}
}
