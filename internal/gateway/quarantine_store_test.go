package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// startQuarantineStore starts a gateway's store of sets in quarantine.
func startQuarantineStore(t *testing.T, s *store.Server, name string) (table *quarantine.Table, stop func()) {
	hc, closePipe := store.Pipe(s)
	client := platform.New(platform.Config{BaseURL: store.PipeURL, Namespace: "n", CallTimeout: 900 * time.Millisecond}, hc, tally.NoopScope)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: &lockedBuffer{}}}
	gateways := roster.New(roster.Gateway{Name: name, Address: name, Incarnation: "one"})
	table = quarantine.New()
	crashes := NewCrashes(table, nil, nil, gateways, nil, logger, tally.NoopScope)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { NewQuarantineStore(client, crashes, gateways, logger).Run(ctx) })
	return table, func() { cancel(); wg.Wait(); closePipe() }
}

// Guards against a restart of all gateways that makes a part crash further upstreams until it is
// found again, and against sets that stay in the store for ever.
func TestQuarantineOutlivesARestartOfAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(store.Config{})
		suspect := quarantine.Suspect{Service: engineService, Parts: []string{"deadly"}, Crashes: 3}
		prompt := []string{"common", "deadly", "own"}
		first, stop := startQuarantineStore(t, s, "gateway-1")
		time.Sleep(time.Second)
		first.Confine(time.Now(), suspect)
		time.Sleep(2 * quarantineSavePeriod)
		stop()
		var ended *quarantine.Table
		for _, name := range []string{"gateway-1", "gateway-2"} {
			table, stop := startQuarantineStore(t, s, name)
			time.Sleep(time.Second)
			if refusal, ok := table.Refuse(time.Now(), engineService, prompt); !ok || refusal.Crashes != 3 {
				t.Errorf("%s started again and doesn't refuse the prompt", name)
			}
			ended = table
			if name == "gateway-1" {
				stop()
				continue
			}
			defer stop()
		}
		time.Sleep(3 * time.Minute)
		if _, ok := ended.Refuse(time.Now(), engineService, prompt); ok {
			t.Error("the quarantine doesn't end after a restart")
		}
		last, stopLast := startQuarantineStore(t, s, "gateway-3")
		defer stopLast()
		time.Sleep(time.Second)
		if states := last.States(time.Now()); len(states) > 0 {
			t.Errorf("the store still holds %+v", states)
		}
	})
}
