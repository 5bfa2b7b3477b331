package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// play runs a test with a configured gateway under the paused clock.
func play(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := configured(t)
		defer f.close()
		test(t, f)
	})
}

// Guards against an answer that isn't the upstream's, byte for byte, and against a
// request that arrives changed or with the caller's key.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		var got *http.Request
		var body string
		f.upstream(plainService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			got, body = r, string(b)
			w.Header().Set("X-Own", "value")
			answer(w, r, http.StatusCreated, "the answer")
		}))
		resp, answered, err := f.send(t.Context(), caller{path: "/unsafe/a%2Fb?q=1;2", id: "r1", body: "the body", left: time.Second})
		if err != nil || resp.StatusCode != http.StatusCreated || answered != "the answer" || resp.Header.Get("X-Own") != "value" || resp.Header.Get(testSeal) != "seal" {
			t.Fatalf("got %v, %q, %v", resp, answered, err)
		}
		if got.RequestURI != "/unsafe/a%2Fb?q=1;2" || got.Host != "host" || body != "the body" || got.Header.Get(testKey) != "" || got.Header.Get(testOrg) != "okafor" {
			t.Errorf("the upstream got %s %s with %q and %v", got.Host, got.RequestURI, body, got.Header)
		}
	})
}

// Guards against a request that must not be repeated and runs twice: its upstream breaks
// the connection after it has read the request.
func TestUnsafeRequestRunsOnceWhenItsAnswerIsLost(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		up := &counted{then: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}
		f.upstream(plainService, up)
		f.upstream(plainService, up)
		resp, _, err := f.send(t.Context(), caller{path: "/unsafe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("got %v, %v; want a status that promises nothing", resp, err)
		}
		if up.count() != 1 {
			t.Errorf("the request ran %d times", up.count())
		}
	})
}

// Guards against giving up on a request that may be repeated.
func TestSafeRequestIsSentAgainWhenItsAnswerIsLost(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		lost := false
		up := &counted{}
		up.then = func(w http.ResponseWriter, r *http.Request) {
			if !lost {
				lost = true
				panic(http.ErrAbortHandler)
			}
			answer(w, r, http.StatusOK, "done")
		}
		f.upstream(plainService, up)
		f.upstream(plainService, up)
		resp, body, err := f.send(t.Context(), caller{path: "/safe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusOK || body != "done" || up.count() != 2 {
			t.Fatalf("got %v, %q, %v after %d runs", resp, body, err, up.count())
		}
	})
}

// Guards against a promise that the request has not run when it may have, and against
// passing on such a status from an upstream that doesn't say so.
func TestPromisesAreTrue(t *testing.T) {
	cases := []struct {
		name   string
		up     func(w http.ResponseWriter, r *http.Request)
		status int
	}{
		{"not executed by the upstream's word", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable},
		{"503 without that word", func(w http.ResponseWriter, r *http.Request) { answer(w, r, http.StatusServiceUnavailable, "") }, http.StatusBadGateway},
		{"success without a signature", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testID, r.Header.Get(testID))
			w.WriteHeader(http.StatusOK)
		}, http.StatusBadGateway},
		{"answer to another request", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(testID, "another")
			answer(w, r, http.StatusOK, "of another")
		}, http.StatusGatewayTimeout},
		{"failure of the upstream's own", func(w http.ResponseWriter, r *http.Request) { answer(w, r, http.StatusInternalServerError, "failed") }, http.StatusInternalServerError},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(t *testing.T, f *fixture) {
				up := &counted{then: c.up}
				f.upstream(plainService, up)
				resp, body, err := f.send(t.Context(), caller{path: "/unsafe/x", id: "r1", left: time.Second})
				if err != nil || resp.StatusCode != c.status || up.count() != 1 {
					t.Fatalf("got %v, %q, %v after %d runs; want status %d after one", resp, body, err, up.count(), c.status)
				}
				if strings.Contains(body, "of another") {
					t.Error("the caller got another request's answer")
				}
			})
		})
	}
}

// Guards against an upstream without power that holds a request until its deadline.
func TestSilentUpstreamIsReplacedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		f.net.Silence(f.upstream(plainService, nil).Address)
		up := &counted{}
		f.upstream(plainService, up)
		for i := range 6 {
			started := time.Now()
			resp, _, err := f.send(t.Context(), caller{path: "/unsafe/x", id: fmt.Sprint("r", i), left: time.Second})
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("got %v, %v", resp, err)
			}
			if took := time.Since(started); took > 400*time.Millisecond {
				t.Errorf("request %d took %v", i, took)
			}
		}
		if up.count() != 6 {
			t.Errorf("%d requests ran, want 6", up.count())
		}
	})
}

