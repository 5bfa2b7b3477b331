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

// claimAndRecord claims a key and records an answer that contains it.
func claimAndRecord(t *testing.T, c *Claims, key Key) {
	t.Helper()
	if claim, err := c.Claim(t.Context(), key); err != nil || claim.State != Granted {
		t.Fatalf("claim of %s: %+v %v", key.Value, claim, err)
	}
	if err := c.Record(t.Context(), key, Outcome{Execution: fleet.Completed, Answer: answerFor(key)}); err != nil {
		t.Fatal(err)
	}
}

func answerFor(key Key) json.RawMessage { return json.RawMessage(fmt.Sprintf("%q", key.Value)) }

// requireRecorded fails the test unless a claim of the key returns the recorded answer.
func requireRecorded(t *testing.T, c *Claims, key Key) {
	t.Helper()
	claim, err := c.Claim(t.Context(), key)
	if err != nil || claim.State != Held || claim.Outcome == nil || string(claim.Outcome.Answer) != string(answerFor(key)) {
		t.Fatalf("claim of %s, whose outcome was recorded: %+v %v", key.Value, claim, err)
	}
}

// newManualClaims returns running claims that compact only when the test calls compact.
func newManualClaims(ctx context.Context, o *fakeStore, incarnation string, partitions int) *Claims {
	c := newIdleClaims(o, ClaimsConfig{Partitions: partitions, Segments: 1})
	c.owner.Incarnation = incarnation
	c.rng = rand.New(rand.NewPCG(1, uint64(incarnation[0])))
	c.minCompactedBytes, c.compactionCredit = MaxSegmentBytes, MaxCompactionCredit
	go c.Run(ctx)
	return c
}

func (o *fakeStore) segmentClaims(t *testing.T, partitions int) *claimObject {
	t.Helper()
	segment, err := decodeSegment("1", o.spec(segmentName(0)), partitions)
	if err != nil {
		t.Fatal(err)
	}
	return segment
}

// Guards against granting a key again because an entry uses a view of the partition that
// was read before the claim was moved there.
func TestViewFromBeforeCompactionIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a, b := newManualClaims(t.Context(), o, "a", 1), newManualClaims(t.Context(), o, "b", 1)
		claimAndRecord(t, a, testKey(1))
		claimAndRecord(t, a, testKey(2)) // a has a view of the partition now
		claimAndRecord(t, b, testKey(3))
		if !b.compact(t.Context(), b.segments[0]) || len(o.segmentClaims(t, 1).records) != 0 {
			t.Fatal("the claims were not moved")
		}
		requireRecorded(t, a, testKey(3))
		requireRecorded(t, a, testKey(1))
		claimAndRecord(t, a, testKey(4))
	})
}

// Guards against using views after the segment that their epochs refer to was deleted.
func TestViewOfDeletedSegmentIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a, b := newManualClaims(t.Context(), o, "a", 1), newManualClaims(t.Context(), o, "b", 1)
		claimAndRecord(t, a, testKey(1))
		claimAndRecord(t, a, testKey(2))
		claimAndRecord(t, b, testKey(3))
		b.compact(t.Context(), b.segments[0])
		o.mu.Lock()
		delete(o.objects, segmentName(0))
		o.mu.Unlock()
		c := newManualClaims(t.Context(), o, "c", 1)
		claimAndRecord(t, c, testKey(5))
		requireRecorded(t, a, testKey(3))
	})
}

