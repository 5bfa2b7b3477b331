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

// withGateway runs a test with a configured gateway and a fake clock.
func withGateway(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfiguredFixture(t)
		defer f.close()
		test(t, f)
	})
}

// Guards against a response that differs from the upstream's in any byte, and against a
// request that arrives changed or with the caller's key.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		var got *http.Request
		var body string
		f.upstream(plainService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			got, body = r, string(b)
			w.Header().Set("X-Own", "value")
			respond(w, r, http.StatusCreated, "the answer")
		}))
		resp, answered, err := f.send(t.Context(), callerRequest{path: "/unsafe/a%2Fb?q=1;2", id: "r1", body: "the body", remaining: time.Second})
		if err != nil || resp.StatusCode != http.StatusCreated || answered != "the answer" || resp.Header.Get("X-Own") != "value" || resp.Header.Get(testSignature) != "seal" {
			t.Fatalf("got %v, %q, %v", resp, answered, err)
		}
		if got.RequestURI != "/unsafe/a%2Fb?q=1;2" || got.Host != "host" || body != "the body" || got.Header.Get(testKey) != "" || got.Header.Get(testOrganisation) != "okafor" {
			t.Errorf("the upstream got %s %s with %q and %v", got.Host, got.RequestURI, body, got.Header)
		}
	})
}

// Guards against a request that is not idempotent and runs twice, because its upstream
// closes the connection after it has read the request.
func TestUnsafeRequestRunsOnceWhenItsResponseIsLost(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &countingUpstream{handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}
		f.upstream(plainService, up)
		f.upstream(plainService, up)
		resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("got %v, %v; want a status that leaves open whether it ran", resp, err)
		}
		if up.count() != 1 {
			t.Errorf("the request ran %d times", up.count())
		}
	})
}

// Guards against an idempotent request that fails without a retry.
func TestSafeRequestIsRetriedWhenItsResponseIsLost(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		lost := false
		up := &countingUpstream{}
		up.handler = func(w http.ResponseWriter, r *http.Request) {
			if !lost {
				lost = true
				panic(http.ErrAbortHandler)
			}
			respond(w, r, http.StatusOK, "done")
		}
		f.upstream(plainService, up)
		f.upstream(plainService, up)
		resp, body, err := f.send(t.Context(), callerRequest{path: "/safe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusOK || body != "done" || up.count() != 2 {
			t.Fatalf("got %v, %q, %v after %d runs", resp, body, err, up.count())
		}
	})
}

// Guards against a status which means that the request has not run although it may have, and
// against forwarding such a status of an upstream that doesn't state it.
func TestNotExecutedStatusesAreTrue(t *testing.T) {
	cases := []struct {
		name   string
		up     func(w http.ResponseWriter, r *http.Request)
		status int
	}{
		{"upstream states not executed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable},
		{"503 without that statement", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusServiceUnavailable, "") }, http.StatusBadGateway},
		{"success without a signature", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testID, r.Header.Get(testID))
			w.WriteHeader(http.StatusOK)
		}, http.StatusBadGateway},
		{"response to another request", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(testID, "another")
			respond(w, r, http.StatusOK, "of another")
		}, http.StatusGatewayTimeout},
		{"failure reported by the upstream", func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusInternalServerError, "failed") }, http.StatusInternalServerError},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withGateway(t, func(t *testing.T, f *fixture) {
				up := &countingUpstream{handler: c.up}
				f.upstream(plainService, up)
				resp, body, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1", remaining: time.Second})
				if err != nil || resp.StatusCode != c.status || up.count() != 1 {
					t.Fatalf("got %v, %q, %v after %d runs; want status %d after one", resp, body, err, up.count(), c.status)
				}
				if strings.Contains(body, "of another") {
					t.Error("the caller got the response to another request")
				}
			})
		})
	}
}

// Guards against a request that waits until its deadline for a host that is powered off and
// doesn't respond to connection attempts.
func TestUnreachableUpstreamIsReplacedAtOnce(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.net.BlackHole(f.upstream(plainService, nil).Address)
		up := &countingUpstream{}
		f.upstream(plainService, up)
		for i := range 6 {
			started := time.Now()
			resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: fmt.Sprint("r", i), remaining: time.Second})
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

