package eventstream_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/internal/eventstream"
)

// Guards against a count of events that depends on how a stream is split into reads, or on
// the kind of its line ends.
func TestEventsAreCountedInAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eol := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "eol")
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"", "data: x", ": comment", ":", "id"})).Draw(t, "lines")
		want, field := 0, false
		for _, line := range lines {
			switch {
			case line == "" && field:
				want, field = want+1, false
			case line != "" && line[0] != ':':
				field = true
			}
		}
		var text strings.Builder
		for _, line := range lines {
			text.WriteString(line + eol)
		}
		var s eventstream.Scanner
		got := 0
		for _, b := range []byte(text.String()) {
			if s.Add([]byte{b}) {
				got++
			}
		}
		if got != want || s.Events() != want {
			t.Errorf("%d events in %q, want %d", got, text.String(), want)
		}
		var whole eventstream.Scanner
		if whole.Add([]byte(text.String())) != (want > 0) {
			t.Errorf("read at once, %q has events: %t", text.String(), want == 0)
		}
	})
}
