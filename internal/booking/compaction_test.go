package booking

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// book claims a key and records an answer that names it.
func book(t *testing.T, c *Claims, key Key) {
	t.Helper()
	if claim, err := c.Claim(t.Context(), key); err != nil || claim.State != Granted {
		t.Fatalf("claim of %s: %+v %v", key.Value, claim, err)
	}
	if err := c.Record(t.Context(), key, Outcome{Execution: fleet.Completed, Answer: answerTo(key)}); err != nil {
		t.Fatal(err)
	}
}

func answerTo(key Key) json.RawMessage { return json.RawMessage(fmt.Sprintf("%q", key.Value)) }

// demandRecorded fails the test unless a claim of the key finds the recorded answer.
func demandRecorded(t *testing.T, c *Claims, key Key) {
	t.Helper()
	claim, err := c.Claim(t.Context(), key)
	if err != nil || claim.State != Held || claim.Outcome == nil || string(claim.Outcome.Answer) != string(answerTo(key)) {
		t.Fatalf("claim of %s, which was booked: %+v %v", key.Value, claim, err)
	}
}

// newCompacting returns running claims that compact only on command.
func newCompacting(ctx context.Context, o *objects, incarnation string, partitions int) *Claims {
	c := newIdleClaims(o, ClaimsConfig{Partitions: partitions, Segments: 1})
	c.holder.Incarnation = incarnation
	c.rng = rand.New(rand.NewPCG(1, uint64(incarnation[0])))
	c.compactedBytes, c.credit = MaxSegmentBytes, MaxCompactionCredit
	go c.Run(ctx)
	return c
}

func (o *objects) segmentClaims(t *testing.T, partitions int) *content {
	t.Helper()
	held, err := decodeSegment("1", o.spec(segmentName(0)), partitions)
	if err != nil {
		t.Fatal(err)
	}
	return held
}

// Guards against a key that is granted again because an entry trusts a view of the
// partition from before the claim was moved there.
func TestViewFromBeforeACompactionIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a, b := newCompacting(t.Context(), o, "a", 1), newCompacting(t.Context(), o, "b", 1)
		book(t, a, numbered(1))
		book(t, a, numbered(2)) // a has a view of the partition now
		book(t, b, numbered(3))
		if !b.compact(t.Context(), b.segments[0]) || len(o.segmentClaims(t, 1).records) != 0 {
			t.Fatal("the claims were not moved")
		}
		demandRecorded(t, a, numbered(3))
		demandRecorded(t, a, numbered(1))
		book(t, a, numbered(4))
	})
}

// Guards against views that outlive the segment whose epochs they name.
func TestViewOfADeletedSegmentIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a, b := newCompacting(t.Context(), o, "a", 1), newCompacting(t.Context(), o, "b", 1)
		book(t, a, numbered(1))
		book(t, a, numbered(2))
		book(t, b, numbered(3))
		b.compact(t.Context(), b.segments[0])
		o.mu.Lock()
		delete(o.held, segmentName(0))
		o.mu.Unlock()
		c := newCompacting(t.Context(), o, "c", 1)
		book(t, c, numbered(5))
		demandRecorded(t, a, numbered(3))
	})
}

// Guards against claims that are lost when a compaction ends before any of its calls,
// or after any call whose reply is lost, and against one that another can't finish.
func TestCompactionThatStopsAnywhereLosesNothing(t *testing.T) {
	const keys, partitions = 6, 2
	for stop := range 12 {
		for _, effect := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				o := newObjects()
				a, b := newCompacting(t.Context(), o, "a", partitions), newCompacting(t.Context(), o, "b", partitions)
				for i := range keys {
					book(t, a, numbered(i))
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				dying := newIdleClaims(o, ClaimsConfig{Partitions: partitions, Segments: 1})
				dying.credit = MaxCompactionCredit
				calls := 0
				step := func(call func() (platform.Object, error)) (platform.Object, error) {
					if calls++; calls <= stop {
						return call()
					}
					if effect && calls == stop+1 {
						_, _ = call()
					}
					cancel()
					return platform.Object{}, &platform.AmbiguousError{Verb: "test", Cause: errors.New("no reply")}
				}
				dying.get = func(ctx context.Context, name string) (platform.Object, error) {
					return step(func() (platform.Object, error) { return o.get(ctx, name) })
				}
				dying.create = func(ctx context.Context, obj platform.Object) (platform.Object, error) {
					return step(func() (platform.Object, error) { return o.put(ctx, obj) })
				}
				dying.update = dying.create
				go dying.Run(ctx)
				dying.compact(ctx, dying.segments[0])
				synctest.Wait()
				for i := range keys {
					demandRecorded(t, b, numbered(i))
				}
				b.compact(t.Context(), b.segments[0])
				if left := len(o.segmentClaims(t, partitions).records); left != 0 {
					t.Fatalf("stop after %d calls: %d claims are left in the segment", stop, left)
				}
				for i := range keys {
					demandRecorded(t, a, numbered(i))
					demandRecorded(t, b, numbered(i))
				}
			})
		}
	}
}