// Guards against losing claims when a compaction is interrupted before any of its calls or
// after a call whose reply is lost, and against an interrupted compaction that another
// can't complete.
func TestInterruptedCompactionLosesNoClaims(t *testing.T) {
	const keys, partitions = 6, 2
	for stop := range 12 {
		for _, applied := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				o := newFakeStore()
				a, b := newManualClaims(t.Context(), o, "a", partitions), newManualClaims(t.Context(), o, "b", partitions)
				for i := range keys {
					claimAndRecord(t, a, testKey(i))
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				interrupted := newIdleClaims(o, ClaimsConfig{Partitions: partitions, Segments: 1})
				interrupted.compactionCredit = MaxCompactionCredit
				calls := 0
				step := func(call func() (platform.Object, error)) (platform.Object, error) {
					if calls++; calls <= stop {
						return call()
					}
					if applied && calls == stop+1 {
						_, _ = call()
					}
					cancel()
					return platform.Object{}, &platform.AmbiguousError{Verb: "test", Cause: errors.New("no reply")}
				}
				interrupted.get = func(ctx context.Context, name string) (platform.Object, error) {
					return step(func() (platform.Object, error) { return o.get(ctx, name) })
				}
				interrupted.create = func(ctx context.Context, obj platform.Object) (platform.Object, error) {
					return step(func() (platform.Object, error) { return o.put(ctx, obj) })
				}
				interrupted.update = interrupted.create
				go interrupted.Run(ctx)
				interrupted.compact(ctx, interrupted.segments[0])
				synctest.Wait()
				for i := range keys {
					requireRecorded(t, b, testKey(i))
				}
				b.compact(t.Context(), b.segments[0])
				if left := len(o.segmentClaims(t, partitions).records); left != 0 {
					t.Fatalf("stop after %d calls: %d claims are left in the segment", stop, left)
				}
				for i := range keys {
					requireRecorded(t, a, testKey(i))
					requireRecorded(t, b, testKey(i))
				}
			})
		}
	}
}

// Guards against a compactor that was paused for longer than the retention and overwrites
// a newer claim of the same key with an old one.
func TestPausedCompactorKeepsNewerClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a, paused := newManualClaims(t.Context(), o, "a", 1), newManualClaims(t.Context(), o, "b", 1)
		key := testKey(1)
		claimAndRecord(t, a, key)
		resume := make(chan struct{})
		firstRead := true
		paused.get = func(ctx context.Context, name string) (platform.Object, error) {
			if name == partitionName(0) && firstRead {
				firstRead = false
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
		claimAndRecord(t, a, key)
		if !a.compact(t.Context(), a.segments[0]) {
			t.Fatal("the new claim was not moved")
		}
		close(resume)
		<-done
		requireRecorded(t, newManualClaims(t.Context(), o, "c", 1), key)
	})
}

// Guards against overlooking claims that were written before segments were introduced.
func TestClaimsFromBeforeSegmentsStayValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := newClaimObject()
		outcome := Outcome{Execution: fleet.Completed, Answer: answerFor(testKey(1))}
		encoded, err := json.Marshal(outcome)
		if err != nil {
			t.Fatal(err)
		}
		at := time.Now().Add(-Retention + time.Minute).Unix()
		old.set(testKey(1).digest(), record{owner: Owner{Incarnation: "old"}, sequence: 1, at: at, outcome: &outcome, encoded: encoded})
		old.set(testKey(2).digest(), record{owner: Owner{Incarnation: "old"}, sequence: 2, at: at})
		spec, err := old.encode()
		if err != nil {
			t.Fatal(err)
		}
		o := newFakeStore(platform.Object{Name: partitionName(0), Spec: spec})
		a := newManualClaims(t.Context(), o, "a", 1)
		for round := range 2 {
			requireRecorded(t, a, testKey(1))
			if claim, err := a.Claim(t.Context(), testKey(2)); err != nil || claim.State != Held || claim.Owner.Incarnation != "old" {
				t.Fatalf("claim of a key without an outcome: %+v %v", claim, err)
			}
			claimAndRecord(t, a, testKey(3+round))
			a.compact(t.Context(), a.segments[0])
		}
		time.Sleep(time.Hour + 2*time.Minute)
		claimAndRecord(t, a, testKey(1))
	})
}

// Guards against a partition with unreadable content being overwritten, having its keys
// granted, or blocking the keys of other partitions.
func TestUnreadablePartitionBlocksOnlyItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const partitions = 2
		unreadable := platform.Object{Name: partitionName(0), Spec: json.RawMessage(`{"v":9}`)}
		o := newFakeStore(unreadable)
		a := newManualClaims(t.Context(), o, "a", partitions)
		var blocked, served []Key
		for i := range 8 {
			if testKey(i).digest().partition(partitions) == 0 {
				blocked = append(blocked, testKey(i))
			} else {
				served = append(served, testKey(i))
			}
		}
		for i := range blocked {
			ctx, cancel := context.WithTimeout(t.Context(), 990*time.Millisecond)
			defer cancel()
			if claim, err := a.Claim(ctx, blocked[i]); !IsNotSent(err) {
				t.Fatalf("claim of a key of the unreadable partition: %+v %v", claim, err)
			}
		}
		for _, key := range served {
			claimAndRecord(t, a, key)
		}
		a.compact(t.Context(), a.segments[0])
		if got := o.spec(unreadable.Name); string(got) != string(unreadable.Spec) {
			t.Fatalf("the unreadable partition became %s", got)
		}
		for _, key := range served {
			requireRecorded(t, a, key)
		}
		if s := a.State(); s.Unwritten != 0 {
			t.Fatalf("state %+v", s)
		}
	})
}

