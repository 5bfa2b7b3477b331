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

// objects are the claim objects behind the seams of Claims.
type objects struct {
	mu   sync.Mutex
	held map[string]platform.Object
}

func newObjects(given ...platform.Object) *objects {
	o := &objects{held: make(map[string]platform.Object)}
	for _, obj := range given {
		obj.ResourceVersion = "1"
		o.held[obj.Name] = obj
	}
	return o
}

func (o *objects) get(_ context.Context, name string) (platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.held[name]
	if !ok {
		return platform.Object{}, &platform.StatusError{Code: 404, Reason: platform.ReasonNotFound}
	}
	return obj, nil
}

// put creates or updates an object under the condition of its version.
func (o *objects) put(_ context.Context, obj platform.Object) (platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held[obj.Name].ResourceVersion != obj.ResourceVersion {
		return platform.Object{}, &platform.StatusError{Code: 409, Reason: platform.ReasonConflict}
	}
	version, _ := strconv.Atoi(obj.ResourceVersion)
	obj.ResourceVersion = strconv.Itoa(version + 1)
	o.held[obj.Name] = obj
	return obj, nil
}

// object returns the object as it is now.
func (o *objects) object(name string) platform.Object {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held[name]
}

func (o *objects) spec(name string) []byte { return o.object(name).Spec }

// replace puts another object in the place of the one of its name.
func (o *objects) replace(obj platform.Object) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj.ResourceVersion = o.held[obj.Name].ResourceVersion
	o.held[obj.Name] = obj
}

// newObjectClaims returns running claims on one segment and one partition.
func newObjectClaims(ctx context.Context, o *objects) *Claims {
	c := newIdleClaims(o, ClaimsConfig{Partitions: 1})
	go c.Run(ctx)
	return c
}

// newIdleClaims returns claims that write nothing by themselves.
func newIdleClaims(o *objects, cfg ClaimsConfig) *Claims {
	cfg.Owner = Owner{Incarnation: strings.Repeat("i", 32), Address: "10.0.0.1:7100"}
	c := NewClaims(cfg, nil, rand.New(rand.NewPCG(1, 1)), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
	c.get, c.create, c.update = o.get, o.put, o.put
	return c
}

// each calls fn for 0 to n-1 at the same time.
func each(n int, fn func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { fn(i) })
	}
	wg.Wait()
}

func numbered(i int) Key { return Key{Organisation: "o", Value: fmt.Sprintf("key-%d", i)} }

