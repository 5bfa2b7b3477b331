package localfleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/memtest"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// tokenUpstream streams the first token of a chat response immediately, and the others
// after rest is closed.
func tokenUpstream(tokens int, rest <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err != nil || !bytes.Contains(body, []byte(`"stream":true`)) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"choices":[{"message":{"content":"word"},"finish_reason":"stop"}]}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range tokens {
			_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"word "}}]}`+"\n\n")
			_ = http.NewResponseController(w).Flush()
			if i == 0 {
				<-rest
			}
		}
		_, _ = io.WriteString(w, `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
	}
}

// openStream starts a streamed request and returns when its first token has arrived.
func openStream(b *testing.B, client *http.Client, url string) io.ReadCloser {
	b.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(benchBody))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	r.Header.Set("Accept", "text/event-stream")
	resp, err := client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, len("event: token"))); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d, %v", resp.StatusCode, err)
	}
	return resp.Body
}

// BenchmarkStreamsHeld measures the memory and the goroutines of open streams. The caller
// and the upstream are in the same process, so an entry accounts for less than half.
func BenchmarkStreamsHeld(b *testing.B) {
	for _, n := range []int{32, 128, 240} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			rest := make(chan struct{})
			url, _ := startPipeline(b, 1, fleet.Stage{Protocol: fleet.ProtocolChat, Model: "small"}, tokenUpstream(2, rest))
			client := &http.Client{Transport: &http.Transport{}}
			var open []io.ReadCloser
			for b.Loop() {
				if open != nil {
					continue
				}
				goroutines := runtime.NumGoroutine()
				held := memtest.Growth(func() any {
					for range n {
						open = append(open, openStream(b, client, url))
					}
					return open
				})
				b.ReportMetric(held/float64(n), "heldB/stream")
				b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(n), "goroutines/stream")
			}
			close(rest)
			for _, body := range open {
				_, _ = io.Copy(io.Discard, body)
				_ = body.Close()
			}
		})
	}
}

// BenchmarkStreamTokens measures a stream by its length; the slope is the cost of a
// token for the caller, the entry, the sidecar and the upstream together.
func BenchmarkStreamTokens(b *testing.B) {
	for _, n := range []int{16, 256, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", n), func(b *testing.B) {
			rest := make(chan struct{})
			close(rest)
			url, _ := startPipeline(b, 1, fleet.Stage{Protocol: fleet.ProtocolChat, Model: "small"}, tokenUpstream(n, rest))
			client := &http.Client{}
			b.ReportAllocs()
			before := processorTime()
			for b.Loop() {
				body := openStream(b, client, url)
				if _, err := io.Copy(io.Discard, body); err != nil {
					b.Fatal(err)
				}
				_ = body.Close()
			}
			b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
