package quarantine

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const model = "model"

var start = time.Unix(1000, 0)

// storm is a table that gets a whole response to a sound prompt after each crash.
type storm struct {
	*Table
	now     time.Time
	crashes int
}

func newStorm() *storm { return &storm{Table: New(), now: start} }

// crash records a crash of a further upstream, a second after the last one.
func (s *storm) crash(prompts ...[]string) []Change {
	s.now = s.now.Add(time.Second)
	s.crashes++
	changes := s.RecordCrash(s.now, Crash{Service: model, Upstream: fmt.Sprint("u", s.crashes), At: s.now, Prompts: prompts})
	s.RecordSuccess(s.now.Add(time.Millisecond), model, []string{"common", "own"})
	return changes
}

func (s *storm) suspectedParts() []string {
	var parts []string
	for _, suspect := range s.Suspects(s.now) {
		parts = append(parts, suspect.Parts...)
	}
	slices.Sort(parts)
	return parts
}

// Guards against a part that crashes upstreams and is not found, and against sound parts of the
// same prompts that are blamed with it.
func TestPartInAllCrashesIsSuspected(t *testing.T) {
	s := newStorm()
	for i := range minCrashes {
		if got := s.suspectedParts(); len(got) > 0 {
			t.Errorf("%q suspected after %d crashes", got, i)
		}
		s.crash([]string{"common", "deadly", fmt.Sprint("session", i), fmt.Sprint("own", i)}, []string{"common", fmt.Sprint("other", i)})
	}
	if got := s.suspectedParts(); !slices.Equal(got, []string{"deadly"}) {
		t.Errorf("suspected %q, want the part in all crashes", got)
	}
}

// Guards against a sound part that is refused alone because it came only with a part that
// crashes upstreams so far: the two are refused together, until one is found to be sound.
func TestPartsThatComeTogetherAreOneSet(t *testing.T) {
	s := newStorm()
	for i := range minCrashes {
		s.crash([]string{"common", "deadly", "session", fmt.Sprint("own", i)})
	}
	suspects := s.Suspects(s.now)
	if len(suspects) != 1 || len(suspects[0].Parts) != 2 {
		t.Fatalf("suspects %+v, want one set of two parts", suspects)
	}
	s.Confine(s.now, suspects[0])
	refuses := func(prompt ...string) bool { _, ok := s.Refuse(s.now, model, prompt); return ok }
	if !refuses("common", "deadly", "session", "x") || refuses("common", "session", "x") || refuses("common", "deadly", "x") {
		t.Error("only prompts with the whole set must be refused")
	}
	changes := s.RecordSuccess(s.now, model, []string{"common", "session", "x"})
	if len(changes) != 1 || changes[0].Kind != Narrowed || !refuses("common", "deadly", "x") || refuses("common", "session", "x") {
		t.Errorf("got %+v after a whole response with one of the parts", changes)
	}
	if changes = s.RecordSound(s.now, model, []string{"deadly"}); len(changes) != 1 || changes[0].Kind != Released || refuses("common", "deadly", "x") {
		t.Errorf("got %+v after a whole response with the other part", changes)
	}
}

// Guards against parts that are blamed for crashes of another cause.
func TestCrashesOfAnotherCauseBlameNoPart(t *testing.T) {
	prompt := []string{"common", "hot", "own"}
	for name, run := range map[string]func(s *storm){
		"a domain loses power": func(s *storm) {
			for i := range 8 {
				s.RecordCrash(s.now, Crash{Service: model, Upstream: fmt.Sprint("u", i), At: s.now.Add(time.Duration(i) * 5 * time.Millisecond), Prompts: [][]string{prompt}})
				s.RecordSuccess(s.now, model, []string{"common", "own"})
			}
		},
		"one crash, reported by many gateways": func(s *storm) {
			for i := range 8 {
				s.RecordCrash(s.now, Crash{Service: model, Upstream: "u", At: s.now.Add(time.Duration(i) * 90 * time.Millisecond), Prompts: [][]string{prompt}})
				s.RecordSuccess(s.now, model, []string{"common", "own"})
			}
		},
		"whole responses between the crashes": func(s *storm) {
			for range 8 {
				s.crash(prompt)
				s.RecordSuccess(s.now.Add(2*time.Millisecond), model, prompt)
			}
		},
		"whole responses at another gateway": func(s *storm) {
			for range 8 {
				s.crash(prompt)
				s.RecordSound(s.now, model, []string{"hot", "own"})
			}
		},
		"nothing is answered at all": func(s *storm) {
			for i := range 8 {
				s.now = s.now.Add(time.Second)
				s.RecordCrash(s.now, Crash{Service: model, Upstream: fmt.Sprint("u", i), At: s.now, Prompts: [][]string{prompt}})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStorm()
			run(s)
			if got := s.suspectedParts(); len(got) > 0 {
				t.Errorf("%q suspected", got)
			}
		})
	}
}

