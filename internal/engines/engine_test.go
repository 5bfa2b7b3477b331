package engines

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an engine whose slowness isn't learnt from one answer, that is avoided for good
// after a slow spell, or whose next start inherits it.
func TestSlownessIsLearntAndAges(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewService()
	usual, slow := s.NewEngine(), s.NewEngine()
	for range 20 {
		usual.RecordPace(now, 18)
	}
	slow.RecordPace(now, 45)
	if got := slow.Slowness(now); got < 1.6 || slow.Weight(now) > 0.4 {
		t.Errorf("slowness %.2f after one answer of 2.5 times the usual pace", got)
	}
	if got := usual.Slowness(now); math.Abs(got-1) > 0.1 || usual.Weight(now) != 1 {
		t.Errorf("slowness %.2f of the usual engine", got)
	}
	if got := slow.Slowness(now.Add(time.Minute)); got > 1.1 {
		t.Errorf("slowness %.2f after a minute without answers", got)
	}
	if next := s.NewEngine(); next.Slowness(now) != 1 {
		t.Error("a new start begins with the slowness of another")
	}
}

// Guards against times of reading that stay at those of another type of engine.
func TestReadingTimeIsLearnt(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewService().NewEngine()
	for i := range 150 {
		tokens := float64(i%10) * 1000
		e.RecordFirstEvent(now, tokens, 30+tokens/51)
	}
	for _, tokens := range []float64{500, 9000} {
		if got, want := e.FirstEventMs(now, tokens), 30+tokens/51; math.Abs(got-want) > 0.2*want {
			t.Errorf("%.0f tokens are expected to take %.0f ms instead of %.0f", tokens, got, want)
		}
	}
}

// Guards against times that lose their bounds by answers or measurements of others that no
// engine gives: the cost of an upstream would no longer be comparable.
func TestTimesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := NewService()
		e := s.NewEngine()
		for range rapid.IntRange(1, 50).Draw(t, "answers") {
			ms := rapid.Float64().Draw(t, "ms")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				e.RecordFirstEvent(now, float64(rapid.IntRange(0, 1e6).Draw(t, "tokens")), ms)
			case 1:
				e.RecordPace(now, ms)
			default:
				e.Adopt(now, Measurement{Slowness: ms, AgeMs: rapid.Int64().Draw(t, "age")})
			}
			now = now.Add(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "ms")) * time.Millisecond)
			slowness, read := e.Slowness(now), s.ReadMs(1)
			if !(slowness >= minSlowness && slowness <= maxSlowness) || !(read >= minReadMs && read <= maxReadMs) || !(e.FirstEventMs(now, 0) >= minSlowness*minBaseMs) {
				t.Fatalf("slowness %g, %g ms for a token, %g ms without a prompt", slowness, read, e.FirstEventMs(now, 0))
			}
		}
	})
}

// Guards against measurements that travel in a circle between gateways, or that replace newer
// ones.
func TestOnlyOwnAndNewerMeasurementsCount(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewService().NewEngine()
	e.Adopt(now, Measurement{Slowness: 3, AgeMs: 1000})
	if _, ok := e.Measurement(now, time.Time{}); ok || e.Slowness(now) < 2.5 {
		t.Errorf("an adopted measurement is passed on, or not used: slowness %.2f", e.Slowness(now))
	}
	e.Adopt(now, Measurement{Slowness: 1, AgeMs: 2000})
	if e.Slowness(now) < 2.5 {
		t.Error("an older measurement replaced a newer one")
	}
}
