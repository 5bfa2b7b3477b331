package pieces

import (
	"fmt"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// BenchmarkBatcher measures the processor time of one piece, from its request to the
// release of its result, in a queue at 0.72 of the capacity with background pieces behind
// it.
// Results live for a second after their call, like those that a later stage needs.
func BenchmarkBatcher(b *testing.B) {
	batch := catalog.Batch{Slots: 1, Queue: 2, Size: 46, CallTime: 200 * time.Millisecond, PieceTime: 3700 * time.Microsecond, ResultCapacityBytes: 20_000_000, ResultTTL: 4 * time.Second}
	const perRequest, upstreamCount = 4, 15
	for _, background := range []int{0, 1000} {
		b.Run(fmt.Sprint("background=", background), func(b *testing.B) {
			s := newSimulation(batch, upstreamCount)
			for i, m := range members(upstreamCount) {
				m.FailureDomain = string(rune('a' + i%4))
				s.b.upstreams[m.ID].member = m
			}
			addBackground(s, background)
			type heldResults struct {
				at      time.Time
				results []Result
			}
			var produced []heldResults
			b.ResetTimer()
			for i := range b.N / perRequest {
				jobs := make([]*Job, perRequest)
				for k := range jobs {
					j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i, "-", k)}, Bytes: 60_000, Due: s.now.Add(time.Second), Deadline: s.now.Add(6 * time.Second), GiveUp: s.now.Add(4 * time.Second), Domain: string(rune('a' + i%4))}
					j.finish = func(res Result) {
						produced = append(produced, heldResults{at: s.now.Add(time.Second), results: []Result{res}})
					}
					jobs[k] = j
				}
				s.b.Add(jobs)
				s.b.Estimate(s.now)
				// The steps round a period of 1/375 s up to 3 ms: 333 requests or 1,333 pieces a
				// second, 0.72 of the capacity.
				for until := s.now.Add(time.Second / 375); s.now.Before(until); {
					s.step()
				}
				for len(produced) > 0 && !s.now.Before(produced[0].at) {
					release(s.b, produced[0].results)
					produced = produced[1:]
				}
			}
		})
	}
}

// addBackground adds background pieces that stay in the queue.
func addBackground(s *simulation, n int) {
	jobs := make([]*Job, n)
	for i := range jobs {
		jobs[i] = &Job{Piece: dialect.Piece{ID: fmt.Sprint("background", i)}, Bytes: 60_000, Background: true, Due: s.now, Deadline: s.now.Add(24 * time.Hour), GiveUp: s.now.Add(24 * time.Hour), finish: func(Result) {}}
	}
	s.b.Add(jobs)
}