// Guards against claim objects that outgrow the platform's bound, and against
// claims or outcomes that are dropped to make room.
func TestFullClaimObjectsRefuseNewKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := newObjects()
		c := newObjectClaims(ctx, o)
		const keys = MaxPartitionBytes / recordOverhead
		results := make([]error, keys)
		each(keys, func(i int) { _, results[i] = c.Claim(ctx, numbered(i)) })
		var held, refused []Key
		for i, err := range results {
			switch {
			case err == nil:
				held = append(held, numbered(i))
			case IsFull(err):
				refused = append(refused, numbered(i))
			default:
				t.Fatal(err)
			}
		}
		if len(held) < 1000 || len(refused) == 0 {
			t.Fatalf("%d claims held and %d refused", len(held), len(refused))
		}
		answer, err := json.Marshal(strings.Repeat("<", 100))
		if err != nil {
			t.Fatal(err)
		}
		record := func(keys []Key) {
			each(len(keys), func(i int) {
				if err := c.Record(ctx, keys[i], Outcome{Execution: fleet.Completed, Reason: strings.Repeat("r", 100), Answer: answer}); err != nil {
					t.Error(err)
				}
			})
		}
		record(held)
		// The partition takes what the segment has until it is full itself.
		more := len(refused)
		for i := 0; i < 40 && more > 0; i++ {
			time.Sleep(time.Minute)
			const batch = 500
			var errs [batch]error
			each(batch, func(j int) { _, errs[j] = c.Claim(ctx, numbered(keys+batch*i+j)) })
			var granted []Key
			for j, err := range errs {
				switch {
				case err == nil:
					granted = append(granted, numbered(keys+batch*i+j))
				case !IsFull(err):
					t.Fatal(err)
				}
			}
			more = len(granted)
			record(granted)
			held = append(held, granted...)
		}
		if more > 0 {
			t.Fatalf("%d claims are held and new ones still fit", len(held))
		}
		for _, name := range []string{segmentName(0), partitionName(0)} {
			if n := len(o.spec(name)); n == 0 || n > platform.MaxObjectBytes {
				t.Fatalf("object %s has %d bytes", name, n)
			}
		}
		var answered atomic.Int64
		each(len(held), func(i int) {
			claim, err := c.Claim(ctx, held[i])
			switch {
			case err != nil || claim.Outcome == nil || claim.Outcome.Execution != fleet.Completed:
				t.Errorf("retry of key %d: %+v %v", i, claim, err)
			case bytes.Equal(claim.Outcome.Answer, answer):
				answered.Add(1)
			case !claim.Outcome.Dropped:
				t.Errorf("retry of key %d got another answer", i)
			}
		})
		if n := int(answered.Load()); n == 0 || n == len(held) {
			t.Fatalf("%d of %d answers fit", n, len(held))
		}
		if _, err := c.Claim(ctx, refused[0]); !IsFull(err) {
			t.Fatalf("a new key in full objects: %v", err)
		}
		time.Sleep(Retention + ClaimClockMargin + 2*time.Second)
		if claim, err := c.Claim(ctx, refused[0]); err != nil || claim.State != Granted {
			t.Fatalf("a new key after the retention: %v %v", claim, err)
		}
	})
}

// Guards against what expired and becomes valid again when the system clock is set back.
func TestClockTakesNoStepBack(t *testing.T) {
	var c clock
	ahead := time.Now().Add(time.Hour)
	c.latest.Store(ahead.UnixNano())
	if got := c.now(); got.Before(ahead) {
		t.Fatalf("the clock went back from %v to %v", ahead, got)
	}
}

// Guards against an attempt memory without bound, and against forgetting an attempt
// that can still begin.
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
			t.Fatalf("begin over the bound: %v", got)
		}
		if got := a.Resolve(more, "i"); got.Outcome.Execution != fleet.Unknown {
			t.Fatalf("an attempt that can't be remembered as revoked: %+v", got)
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
			t.Fatalf("resolve of a forgotten attempt: %+v", got)
		}
		if s := a.State(); s.Remembered != 0 || s.Bytes != 0 {
			t.Fatalf("state after the expiry %+v", s)
		}
		if got := a.Begin(NewAttemptID(time.Now().Add(2*MaxDeadlineAhead), rng)); got != AttemptInvalid {
			t.Fatalf("begin with a deadline far ahead: %v", got)
		}
	})
}

