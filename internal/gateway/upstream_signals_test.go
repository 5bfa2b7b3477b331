package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// leavingAnswers are the kinds of answers with which an upstream may say that it leaves.
var leavingAnswers = []struct {
	name   string
	path   string
	answer func(w http.ResponseWriter, r *http.Request)
}{
	{"success", "/unsafe/x", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "done") }},
	{"head of a stream", "/stream/x", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		respond(w, r, http.StatusOK, "id: 1\n\n")
	}},
	{"refusal", "/unsafe/x", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}},
	{"error", "/unsafe/x", func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, http.StatusInternalServerError, "failed")
	}},
	{"answer without a signature", "/unsafe/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
	{"answer to another request", "/unsafe/x", func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(testID, "another")
		respond(w, r, http.StatusOK, "of another")
	}},
}

// Guards against requests that reach an upstream after it said in an answer that it leaves,
// because its registration says nothing of it, or is read again from an older copy of the store.
func TestUpstreamThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for _, c := range leavingAnswers {
		t.Run(c.name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fixture) {
				service := plainService
				if c.path == "/stream/x" {
					service = engineService
				}
				up := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(testLeaving, "1")
					c.answer(w, r)
				}}
				u := f.upstream(service, up)
				_, _, _ = f.send(t.Context(), callerRequest{path: c.path, id: "r0", remaining: time.Second})
				if up.count() != 1 {
					t.Fatalf("the upstream got %d requests before it said that it leaves", up.count())
				}
				for i := range 10 {
					switch i {
					case 3:
						f.cat.ReplaceUpstreams([]catalog.Upstream{u}, at(1))
					case 6:
						f.cat.RemoveUpstream(u.ID, at(0))
						f.cat.SetUpstream(u, at(0))
					}
					resp, _, err := f.send(t.Context(), callerRequest{path: c.path, id: fmt.Sprint("r1-", i), remaining: time.Second})
					if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("got %v, %v; want a refusal, as no upstream can take the request", resp, err)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if n := up.count(); n != 1 {
					t.Errorf("the upstream got %d requests after it said that it leaves", n-1)
				}
			})
		})
	}
}

// Guards against the next start of an upstream, or another upstream at its address, that gets
// no requests because of what the start before it said.
func TestLeavingHoldsForOneStartOnly(t *testing.T) {
	for name, next := range map[string]func(u *catalog.Upstream){
		"restart under the id":        func(u *catalog.Upstream) { u.Born += 5000 },
		"other upstream at the place": func(u *catalog.Upstream) { u.ID = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fixture) {
				leaves := true
				up := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
					if leaves {
						w.Header().Set(testLeaving, "1")
					}
					respond(w, r, http.StatusOK, "done")
				}}
				u := f.upstream(plainService, up)
				u.Born = time.Now().UnixMilli()
				f.cat.SetUpstream(u, at(0))
				_, _, _ = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r0"})
				leaves = false
				time.Sleep(5 * time.Second)
				f.cat.RemoveUpstream(u.ID, at(0))
				next(&u)
				f.cat.SetUpstream(u, at(0))
				resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("got %v, %v; want an answer of the next start", resp, err)
				}
			})
		})
	}
}

// Guards against a late answer of an earlier start that turns away the next one: the earlier
// one finishes a request while the next one is registered already.
func TestStaleAnswerDoesNotTurnTheNextStartAway(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		first := true
		up := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			if first {
				first = false
				time.Sleep(time.Second)
				w.Header().Set(testLeaving, "1")
			}
			respond(w, r, http.StatusOK, "done")
		}}
		u := f.upstream(plainService, up)
		u.Born = time.Now().UnixMilli()
		f.cat.SetUpstream(u, at(0))
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r0"})
		}()
		time.Sleep(500 * time.Millisecond)
		u.Born = time.Now().UnixMilli()
		f.cat.SetUpstream(u, at(0))
		<-done
		resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("got %v, %v; want an answer of the next start", resp, err)
		}
	})
}

