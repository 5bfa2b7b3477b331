package booking

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/standin/store"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// fakeStore implements the function fields of Claims that access claim objects.
type fakeStore struct {
	mu      sync.Mutex
	objects map[string]platform.Object
}

func newFakeStore(given ...platform.Object) *fakeStore {
	o := &fakeStore{objects: make(map[string]platform.Object)}
	for _, obj := range given {
		obj.ResourceVersion = "1"
		o.objects[obj.Name] = obj
	}
	return o
}

func (o *fakeStore) get(_ context.Context, name string) (platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.objects[name]
	if !ok {
		return platform.Object{}, &platform.StatusError{Code: 404, Reason: platform.ReasonNotFound}
	}
	return obj, nil
}

// put creates or updates an object on the condition that its version matches.
func (o *fakeStore) put(_ context.Context, obj platform.Object) (platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.objects[obj.Name].ResourceVersion != obj.ResourceVersion {
		return platform.Object{}, &platform.StatusError{Code: 409, Reason: platform.ReasonConflict}
	}
	version, _ := strconv.Atoi(obj.ResourceVersion)
	obj.ResourceVersion = strconv.Itoa(version + 1)
	o.objects[obj.Name] = obj
	return obj, nil
}

// object returns the current object.
func (o *fakeStore) object(name string) platform.Object {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.objects[name]
}

func (o *fakeStore) spec(name string) []byte { return o.object(name).Spec }

// replace overwrites the content of an object without changing its version.
func (o *fakeStore) replace(obj platform.Object) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj.ResourceVersion = o.objects[obj.Name].ResourceVersion
	o.objects[obj.Name] = obj
}

// newRunningClaims returns running claims with one segment and one partition.
func newRunningClaims(ctx context.Context, o *fakeStore) *Claims {
	c := newIdleClaims(o, ClaimsConfig{Partitions: 1})
	go c.Run(ctx)
	return c
}

// newIdleClaims returns claims that write nothing until Run is started.
func newIdleClaims(o *fakeStore, cfg ClaimsConfig) *Claims {
	cfg.Owner = Owner{Incarnation: strings.Repeat("i", 32), Address: "10.0.0.1:7100"}
	c := NewClaims(cfg, nil, rand.New(rand.NewPCG(1, 1)), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
	c.get, c.create, c.update = o.get, o.put, o.put
	return c
}

// runConcurrently calls fn for 0 to n-1 concurrently and waits.
func runConcurrently(n int, fn func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { fn(i) })
	}
	wg.Wait()
}

func testKey(i int) Key { return Key{Organisation: "o", Value: fmt.Sprintf("key-%d", i)} }

// Guards against claim objects that exceed the platform's size limit, and against claims
// or outcomes that are dropped to free space.
func TestFullClaimObjectsRefuseNewKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := newFakeStore()
		c := newRunningClaims(ctx, o)
		const keys = MaxPartitionBytes / recordOverhead
		results := make([]error, keys)
		runConcurrently(keys, func(i int) { _, results[i] = c.Claim(ctx, testKey(i)) })
		var stored, refused []Key
		for i, err := range results {
			switch {
			case err == nil:
				stored = append(stored, testKey(i))
			case IsFull(err):
				refused = append(refused, testKey(i))
			default:
				t.Fatal(err)
			}
		}
		if len(stored) < 1000 || len(refused) == 0 {
			t.Fatalf("%d claims granted and %d refused", len(stored), len(refused))
		}
		answer, err := json.Marshal(strings.Repeat("<", 100))
		if err != nil {
			t.Fatal(err)
		}
		record := func(keys []Key) {
			runConcurrently(len(keys), func(i int) {
				if err := c.Record(ctx, keys[i], Outcome{Execution: fleet.Completed, Reason: strings.Repeat("r", 100), Answer: answer}); err != nil {
					t.Error(err)
				}
			})
		}
		record(stored)
		// Claims move from the segment to the partition until that is full too.
		newlyGranted := len(refused)
		for i := 0; i < 40 && newlyGranted > 0; i++ {
			time.Sleep(time.Minute)
			const batch = 500
			var errs [batch]error
			runConcurrently(batch, func(j int) { _, errs[j] = c.Claim(ctx, testKey(keys+batch*i+j)) })
			var granted []Key
			for j, err := range errs {
				switch {
				case err == nil:
					granted = append(granted, testKey(keys+batch*i+j))
				case !IsFull(err):
					t.Fatal(err)
				}
			}
			newlyGranted = len(granted)
			record(granted)
			stored = append(stored, granted...)
		}
		if newlyGranted > 0 {
			t.Fatalf("%d claims are stored and new ones still fit", len(stored))
		}
		for _, name := range []string{segmentName(0), partitionName(0)} {
			if n := len(o.spec(name)); n == 0 || n > platform.MaxObjectBytes {
				t.Fatalf("object %s has %d bytes", name, n)
			}
		}
		var answered atomic.Int64
		runConcurrently(len(stored), func(i int) {
			claim, err := c.Claim(ctx, stored[i])
			switch {
			case err != nil || claim.Outcome == nil || claim.Outcome.Execution != fleet.Completed:
				t.Errorf("retry of key %d: %+v %v", i, claim, err)
			case bytes.Equal(claim.Outcome.Answer, answer):
				answered.Add(1)
			case !claim.Outcome.Dropped:
				t.Errorf("retry of key %d got another answer", i)
			}
		})
		if n := int(answered.Load()); n == 0 || n == len(stored) {
			t.Fatalf("%d of %d answers fit", n, len(stored))
		}
		if _, err := c.Claim(ctx, refused[0]); !IsFull(err) {
			t.Fatalf("claim of a new key in full objects: %v", err)
		}
		time.Sleep(Retention + ClaimClockMargin + 2*time.Second)
		if claim, err := c.Claim(ctx, refused[0]); err != nil || claim.State != Granted {
			t.Fatalf("claim of a new key after the retention: %v %v", claim, err)
		}
	})
}

