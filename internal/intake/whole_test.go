package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Guards against a crowd of stalled bodies that keeps out what is needed all together, such as the pieces
// of a request: a refusal for lack of memory makes them yield, so that the caller finds room later.
func TestRefusedLargeNeedMakesStalledSharesYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bulk, need = 2 << 20, 48 << 10
		b := New(Config{MemoryBytes: bulk / bulkFraction, Descriptors: 100}, &log.Logger{Level: log.PanicLevel}, tally.NoopScope)
		var stalled Share
		stalled.Open(b)
		stalled.AllowYield(func(time.Time) error { go stalled.Release(); return nil })
		if err := stalled.Take(t.Context(), bulk+smallBytes); err != nil {
			t.Fatal(err)
		}
		var err error
		for range 5 {
			time.Sleep(2 * stallTime)
			var s Share
			s.Open(b)
			err = s.TakeWhole(t.Context(), need)
			s.Release()
		}
		if err != nil {
			t.Errorf("the last of 5 needs of %d bytes got %v beside a stalled body", need, err)
		}
	})
}
