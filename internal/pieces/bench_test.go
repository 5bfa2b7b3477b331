package pieces

import (
	"fmt"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// BenchmarkBatcher measures the processor time of one piece, from its request to the
// release of its result, in a queue near its capacity with late pieces behind it. Results
// live for a second after their call, as those that a later stage needs.
func BenchmarkBatcher(b *testing.B) {
	batch := catalog.Batch{Slots: 1, Queue: 2, Size: 46, CallTime: 200 * time.Millisecond, PieceTime: 3700 * time.Microsecond, ResultCapacityBytes: 20_000_000, ResultTTL: 4 * time.Second}
	const perRequest, upstreams = 4, 15
	for _, late := range []int{0, 1000} {
		b.Run(fmt.Sprint("late=", late), func(b *testing.B) {
			r := newReplay(batch, upstreams)
			for i, m := range members(upstreams) {
				m.FailureDomain = string(rune('a' + i%4))
				r.b.workers[m.ID].member = m
			}
			background(r, late)
			type held struct {
				at      time.Time
				results []Result
			}
			var made []held
			b.ResetTimer()
			for i := range b.N / perRequest {
				jobs := make([]*Job, perRequest)
				for k := range jobs {
					j := &Job{Piece: dialect.Piece{ID: fmt.Sprint("p", i, "-", k)}, Bytes: 60_000, Due: r.now.Add(time.Second), Deadline: r.now.Add(6 * time.Second), GiveUp: r.now.Add(4 * time.Second), Domain: string(rune('a' + i%4))}
					j.finish = func(res Result) { made = append(made, held{at: r.now.Add(time.Second), results: []Result{res}}) }
					jobs[k] = j
				}
				r.b.Add(jobs)
				r.b.Estimate(r.now)
				// 375 requests a second are 1,500 pieces, four fifths of the capacity.
				for until := r.now.Add(time.Second / 375); r.now.Before(until); {
					r.step()
				}
				for len(made) > 0 && !r.now.Before(made[0].at) {
					drop(r.b, made[0].results)
					made = made[1:]
				}
			}
		})
	}
}

// background adds late pieces that stay in the queue.
func background(r *replay, n int) {
	jobs := make([]*Job, n)
	for i := range jobs {
		jobs[i] = &Job{Piece: dialect.Piece{ID: fmt.Sprint("late", i)}, Bytes: 60_000, Background: true, Due: r.now, Deadline: r.now.Add(24 * time.Hour), GiveUp: r.now.Add(24 * time.Hour), finish: func(Result) {}}
	}
	r.b.Add(jobs)
}