// Guards against a broken stream that looks whole to its caller.
func TestBrokenStreamIsVisiblyIncomplete(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		f.upstream(engineService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, http.StatusOK, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}))
		_, body, err := f.send(t.Context(), caller{path: "/stream/x", id: "r1"})
		if err == nil {
			t.Fatalf("the answer %q looks whole", body)
		}
		if !strings.HasPrefix(body, "id: 1") {
			t.Errorf("what had arrived was not passed on: %q", body)
		}
	})
}

// Guards against events that are held back.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		f.upstream(engineService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer(w, r, http.StatusOK, "")
			for i := range 5 {
				_, _ = fmt.Fprintf(w, "id: %d\n\n", i)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(100 * time.Millisecond)
			}
		}))
		r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://host/stream/x", nil)
		r.Header.Set(testID, "r1")
		r.Header.Set(testKey, "key")
		started := time.Now()
		resp, err := f.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		lines := bufio.NewScanner(resp.Body)
		n := 0
		for lines.Scan() {
			if lines.Text() == "" {
				continue
			}
			if late := time.Since(started) - time.Duration(n)*100*time.Millisecond; late > 20*time.Millisecond {
				t.Errorf("event %d was %v late", n, late)
			}
			n++
		}
		if n != 5 || lines.Err() != nil {
			t.Errorf("%d events, %v", n, lines.Err())
		}
	})
}

// Guards against a request that is sent to its engine after its caller left during the
// stages: it went on with the results of the stages that were done.
func TestCallerThatLeavesDuringTheStagesSendsNothing(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 100 * time.Millisecond}
		f.upstream(stageService, stage)
		f.upstream(stageService, stage)
		engine := &counted{}
		at := f.upstream(engineService, engine).Address
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		if _, _, err := f.send(ctx, caller{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"1 1 1"}, testPieceKey: {"k"}}}); err == nil {
			t.Fatal("the caller did not leave")
		}
		time.Sleep(time.Second)
		if engine.count() != 0 || f.net.Dials(at) != 0 {
			t.Errorf("the engine got %d requests on %d connections", engine.count(), f.net.Dials(at))
		}
		want := []string{"r1/0/0", "r1/1/0", "r1/2/0"}
		freed := stage.freed()
		slices.Sort(freed)
		if !slices.Equal(freed, want) {
			t.Errorf("released %v, want %v", freed, want)
		}
	})
}

// Guards against inputs that are missing, foreign or twice at the engine, and against
// results that are kept after the engine has them.
func TestEngineGetsTheInputsOfTheLastStages(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 100 * time.Millisecond}
		f.upstream(stageService, stage)
		engine := &counted{}
		f.upstream(engineService, engine)
		resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"2 3 1"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		if got := engine.runs[0].Header.Get(testInputs); got != "r1/1/0,r1/1/1,r1/1/2,r1/2/0" {
			t.Errorf("the engine got inputs %q", got)
		}
		for _, call := range stage.made() {
			for _, p := range call {
				if first := p.Stage != 1; first != (p.Key == "k") || first == (len(p.Inputs) == 2) {
					t.Errorf("piece %d of stage %d has key %q and inputs %v", p.Index, p.Stage, p.Key, p.Inputs)
				}
			}
		}
		time.Sleep(time.Second)
		if freed := stage.freed(); len(freed) != 6 {
			t.Errorf("released %v, want all 6 results", freed)
		}
	})
}

// Guards against a request that is held until its deadline although its stages can't be
// done within its time.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 100 * time.Millisecond}
		f.upstream(stageService, stage)
		f.upstream(engineService, &counted{})
		started := time.Now()
		resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: "r1", left: 200 * time.Millisecond, header: http.Header{testPieces: {"1 1 1"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("got %v, %v", resp, err)
		}
		if took := time.Since(started); took > 20*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
		if len(stage.made()) != 0 {
			t.Error("pieces were made for a refused request")
		}
	})
}