// Guards against a compactor that was paused past the retention and puts an old claim
// over a new one of the same key.
func TestPausedCompactorKeepsNewerClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a, paused := newCompacting(t.Context(), o, "a", 1), newCompacting(t.Context(), o, "b", 1)
		key := numbered(1)
		book(t, a, key)
		resume := make(chan struct{})
		held := true
		paused.get = func(ctx context.Context, name string) (platform.Object, error) {
			if name == partitionName(0) && held {
				held = false
				<-resume
			}
			return o.get(ctx, name)
		}
		done := make(chan struct{})
		go func() {
			paused.compact(t.Context(), paused.segments[0])
			close(done)
		}()
		synctest.Wait()
		time.Sleep(Retention + ClaimClockMargin + time.Minute)
		book(t, a, key)
		if !a.compact(t.Context(), a.segments[0]) {
			t.Fatal("the new claim was not moved")
		}
		close(resume)
		<-done
		demandRecorded(t, newCompacting(t.Context(), o, "c", 1), key)
	})
}

// Guards against claims from before there were segments that are overlooked.
func TestClaimsOfPartitionsStayValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := newContent()
		outcome := Outcome{Execution: fleet.Completed, Answer: answerTo(numbered(1))}
		encoded, err := json.Marshal(outcome)
		if err != nil {
			t.Fatal(err)
		}
		at := time.Now().Add(-Retention + time.Minute).Unix()
		old.set(numbered(1).digest(), record{holder: Owner{Incarnation: "old"}, sequence: 1, at: at, outcome: &outcome, encoded: encoded})
		old.set(numbered(2).digest(), record{holder: Owner{Incarnation: "old"}, sequence: 2, at: at})
		spec, err := old.encode()
		if err != nil {
			t.Fatal(err)
		}
		o := newObjects(platform.Object{Name: partitionName(0), Spec: spec})
		a := newCompacting(t.Context(), o, "a", 1)
		for round := range 2 {
			demandRecorded(t, a, numbered(1))
			if claim, err := a.Claim(t.Context(), numbered(2)); err != nil || claim.State != Held || claim.Owner.Incarnation != "old" {
				t.Fatalf("claim of a key without an outcome: %+v %v", claim, err)
			}
			book(t, a, numbered(3+round))
			a.compact(t.Context(), a.segments[0])
		}
		time.Sleep(time.Hour + 2*time.Minute)
		book(t, a, numbered(1))
	})
}

// Guards against a partition with foreign content that is overwritten, that makes its
// keys free, or that stops the keys of other partitions.
func TestForeignPartitionStopsOnlyItsOwnKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const partitions = 2
		foreign := platform.Object{Name: partitionName(0), Spec: json.RawMessage(`{"v":9}`)}
		o := newObjects(foreign)
		a := newCompacting(t.Context(), o, "a", partitions)
		var stopped, served []Key
		for i := range 8 {
			if numbered(i).digest().partition(partitions) == 0 {
				stopped = append(stopped, numbered(i))
			} else {
				served = append(served, numbered(i))
			}
		}
		for i := range stopped {
			ctx, cancel := context.WithTimeout(t.Context(), 990*time.Millisecond)
			defer cancel()
			if claim, err := a.Claim(ctx, stopped[i]); !IsNotSent(err) {
				t.Fatalf("claim of a key of the foreign partition: %+v %v", claim, err)
			}
		}
		for _, key := range served {
			book(t, a, key)
		}
		a.compact(t.Context(), a.segments[0])
		if got := o.spec(foreign.Name); string(got) != string(foreign.Spec) {
			t.Fatalf("the foreign partition became %s", got)
		}
		for _, key := range served {
			demandRecorded(t, a, key)
		}
		if s := a.State(); s.Unwritten != 0 {
			t.Fatalf("state %+v", s)
		}
	})
}

