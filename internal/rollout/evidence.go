package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Result is how a send ended.
type Result int

// Results.
const (
	// Good answers are whole and successful.
	Good Result = iota
	// Failed answers are errors of the upstream.
	Failed
	// Broken sends have no answer, or one that broke off.
	Broken
	// Spoiled answers are unsigned or belong to another request.
	Spoiled
	// Late sends were given up because no answer came in time.
	Late
	// Unknown sends say nothing of their upstream, except by the time that they took.
	Unknown
)

// Outcome is what a send says of its upstream.
type Outcome struct {
	Result Result
	// Time is the time to the first byte of the answer, or that until the send was given up;
	// 0 if it says nothing.
	Time time.Duration
	// Gap is the mean time between the events of a stream, or 0.
	Gap time.Duration
}

// Times are times of answers: the sum of their logarithms and of the squares of these.
type Times struct {
	Count   int
	Sum     float64
	Squares float64
}

func (t *Times) add(d time.Duration) {
	if d <= 0 {
		return
	}
	v := math.Log(max(d.Seconds()*1000, 0.1))
	t.Count++
	t.Sum += v
	t.Squares += v * v
}

// plus returns the sum, with a factor of -1 the difference.
func (t Times) plus(other Times, factor int) Times {
	f := float64(factor)
	return Times{Count: t.Count + factor*other.Count, Sum: t.Sum + f*other.Sum, Squares: t.Squares + f*other.Squares}
}

// mean returns the mean of the logarithms.
func (t Times) mean() float64 { return t.Sum / float64(max(1, t.Count)) }

// Milliseconds returns the geometric mean.
func (t Times) Milliseconds() float64 {
	if t.Count == 0 {
		return 0
	}
	return math.Exp(t.mean())
}

// rounded returns the sums with fewer digits, which take half of the bytes in a message.
func (t Times) rounded() Times {
	t.Sum, t.Squares = float64(float32(t.Sum)), float64(float32(t.Squares))
	return t
}

// variance returns the variance of the logarithms, at least minVariance.
func (t Times) variance() float64 {
	mean := t.mean()
	return max(minVariance, t.Squares/float64(max(1, t.Count))-mean*mean)
}

// Counts count answers.
type Counts struct {
	Good    int
	Failed  int
	Broken  int
	Spoiled int
	Late    int
	// First are times to the first byte, and Gap those between events.
	First Times
	Gap   Times
}

func (c *Counts) add(o Outcome) {
	switch o.Result {
	case Good:
		c.Good++
	case Late:
		c.Late++
	// The times of failures say nothing of those of work that is done.
	case Failed:
		c.Failed++
		return
	case Broken:
		c.Broken++
		return
	case Spoiled:
		c.Spoiled++
		return
	}
	c.First.add(o.Time)
	c.Gap.add(o.Gap)
}

func (c Counts) plus(other Counts, factor int) Counts {
	return Counts{
		Good: c.Good + factor*other.Good, Failed: c.Failed + factor*other.Failed, Broken: c.Broken + factor*other.Broken,
		Spoiled: c.Spoiled + factor*other.Spoiled, Late: c.Late + factor*other.Late,
		First: c.First.plus(other.First, factor), Gap: c.Gap.plus(other.Gap, factor),
	}
}

// Bad returns the number of bad answers.
func (c Counts) Bad() int { return c.Failed + c.Broken + c.Spoiled + c.Late }

// Answers returns the number of good and bad answers.
func (c Counts) Answers() int { return c.Good + c.Bad() }

// Cell names what evidence is about: a route at a group of upstreams of the new version, or at
// the old version as a whole.
type Cell struct {
	New   bool
	Route string
	// Group is that of the upstream by its id, from 1; the old version has 0.
	Group int
}

// groupOf returns the group of an upstream of the new version, which is the same for all gateways.
func groupOf(id string) int { return 1 + int(xxhash.Sum64String(id)%upstreamGroups) }

// evidence is counted by cells, and only grows.
type evidence map[Cell]Counts

func (e evidence) record(c Cell, o Outcome) {
	if _, ok := e[c]; !ok && len(e) >= maxCells {
		c = Cell{New: c.New}
	}
	counts := e[c]
	counts.add(o)
	e[c] = counts
}

func (e evidence) addAll(other evidence, factor int) {
	for c, counts := range other {
		e[c] = e[c].plus(counts, factor)
	}
}

// total returns the sum over the cells of the version.
func (e evidence) total(isNew bool) Counts {
	var sum Counts
	for c, counts := range e {
		if c.New == isNew {
			sum = sum.plus(counts, 1)
		}
	}
	return sum
}

// CellCounts is the evidence of one cell in a report.
type CellCounts struct {
	Cell
	Counts
}

func (e evidence) list() []CellCounts {
	list := make([]CellCounts, 0, len(e))
	for c, counts := range e {
		counts.First, counts.Gap = counts.First.rounded(), counts.Gap.rounded()
		list = append(list, CellCounts{Cell: c, Counts: counts})
	}
	slices.SortFunc(list, func(a, b CellCounts) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Group, b.Group))
	})
	return list
}

// readEvidence returns the evidence of a report, within the bounds of one.
func readEvidence(list []CellCounts) evidence {
	e := make(evidence)
	for _, c := range list[:min(len(list), maxCells+2)] {
		e[c.Cell] = e[c.Cell].plus(c.Counts, 1)
	}
	return e
}
