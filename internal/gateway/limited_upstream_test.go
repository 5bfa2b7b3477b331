package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// limitedUpstream answers requests, and states a limit while it has one.
func limitedUpstream(limit *string) *countingUpstream {
	return &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
		if *limit != "" {
			w.Header().Set(testLimit, *limit)
		}
		respond(w, r, http.StatusOK, "done")
	}}
}

// Guards against requests beyond the limit of an upstream that wait, or fail without saying when there
// is room, when no other upstream can take them.
func TestRequestsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		limit := "1"
		up := limitedUpstream(&limit)
		f.upstream(plainService, up)
		refused := 0
		for i := range 40 {
			started := time.Now()
			resp, body, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: fmt.Sprint("r", i), remaining: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode == http.StatusServiceUnavailable {
				refused++
				wait, _ := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
				if !strings.Contains(body, reasonUpstreamsLimit) || wait <= 0 || wait > 1300*time.Millisecond || time.Since(started) > 50*time.Millisecond {
					t.Errorf("refused after %v with Retry-After %v: %s", time.Since(started), wait, body)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		if n := up.count(); n < 4 || n > 6 || refused != 40-n {
			t.Errorf("%d requests reached the upstream in 4 s, %d were refused", n, refused)
		}
	})
}

// Guards against requests that are refused although another upstream can take them, and against
// an upstream that is kept short after it states no limit any more.
func TestRequestsBeyondALimitGoToOtherUpstreams(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		limit, none := "1", ""
		up, other := limitedUpstream(&limit), limitedUpstream(&none)
		f.upstream(plainService, up)
		f.upstream(plainService, other)
		send := func(prefix string) {
			for i := range 60 {
				resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: fmt.Sprint(prefix, i), remaining: time.Second})
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("got %v, %v; want an answer", resp, err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		send("limited-")
		if n := up.count(); n < 2 || n > 5 {
			t.Errorf("%d of 60 requests reached the limited upstream in 3 s", n)
		}
		limit = ""
		time.Sleep(time.Second)
		send("free-")
		if n := up.count(); n < 20 {
			t.Errorf("%d of 120 requests reached the upstream, 60 of them after its limit", n)
		}
	})
}

// Guards against calls of stages beyond the limit of their upstream, and against pieces that are
// given up although their upstream takes them later.
func TestCallsOfAStageKeepToTheLimit(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &stageUpstream{}
		calls := 0
		f.upstream(engineService, &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "id: 1\n\n") }})
		f.upstream(stageService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			w.Header().Set(testLimit, "4")
			up.ServeHTTP(w, r)
		}))
		answered, started := 0, time.Now()
		for i := range 30 {
			resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: fmt.Sprint("r", i), remaining: 2 * time.Second, header: http.Header{testPieces: {"1 0 0"}}})
			if err == nil && resp.StatusCode == http.StatusOK {
				answered++
			}
			time.Sleep(50 * time.Millisecond)
		}
		// A call that was placed just before its turn ended is followed by the next one.
		most := int(4*time.Since(started).Seconds()) + 2
		if calls > most || calls < most/2 || answered < 25 {
			t.Errorf("%d calls in %v, of %d that the limit allows; %d of 30 requests were answered", calls, time.Since(started), most, answered)
		}
	})
}

// Guards against stages that run for a request whose engines have no turn left for it.
func TestStagesDoNotRunForLimitedEngines(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		limit := "0.5"
		f.upstream(engineService, limitedUpstream(&limit))
		up := &stageUpstream{}
		f.upstream(stageService, up)
		header := http.Header{testPieces: {"1 0 0"}}
		_, _, _ = f.send(t.Context(), callerRequest{path: "/staged/x", id: "first", remaining: 2 * time.Second, header: header})
		_, _, _ = f.send(t.Context(), callerRequest{path: "/staged/x", id: "second", remaining: 2 * time.Second, header: header})
		before := len(up.batches())
		resp, body, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "third", remaining: 2 * time.Second, header: header})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, reasonUpstreamsLimit) {
			t.Errorf("got %v, %v, %s; want a refusal for the limit", resp, err, body)
		}
		if n := len(up.batches()); n != before {
			t.Errorf("%d calls of the stage for a request that was refused", n-before)
		}
	})
}