// Guards against a caller that is kept waiting beyond the route's timeout, and against a
// promise for a request that is running.
func TestTimeoutIsAnsweredInTime(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		up := &counted{then: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
		f.upstream(plainService, up)
		started := time.Now()
		resp, _, err := f.send(t.Context(), caller{path: "/unsafe/x", id: "r1", left: 5 * time.Second})
		if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
			t.Fatalf("got %v, %v", resp, err)
		}
		if took := time.Since(started); took < 2*time.Second || took > 2100*time.Millisecond {
			t.Errorf("answered after %v, want the route's timeout of 2 s", took)
		}
	})
}

// Guards against upstreams that work on for a caller that has gone.
func TestCallersCloseReachesTheUpstream(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		ended := make(chan time.Time, 1)
		f.upstream(engineService, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
			ended <- time.Now()
		}))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		started := time.Now()
		if _, _, err := f.send(ctx, caller{path: "/stream/x", id: "r1"}); err == nil {
			t.Fatal("the caller did not leave")
		}
		if took := (<-ended).Sub(started); took > 350*time.Millisecond {
			t.Errorf("the upstream's connection ended %v after the request", took)
		}
	})
}

// Guards against refusing requests for good while no configuration is known.
func TestWithoutConfigurationNothingIsRefusedForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.close()
		resp, _, err := f.send(t.Context(), caller{path: "/unsafe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("got %v, %v", resp, err)
		}
		if ok, reason := f.IsReady(); ok || reason != reasonNoConfiguration {
			t.Errorf("ready %v, %q", ok, reason)
		}
	})
}

// Guards against keys and routes that are matched by another rule than the stated one.
func TestRoutesAndKeys(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		cfg := testConfiguration()
		cfg.Version = 2
		inner := cfg.Routes[0]
		inner.Name, inner.PathPrefix, inner.Public = "inner", "/unsafe/inner/", true
		cfg.Routes = append(cfg.Routes, inner)
		f.cat.SetConfiguration(cfg, 2)
		f.upstream(plainService, &counted{})
		cases := []struct {
			path, key string
			status    int
		}{
			{"/unsafe/x", "key", http.StatusOK},
			{"/unsafe/x", "wrong", http.StatusUnauthorized},
			{"/unsafe/x", "", http.StatusUnauthorized},
			{"/unsafe/inner/x", "", http.StatusOK},
			{"/unsafe", "key", http.StatusNotFound},
			{"/nowhere/x", "key", http.StatusNotFound},
		}
		for i, c := range cases {
			r, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://HOST:80"+c.path, nil)
			r.Header.Set(testID, fmt.Sprint("r", i))
			if c.key != "" {
				r.Header.Set(testKey, c.key)
			}
			resp, err := f.client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != c.status {
				t.Errorf("%s with key %q: status %d, want %d", c.path, c.key, resp.StatusCode, c.status)
			}
		}
	})
}

// Guards against work for upstreams that are leaving or out of service.
func TestNothingGoesToUpstreamsThatMayGetNoWork(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		up := &counted{}
		u := f.upstream(plainService, up)
		if resp, _, err := f.send(t.Context(), caller{path: "/unsafe/x", id: "r1"}); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		refused := func(why string) {
			t.Helper()
			started := time.Now()
			resp, _, err := f.send(t.Context(), caller{path: "/unsafe/x", id: why})
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || time.Since(started) > 20*time.Millisecond {
				t.Errorf("%s: got %v, %v", why, resp, err)
			}
		}
		f.cat.SetEvacuation("a", true, 3)
		refused("evacuated")
		f.cat.SetEvacuation("a", false, 4)
		u.Draining = true
		f.cat.SetUpstream(u, 5)
		refused("draining")
		f.cat.RemoveUpstream(u.ID, 6)
		refused("gone")
		if up.count() != 1 {
			t.Errorf("%d requests ran, want 1", up.count())
		}
	})
}

// Guards against bytes after an answer that are taken for the next request's answer.
func TestBytesAfterAnAnswerBelongToNoRequest(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		u := catalog.Upstream{ID: "raw", Service: plainService, Address: "10.2.0.1:80", FailureDomain: "a"}
		f.stops = append(f.stops, f.net.Handle(u.Address, func(c net.Conn) {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(r.Body)
				id := r.Header.Get(testID)
				one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: 4\r\n\r\n%4s", testID, id, testSeal, id)
				if _, err := io.WriteString(c, one+one); err != nil {
					return
				}
			}
		}))
		f.cat.SetUpstream(u, 2)
		for i := range 4 {
			id := fmt.Sprintf("r%03d", i)
			resp, body, err := f.send(t.Context(), caller{path: "/unsafe/x", id: id})
			if err != nil || resp.StatusCode != http.StatusOK || body != id {
				t.Fatalf("request %s got %v, %q, %v", id, resp, body, err)
			}
		}
	})
}

