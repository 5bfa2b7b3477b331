package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

const testMemory = 10 << 20

func newTestBudget(out io.Writer) *Budget {
	return New(Config{MemoryBytes: testMemory, Descriptors: 1000}, &log.Logger{Writer: log.IOWriter{Writer: out}}, tally.NoopScope)
}

// take opens a share that holds n bytes and reports when it must yield.
func take(t *testing.T, b *Budget, n int64) (s *Share, yielded chan time.Time) {
	t.Helper()
	s, yielded = &Share{}, make(chan time.Time, 1)
	s.Open(b)
	s.AllowYield(func(at time.Time) error { yielded <- at; return nil })
	if err := s.Take(t.Context(), n); err != nil {
		t.Fatal(err)
	}
	return s, yielded
}

// Guards against large bodies that take the memory of small requests.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(io.Discard)
		large, _ := take(t, b, b.bulk.limit+smallBytes)
		defer large.Release()
		if err := large.Settle(); err != nil {
			t.Fatal(err)
		}
		var next Share
		next.Open(b)
		if err := next.Take(t.Context(), 2*smallBytes); err != ErrSpent {
			t.Errorf("got %v for bulk memory, want ErrSpent", err)
		}
		next.Release()
		started := time.Now()
		small, _ := take(t, b, smallBytes)
		small.Release()
		if time.Since(started) > 0 {
			t.Errorf("a small body waited for %v", time.Since(started))
		}
	})
}

// Guards against bodies that hold memory without progress while others wait for it, and against
// bodies that make progress and are refused for others.
func TestBodyWithoutProgressYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(io.Discard)
		stalled, stalledYields := take(t, b, b.bulk.limit/2)
		moving, movingYields := take(t, b, b.bulk.limit/2-2*smallBytes)
		time.Sleep(stallTime)
		if err := moving.Take(t.Context(), smallBytes); err != nil {
			t.Fatal(err)
		}
		go func() {
			<-stalledYields
			stalled.Release()
		}()
		next, _ := take(t, b, 8*smallBytes)
		if len(movingYields) > 0 {
			t.Error("a body that made progress had to yield")
		}
		for _, s := range []*Share{moving, next} {
			if err := s.Settle(); err != nil {
				t.Errorf("got %v at the end of a body", err)
			}
			s.Release()
		}
		if held := b.State(); held.BulkHeldBytes != 0 || held.OrdinaryHeldBytes != 0 {
			t.Errorf("%+v is still held", held)
		}
	})
}

// Guards against a body that goes on after it has yielded its memory, or is complete and yields.
func TestYieldedBodyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(io.Discard)
		s, _ := take(t, b, 1)
		complete, completeYields := take(t, b, 1)
		if err := complete.Settle(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stallTime)
		if !b.YieldOldest(time.Now()) || b.YieldOldest(time.Now()) || len(completeYields) > 0 {
			t.Error("want that only the body that is incomplete yields, and once")
		}
		if err := s.Take(t.Context(), 1); err != ErrYielded {
			t.Errorf("got %v, want ErrYielded", err)
		}
	})
}

// Guards against a body that is changed or cut by its parts, and against memory that is taken for
// more than arrived and one further part.
func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 300 << 10
	broken := errors.New("broken")
	for _, c := range []struct {
		name      string
		length    int64
		announced int64
		end       error
		want      error
	}{
		{"empty chunks", 0, -1, io.EOF, nil},
		{"small", 10, 10, io.EOF, nil},
		{"small in chunks", 10, -1, io.EOF, nil},
		{"at the limit", limit, limit, io.EOF, nil},
		{"at the limit in chunks", limit, -1, io.EOF, nil},
		{"over the limit", limit + 1, limit + 1, io.EOF, ErrTooLarge},
		{"over the limit in chunks", limit + 1, -1, io.EOF, ErrTooLarge},
		{"broken", 100 << 10, limit, broken, broken},
		{"broken in chunks", 100 << 10, -1, broken, broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBudget(io.Discard)
			content := bytes.Repeat([]byte("0123456789abcdef"), int(c.length/16+1))[:c.length]
			var s Share
			s.Open(b)
			r := iotest.HalfReader(io.MultiReader(bytes.NewReader(content), iotest.ErrReader(c.end)))
			parts, err := ReadBody(t.Context(), r, c.announced, limit, &s)
			if err != c.want {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if err == nil && !bytes.Equal(bytes.Join(parts, nil), content) {
				t.Error("the body differs")
			}
			if held := s.ordinary + s.bulk; held > c.length+chunkBytes {
				t.Errorf("%d bytes are held for %d", held, c.length)
			}
		})
	}
}

// Guards against a buffered response that is cut although its caller reads it, and against one that is
// never cut although its caller doesn't.
func TestResponseYieldsOnlyIfItsCallerDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(io.Discard)
		write := func() (*Share, chan time.Time) {
			s, yielded := &Share{}, make(chan time.Time, 1)
			s.Open(b)
			if !s.TryTake(2 * smallBytes) {
				t.Fatal("no memory")
			}
			s.BeginWrite(func(at time.Time) error { yielded <- at; return nil })
			return s, yielded
		}
		reading, readingYields := write()
		_, stuckYields := write()
		for range 3 {
			time.Sleep(responseStallTime / 2)
			reading.RecordWrite()
		}
		b.yieldStalled(time.Now(), b.bulk, b.bulk.limit)
		if len(readingYields) > 0 || len(stuckYields) == 0 {
			t.Errorf("the response that is read yielded: %t, and the other: %t", len(readingYields) > 0, len(stuckYields) > 0)
		}
	})
}

// Guards against a log line for each caller of a crowd.
func TestSpellOfRefusalsIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := newTestBudget(&out)
		for range 2 {
			for range 100 {
				b.Count(CauseMemory)
				time.Sleep(spellEnd / 2)
			}
			time.Sleep(2 * spellEnd)
		}
		if n := strings.Count(out.String(), "\n"); n != 2 {
			t.Errorf("got %d lines for two spells", n)
		}
		if n := b.State().Refusals[CauseMemory]; n != 200 {
			t.Errorf("got %d refusals", n)
		}
	})
}

// Measures what the budget adds to reading a small body.
func BenchmarkReadBody(b *testing.B) {
	budget := newTestBudget(io.Discard)
	content := bytes.Repeat([]byte("x"), 1000)
	yield := func(time.Time) error { return nil }
	r := bytes.NewReader(content)
	b.ReportAllocs()
	for b.Loop() {
		r.Reset(content)
		var s Share
		s.Open(budget)
		s.AllowYield(yield)
		if _, err := ReadBody(context.Background(), r, int64(len(content)), 1<<20, &s); err != nil {
			b.Fatal(err)
		}
		s.Release()
	}
}