// Guards against a segment that grows without bound, and against a full segment that no
// entry compacts any more.
func TestCompactionBacklogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const partitions, keys = 32, 200
		o := newFakeStore()
		a := newIdleClaims(o, ClaimsConfig{Partitions: partitions, Segments: 1})
		a.maxSegmentBytes, a.minCompactedBytes = 16<<10, 6<<10
		go a.Run(t.Context())
		for i := range keys {
			for attempt := 0; ; attempt++ {
				claim, err := a.Claim(t.Context(), testKey(i))
				if err == nil && claim.State == Granted {
					break
				}
				if !IsFull(err) || attempt > 60 {
					t.Fatalf("claim %d: %+v %v", i, claim, err)
				}
				time.Sleep(time.Second)
			}
			if err := a.Record(t.Context(), testKey(i), Outcome{Execution: fleet.Completed, Answer: answerFor(testKey(i))}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Minute)
		if got := o.segmentClaims(t, partitions).bytes; got > a.maxSegmentBytes/2 {
			t.Fatalf("the segment has %d bytes", got)
		}
		for i := range keys {
			requireRecorded(t, a, testKey(i))
		}
	})
}

// Guards against a compactor that was paused between its read and its write of a partition
// and drops the claims that another one moved there in the meantime.
func TestConcurrentCompactorsKeepAllClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a, paused := newManualClaims(t.Context(), o, "a", 1), newManualClaims(t.Context(), o, "b", 1)
		claimAndRecord(t, a, testKey(1))
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
		claimAndRecord(t, a, testKey(2))
		a.compact(t.Context(), a.segments[0])
		close(resume)
		<-done
		c := newManualClaims(t.Context(), o, "c", 1)
		requireRecorded(t, c, testKey(1))
		requireRecorded(t, c, testKey(2))
	})
}

// Guards against treating an ambiguous write of a partition as successful.
func TestAmbiguousPartitionWriteKeepsClaimsInSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a := newManualClaims(t.Context(), o, "a", 1)
		claimAndRecord(t, a, testKey(1))
		a.create = func(context.Context, platform.Object) (platform.Object, error) {
			return platform.Object{}, &platform.AmbiguousError{Verb: "create", Cause: errors.New("no reply")}
		}
		if a.compact(t.Context(), a.segments[0]) {
			t.Fatal("claims were moved by a write that did not take effect")
		}
		requireRecorded(t, newManualClaims(t.Context(), o, "c", 1), testKey(1))
	})
}

// Guards against leaking a claim whose caller stopped waiting during the write.
func TestClaimAbandonedDuringWriteIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a, b := newManualClaims(t.Context(), o, "a", 1), newManualClaims(t.Context(), o, "b", 1)
		a.create = func(ctx context.Context, obj platform.Object) (platform.Object, error) {
			time.Sleep(time.Second)
			return o.put(ctx, obj)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		if _, err := a.Claim(ctx, testKey(1)); !IsUnresolved(err) {
			t.Fatalf("claim: %v", err)
		}
		time.Sleep(10 * time.Second)
		claimAndRecord(t, b, testKey(1))
	})
}

// Guards against a key that stays held for another entry after its owner released it.
func TestReleaseByAnotherEntryIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a, b := newManualClaims(t.Context(), o, "a", 1), newManualClaims(t.Context(), o, "b", 1)
		if claim, err := b.Claim(t.Context(), testKey(1)); err != nil || claim.State != Granted {
			t.Fatalf("claim: %+v %v", claim, err)
		}
		claimAndRecord(t, a, testKey(2))
		if err := b.Release(t.Context(), testKey(1)); err != nil {
			t.Fatal(err)
		}
		claimAndRecord(t, a, testKey(1))
	})
}