// Guards against claim objects that are read with gaps, and against dropping claims
// that were read.
func FuzzClaimObject(f *testing.F) {
	c := newContent()
	c.set(numbered(1).digest(), record{holder: Owner{Incarnation: "a", Address: "b"}, sequence: 1, at: 1})
	c.set(numbered(2).digest(), record{holder: Owner{Incarnation: "c"}, sequence: 2, at: 946684800, outcome: &Outcome{Execution: fleet.Completed, Answer: json.RawMessage(`{"a":1}`)}, encoded: []byte(`{"x":"completed","a":{"a":1}}`)})
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
	f.Add(bytes.Replace(spec, []byte(numbered(1).String()), []byte(numbered(2).String()), 1), 2)
	f.Fuzz(func(t *testing.T, spec []byte, n int) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var before *content
			var readable error
			name := partitionName(0)
			if before, readable = decodeContent("1", spec); readable != nil {
				if segment, err := decodeSegment("1", spec, 1); err == nil {
					name, before, readable = segmentName(0), segment, nil
				}
			}
			o := newObjects(platform.Object{Name: name, Spec: spec})
			claims := newObjectClaims(ctx, o)
			claim, err := claims.Claim(ctx, numbered(n))
			if readable != nil {
				if err == nil || o.object(name).ResourceVersion != "1" {
					t.Fatalf("an object that can't be read gave %+v at version %s", claim, o.object(name).ResourceVersion)
				}
				return
			}
			before.purge(time.Now())
			r, had := before.records[numbered(n).digest()]
			own := r.isOf(claims.holder, 1)
			if err == nil && (claim.State == Granted) != (!had || own) {
				t.Fatalf("claim %+v of a key with the record %+v", claim, r)
			}
			after, err := decodeContent("2", o.spec(name))
			if name == segmentName(0) {
				after, err = decodeSegment("2", o.spec(name), 1)
			}
			if err != nil {
				t.Fatal(err)
			}
			for key, r := range before.records {
				if got := after.records[key]; !got.isOf(r.holder, r.sequence) || (r.outcome == nil) != (got.outcome == nil) {
					t.Fatalf("the record %+v became %+v", r, got)
				}
			}
		})
	})
}

// Guards against tickets that the system did not issue.
func FuzzTicket(f *testing.F) {
	// The time is fixed, because the workers of the fuzzer share the seeds.
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

// measured is what a simulation of bookings gave.
type measured struct {
	writes, bookings         int64
	served, refused, unclear int
	outage                   int
}

// measure books at a rate for 180 s of simulated time on two entries. The store is
// down from second 60 to 120. With tickets, each booking takes one first.
func measure(t *testing.T, perSecond int, tickets, outage bool) measured {
	var m measured
	synctest.Test(t, func(*testing.T) {
		w := newWorld(1, Partitions, Segments, false, false)
		start := time.Now()
		interval := time.Second / time.Duration(perSecond)
		for i := 0; time.Since(start) < 180*time.Second; i++ {
			down := time.Since(start) >= time.Minute && time.Since(start) < 2*time.Minute
			w.store.SetFaults(store.Faults{Down: down && outage})
			key := uuid7(time.Now(), uint64(i))
			if tickets {
				key, _, _ = w.sidecars[i%2].tickets.Issue()
			}
			w.submit(w.entries[i%2], key, 3*time.Second)
			time.Sleep(interval)
		}
		w.heal()
		w.stop()
		for _, r := range w.requests {
			if at := r.arrived.Sub(start); !outage || (at >= time.Minute && at < 2*time.Minute) {
				m.outage++
				switch {
				case r.told == nil || r.told.Execution == fleet.Unknown:
					m.unclear++
				case r.told.Execution == fleet.NotStarted:
					m.refused++
				default:
					m.served++
				}
			}
		}
		m.writes, m.bookings = w.store.Counters().Writes("claims"), int64(len(w.requests))
		if err := w.verify(); err != nil {
			t.Error(err)
		}
	})
	return m
}

// Guards against bookings that need the store though they have a ticket, and prints
// the bookings served during an outage of the store.
func TestOutageOfStore(t *testing.T) {
	claims := measure(t, 5, false, true)
	tickets := measure(t, 5, true, true)
	t.Logf("claims in 60 s without store: %d bookings, %d served, %d notStarted, %d unknown", claims.outage, claims.served, claims.refused, claims.unclear)
	t.Logf("tickets in 60 s without store: %d bookings, %d served, %d notStarted, %d unknown", tickets.outage, tickets.served, tickets.refused, tickets.unclear)
	if tickets.served != tickets.outage || tickets.writes != 0 {
		t.Fatalf("tickets: %+v", tickets)
	}
	if claims.served+claims.refused != claims.outage {
		t.Fatalf("claims: %+v", claims)
	}
}