// Guards against an interrupted stream that looks complete to its caller.
func TestInterruptedStreamIsVisiblyIncomplete(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(engineService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			respond(w, r, http.StatusOK, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}))
		_, body, err := f.send(t.Context(), callerRequest{path: "/stream/x", id: "r1"})
		if err == nil {
			t.Fatalf("the interrupted response %q looks complete", body)
		}
		if !strings.HasPrefix(body, "id: 1") {
			t.Errorf("the first events were not forwarded: %q", body)
		}
	})
}

// Guards against events that are buffered.
func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		f.upstream(engineService, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			respond(w, r, http.StatusOK, "")
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

// Guards against a request that is sent to its engine although its caller disconnected during
// the stages: it continued with the results of the stages that had ended.
func TestRequestIsNotSentAfterCallerDisconnectsDuringStages(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 100 * time.Millisecond}
		f.upstream(stageService, stage)
		f.upstream(stageService, stage)
		engine := &countingUpstream{}
		address := f.upstream(engineService, engine).Address
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		if _, _, err := f.send(ctx, callerRequest{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"1 1 1"}, testPieceKey: {"k"}}}); err == nil {
			t.Fatal("the request ended before the caller disconnected")
		}
		time.Sleep(time.Second)
		if engine.count() != 0 || f.net.Dials(address) != 0 {
			t.Errorf("the engine got %d requests on %d connections", engine.count(), f.net.Dials(address))
		}
		want := []string{"r1/0/0", "r1/1/0", "r1/2/0"}
		releasedHandles := stage.releasedHandles()
		slices.Sort(releasedHandles)
		if !slices.Equal(releasedHandles, want) {
			t.Errorf("released %v, want %v", releasedHandles, want)
		}
	})
}

// Guards against inputs at the engine that are missing, duplicated or of another request, and
// against results that are kept after the engine has them.
func TestEngineGetsInputsOfFinalStages(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 100 * time.Millisecond}
		f.upstream(stageService, stage)
		engine := &countingUpstream{}
		f.upstream(engineService, engine)
		resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"2 3 1"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		if got := engine.requests[0].Header.Get(testInputs); got != "r1/1/0,r1/1/1,r1/1/2,r1/2/0" {
			t.Errorf("the engine got inputs %q", got)
		}
		for _, call := range stage.batches() {
			for _, p := range call {
				if first := p.Stage != 1; first != (p.Key == "k") || first == (len(p.Inputs) == 2) {
					t.Errorf("piece %d of stage %d has key %q and inputs %v", p.Index, p.Stage, p.Key, p.Inputs)
				}
			}
		}
		time.Sleep(time.Second)
		if releasedHandles := stage.releasedHandles(); len(releasedHandles) != 6 {
			t.Errorf("released %v, want all 6 results", releasedHandles)
		}
	})
}

// Guards against a request that waits until its deadline although its stages can't end before
// it.
func TestInfeasibleRequestIsRefusedAtOnce(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 100 * time.Millisecond}
		f.upstream(stageService, stage)
		f.upstream(engineService, &countingUpstream{})
		started := time.Now()
		resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", remaining: 200 * time.Millisecond, header: http.Header{testPieces: {"1 1 1"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("got %v, %v", resp, err)
		}
		if took := time.Since(started); took > 20*time.Millisecond {
			t.Errorf("the refusal took %v", took)
		}
		if len(stage.batches()) != 0 {
			t.Error("pieces were run for a refused request")
		}
	})
}

// Guards against a caller that waits beyond the route's timeout, and against a status which
// means that a running request has not run.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &countingUpstream{handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
		f.upstream(plainService, up)
		started := time.Now()
		resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1", remaining: 5 * time.Second})
		if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
			t.Fatalf("got %v, %v", resp, err)
		}
		if took := time.Since(started); took < 2*time.Second || took > 2100*time.Millisecond {
			t.Errorf("responded after %v, want the route's timeout of 2 s", took)
		}
	})
}

// Guards against upstreams that keep working for a caller that disconnected.
func TestCallerDisconnectClosesUpstreamConnection(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		ended := make(chan time.Time, 1)
		f.upstream(engineService, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			<-r.Context().Done()
			ended <- time.Now()
		}))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		started := time.Now()
		if _, _, err := f.send(ctx, callerRequest{path: "/stream/x", id: "r1"}); err == nil {
			t.Fatal("the request ended before the caller disconnected")
		}
		if took := (<-ended).Sub(started); took > 350*time.Millisecond {
			t.Errorf("the upstream's connection ended %v after the request", took)
		}
	})
}

