package problem

import (
	"net/http"
	"net/http/httptest"
	"reflect"
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
