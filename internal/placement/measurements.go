package placement

import (
	"cmp"
	"slices"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/engines"
)

// maxMeasurements bounds the measurements in one message.
const maxMeasurements = 16

// Measurements returns what this gateway measured of engines of late and after the time, the
// newest first.
func (t *Table) Measurements(now, after time.Time) []engines.Measurement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []engines.Measurement
	for id, u := range t.upstreams {
		if m, ok := u.engine.Measurement(now, after); ok {
			m.ID, m.Born = id, u.member.Born
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b engines.Measurement) int {
		return cmp.Or(cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(len(list), maxMeasurements)]
}

// AdoptMeasurements takes over what another gateway measured of engines that this one knows.
func (t *Table) AdoptMeasurements(now time.Time, list []engines.Measurement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list[:min(len(list), maxMeasurements)] {
		if u := t.upstreams[m.ID]; u != nil && u.member.Born == m.Born {
			u.engine.Adopt(now, m)
		}
	}
}
