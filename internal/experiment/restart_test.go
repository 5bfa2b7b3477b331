package experiment

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// events records the operations on a recorded system.
type events struct {
	mu  sync.Mutex
	all []string
}

func (e *events) add(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all = append(e.all, fmt.Sprintf(format, args...))
}

// recordedCluster returns a cluster whose processes only record the operations on them.
func recordedCluster(t Topology) (*Cluster, *events) {
	e := &events{}
	process := func(name, address, url string) *Process {
		return &Process{
			Name:   name,
			URL:    url,
			Record: fleet.InstanceRecord{Name: name, Address: address},
			Leave:  func(context.Context) error { e.add("leave %s", name); return nil },
			Kill:   func() { e.add("kill %s", name) },
		}
	}
	c := &Cluster{topology: t, env: Environment{Logger: discardLogger(), Network: NewNetwork(NetworkDelays{})}}
	c.system = System{
		StartSidecar: func(_ context.Context, s SidecarSpec, _ *Platform, _ Environment) (*Process, error) {
			e.add("start %s at %s", s.Name, s.Listen)
			return process(s.Name, s.Listen, ""), nil
		},
		StartEntry: func(_ context.Context, s EntrySpec, _ *Platform, _ Environment) (*Process, error) {
			e.add("start %s at %s", s.Name, s.Listen)
			return process(s.Name, "192.0.2.2:2", "http://"+s.Listen), nil
		},
	}
	c.platform = &Platform{
		PutInstance:    func(_ context.Context, r fleet.InstanceRecord) error { e.add("list %s", r.Name); return nil },
		RemoveInstance: func(_ context.Context, name string) error { e.add("unlist %s", name); return nil },
		SetFaults:      func(f PlatformFaults) { e.add("down %v", f.Down) },
	}
	for i, u := range t.Upstreams() {
		c.upstreams = append(c.upstreams, &runningUpstream{UpstreamAddress: UpstreamAddress{UpstreamSpec: u}})
		c.sidecars = append(c.sidecars, process(sidecarName(u.Name), fmt.Sprintf("192.0.2.1:%d", i+1), ""))
	}
	for n := range t.Entries {
		url := fmt.Sprintf("http://192.0.2.3:%d", n+1)
		c.entries = append(c.entries, process(entryName(n), "192.0.2.2:1", url))
		c.targets = append(c.targets, url)
	}
	return c, e
}

// Guards against a process that is not restarted during the outage or starts at another
// address, and against changes to the list of instances while the object API that stores
// it is down.
func TestStoreOutageRestartsEveryProcess(t *testing.T) {
	topology := Okafor()
	c, e := recordedCluster(topology)
	for _, a := range StoreRestartScenario(topology).Actions {
		if err := a.Do(context.Background(), c); err != nil {
			t.Fatal(err)
		}
	}
	processes := len(topology.Upstreams()) + topology.Entries
	if c.counts[MetricRestarts] != float64(processes) {
		t.Errorf("%v of %d processes were restarted", c.counts[MetricRestarts], processes)
	}
	count := func(verb string) int {
		n := 0
		for _, event := range e.all {
			if strings.HasPrefix(event, verb+" ") {
				n++
			}
		}
		return n
	}
	if leave, kill := count("leave"), count("kill"); leave+kill != processes || leave-kill > 1 || kill-leave > 1 {
		t.Errorf("%d shut down gracefully and %d were killed", leave, kill)
	}
	for _, event := range []string{"start sidecar-encode-0 at 192.0.2.1:1", "start entry-3 at 192.0.2.3:4"} {
		if !slices.Contains(e.all, event) {
			t.Errorf("%q is missing", event)
		}
	}
	up := slices.Index(e.all, "down false")
	first := slices.IndexFunc(e.all, func(s string) bool { return strings.HasPrefix(s, "list ") })
	if first < up || count("list") != processes {
		t.Errorf("the list changed at event %d, before %d, %d times", first, up, count("list"))
	}
}

// Guards against bookings that are counted for the wrong kind of key or the wrong window.
func TestBookingsByWindow(t *testing.T) {
	w := Window{Name: "w", To: 10}
	newOutcome := func(pipeline, key string, o load.Outcome, due time.Duration) outcome {
		return outcome{Result: load.Result{Pipeline: pipeline, Key: key, Outcome: o}, due: due}
	}
	m := make(map[string]float64)
	bookingMetrics(Okafor(), []outcome{
		newOutcome("visit", "k", load.Completed, 0), newOutcome("visit", "tkt1.x", load.Completed, 0), newOutcome("visit", "k", load.NotStarted, 0),
		newOutcome("visit", "k", load.Unknown, 0), newOutcome("visit", "k", load.Completed, 100), newOutcome("quote", "", load.Completed, 0),
	}, w, m)
	for _, metric := range []string{"keyedServed", "ticketsServed", "refused", "unknown"} {
		if m[BookingsMetric("w", metric)] != 1 {
			t.Errorf("%s is %v", metric, m[BookingsMetric("w", metric)])
		}
	}
}