// Guards against a quarantine that never ends, and against one whose end costs many upstreams.
func TestQuarantineEndsAndIsRenewedByOneCrash(t *testing.T) {
	s := newStorm()
	prompt := []string{"common", "deadly", "own"}
	for range minCrashes {
		s.crash(prompt)
	}
	s.Confine(s.now, s.Suspects(s.now)[0])
	for _, want := range []time.Duration{minConfinement, 2 * minConfinement, 4 * minConfinement} {
		refusal, ok := s.Refuse(s.now, model, prompt)
		if !ok || refusal.Left != want {
			t.Fatalf("refusal %+v, %t, want one for %v", refusal, ok, want)
		}
		s.now = s.now.Add(want)
		if _, ok := s.Refuse(s.now, model, prompt); ok {
			t.Fatalf("still refused after %v", want)
		}
		if changes := s.crash(prompt); len(changes) != 1 || changes[0].Kind != Renewed {
			t.Fatalf("got %+v after a crash on probation", changes)
		}
	}
	if changes := s.Expire(s.now.Add(maxConfinement + probation + time.Second)); len(changes) != 1 || changes[0].Kind != Expired {
		t.Errorf("got %+v at the end of the probation", changes)
	}
	if states := s.States(s.now); len(states) > 0 {
		t.Errorf("states %+v remain", states)
	}
}

// Guards against gateways that extend a quarantine among each other for ever, and against a set
// that is adopted with a part that this gateway knows to be sound.
func TestAdoptedSetsEnd(t *testing.T) {
	a, b := newStorm(), New()
	for range minCrashes {
		a.crash([]string{"common", "deadly", "session", "own"})
	}
	a.Confine(a.now, a.Suspects(a.now)[0])
	b.RecordSuccess(a.now.Add(time.Millisecond), model, []string{"session", "x"})
	now := a.now
	for ; len(a.Notices(now)) > 0 || len(b.Notices(now)) > 0; now = now.Add(200 * time.Millisecond) {
		for _, n := range a.Notices(now) {
			b.Adopt(now.Add(50*time.Millisecond), n)
		}
		for _, n := range b.Notices(now) {
			a.Adopt(now.Add(50*time.Millisecond), n)
		}
		if now.Sub(a.now) > minConfinement+time.Second {
			t.Fatal("the quarantine goes on")
		}
	}
	if states := b.States(now); len(states) != 1 || slices.Contains(states[0].Parts, "session") || !slices.Contains(states[0].Parts, "deadly") {
		t.Errorf("adopted %+v, want the set without the sound part", states)
	}
}