// Guards against a request that may be repeated and that waits for a hung upstream until
// its deadline.
func TestSafeRequestLeavesASilentUpstream(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		hung := &counted{then: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
		f.upstream(plainService, hung)
		up := &counted{}
		f.upstream(plainService, up)
		for i := range 8 {
			started := time.Now()
			resp, _, err := f.send(t.Context(), caller{path: "/safe/x", id: fmt.Sprint("r", i)})
			if err != nil || resp.StatusCode != http.StatusOK || time.Since(started) > 700*time.Millisecond {
				t.Errorf("got %v, %v after %v", resp, err, time.Since(started))
			}
		}
		if hung.count() > 4 {
			t.Errorf("the hung upstream was asked %d times in 8 requests", hung.count())
		}
	})
}

// Guards against a runner's own failure that is replaced because no repeat is allowed.
func TestFailureOfTheUpstreamIsPassedOnWhenNothingIsRepeated(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		up := &counted{then: func(w http.ResponseWriter, r *http.Request) { answer(w, r, http.StatusInternalServerError, "failed") }}
		f.upstream(plainService, up)
		f.upstream(plainService, up)
		for i := range 30 {
			resp, body, err := f.send(t.Context(), caller{path: "/safe/x", id: fmt.Sprint("r", i)})
			if err != nil || resp.StatusCode != http.StatusInternalServerError || body != "failed" || resp.Header.Get(testSeal) == "" {
				t.Fatalf("request %d got %v, %q, %v", i, resp, body, err)
			}
		}
		// The budget allows a tenth of the requests and some more.
		if up.count() > 30+8 {
			t.Errorf("30 requests ran %d times", up.count())
		}
	})
}

// Guards against a request that fails because the maker of its first results crashed.
func TestStagesAreMadeAgainWhenTheirResultsAreGone(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 50 * time.Millisecond, lost: 1}
		f.upstream(stageService, stage)
		engine := &counted{}
		f.upstream(engineService, engine)
		resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"1 2 0"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		if got := engine.runs[0].Header.Get(testInputs); got != "r1/1/0,r1/1/1" {
			t.Errorf("the engine got inputs %q", got)
		}
		calls := stage.made()
		if last := calls[len(calls)-1]; last[0].Inputs[0] != "r1/0/0/again" {
			t.Errorf("the last stage was made from %v", last[0].Inputs)
		}
		time.Sleep(time.Second)
		if freed := stage.freed(); len(freed) != 4 {
			t.Errorf("released %v, want both results of the first stage and two of the second", freed)
		}
	})
}

// Guards against a stream that is planned up to its deadline although its caller leaves
// earlier when no event comes, and against a caller that is told too late to come back.
func TestLateStreamIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		cfg := testConfiguration()
		cfg.Version = 2
		staged := &cfg.Routes[4]
		staged.Timeout, staged.Objective = 15*time.Second, 300*time.Millisecond
		f.cat.SetConfiguration(cfg, 2)
		// One upstream works for 3 s on a call for others.
		stage := &stageUpstream{delay: 3 * time.Second}
		f.upstream(stageService, stage)
		f.upstream(engineService, &counted{})
		end := time.Now().Add(time.Hour)
		busy := pieces.Job{Piece: dialect.Piece{ID: "busy"}, Due: end, GiveUp: end, Deadline: end}
		go func() { _, _ = f.stages.run(t.Context(), stageService, busy, 1) }()
		time.Sleep(10 * time.Millisecond)
		started := time.Now()
		resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: "r1", left: 15 * time.Second, header: http.Header{testPieces: {"1 0 0"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("got %v, %v", resp, err)
		}
		if took := time.Since(started); took > 1300*time.Millisecond {
			t.Errorf("told after %v; callers of this route leave after 2 s", took)
		}
		time.Sleep(5 * time.Second)
	})
}