// Guards against a full segment that an entry which has just started can't compact.
func TestStartedEntryCompactsFullSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a := newManualClaims(t.Context(), o, "a", 4)
		for i := range 40 {
			claimAndRecord(t, a, testKey(i))
		}
		started := newIdleClaims(o, ClaimsConfig{Partitions: 4, Segments: 1})
		started.maxSegmentBytes, started.minCompactedBytes = 2<<10, 1<<10
		go started.Run(t.Context())
		for i := 0; ; i++ {
			_, err := started.Claim(t.Context(), testKey(100))
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

// Guards against overwriting or partly decoding a segment of another format, without an
// id, or for another number of partitions.
func TestInvalidSegmentIsRejected(t *testing.T) {
	for name, spec := range map[string]string{
		"partition":        `{"v":1,"n":1,"c":[],"h":[]}`,
		"other format":     `{"v":3,"id":1,"e":[0],"n":1,"c":[],"h":[]}`,
		"no id":            `{"v":2,"e":[0],"n":1,"c":[],"h":[]}`,
		"other partitions": `{"v":2,"id":1,"e":[0,0],"n":1,"c":[],"h":[]}`,
		"no JSON":          `"`,
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newFakeStore(platform.Object{Name: segmentName(0), Spec: json.RawMessage(spec)})
			a := newManualClaims(t.Context(), o, "a", 1)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if claim, err := a.Claim(ctx, testKey(1)); !IsNotSent(err) {
				t.Errorf("%s: %+v %v", name, claim, err)
			}
			if a.compact(t.Context(), a.segments[0]) || string(o.spec(segmentName(0))) != spec {
				t.Errorf("%s became %s", name, o.spec(segmentName(0)))
			}
		})
	}
}

// Guards against unbounded memory of views.
func TestViewsAreBounded(t *testing.T) {
	c := newIdleClaims(newFakeStore(), ClaimsConfig{})
	for p := range Partitions {
		c.cacheView(p, &view{fingerprints: make([]uint64, 1000)})
		c.cacheView(p, &view{fingerprints: make([]uint64, 2000)})
	}
	size := 0
	for _, v := range c.views {
		size += v.size()
	}
	if size != c.viewBytes || size > MaxViewBytes || len(c.views) < 100 {
		t.Fatalf("%d views of %d bytes, counted as %d", len(c.views), size, c.viewBytes)
	}
}

// Guards against a compactor that was paused for longer than the retention before it
// removes a claim from the segment, and then removes a newer claim of the same key.
func TestPausedRemovalKeepsNewerClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a, paused := newManualClaims(t.Context(), o, "a", 1), newManualClaims(t.Context(), o, "b", 1)
		key := testKey(1)
		claimAndRecord(t, a, key)
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
		claimAndRecord(t, a, key)
		close(resume)
		<-done
		requireRecorded(t, newManualClaims(t.Context(), o, "c", 1), key)
	})
}

// fullPartition returns a partition that is larger than the given size by its own count.
func fullPartition(t *testing.T, bytes int) platform.Object {
	t.Helper()
	partition := newClaimObject()
	for i := 0; partition.bytes <= bytes; i++ {
		partition.set(testKey(-1-i).digest(), record{owner: Owner{Incarnation: "old"}, sequence: uint64(i), at: time.Now().Unix()})
	}
	spec, err := partition.encode()
	if err != nil {
		t.Fatal(err)
	}
	return platform.Object{Name: partitionName(0), Spec: spec}
}

// Guards against accepting new keys of a partition without free capacity, also when the
// entry has read the partition before.
func TestFullPartitionRefusesNewKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakeStore()
		a := newManualClaims(t.Context(), o, "a", 1)
		claimAndRecord(t, a, testKey(1))
		a.compact(t.Context(), a.segments[0])
		full := fullPartition(t, MaxPartitionBytes)
		o.replace(full)
		for range 3 {
			if claim, err := a.Claim(t.Context(), testKey(2)); !IsFull(err) {
				t.Fatalf("claim: %+v %v", claim, err)
			}
		}
	})
}

// Guards against a partition that exceeds the platform's size limit, and against dropping
// claims that do not fit into their partition.
func TestCompactionSkipsFullPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := fullPartition(t, MaxOutcomeBytes)
		o := newFakeStore()
		a := newManualClaims(t.Context(), o, "a", 1)
		claimAndRecord(t, a, testKey(1))
		full.ResourceVersion = ""
		if _, err := o.put(t.Context(), full); err != nil {
			t.Fatal(err)
		}
		if a.compact(t.Context(), a.segments[0]) || string(o.spec(full.Name)) != string(full.Spec) {
			t.Fatal("the full partition was written")
		}
		requireRecorded(t, a, testKey(1))
	})
}