// Guards against memory that grows with what callers and other gateways send.
func TestWhatIsKeptIsBounded(t *testing.T) {
	table := New()
	long := make([]string, 10*maxParts)
	for i := range long {
		long[i] = strings.Repeat("x", 10*maxPartBytes) + fmt.Sprint(i)
	}
	prompts := make([][]string, 10*maxPrompts)
	for i := range prompts {
		prompts[i] = long
	}
	for i := range 3 * maxSound {
		name := fmt.Sprint("service", i%(2*maxServices))
		table.RecordSuccess(start, name, []string{fmt.Sprint("part", i), "last"})
		table.RecordSuccess(start, "service0", []string{fmt.Sprint("part", i), "last"})
	}
	for i := range 4 * maxCrashes {
		table.RecordCrash(start, Crash{Service: "service0", Upstream: fmt.Sprint("u", i), At: start, Prompts: prompts})
		table.Adopt(start, Notice{Service: "service0", Parts: []string{fmt.Sprint("p", i)}, Round: 1, Left: 1000 * time.Hour})
	}
	s := table.services["service0"]
	if len(table.services) > maxServices || len(s.sound) > maxSound || len(s.oldSound) > maxSound || len(s.crashes) > maxCrashes || len(s.entries) > maxEntries {
		t.Errorf("%d services, %d and %d sound parts, %d crashes, %d sets", len(table.services), len(s.sound), len(s.oldSound), len(s.crashes), len(s.entries))
	}
	for _, c := range s.crashes {
		if len(c.prompts) > maxPrompts || len(c.prompts[0]) > maxParts || len(c.prompts[0][0]) > maxPartBytes {
			t.Fatalf("%d prompts with %d parts of %d bytes", len(c.prompts), len(c.prompts[0]), len(c.prompts[0][0]))
		}
	}
	for _, e := range s.entries {
		if e.until.After(start.Add(maxConfinement)) {
			t.Errorf("a set is adopted until %v", e.until.Sub(start))
		}
	}
}

// Guards against a sound prompt that is refused, and against a deadly part that is not found,
// whatever crashes beside it and whatever comes with it. Each crash has a prompt with one of the
// deadly parts and others that happened to run there; sound prompts are answered meanwhile.
func TestStatefulOnlyDeadlyPartsAreConfined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadly := []string{"deadly0", "deadly1"}[:rapid.IntRange(1, 2).Draw(t, "deadly")]
		sessions := rapid.IntRange(1, 12).Draw(t, "sessions")
		table, now, n := New(), start, 0
		sound := func() []string {
			n++
			return []string{"common", fmt.Sprint("session", rapid.IntRange(0, sessions-1).Draw(t, "session")), fmt.Sprint("own", n)}
		}
		for i := range 40 {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "gap")) * time.Millisecond)
			for range 6 {
				table.RecordSuccess(now, model, sound())
			}
			prompt := slices.Insert(sound(), rapid.IntRange(0, 2).Draw(t, "at"), rapid.SampledFrom(deadly).Draw(t, "part"))
			if _, refused := table.Refuse(now, model, prompt); refused {
				continue
			}
			prompts := [][]string{prompt}
			for range rapid.IntRange(0, 4).Draw(t, "beside") {
				prompts = append(prompts, sound())
			}
			table.RecordCrash(now, Crash{Service: model, Upstream: fmt.Sprint("u", i), At: now, Prompts: prompts})
			for _, suspect := range table.Suspects(now) {
				table.Confine(now, suspect)
			}
			if i == 39 {
				t.Fatalf("still not refused after 40 requests: %+v", table.States(now))
			}
		}
		for _, state := range table.States(now) {
			if !slices.ContainsFunc(state.Parts, func(p string) bool { return slices.Contains(deadly, p) }) {
				t.Fatalf("%q is confined without a deadly part", state.Parts)
			}
		}
	})
}

// Guards against a notice or a stored set with numbers beyond all use: the next renewal of the
// set panicked, or a part that is known to be sound was refused.
func TestNoticesWithLargeNumbersAreHarmless(t *testing.T) {
	s := newStorm()
	s.Adopt(s.now, Notice{Service: model, Parts: []string{"deadly"}, Round: math.MaxInt, Left: maxConfinement})
	for range 2 {
		s.now = s.now.Add(maxConfinement + time.Second)
		s.crash([]string{"deadly", "session"})
	}
	s.RecordSuccess(s.now, model, []string{"sound", "own"})
	if got := s.Adopt(s.now.Add(time.Second), Notice{Service: model, Parts: []string{"sound"}, Round: 1, Age: math.MaxInt64, Left: time.Minute}); len(got) > 0 {
		t.Errorf("a sound part is in quarantine: %+v", got)
	}
}
