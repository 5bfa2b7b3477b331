package instance

import "testing"

// Guards against collecting a small heap more often than by default, which makes calls
// three times as slow, and against collecting a large heap continuously.
func TestCollectorTargetFollowsTheLiveHeap(t *testing.T) {
	for live, want := range map[uint64]int{0: 100, 6 << 20: 100, 8 << 20: 70, 12 << 20: 50, 100 << 20: 50} {
		if got := gcPercent(live); got != want {
			t.Errorf("live heap of %d MB: %d %%, want %d", live>>20, got, want)
		}
	}
}
