package problem

import (
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Guards against losing what a caller needs to decide on another try.
func TestProblemSurvivesTheWire(t *testing.T) {
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

// Guards against taking the error page of another server for a problem document.
func TestOtherAnswersAreNotProblems(t *testing.T) {
	for _, media := range []string{"text/html", "application/json", ""} {
		w := httptest.NewRecorder()
		w.Header().Set("Content-Type", media)
		w.WriteHeader(http.StatusBadGateway)
		_, _ = w.WriteString(`{"status":200}`)
		if p, err := FromResponse(w.Result()); err == nil {
			t.Errorf("media type %q gave the problem %v", media, p)
		}
	}
}

// Guards against a reason whose meaning callers can't look up, and against a page
// that says something else than the code.
func TestReasonsAreDocumented(t *testing.T) {
	source, err := os.ReadFile("../../internal/peer/messages.go")
	if err != nil {
		t.Fatal(err)
	}
	known := make(map[string]bool)
	for _, m := range Meanings() {
		if known[m.Reason] {
			t.Errorf("%s has two meanings", m.Reason)
		}
		known[m.Reason] = true
	}
	reasons := regexp.MustCompile(`Reason = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	if len(reasons) == 0 {
		t.Fatal("no reasons were found in package peer")
	}
	for _, r := range reasons {
		if !known[r[1]] {
			t.Errorf("reason %s of package peer has no meaning", r[1])
		}
	}
	page, err := os.ReadFile("../../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	if err := WriteMeanings(&table); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), table.String()) {
		t.Errorf("docs/callers.md lacks this table:\n%s", table.String())
	}
}

// Guards against telling a caller to try again what may have run.
func TestRefusalKeepsTheExecution(t *testing.T) {
	for reason, want := range map[string]int{"queueFull": 503, "deadline": 504, "cancelled": StatusClientClosedRequest, "later": 502} {
		p := Refusal(reason, fleet.Unknown, "")
		if p.Status != want || p.Execution != fleet.Unknown || p.Title == "" {
			t.Errorf("%s gives %+v", reason, p)
		}
	}
	if p := Refusal("later", fleet.NotStarted, ""); p.Status != http.StatusServiceUnavailable {
		t.Errorf("a new reason gives %d", p.Status)
	}
}