// Guards against expired keys and tickets becoming valid again when the system clock is
// set back.
func TestClockNeverGoesBack(t *testing.T) {
	var c clock
	ahead := time.Now().Add(time.Hour)
	c.latest.Store(ahead.UnixNano())
	if got := c.now(); got.Before(ahead) {
		t.Fatalf("the clock went back from %v to %v", ahead, got)
	}
}

// Guards against unbounded memory of attempts, and against the removal of an attempt that
// can still begin.
func TestAttemptMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		a := NewAttempts(AttemptsConfig{Incarnation: "i", MaxAttempts: 4, MaxBytes: 10})
		deadline := time.Now().Add(time.Second)
		var ids []string
		for range 4 {
			id := NewAttemptID(deadline, rng)
			ids = append(ids, id)
			if got := a.Begin(id); got != AttemptRun {
				t.Fatalf("begin: %v", got)
			}
			a.Finish(id, Outcome{Execution: fleet.Completed, Answer: json.RawMessage(`"12345"`)})
		}
		more := NewAttemptID(deadline, rng)
		if got := a.Begin(more); got != AttemptsFull {
			t.Fatalf("begin above the limit: %v", got)
		}
		if got := a.Resolve(more, "i"); got.Outcome.Execution != fleet.Unknown {
			t.Fatalf("resolve of an attempt whose revocation can't be recorded: %+v", got)
		}
		if s := a.State(); s.Remembered != 4 || s.Bytes > 10 {
			t.Fatalf("state %+v", s)
		}
		if got := a.Resolve(ids[0], "i").Outcome; got.Execution != fleet.Completed || !got.Dropped {
			t.Fatalf("outcome whose answer was dropped: %+v", got)
		}
		time.Sleep(time.Second + AttemptClockMargin - time.Millisecond)
		if got := a.Begin(ids[0]); got != AttemptDuplicate {
			t.Fatalf("begin again before the expiry: %v", got)
		}
		time.Sleep(3 * time.Second)
		if got := a.Begin(ids[0]); got != AttemptExpired {
			t.Fatalf("begin again after the expiry: %v", got)
		}
		if got := a.Resolve(ids[0], "i").Outcome; got.Execution != fleet.Unknown {
			t.Fatalf("resolve of a removed attempt: %+v", got)
		}
		if s := a.State(); s.Remembered != 0 || s.Bytes != 0 {
			t.Fatalf("state after the expiry %+v", s)
		}
		if got := a.Begin(NewAttemptID(time.Now().Add(2*MaxDeadlineAhead), rng)); got != AttemptInvalid {
			t.Fatalf("begin with a deadline too far in the future: %v", got)
		}
	})
}

