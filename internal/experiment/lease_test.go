package experiment

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against a pause that delivers the order that triggers it, pauses another process,
// or loses the order.
func TestPauseDelaysTheFirstOrder(t *testing.T) {
	r := &leasePauseRecorder{}
	n := NewNetwork(NetworkDelays{})
	defer n.Close()
	n.CutAtWrite(r.pauseAtOrder)
	address := startEcho(t, n, Endpoint{Process: "sidecar-0"})
	holder := dialFrom(t, n, Endpoint{Process: "entry-0"}, address)
	other := dialFrom(t, n, Endpoint{Process: "entry-1"}, address)
	roundTrip(t, holder)
	order := []byte(peer.MethodEngineOrder)
	if _, err := holder.Write(order); err != nil {
		t.Fatal(err)
	}
	if r.pausedProcess() != "entry-0" || r.delayedOrders != 1 {
		t.Errorf("%q is paused with %d orders", r.pausedProcess(), r.delayedOrders)
	}
	if err := holder.SetReadDeadline(time.Now().Add(30 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if got, err := holder.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes were delivered during the pause", got)
	}
	roundTrip(t, other)
	// The paused process abandons the call, as a client does after its timeout.
	arrived := make(chan []byte, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		data, _ := io.ReadAll(conn)
		arrived <- data
	}()
	n.SetCut(nil)
	late := dialFrom(t, n, Endpoint{Process: "entry-0"}, listener.Addr().String())
	n.SetCut(isolate("entry-0"))
	if _, err := late.Write(order); err != nil {
		t.Fatal(err)
	}
	if err := late.Close(); err != nil {
		t.Fatal(err)
	}
	n.SetCut(nil)
	if data := <-arrived; string(data) != string(order) {
		t.Errorf("%q arrived after the pause", data)
	}
}

// Guards against accepted orders of a lease owner whose lease has expired that are not
// counted, and against refused ones that are.
func TestStaleOrders(t *testing.T) {
	orders := []upstream.EngineOrder{{Fencing: 1, Accepted: true}, {Fencing: 2, Accepted: true}, {Fencing: 1}, {Fencing: 2, Accepted: true}}
	if n := staleOrders(orders); n != 0 {
		t.Errorf("%d orders count as stale", n)
	}
	if n := staleOrders(append(orders, upstream.EngineOrder{Fencing: 1, Accepted: true})); n != 1 {
		t.Errorf("%d orders count as stale, want 1", n)
	}
}

// Guards against reverted, doubly accepted or lost changes that are not counted, and
// against operators' changes that are not based on the same generation.
func TestRaceIsCounted(t *testing.T) {
	generation := uint64(1)
	p := &Process{Name: "entry-0", Generation: func() uint64 { return generation }}
	r := &leasePauseRecorder{accepted: make(map[uint64]time.Time), values: make(map[uint64]string), activation: make(map[uint64]time.Duration), seen: make(map[*Process]uint64)}
	r.stop, r.done = func() {}, make(chan struct{})
	close(r.done)
	bases := make(chan uint64, 2)
	p.Configuration = func(context.Context) (fleet.Document, uint64, error) {
		return Okafor().Document(), generation, nil
	}
	p.Commit = func(_ context.Context, base uint64, _ fleet.Document) (uint64, error) {
		bases <- base
		return base + 1, nil
	}
	refusing := &Process{Name: "entry-1", Generation: p.Generation, Configuration: p.Configuration}
	refusing.Commit = func(_ context.Context, base uint64, _ fleet.Document) (uint64, error) {
		bases <- base
		return 0, errors.WithMessage(ErrRefused, "conflict")
	}
	c := &Cluster{entries: []*Process{p, refusing}, leasePause: r, env: Environment{Logger: discardLogger()}}
	if err := c.RaceOperators(context.Background(), 0); err != nil {
		t.Fatal(err)
	}
	if a, b := <-bases, <-bases; a != 1 || b != 1 {
		t.Errorf("the operators' changes are based on generations %d and %d", a, b)
	}
	r.accept(2, "another")
	r.sample(c.entries)
	generation = 2
	r.sample(c.entries)
	generation = 1
	r.sample(c.entries)
	if err := c.EndRace(context.Background()); err != nil {
		t.Fatal(err)
	}
	// Two changes were accepted as one generation, and both processes reverted.
	want := map[string]float64{MetricAccepted: 1, MetricRefused: 1, MetricReverted: 3, MetricChangesLost: 2}
	for metric, v := range want {
		if c.counts[metric] != v {
			t.Errorf("%s is %v, want %v", metric, c.counts[metric], v)
		}
	}
}