// Guards against requests to a start that says it leaves before it has registered: its answer
// comes under the name of the start before it.
func TestNextStartThatLeavesBeforeItIsRegisteredGetsNoRequests(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testLeaving, "1")
			respond(w, r, http.StatusOK, "done")
		}}
		u := f.upstream(plainService, up)
		u.Born = time.Now().Add(-time.Hour).UnixMilli()
		f.cat.SetUpstream(u, at(0))
		u.Born = time.Now().UnixMilli()
		time.Sleep(2 * time.Second)
		_, _, _ = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r0"})
		f.cat.SetUpstream(u, at(0))
		_, _, _ = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
		if n := up.count(); n != 1 {
			t.Errorf("the upstream got %d requests after it said that it leaves", n-1)
		}
	})
}

// Guards against requests to an upstream that says it leaves under the name of an earlier start,
// which the store names again because it was restored to an older copy.
func TestLeavingHoldsUnderAnOldRegistration(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testLeaving, "1")
			respond(w, r, http.StatusOK, "done")
		}}
		old := f.upstream(plainService, up)
		old.Born = time.Now().UnixMilli()
		f.cat.SetUpstream(old, at(0))
		time.Sleep(time.Minute)
		u := old
		u.Born = time.Now().UnixMilli()
		f.cat.SetUpstream(u, at(0))
		for i, registration := range []catalog.Upstream{u, old, u, old} {
			f.cat.SetUpstream(registration, at(0))
			_, _, _ = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: fmt.Sprint("r", i)})
		}
		if n := up.count(); n != 1 {
			t.Errorf("the upstream got %d requests after it said that it leaves", n-1)
		}
	})
}

// Guards against a request that was placed before an upstream said that it leaves and is written
// after that, because it waited for a connection.
func TestHeldRequestDoesNotReachALeavingUpstream(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &countingUpstream{}
		f.upstream(plainService, up)
		choice, err := (&request{g: f.Gateway, service: &catalog.Service{Name: plainService}}).pickUpstream()
		if err != nil {
			t.Fatal(err)
		}
		up.handler = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testLeaving, "1")
			respond(w, r, http.StatusOK, "done")
		}
		_, _, _ = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r0"})
		if choice.Admit() == nil {
			t.Error("the request that was placed before may still be written")
		}
	})
}

// Guards against calls of stages that reach an upstream after it said that it leaves: its
// pieces are queued, or another upstream's call with them failed.
func TestLeavingUpstreamOfAStageGetsNoCalls(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(engineService, &countingUpstream{})
		leaving, other := &stageUpstream{delay: 100 * time.Millisecond}, &stageUpstream{delay: 100 * time.Millisecond}
		f.upstream(stageService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testLeaving, "1")
			leaving.ServeHTTP(w, r)
		}))
		f.upstream(stageService, other)
		for i := range 6 {
			header := http.Header{testPieces: {"8 8 8"}, testPieceKey: {"k"}}
			_, _, _ = f.send(t.Context(), callerRequest{path: "/staged/x", id: fmt.Sprint("r", i), header: header, remaining: 2 * time.Second})
		}
		if n := len(leaving.batches()); n != 1 {
			t.Errorf("the upstream got %d calls, want one", n)
		}
		if len(other.batches()) == 0 {
			t.Error("the other upstream got no calls")
		}
		if n := len(leaving.releasedHandles()); n != 0 {
			t.Errorf("%d results were released at the leaving upstream", n)
		}
		if !strings.Contains(f.logs.String(), "upstream says that it leaves") {
			t.Error("the change is not logged")
		}
		time.Sleep(5 * time.Second)
	})
}

// quietUpstream asks for quiet with its first answer and counts what reaches it meanwhile.
type quietUpstream struct {
	quiet time.Duration
	// answer responds while the upstream is not asking for quiet.
	answer func(w http.ResponseWriter, r *http.Request)

	mu    sync.Mutex
	asked time.Time
	// during counts the requests from half a second after the answer until the end of the quiet
	// time, and early those before.
	during, early, total int
}

