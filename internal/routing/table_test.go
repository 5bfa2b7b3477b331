package routing

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

func candidates(n, domains int) []Candidate {
	out := make([]Candidate, 0, n)
	for i := range n {
		out = append(out, Candidate{
			Name:          fmt.Sprintf("u-%d", i),
			Address:       fmt.Sprintf("10.0.0.%d:7100", i),
			FailureDomain: fmt.Sprintf("fd-%d", i%domains),
			Capacity:      10,
			ColdCapacity:  2,
			InService:     true,
		})
	}
	return out
}

func newTable(cfg Config) *Table {
	return New(cfg, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
}

// Guards against a fast-failing upstream that attracts calls because few of its
// calls are in flight.
func TestFailingUpstreamIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(Config{Instance: "e", Seed: 1})
		table.Update("s", candidates(8, 4))
		failed := 0
		for range 1000 {
			c, err := table.Pick(PickRequest{Stage: "s", Timeout: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if c.Name() == "u-3" {
				failed++
				c.Done(Result{Outcome: Failed, Duration: time.Millisecond})
				continue
			}
			time.Sleep(time.Millisecond)
			c.Done(Result{Outcome: Succeeded, Duration: 5 * time.Millisecond})
		}
		if failed > 15 {
			t.Fatalf("%d of 1000 calls went to the failing upstream", failed)
		}
	})
}

// Guards against an in-flight count that stays up when Done is never called.
func TestChoiceExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(Config{Instance: "e", Seed: 1})
		table.Update("s", candidates(1, 1))
		c, err := table.Pick(PickRequest{Stage: "s", Timeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second + choiceGrace + time.Millisecond)
		if n := table.Status()[0].InFlight; n != 0 {
			t.Fatalf("%d in flight", n)
		}
		c.Done(Result{})
		if n := table.Status()[0].InFlight; n != 0 {
			t.Fatalf("%d in flight after a late Done", n)
		}
	})
}
