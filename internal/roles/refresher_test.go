package roles

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
)

// Guards against admitting requests with a stale configuration without a refresh, and
// against one refresh per concurrent request.
func TestConcurrentRequestsShareOneRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refreshes atomic.Int64
		var fresh atomic.Bool
		r := &refresher{
			isFresh: fresh.Load,
			refresh: func(ctx context.Context) error {
				refreshes.Add(1)
				time.Sleep(refreshTimeout / 2)
				fresh.Store(true)
				return nil
			},
			logger: &log.Logger{Level: log.ErrorLevel},
		}
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				r.ensureFresh(context.Background())
				if !fresh.Load() {
					t.Error("a request was admitted before the refresh had ended")
				}
			})
		}
		wg.Wait()
		if n := refreshes.Load(); n != 1 {
			t.Fatalf("%d refreshes, want 1", n)
		}
	})
}