func (u *quietUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	u.total++
	first := u.asked.IsZero()
	switch {
	case first:
		u.asked = time.Now()
	case time.Since(u.asked) < 500*time.Millisecond:
		u.early++
	case time.Since(u.asked) < u.quiet:
		u.during++
	}
	u.mu.Unlock()
	if !first {
		u.answer(w, r)
		return
	}
	w.Header().Set(testNotExecuted, "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(u.quiet.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *quietUpstream) counts() (early, during, total int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.early, u.during, u.total
}

// Guards against requests that reach an upstream in the time for which it asked for quiet, and
// against one that gets none after it.
func TestQuietUpstreamGetsNoRequests(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &quietUpstream{quiet: 2500 * time.Millisecond, answer: func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "done") }}
		f.upstream(plainService, up)
		other := &countingUpstream{}
		f.upstream(plainService, other)
		for i := range 50 {
			resp, _, err := f.send(t.Context(), callerRequest{path: "/safe/x", id: fmt.Sprint("r", i), remaining: time.Second})
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("got %v, %v; want an answer of the other upstream", resp, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if early, during, _ := up.counts(); early != 0 || during != 0 {
			t.Errorf("%d requests reached the upstream at once, %d after half a second", early, during)
		}
		time.Sleep(500 * time.Millisecond)
		for i := range 50 {
			_, _, _ = f.send(t.Context(), callerRequest{path: "/safe/x", id: fmt.Sprint("s", i), remaining: time.Second})
			time.Sleep(20 * time.Millisecond)
		}
		if _, _, total := up.counts(); total < 5 {
			t.Errorf("%d requests reached the upstream after its quiet time", total-1)
		}
	})
}

// Guards against a restarted upstream that gets no requests because of the quiet time of the
// start before it.
func TestQuietHoldsForOneStartOnly(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &quietUpstream{quiet: 30 * time.Second, answer: func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "done") }}
		u := f.upstream(plainService, up)
		_, _, _ = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r0"})
		time.Sleep(time.Second)
		u.Born = time.Now().UnixMilli()
		f.cat.SetUpstream(u, at(0))
		if resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"}); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("got %v, %v; want an answer of the next start", resp, err)
		}
	})
}

// Guards against calls of stages and releases of results that reach an upstream in its quiet
// time, because their pieces were queued before, and against pieces that are never run after it.
func TestQuietUpstreamOfAStageGetsNoCalls(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(engineService, &countingUpstream{})
		stage, other := &stageUpstream{delay: 100 * time.Millisecond}, &stageUpstream{delay: 100 * time.Millisecond}
		var calls atomic.Int32
		up := &quietUpstream{quiet: time.Second, answer: stage.ServeHTTP}
		f.upstream(stageService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The first call is run; its results are released in the quiet time.
			if calls.Add(1) == 1 {
				stage.ServeHTTP(w, r)
				return
			}
			up.ServeHTTP(w, r)
		}))
		f.upstream(stageService, other)
		for i := range 20 {
			header := http.Header{testPieces: {"8 8 8"}, testPieceKey: {"k"}}
			_, _, _ = f.send(t.Context(), callerRequest{path: "/staged/x", id: fmt.Sprint("r", i), header: header, remaining: 2 * time.Second})
		}
		early, during, total := up.counts()
		if early != 0 || during != 0 {
			t.Errorf("%d calls reached the upstream at once, %d after half a second", early, during)
		}
		if total < 3 {
			t.Errorf("the upstream got %d calls after its quiet time", total-1)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against a connection that is opened only to see whether an upstream crashed, in the
// time for which it asked for quiet.
func TestQuietUpstreamIsNotProbed(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &quietUpstream{quiet: 5 * time.Second}
		u := f.upstream(engineService, up)
		header := http.Header{testParts: {"a b"}}
		_, _, _ = f.send(t.Context(), callerRequest{path: "/stream/x", id: "r0", header: header})
		dials := f.net.Dials(u.Address)
		f.crashes.RecordBroken(engineService, f.cat.View().Upstream(u.ID), []string{"a", "b"})
		time.Sleep(time.Second)
		if n := f.net.Dials(u.Address); n != dials {
			t.Errorf("%d connections were opened to the quiet upstream", n-dials)
		}
	})
}