// Guards against a segment that grows without bound, and against a full one that no
// entry empties any more.
func TestBacklogOfCompactionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const partitions, keys = 32, 200
		o := newObjects()
		a := newIdleClaims(o, ClaimsConfig{Partitions: partitions, Segments: 1})
		a.segmentBytes, a.compactedBytes = 16<<10, 6<<10
		go a.Run(t.Context())
		for i := range keys {
			for attempt := 0; ; attempt++ {
				claim, err := a.Claim(t.Context(), numbered(i))
				if err == nil && claim.State == Granted {
					break
				}
				if !IsFull(err) || attempt > 60 {
					t.Fatalf("claim %d: %+v %v", i, claim, err)
				}
				time.Sleep(time.Second)
			}
			if err := a.Record(t.Context(), numbered(i), Outcome{Execution: fleet.Completed, Answer: answerTo(numbered(i))}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Minute)
		if got := o.segmentClaims(t, partitions).bytes; got > a.segmentBytes/2 {
			t.Fatalf("the segment has %d bytes", got)
		}
		for i := range keys {
			demandRecorded(t, a, numbered(i))
		}
	})
}

// Guards against a compactor that was paused between its read and its write of a
// partition and drops the claims that another moved there meanwhile.
func TestRacingCompactorsKeepEachOthersClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a, paused := newCompacting(t.Context(), o, "a", 1), newCompacting(t.Context(), o, "b", 1)
		book(t, a, numbered(1))
		resume := make(chan struct{})
		paused.create = func(ctx context.Context, obj platform.Object) (platform.Object, error) {
			<-resume
			return o.put(ctx, obj)
		}
		paused.update = paused.create
		done := make(chan struct{})
		go func() {
			paused.compact(t.Context(), paused.segments[0])
			close(done)
		}()
		synctest.Wait()
		book(t, a, numbered(2))
		a.compact(t.Context(), a.segments[0])
		close(resume)
		<-done
		c := newCompacting(t.Context(), o, "c", 1)
		demandRecorded(t, c, numbered(1))
		demandRecorded(t, c, numbered(2))
	})
}

// Guards against a partition write that is taken as done because it may have been.
func TestLostPartitionWriteKeepsClaimsInTheSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a := newCompacting(t.Context(), o, "a", 1)
		book(t, a, numbered(1))
		a.create = func(context.Context, platform.Object) (platform.Object, error) {
			return platform.Object{}, &platform.AmbiguousError{Verb: "create", Cause: errors.New("no reply")}
		}
		if a.compact(t.Context(), a.segments[0]) {
			t.Fatal("claims were moved by a write that did not take effect")
		}
		demandRecorded(t, newCompacting(t.Context(), o, "c", 1), numbered(1))
	})
}

// Guards against a claim that leaks because its caller gave up during the write.
func TestClaimGivenUpDuringItsWriteIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a, b := newCompacting(t.Context(), o, "a", 1), newCompacting(t.Context(), o, "b", 1)
		a.create = func(ctx context.Context, obj platform.Object) (platform.Object, error) {
			time.Sleep(time.Second)
			return o.put(ctx, obj)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		if _, err := a.Claim(ctx, numbered(1)); !IsUnresolved(err) {
			t.Fatalf("claim: %v", err)
		}
		time.Sleep(10 * time.Second)
		book(t, b, numbered(1))
	})
}

// Guards against a key that stays held for an entry after its holder released it.
func TestReleaseByAnotherEntryIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a, b := newCompacting(t.Context(), o, "a", 1), newCompacting(t.Context(), o, "b", 1)
		if claim, err := b.Claim(t.Context(), numbered(1)); err != nil || claim.State != Granted {
			t.Fatalf("claim: %+v %v", claim, err)
		}
		book(t, a, numbered(2))
		if err := b.Release(t.Context(), numbered(1)); err != nil {
			t.Fatal(err)
		}
		book(t, a, numbered(1))
	})
}

// Guards against a full segment that an entry which has just started can't empty.
func TestFreshEntryEmptiesAFullSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a := newCompacting(t.Context(), o, "a", 4)
		for i := range 40 {
			book(t, a, numbered(i))
		}
		fresh := newIdleClaims(o, ClaimsConfig{Partitions: 4, Segments: 1})
		fresh.segmentBytes, fresh.compactedBytes = 2<<10, 1<<10
		go fresh.Run(t.Context())
		for i := 0; ; i++ {
			_, err := fresh.Claim(t.Context(), numbered(100))
			if err == nil {
				return
			}
			if !IsFull(err) || i > 100 {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
	})
}

