package gateway

import (
	"slices"
	"time"
)

const (
	// maxGaps bounds the gaps between events that are kept for one stream.
	maxGaps = 32
	// minGaps is the least number of gaps from which a pace is derived.
	minGaps = 3
)

// streamPace measures the time between the events of a stream.
type streamPace struct {
	last    time.Time
	gaps    []time.Duration
	longest time.Duration
}

// record records that events were completed.
func (p *streamPace) record(now time.Time, events int) {
	if events <= 0 {
		return
	}
	if !p.last.IsZero() {
		gap := now.Sub(p.last)
		p.longest = max(p.longest, gap)
		if len(p.gaps) < maxGaps {
			p.gaps = append(p.gaps, gap/time.Duration(events))
		}
	}
	p.last = now
}

// usual returns about the shortest gap: in the longer ones the engine also read the prompts of
// other requests. It returns false if there were too few gaps.
func (p *streamPace) usual() (time.Duration, bool) {
	if len(p.gaps) < minGaps {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(p.gaps))
	return sorted[len(sorted)/8], true
}
