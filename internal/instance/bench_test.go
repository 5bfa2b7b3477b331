package instance

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/memtest"
)

// registerCounters registers n counters and increments each.
func registerCounters(m *Metrics, n int) {
	for i := range n {
		m.Scope().Tagged(map[string]string{"stage": "stage-" + strconv.Itoa(i%40), "reason": "reason-" + strconv.Itoa(i/40)}).Counter("attempts").Inc(1)
	}
}

// BenchmarkMetricsScrape measures the memory per series of a process, and the time and
// the bytes of a scrape.
func BenchmarkMetricsScrape(b *testing.B) {
	for _, n := range []int{200, 1000, 4000} {
		b.Run(fmt.Sprintf("series=%d", n), func(b *testing.B) {
			var m *Metrics
			retained := memtest.Growth(func() any {
				m = NewMetrics()
				registerCounters(m, n)
				return m
			})
			b.Cleanup(func() { _ = m.Close() })
			time.Sleep(2 * reportInterval)
			r := httptest.NewRequest(http.MethodGet, "/metrics", nil)
			r.Header.Set("Accept-Encoding", "gzip")
			var size int
			for b.Loop() {
				w := httptest.NewRecorder()
				m.Handler().ServeHTTP(w, r)
				size = w.Body.Len()
			}
			b.ReportMetric(retained/float64(n), "heldB/series")
			b.ReportMetric(float64(size), "gzipBytes/op")
		})
	}
}