// Guards against a segment that is overwritten or half understood: of another format,
// without an id, or for another number of partitions.
func TestUnclearSegmentIsRefused(t *testing.T) {
	for name, spec := range map[string]string{
		"partition":        `{"v":1,"n":1,"c":[],"h":[]}`,
		"other format":     `{"v":3,"id":1,"e":[0],"n":1,"c":[],"h":[]}`,
		"no id":            `{"v":2,"e":[0],"n":1,"c":[],"h":[]}`,
		"other partitions": `{"v":2,"id":1,"e":[0,0],"n":1,"c":[],"h":[]}`,
		"no JSON":          `"`,
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newObjects(platform.Object{Name: segmentName(0), Spec: json.RawMessage(spec)})
			a := newCompacting(t.Context(), o, "a", 1)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if claim, err := a.Claim(ctx, numbered(1)); !IsNotSent(err) {
				t.Errorf("%s: %+v %v", name, claim, err)
			}
			if a.compact(t.Context(), a.segments[0]) || string(o.spec(segmentName(0))) != spec {
				t.Errorf("%s became %s", name, o.spec(segmentName(0)))
			}
		})
	}
}

// Guards against views without bound.
func TestViewsAreBounded(t *testing.T) {
	c := newIdleClaims(newObjects(), ClaimsConfig{})
	for p := range Partitions {
		c.keepView(p, &view{fingerprints: make([]uint64, 1000)})
		c.keepView(p, &view{fingerprints: make([]uint64, 2000)})
	}
	size := 0
	for _, v := range c.views {
		size += v.size()
	}
	if size != c.viewBytes || size > MaxViewBytes || len(c.views) < 100 {
		t.Fatalf("%d views of %d bytes, counted as %d", len(c.views), size, c.viewBytes)
	}
}

// Guards against a compactor that was paused past the retention before it removes a
// claim from the segment, and removes a new claim of the same key.
func TestPausedTruncationKeepsNewerClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a, paused := newCompacting(t.Context(), o, "a", 1), newCompacting(t.Context(), o, "b", 1)
		key := numbered(1)
		book(t, a, key)
		resume := make(chan struct{})
		reads := 0
		paused.get = func(ctx context.Context, name string) (platform.Object, error) {
			if name == segmentName(0) {
				if reads++; reads == 2 {
					<-resume
				}
			}
			return o.get(ctx, name)
		}
		done := make(chan struct{})
		go func() {
			paused.compact(t.Context(), paused.segments[0])
			close(done)
		}()
		synctest.Wait()
		time.Sleep(Retention + ClaimClockMargin + time.Minute)
		book(t, a, key)
		close(resume)
		<-done
		demandRecorded(t, newCompacting(t.Context(), o, "c", 1), key)
	})
}

// fullPartition returns a partition of at least the given size by its own count.
func fullPartition(t *testing.T, bytes int) platform.Object {
	t.Helper()
	held := newContent()
	for i := 0; held.bytes <= bytes; i++ {
		held.set(numbered(-1-i).digest(), record{holder: Owner{Incarnation: "old"}, sequence: uint64(i), at: time.Now().Unix()})
	}
	spec, err := held.encode()
	if err != nil {
		t.Fatal(err)
	}
	return platform.Object{Name: partitionName(0), Spec: spec}
}

// Guards against new keys of a partition that has no room for them, also when the
// entry has read it before.
func TestFullPartitionRefusesNewKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObjects()
		a := newCompacting(t.Context(), o, "a", 1)
		book(t, a, numbered(1))
		a.compact(t.Context(), a.segments[0])
		full := fullPartition(t, MaxPartitionBytes)
		o.replace(full)
		for range 3 {
			if claim, err := a.Claim(t.Context(), numbered(2)); !IsFull(err) {
				t.Fatalf("claim: %+v %v", claim, err)
			}
		}
	})
}

// Guards against a partition that outgrows the platform's bound, and against claims
// that are dropped because their partition has no room.
func TestCompactionLeavesWhatDoesNotFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := fullPartition(t, MaxOutcomeBytes)
		o := newObjects()
		a := newCompacting(t.Context(), o, "a", 1)
		book(t, a, numbered(1))
		full.ResourceVersion = ""
		if _, err := o.put(t.Context(), full); err != nil {
			t.Fatal(err)
		}
		if a.compact(t.Context(), a.segments[0]) || string(o.spec(full.Name)) != string(full.Spec) {
			t.Fatal("the full partition was written")
		}
		demandRecorded(t, a, numbered(1))
	})
}