// Guards against permanent errors while the gateway has no configuration.
func TestRequestsWithoutConfigurationMayBeRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		defer f.close()
		resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("got %v, %v", resp, err)
		}
		if ok, reason := f.IsReady(); ok || reason != reasonNoConfiguration {
			t.Errorf("ready %v, %q", ok, reason)
		}
	})
}

// Guards against wrong rules for matching routes and keys.
func TestRoutesAndKeys(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		cfg := testConfiguration()
		cfg.Version = 2
		inner := cfg.Routes[0]
		inner.Name, inner.PathPrefix, inner.Public = "inner", "/unsafe/inner/", true
		cfg.Routes = append(cfg.Routes, inner)
		f.cat.SetConfiguration(cfg, at(2))
		f.upstream(plainService, &countingUpstream{})
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

// Guards against requests to upstreams that are draining, removed or in an evacuated
// failure domain.
func TestDrainingAndEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &countingUpstream{}
		u := f.upstream(plainService, up)
		if resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"}); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		refused := func(why string) {
			t.Helper()
			started := time.Now()
			resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: why})
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || time.Since(started) > 20*time.Millisecond {
				t.Errorf("%s: got %v, %v", why, resp, err)
			}
		}
		f.cat.SetEvacuation("a", true, at(3))
		refused("evacuated")
		f.cat.SetEvacuation("a", false, at(4))
		u.Draining = true
		f.cat.SetUpstream(u, at(5))
		refused("draining")
		f.cat.RemoveUpstream(u.ID, at(6))
		refused("removed")
		if up.count() != 1 {
			t.Errorf("%d requests ran, want 1", up.count())
		}
	})
}

// Guards against excess bytes after a response that are parsed as the response to the next
// request.
func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		u := catalog.Upstream{ID: "raw", Service: plainService, Address: "10.2.0.1:80", FailureDomain: "a"}
		f.cleanups = append(f.cleanups, f.net.Handle(u.Address, func(c net.Conn) {
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.ReadAll(r.Body)
				id := r.Header.Get(testID)
				response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: 4\r\n\r\n%4s", testID, id, testSignature, id)
				if _, err := io.WriteString(c, response+response); err != nil {
					return
				}
			}
		}))
		f.cat.SetUpstream(u, at(2))
		for i := range 4 {
			id := fmt.Sprintf("r%03d", i)
			resp, body, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: id})
			if err != nil || resp.StatusCode != http.StatusOK || body != id {
				t.Fatalf("request %s got %v, %q, %v", id, resp, body, err)
			}
		}
	})
}

// Guards against an idempotent request that waits for an unresponsive upstream until its
// deadline.
func TestSafeRequestIsRetriedWhenUpstreamDoesNotRespond(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		unresponsive := &countingUpstream{handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
		f.upstream(plainService, unresponsive)
		up := &countingUpstream{}
		f.upstream(plainService, up)
		for i := range 8 {
			started := time.Now()
			resp, _, err := f.send(t.Context(), callerRequest{path: "/safe/x", id: fmt.Sprint("r", i)})
			if err != nil || resp.StatusCode != http.StatusOK || time.Since(started) > 700*time.Millisecond {
				t.Errorf("got %v, %v after %v", resp, err, time.Since(started))
			}
		}
		if unresponsive.count() > 4 {
			t.Errorf("the unresponsive upstream got %d of 8 requests", unresponsive.count())
		}
	})
}

// Guards against a prompt that is read once more by another engine although the first one is only
// slow: under load, the second read delays all others and comes too late itself.
func TestSlowEngineMayRespondWithinTheObjective(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		slow := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(800 * time.Millisecond)
			respond(w, r, http.StatusOK, "id: 1\n\n")
		}}
		f.upstream(engineService, slow)
		f.upstream(engineService, slow)
		resp, _, err := f.send(t.Context(), callerRequest{path: "/resume/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("got %v, %v", resp, err)
		}
		if slow.count() != 1 {
			t.Errorf("the request was sent %d times", slow.count())
		}
	})
}

