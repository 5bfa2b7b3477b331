package problem

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against losing members that a caller needs to decide on a retry.
func TestProblemRoundTrip(t *testing.T) {
	p := New(http.StatusServiceUnavailable, "queueFull", "the queue is full")
	p.Execution = fleet.NotStarted
	p.RetryAfterMs = 1001
	p.Faults = []Fault{{Row: 3, Field: "state", Reason: "is odd"}}
	w := httptest.NewRecorder()
	p.Write(w)
	resp := w.Result()
	if got := resp.Header.Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After is %q, want the 1001 ms rounded up to 2", got)
	}
	got, err := FromResponse(resp)
	if err != nil || !reflect.DeepEqual(got, p) {
		t.Errorf("read back %+v, want %+v", got, p)
	}
}

// Guards against treating the error page of another server as a problem document.
func TestOtherResponsesAreNotProblems(t *testing.T) {
	for _, media := range []string{"text/html", "application/json", ""} {
		w := httptest.NewRecorder()
		w.Header().Set("Content-Type", media)
		w.WriteHeader(http.StatusBadGateway)
		_, _ = w.WriteString(`{"status":200}`)
		if p, err := FromResponse(w.Result()); err == nil {
			t.Errorf("media type %q resulted in the problem %v", media, p)
		}
	}
}

// Guards against a reason that is not documented for callers.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../../internal/entry/*.go")
	if err != nil {
		t.Fatal(err)
	}
	pattern := regexp.MustCompile(`(?:Reason += |Reason: +|refused\(http\.\w+, )"(\w+)"`)
	found := 0
	for _, file := range append(files, "../../internal/peer/messages.go") {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range pattern.FindAllStringSubmatch(string(source), -1) {
			found++
			if !strings.Contains(string(page), "`"+m[1]+"`") {
				t.Errorf("docs/callers.md does not describe the reason %s of %s", m[1], filepath.Base(file))
			}
		}
	}
	if found == 0 {
		t.Error("no reasons found in the sources")
	}
}