// retryAfter returns the Retry-After value of a response.
func (r *responseHead) retryAfter() time.Duration {
	d, err := time.ParseDuration(r.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return d
}

// Guards against callers that wait for their deadline, or are told to come back too early or all
// together, while every upstream of a service wants quiet; and against requests that reach one
// of them meanwhile.
func TestRequestsAreRefusedWhileAllUpstreamsWantQuiet(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		answer := func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusOK, "done") }
		ups := []*quietUpstream{{quiet: 6 * time.Second, answer: answer}, {quiet: 5 * time.Second, answer: answer}}
		for _, up := range ups {
			f.upstream(plainService, up)
		}
		for i := range 3 {
			_, _, _ = f.send(t.Context(), callerRequest{path: "/unsafe/x", id: fmt.Sprint("r0-", i), remaining: time.Second})
		}
		started := time.Now()
		waits := make(map[time.Duration]bool)
		for i := 0; time.Since(started) < 4800*time.Millisecond; i++ {
			sent := time.Now()
			resp, body, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: fmt.Sprint("r1-", i), remaining: time.Second})
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, reasonUpstreamsQuiet) {
				t.Fatalf("got %v, %s, %v; want a refusal", resp, body, err)
			}
			if took := time.Since(sent); took > 10*time.Millisecond {
				t.Errorf("the refusal took %v", took)
			}
			left := 5*time.Second - time.Since(started)
			if wait := resp.retryAfter(); wait < left || wait > 5*(left+maxReturnDelay)/4+minRetryAfter {
				t.Errorf("Retry-After is %v with %v left", wait, left)
			}
			waits[resp.retryAfter()+time.Since(started).Round(time.Second)] = true
			time.Sleep(20 * time.Millisecond)
		}
		for _, up := range ups {
			if early, during, total := up.counts(); early+during > 0 || total != 1 {
				t.Errorf("%d requests reached an upstream in its quiet time", early+during)
			}
		}
		if len(waits) < 50 {
			t.Errorf("only %d different times to return were stated", len(waits))
		}
		time.Sleep(time.Second)
		if resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r2"}); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("got %v, %v after the quiet times", resp, err)
		}
	})
}

// maxReturnDelay bounds the random delay that a gateway adds to a quiet time.
const maxReturnDelay = 300 * time.Millisecond

// Guards against requests that run their stages in vain, or wait in the queue of a stage, while
// each upstream of the stage or of the engine leaves or wants quiet.
func TestStagesAreNotRunForAClosedService(t *testing.T) {
	for _, closed := range []string{stageService, engineService} {
		t.Run(closed, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fixture) {
				stage := &stageUpstream{delay: 100 * time.Millisecond}
				handlers := map[string]http.Handler{stageService: stage, engineService: &countingUpstream{}}
				up := &quietUpstream{quiet: 10 * time.Second, answer: handlers[closed].ServeHTTP}
				handlers[closed] = up
				for service, h := range handlers {
					f.upstream(service, h)
				}
				leaving := &countingUpstream{handler: func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(testLeaving, "1")
					w.Header().Set(testNotExecuted, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}}
				f.upstream(closed, leaving)
				header := http.Header{testPieces: {"8 8 8"}, testPieceKey: {"k"}}
				send := func(id string) (*responseHead, string, time.Duration) {
					sent := time.Now()
					resp, body, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: id, header: header, remaining: 2 * time.Second})
					if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
						t.Fatalf("got %v, %s, %v; want a refusal", resp, body, err)
					}
					return resp, body, time.Since(sent)
				}
				// The first one learns that the upstreams are closed.
				if _, body, took := send("r0"); took > time.Second {
					t.Errorf("the refusal took %v: %s", took, body)
				}
				calls := len(stage.batches())
				for i := range 5 {
					resp, body, took := send(fmt.Sprint("r1-", i))
					if took > 10*time.Millisecond || resp.retryAfter() < 8*time.Second || !strings.Contains(body, reasonUpstreamsQuiet) {
						t.Errorf("refused after %v with Retry-After %v: %s", took, resp.retryAfter(), body)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if n := len(stage.batches()); n != calls {
					t.Errorf("%d calls of stages in vain", n-calls)
				}
				if early, during, _ := up.counts(); early+during > 0 || leaving.count() > 1 {
					t.Errorf("%d requests reached the quiet upstream, %d the one that leaves", early+during, leaving.count()-1)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}
