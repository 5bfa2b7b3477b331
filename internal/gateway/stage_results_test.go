package gateway

import (
	"slices"
	"testing"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// Guards against a set of results that is released twice, or while a run reads it.
func TestResultsAreReleasedOnceAfterTheirLastReader(t *testing.T) {
	var released []string
	s := newStageResults(0, "s", 1, func(_ string, results []pieces.Result) {
		for _, r := range results {
			if r.Handle != "" {
				released = append(released, r.Handle)
			}
		}
	})
	expect := func(when string, want ...string) {
		t.Helper()
		if !slices.Equal(released, want) {
			t.Errorf("%s: released %v, want %v", when, released, want)
		}
	}
	publish := func(handle string) {
		t.Helper()
		if err := s.publish([]pieces.Result{{Handle: handle}}); err != nil {
			t.Fatal(err)
		}
	}
	s.addUser(1)
	s.addUser(2)
	publish("a")
	first, _ := s.beginRead(1)
	if first.isSole {
		t.Error("a set that two stages need has one reader")
	}
	publish("b")
	expect("replaced while it is read")
	first.endRead()
	expect("read to its end", "a")
	s.removeUser(1)
	second, _ := s.beginRead(2)
	if !second.isSole {
		t.Error("a set that one stage needs has other readers")
	}
	// A rerun of stage 1 needs the set again.
	s.addUser(1)
	if third, _ := s.beginRead(1); third.isSole {
		t.Error("the set of a rerun is released although another stage reads it")
	} else {
		third.endRead()
	}
	s.removeUser(1)
	second.markReleased()
	second.endRead()
	s.removeUser(2)
	expect("released by the owner of the queue", "a")
	if _, ok := s.beginRead(2); ok || s.isUsable() {
		t.Error("released results are read again")
	}
	if err := s.publish([]pieces.Result{{Failure: dialect.FailureInputMissing}}); !isInputMissing(err) {
		t.Errorf("an incomplete set: got %v", err)
	}
	if err := s.publish(nil); err == nil {
		t.Error("an empty set is taken for the result of one piece")
	}
	s.addUser(2)
	publish("c")
	if err := s.publish([]pieces.Result{{Handle: "d"}, {Handle: "e"}}); err == nil {
		t.Error("two results are taken for that of one piece")
	}
	expect("too many results", "a", "d", "e")
	s.removeUser(2)
	expect("no user left", "a", "d", "e", "c")
}
