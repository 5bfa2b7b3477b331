package booking

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/memtest"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// finishedOutcome is the outcome of a finished request with an answer of 50 bytes.
var finishedOutcome = Outcome{Execution: fleet.Completed, Answer: []byte(`{"booking":"0123456789abcdef","day":"2026-12-04"}`)}

// BenchmarkAttemptsHeld measures the time of a finished attempt and the memory held per
// remembered attempt.
func BenchmarkAttemptsHeld(b *testing.B) {
	for _, n := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("attempts=%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			finish := func(a *Attempts) {
				id := NewAttemptID(time.Now().Add(time.Second), rng)
				a.Begin(id)
				a.Finish(id, finishedOutcome)
			}
			held := memtest.Growth(func() any {
				a := NewAttempts(AttemptsConfig{Incarnation: strings.Repeat("i", 32)})
				for range n {
					finish(a)
				}
				return a
			})
			a := NewAttempts(AttemptsConfig{Incarnation: strings.Repeat("i", 32)})
			for b.Loop() {
				finish(a)
			}
			b.ReportMetric(held/float64(n), "heldB/attempt")
		})
	}
}

// BenchmarkClaimsHeld measures the memory that an entry holds per claim that waits for the
// store.
func BenchmarkClaimsHeld(b *testing.B) {
	for _, n := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			held := memtest.Growth(func() any {
				c := NewClaims(ClaimsConfig{Owner: Owner{Incarnation: strings.Repeat("i", 32), Address: "10.0.0.1:7100"}},
					nil, rand.New(rand.NewPCG(1, 1)), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
				for i := range n {
					if ch, _, err := c.startClaim(b.Context(), testKey(i)); ch == nil || err != nil {
						b.Fatal(err)
					}
				}
				return c
			})
			for b.Loop() {
				_ = testKey(n).digest()
			}
			b.ReportMetric(held/float64(n), "heldB/claim")
		})
	}
}