// Guards against a failure of the upstream that is replaced by another error when no retry is
// allowed.
func TestUpstreamFailureIsForwardedWithoutRetry(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		up := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusInternalServerError, "failed") }}
		f.upstream(plainService, up)
		f.upstream(plainService, up)
		for i := range 30 {
			resp, body, err := f.send(t.Context(), callerRequest{path: "/safe/x", id: fmt.Sprint("r", i)})
			if err != nil || resp.StatusCode != http.StatusInternalServerError || body != "failed" || resp.Header.Get(testSignature) == "" {
				t.Fatalf("request %d got %v, %q, %v", i, resp, body, err)
			}
		}
		// The retry budget is a tenth of the requests plus a small constant.
		if up.count() > 30+8 {
			t.Errorf("30 requests ran %d times", up.count())
		}
	})
}

// Guards against a request that fails because the upstream that held its first results
// crashed.
func TestStagesAreRerunWhenTheirResultsAreLost(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 50 * time.Millisecond, missingInputs: 1}
		f.upstream(stageService, stage)
		engine := &countingUpstream{}
		f.upstream(engineService, engine)
		resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"1 2 0"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		if got := engine.requests[0].Header.Get(testInputs); got != "r1/1/0,r1/1/1" {
			t.Errorf("the engine got inputs %q", got)
		}
		calls := stage.batches()
		if last := calls[len(calls)-1]; last[0].Inputs[0] != "r1/0/0/again" {
			t.Errorf("the last stage ran with inputs %v", last[0].Inputs)
		}
		time.Sleep(time.Second)
		if releasedHandles := stage.releasedHandles(); len(releasedHandles) != 4 {
			t.Errorf("released %v, want both results of the first stage and two of the second", releasedHandles)
		}
	})
}

// Guards against a stream that is planned up to its deadline although its caller abandons it
// earlier without a first event, and against a refusal too late for the caller to retry.
func TestBackgroundStreamIsRefusedBeforeFirstEventTimeout(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		cfg := testConfiguration()
		cfg.Version = 2
		staged := &cfg.Routes[4]
		staged.Timeout, staged.Objective = 15*time.Second, 300*time.Millisecond
		f.cat.SetConfiguration(cfg, at(2))
		// The only upstream is busy for 3 s with a call of another request.
		stage := &stageUpstream{delay: 3 * time.Second}
		f.upstream(stageService, stage)
		f.upstream(engineService, &countingUpstream{})
		end := time.Now().Add(time.Hour)
		busy := pieces.Job{Piece: dialect.Piece{ID: "busy"}, Due: end, GiveUp: end, Deadline: end}
		go func() { _, _ = f.stages.run(t.Context(), stageService, busy, 1) }()
		time.Sleep(10 * time.Millisecond)
		started := time.Now()
		resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", remaining: 15 * time.Second, header: http.Header{testPieces: {"1 0 0"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("got %v, %v", resp, err)
		}
		if took := time.Since(started); took > 1300*time.Millisecond {
			t.Errorf("refused after %v; the first-event timeout of this route is 2 s", took)
		}
		time.Sleep(5 * time.Second)
	})
}

// addSecondStageService gives the second stage a separate service and the route an objective
// that no request meets. It returns the service's name.
func (f *fixture) addSecondStageService() string {
	cfg := testConfiguration()
	cfg.Version = 2
	second := cfg.Services[2]
	second.Name = "rank"
	cfg.Services = append(cfg.Services, second)
	staged := &cfg.Routes[4]
	staged.Objective, staged.Stages[1].Service = 100*time.Millisecond, second.Name
	f.cat.SetConfiguration(cfg, at(2))
	return second.Name
}

// Guards against running the first stage of a background request whose later stage already
// has a full backlog of background work: the results would be discarded there.
func TestBackgroundRequestIsRefusedBehindBackgroundWork(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		second := f.addSecondStageService()
		first := &stageUpstream{delay: 50 * time.Millisecond}
		f.upstream(stageService, first)
		f.upstream(second, &stageUpstream{delay: 100 * time.Millisecond})
		f.upstream(engineService, &countingUpstream{})
		send := func(id string) *responseHead {
			t.Helper()
			resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: id, header: http.Header{testPieces: {"1 1 0"}, testPieceKey: {"k"}}})
			if err != nil {
				t.Fatal(err)
			}
			return resp
		}
		if resp := send("r1"); resp.StatusCode != http.StatusOK {
			t.Fatalf("a background request alone got status %d", resp.StatusCode)
		}
		end := time.Now().Add(time.Hour)
		background := pieces.Job{Piece: dialect.Piece{ID: "background"}, Background: true, GiveUp: end, Deadline: end}
		go func() { _, _ = f.stages.run(t.Context(), second, background, 14) }()
		time.Sleep(10 * time.Millisecond)
		calls := len(first.batches())
		if resp := send("r2"); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || len(first.batches()) != calls {
			t.Errorf("got %+v after %d calls for the first stage", resp, len(first.batches())-calls)
		}
		time.Sleep(2 * time.Second)
	})
}

