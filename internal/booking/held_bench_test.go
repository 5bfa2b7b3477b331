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

// heldOutcome is what a finished booking leaves, an answer of 50 bytes.
var heldOutcome = Outcome{Execution: fleet.Completed, Answer: []byte(`{"booking":"0123456789abcdef","day":"2026-12-04"}`)}

// BenchmarkAttemptsHeld measures a finished attempt, and what the remembered ones hold.
func BenchmarkAttemptsHeld(b *testing.B) {
	for _, n := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("attempts=%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			finish := func(a *Attempts) {
				id := NewAttemptID(time.Now().Add(time.Second), rng)
				a.Begin(id)
				a.Finish(id, heldOutcome)
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

// BenchmarkClaimsHeld measures what claims that wait for the store hold in an entry.
func BenchmarkClaimsHeld(b *testing.B) {
	for _, n := range []int{1000, 4000, 16_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			held := memtest.Growth(func() any {
				c := NewClaims(ClaimsConfig{Owner: Owner{Incarnation: strings.Repeat("i", 32), Address: "10.0.0.1:7100"}},
					nil, rand.New(rand.NewPCG(1, 1)), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
				for i := range n {
					if g, _, err := c.startClaim(b.Context(), numbered(i)); g == nil || err != nil {
						b.Fatal(err)
					}
				}
				return c
			})
			for b.Loop() {
				_ = numbered(n).digest()
			}
			b.ReportMetric(held/float64(n), "heldB/claim")
		})
	}
}
