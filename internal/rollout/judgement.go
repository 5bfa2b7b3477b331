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
// evidence of the whole time, in which the old version's is found that a window lacks. What speaks
// against the new version must also hold, if less strongly, without its worst upstreams.
func judge(window, whole evidence) finding {
	var f finding
	byRoute := make(map[string][]Counts)
	for c, counts := range window {
		if c.New {
			byRoute[c.Route] = append(byRoute[c.Route], counts)
		}
	}
	total := newComparison("all routes")
	for route, upstreams := range byRoute {
		old := baseline(window[Cell{Route: route}], whole[Cell{Route: route}])
		one := newComparison(route)
		one.add(upstreams, old)
		total.add(upstreams, old)
		f = f.worse(one.find())
	}
	return f.worse(total.find())
}

// judgeFew returns what speaks against a version that has had few answers, or an empty text. They
// are too few to tell an upstream that is ill by itself from a bad version, so none is left out.
func judgeFew(whole evidence) string {
	byRoute := make(map[string]Counts)
	for c, counts := range whole {
		if c.New {
			byRoute[c.Route] = byRoute[c.Route].plus(counts, 1)
		}
	}
	var t failureTest
	for route, updated := range byRoute {
		t.add(updated, whole[Cell{Route: route}])
	}
	share, expected := t.shares()
	if t.answers >= fewAnswers || share-expected < minDifference || t.support() < minFewEvidence {
		return ""
	}
	return t.text("all routes")
}

// timeKinds are the kinds of times that are compared.
var timeKinds = [...]struct {
	what string
	of   func(Counts) Times
}{
	{"first bytes", func(c Counts) Times { return c.First }},
	{"events", func(c Counts) Times { return c.Gap }},
}

// comparison has the tests on one route, or on all together, with all upstreams of the new version
// and without the worst.
type comparison struct {
	route                   string
	failures, failTrimmed   failureTest
	slowness, slownessTrims [len(timeKinds)]timeTest
}

func newComparison(route string) *comparison { return &comparison{route: route} }

func (c *comparison) add(upstreams []Counts, old Counts) {
	var all Counts
	for _, u := range upstreams {
		all = all.plus(u, 1)
	}
	c.failures.add(all, old)
	c.failTrimmed.add(withoutWorst(upstreams, func(c Counts) float64 { return float64(c.Bad()) }), old)
	for i, kind := range timeKinds {
		c.slowness[i].add(kind.of(all), kind.of(old))
		c.slownessTrims[i].add(kind.of(withoutWorst(upstreams, func(c Counts) float64 { return kind.of(c).mean() })), kind.of(old))
	}
}

func (c *comparison) find() finding {
	f := finding{suspicion: min(c.failures.suspicion(minBad, minEvidence), c.failTrimmed.suspicion(minTrimmedBad, minTrimmedEvidence))}
	if f.suspicion > Clear {
		f.reason = c.failures.text(c.route)
	}
	for i, kind := range timeKinds {
		suspicion := min(c.slowness[i].suspicion(minTimes, minDeviations), c.slownessTrims[i].suspicion(minTrimmedTimes, minTrimmedDeviations))
		if suspicion > f.suspicion {
			f = finding{suspicion: suspicion, reason: c.slowness[i].text(c.route, kind.what)}
		}
	}
	return f
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

// shares returns the new version's share of bad answers and the expected one.
func (t *failureTest) shares() (share, expected float64) {
	n := float64(max(1, t.answers))
	return float64(t.bad) / n, t.expected / n
}

// support returns the logarithm of how much likelier the new version's own share makes its answers
// than the expected one.
func (t *failureTest) support() float64 {
	share, expected := t.shares()
	return float64(t.answers) * divergence(share, expected)
}

// suspicion returns what the test finds with the thresholds of a conviction.
func (t *failureTest) suspicion(bad int, evidence float64) Suspicion {
	share, expected := t.shares()
	if t.answers == 0 || share-expected < minDifference {
		return Clear
	}
	support := t.support()
	switch {
	case t.bad >= bad && support >= evidence:
		return Convicted
	case t.bad >= min(bad, minSuspectedBad) && support >= evidence*suspicionFactor:
		return Suspected
	}
	return Clear
}

func (t *failureTest) text(route string) string {
	_, expected := t.shares()
	return fmt.Sprintf("%s: %d of %d answers bad, expected %.1f%%", route, t.bad, t.answers, 100*expected)
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

// suspicion returns what the test finds with the thresholds of a conviction.
func (t *timeTest) suspicion(count int, minimum float64) Suspicion {
	if t.count == 0 || t.difference/float64(t.count) < math.Log(minSlowdown) {
		return Clear
	}
	deviations := t.difference / math.Sqrt(t.variance)
	switch {
	case t.count >= count && deviations >= minimum:
		return Convicted
	case t.count >= min(count, minSuspectedTimes) && deviations >= minimum*suspicionFactor:
		return Suspected
	}
	return Clear
}

func (t *timeTest) text(route, what string) string {
	return fmt.Sprintf("%s: %s %.1f times as slow in %d answers", route, what, math.Exp(t.difference/float64(max(1, t.count))), t.count)
}