// Guards against invalid numbers of pieces, which would exhaust the gateway's memory or crash
// it.
func TestPieceCountsAreChecked(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{}
		f.upstream(stageService, stage)
		f.upstream(engineService, &countingUpstream{})
		for _, counts := range []string{"-1 1 1", "1000000 1 1", "1"} {
			resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r-" + strings.Fields(counts)[0], header: http.Header{testPieces: {counts}, testPieceKey: {"k"}}})
			if err != nil || resp.StatusCode != http.StatusBadRequest {
				t.Errorf("pieces %q: %v, %v; want status 400", counts, resp, err)
			}
		}
		if n := len(stage.batches()); n > 0 {
			t.Errorf("%d calls were made", n)
		}
	})
}

// Guards against refusing background requests because of little background work that many
// upstreams share, and against a Retry-After value that callers don't honour.
func TestBackgroundRequestIsAdmittedWhenManyUpstreamsShareBackgroundWork(t *testing.T) {
	for _, c := range []struct {
		background, status int
	}{{background: 12, status: http.StatusOK}, {background: 60, status: http.StatusServiceUnavailable}} {
		withGateway(t, func(t *testing.T, f *fixture) {
			second := f.addSecondStageService()
			f.upstream(stageService, &stageUpstream{delay: 50 * time.Millisecond})
			for range 4 {
				f.upstream(second, &stageUpstream{delay: 100 * time.Millisecond})
			}
			f.upstream(engineService, &countingUpstream{})
			end := time.Now().Add(time.Hour)
			busy := pieces.Job{Piece: dialect.Piece{ID: "busy"}, Due: end, GiveUp: end, Deadline: end}
			go func() { _, _ = f.stages.run(t.Context(), second, busy, 16) }()
			time.Sleep(10 * time.Millisecond)
			background := pieces.Job{Piece: dialect.Piece{ID: "background"}, Background: true, GiveUp: end, Deadline: end}
			go func() { _, _ = f.stages.run(t.Context(), second, background, c.background) }()
			time.Sleep(10 * time.Millisecond)
			resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"1 1 0"}, testPieceKey: {"k"}}})
			if err != nil || resp.StatusCode != c.status {
				t.Fatalf("behind %d background pieces at 4 upstreams of 4 each: %v, %v; want status %d", c.background, resp, err, c.status)
			}
			if c.status == http.StatusServiceUnavailable {
				if after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); after <= 0.3 || after > 2.0/3 {
					t.Errorf("Retry-After %v; background work takes longer than 0.3 s, and a third of the caller's 2 s is honoured", after)
				}
			}
			time.Sleep(5 * time.Second)
		})
	}
}

// Guards against stages that are begun again although they can't end in time: their work is
// thrown away, and the caller waits for nothing.
func TestStagesAreNotRerunWithoutTime(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		withGateway(t, func(t *testing.T, f *fixture) {
			stage := &stageUpstream{delay: 100 * time.Millisecond, missingInputs: 1}
			f.upstream(stageService, stage)
			f.upstream(engineService, &countingUpstream{})
			cfg := testConfiguration()
			cfg.Version = 2
			for i := range cfg.Routes {
				cfg.Routes[i].Timeout, cfg.Routes[i].Objective = 20*time.Second, 5*time.Second
			}
			f.cat.SetConfiguration(cfg, at(2))
			remaining := 10 * time.Second
			if leaving {
				f.Leave(time.Now().Add(lastSendMargin + 400*time.Millisecond))
			} else {
				remaining = 400 * time.Millisecond
			}
			resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", remaining: remaining, header: http.Header{testPieces: {"1 1 0"}, testPieceKey: {"k"}}})
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("leaving %t: got %+v, %v, want a refusal", leaving, resp, err)
			}
			if n := len(stage.batches()); n != 2 {
				t.Errorf("leaving %t: %d calls, want one for each stage", leaving, n)
			}
		})
	}
}