// rankInSecondStage gives the second stage a service of its own and the route an objective
// that no request meets. It returns the service's name.
func (f *fixture) rankInSecondStage() string {
	cfg := testConfiguration()
	cfg.Version = 2
	second := cfg.Services[2]
	second.Name = "rank"
	cfg.Services = append(cfg.Services, second)
	staged := &cfg.Routes[4]
	staged.Objective, staged.Stages[1].Service = 100*time.Millisecond, second.Name
	f.cat.SetConfiguration(cfg, 2)
	return second.Name
}

// Guards against first stages that are made for a late request whose later stage is full
// of late work already: the results would be thrown away there.
func TestLateRequestIsRefusedWhereLateWorkWaits(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		second := f.rankInSecondStage()
		first := &stageUpstream{delay: 50 * time.Millisecond}
		f.upstream(stageService, first)
		f.upstream(second, &stageUpstream{delay: 100 * time.Millisecond})
		f.upstream(engineService, &counted{})
		send := func(id string) *reply {
			t.Helper()
			resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: id, header: http.Header{testPieces: {"1 1 0"}, testPieceKey: {"k"}}})
			if err != nil {
				t.Fatal(err)
			}
			return resp
		}
		if resp := send("r1"); resp.StatusCode != http.StatusOK {
			t.Fatalf("a late request alone got status %d", resp.StatusCode)
		}
		end := time.Now().Add(time.Hour)
		late := pieces.Job{Piece: dialect.Piece{ID: "late"}, Background: true, GiveUp: end, Deadline: end}
		go func() { _, _ = f.stages.run(t.Context(), second, late, 14) }()
		time.Sleep(10 * time.Millisecond)
		calls := len(first.made())
		if resp := send("r2"); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || len(first.made()) != calls {
			t.Errorf("got %+v after %d calls for the first stage", resp, len(first.made())-calls)
		}
		time.Sleep(2 * time.Second)
	})
}

// Guards against numbers of pieces that no pipeline has: they would take the gateway's
// memory, or end its process.
func TestPieceCountsAreChecked(t *testing.T) {
	play(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{}
		f.upstream(stageService, stage)
		f.upstream(engineService, &counted{})
		for _, counts := range []string{"-1 1 1", "1000000 1 1", "1"} {
			resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: "r-" + strings.Fields(counts)[0], header: http.Header{testPieces: {counts}, testPieceKey: {"k"}}})
			if err != nil || resp.StatusCode != http.StatusBadRequest {
				t.Errorf("pieces %q: %v, %v; want status 400", counts, resp, err)
			}
		}
		if n := len(stage.made()); n > 0 {
			t.Errorf("%d calls were made", n)
		}
	})
}

// Guards against late requests that are refused for a little late work although many
// upstreams share it, and against advice to come back that callers don't honour.
func TestLateRequestGoesOnWhereManyUpstreamsShareTheLateWork(t *testing.T) {
	for _, c := range []struct {
		late, status int
	}{{late: 12, status: http.StatusOK}, {late: 60, status: http.StatusServiceUnavailable}} {
		play(t, func(t *testing.T, f *fixture) {
			second := f.rankInSecondStage()
			f.upstream(stageService, &stageUpstream{delay: 50 * time.Millisecond})
			for range 4 {
				f.upstream(second, &stageUpstream{delay: 100 * time.Millisecond})
			}
			f.upstream(engineService, &counted{})
			end := time.Now().Add(time.Hour)
			busy := pieces.Job{Piece: dialect.Piece{ID: "busy"}, Due: end, GiveUp: end, Deadline: end}
			go func() { _, _ = f.stages.run(t.Context(), second, busy, 16) }()
			time.Sleep(10 * time.Millisecond)
			late := pieces.Job{Piece: dialect.Piece{ID: "late"}, Background: true, GiveUp: end, Deadline: end}
			go func() { _, _ = f.stages.run(t.Context(), second, late, c.late) }()
			time.Sleep(10 * time.Millisecond)
			resp, _, err := f.send(t.Context(), caller{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"1 1 0"}, testPieceKey: {"k"}}})
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("behind %d late pieces at 4 upstreams of 4 each: %v, %v; want status %d", c.late, resp, err, c.status)
			}
			if c.status == http.StatusServiceUnavailable {
				if after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); after <= 0.3 || after > 2.0/3 {
					t.Errorf("Retry-After %v; late work takes longer than 0.3 s, and a third of the caller's 2 s is honoured", after)
				}
			}
			time.Sleep(5 * time.Second)
		})
	}
}