// Guards against claim objects that are decoded incompletely, and against dropping claims
// that were read.
func FuzzClaimObject(f *testing.F) {
	c := newClaimObject()
	c.set(testKey(1).digest(), record{owner: Owner{Incarnation: "a", Address: "b"}, sequence: 1, at: 1})
	c.set(testKey(2).digest(), record{owner: Owner{Incarnation: "c"}, sequence: 2, at: 946684800, outcome: &Outcome{Execution: fleet.Completed, Answer: json.RawMessage(`{"a":1}`)}, encoded: []byte(`{"x":"completed","a":{"a":1}}`)})
	spec, err := c.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(spec, 1)
	f.Add(spec, 2)
	segment := c.clone()
	segment.id, segment.epochs = 7, []uint64{3}
	if spec, err = segment.encode(); err != nil {
		f.Fatal(err)
	}
	f.Add(spec, 1)
	f.Add(spec, 2)
	f.Add(bytes.Replace(spec, []byte(`"id":7`), []byte(`"id":0`), 1), 1)
	f.Add(bytes.Replace(spec, []byte(`"e":[3]`), []byte(`"e":[3,4]`), 1), 1)
	f.Add([]byte(`{"v":1,"n":0,"h":[],"c":null}`), 3)
	f.Add([]byte(`{"v":2}`), 3)
	f.Add(bytes.Replace(spec, []byte(`{"x":"completed"`), []byte(`{"x":""`), 1), 2)
	f.Add(bytes.Replace(spec, []byte(testKey(1).String()), []byte(testKey(2).String()), 1), 2)
	f.Fuzz(func(t *testing.T, spec []byte, n int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var before *claimObject
			var decodeErr error
			name := partitionName(0)
			if before, decodeErr = decodePartition("1", spec); decodeErr != nil {
				if segment, err := decodeSegment("1", spec, 1); err == nil {
					name, before, decodeErr = segmentName(0), segment, nil
				}
			}
			o := newFakeStore(platform.Object{Name: name, Spec: spec})
			claims := newRunningClaims(ctx, o)
			claim, err := claims.Claim(ctx, testKey(n))
			if decodeErr != nil {
				if err == nil || o.object(name).ResourceVersion != "1" {
					t.Fatalf("claim in an object that can't be decoded: %+v at version %s", claim, o.object(name).ResourceVersion)
				}
				return
			}
			before.purge(time.Now())
			r, had := before.records[testKey(n).digest()]
			own := r.isWrittenBy(claims.owner, 1)
			if err == nil && (claim.State == Granted) != (!had || own) {
				t.Fatalf("claim %+v of a key with the record %+v", claim, r)
			}
			after, err := decodePartition("2", o.spec(name))
			if name == segmentName(0) {
				after, err = decodeSegment("2", o.spec(name), 1)
			}
			if err != nil {
				t.Fatal(err)
			}
			for key, r := range before.records {
				if got := after.records[key]; !got.isWrittenBy(r.owner, r.sequence) || (r.outcome == nil) != (got.outcome == nil) {
					t.Fatalf("the record %+v became %+v", r, got)
				}
			}
		})
	})
}

// Guards against accepting tickets that the system did not issue.
func FuzzTicket(f *testing.F) {
	// The time is fixed, because the fuzz workers share the seed corpus.
	issued, err := Ticket{Address: "10.0.0.1:7200", Incarnation: "i", Stage: "book", Sequence: 1, IssuedAt: 1}.encode("s")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(issued)
	f.Add(issued + "A")
	f.Add(strings.Replace(issued, ".", "..", 1))
	f.Add(TicketPrefix + ".")
	f.Add(strings.ToUpper(issued))
	f.Fuzz(func(t *testing.T, s string) {
		got, err := ParseTicket("s", s)
		if (err == nil) != (s == issued) {
			t.Fatalf("%q gave %+v, %v", s, got, err)
		}
		if err != nil && !IsInvalidTicket(err) {
			t.Fatalf("error %v", err)
		}
		if _, err := ParseTicket("other secret", s); err == nil {
			t.Fatalf("%q is valid under another secret", s)
		}
	})
}

// outageResult is the result of simulateOutage.
type outageResult struct {
	writes, bookings         int64
	served, refused, unknown int
	outage                   int
}

// simulateOutage sends requests at a rate for 180 s of simulated time to two entries. The
// store is down from second 60 to 120. With tickets, each request first gets a ticket.
func simulateOutage(t *testing.T, perSecond int, tickets, outage bool) outageResult {
	var m outageResult
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(1, Partitions, Segments, false, false)
		start := time.Now()
		interval := time.Second / time.Duration(perSecond)
		for i := 0; time.Since(start) < 180*time.Second; i++ {
			down := time.Since(start) >= time.Minute && time.Since(start) < 2*time.Minute
			sim.store.SetFaults(store.Faults{Down: down && outage})
			key := uuid7(time.Now(), uint64(i))
			if tickets {
				key, _, _ = sim.sidecars[i%2].tickets.Issue()
			}
			sim.submit(sim.entries[i%2], key, 3*time.Second)
			time.Sleep(interval)
		}
		sim.clearFaults()
		sim.stop()
		for _, r := range sim.requests {
			if at := r.arrived.Sub(start); !outage || (at >= time.Minute && at < 2*time.Minute) {
				m.outage++
				switch {
				case r.reply == nil || r.reply.Execution == fleet.Unknown:
					m.unknown++
				case r.reply.Execution == fleet.NotStarted:
					m.refused++
				default:
					m.served++
				}
			}
		}
		m.writes, m.bookings = sim.store.Counters().Writes("claims"), int64(len(sim.requests))
		if err := sim.verify(); err != nil {
			t.Error(err)
		}
	})
	return m
}

// Guards against requests with a ticket that need the store, and prints the requests
// served during an outage of the store.
func TestOutageOfStore(t *testing.T) {
	claims := simulateOutage(t, 5, false, true)
	tickets := simulateOutage(t, 5, true, true)
	t.Logf("claims in 60 s without store: %d bookings, %d served, %d notStarted, %d unknown", claims.outage, claims.served, claims.refused, claims.unknown)
	t.Logf("tickets in 60 s without store: %d bookings, %d served, %d notStarted, %d unknown", tickets.outage, tickets.served, tickets.refused, tickets.unknown)
	if tickets.served != tickets.outage || tickets.writes != 0 {
		t.Fatalf("tickets: %+v", tickets)
	}
	if claims.served+claims.refused != claims.outage {
		t.Fatalf("claims: %+v", claims)
	}
}
