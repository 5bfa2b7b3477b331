package load

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// Guards against a stream that is accepted as complete without its done event.
func FuzzEvents(f *testing.F) {
	f.Add("event: token\ndata: {\"text\":\"a\"}\n\nevent: done\ndata: {\"requestId\":\"r\",\"tokens\":1}\n\n")
	f.Add("event: error\ndata: {\"title\":\"no\",\"execution\":\"notStarted\"}\n\n")
	f.Add("event:done\r\ndata:{}\r\n\r\n")
	f.Add(": comment\n\nevent: done\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		r := Result{Due: time.Now()}
		if failed := r.readEvents(strings.NewReader(body)); failed != nil {
			if failed.outcome == Completed || failed.outcome == "" {
				t.Fatalf("a failure has outcome %q", failed.outcome)
			}
			return
		}
		if !strings.Contains(body, "done") || !json.Valid(r.Response.Output) {
			t.Fatalf("a stream without a done event counts as complete: %q", body)
		}
	})
}
