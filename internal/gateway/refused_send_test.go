package gateway

import (
	"net/http"
	"testing"
	"time"
)

// refuseOnce returns an upstream that refuses the first request that it gets, with the status,
// and answers the others. All its instances share the count.
func refuseOnce(status int) func() *countingUpstream {
	refused := false
	return func() *countingUpstream {
		return &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			if refused {
				respond(w, r, http.StatusOK, "done")
				return
			}
			refused = true
			w.Header().Set(testID, r.Header.Get(testID))
			w.Header().Set(testNotExecuted, "1")
			w.WriteHeader(status)
		}}
	}
}

// Guards against a request that is refused to its caller although an upstream said that nothing
// ran there, another one is free and time is left: such a send is none of the route's attempts.
func TestRequestGoesOnAfterARefusalThatProvesNothingRan(t *testing.T) {
	for name, status := range map[string]int{"full": http.StatusServiceUnavailable, "another upstream at the address": http.StatusMisdirectedRequest} {
		for _, path := range []string{"/unsafe/x", "/stream/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				withGateway(t, func(t *testing.T, f *fixture) {
					cfg := testConfiguration()
					for i := range cfg.Routes {
						cfg.Routes[i].Attempts = 1
					}
					f.cat.SetConfiguration(cfg, at(2))
					service := plainService
					if path == "/stream/x" {
						service = engineService
					}
					upstream := refuseOnce(status)
					first, second := upstream(), upstream()
					f.upstream(service, first)
					f.upstream(service, second)
					resp, body, err := f.send(t.Context(), callerRequest{path: path, id: "r1", remaining: 2 * time.Second})
					if err != nil || resp.StatusCode != http.StatusOK || body != "done" {
						t.Errorf("got %v, %q, %v; want the answer of the other upstream", resp, body, err)
					}
					if first.count() != 1 || second.count() != 1 {
						t.Errorf("the upstreams got %d and %d requests", first.count(), second.count())
					}
				})
			})
		}
	}
}

// Guards against a request that is passed from one full upstream to the next without end.
func TestRefusedRequestIsSentToFewUpstreams(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		full := &countingUpstream{handler: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testID, r.Header.Get(testID))
			w.Header().Set(testNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}}
		for range 20 {
			f.upstream(plainService, full)
		}
		resp, _, err := f.send(t.Context(), callerRequest{path: "/unsafe/x", id: "r1"})
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got %v, %v; want a refusal", resp, err)
		}
		if n := full.count(); n < 2 || n > 1+maxResendsAfterRefusal {
			t.Errorf("the request was sent to %d upstreams", n)
		}
	})
}

// Guards against a request that is sent with the same inputs to one engine after the other
// although an input no longer exists: its stages run again while there is time.
func TestStagesRunAgainWhenTheEngineMissesAnInput(t *testing.T) {
	withGateway(t, func(t *testing.T, f *fixture) {
		stage := &stageUpstream{delay: 50 * time.Millisecond}
		f.upstream(stageService, stage)
		upstream := refuseOnce(http.StatusConflict)
		engines := []*countingUpstream{upstream(), upstream()}
		for _, e := range engines {
			f.upstream(engineService, e)
		}
		resp, _, err := f.send(t.Context(), callerRequest{path: "/staged/x", id: "r1", header: http.Header{testPieces: {"1 1 0"}, testPieceKey: {"k"}}})
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		if n := engines[0].count() + engines[1].count(); n != 2 {
			t.Errorf("the engines got %d requests; want one with the lost inputs and one with new ones", n)
		}
		if n := len(stage.batches()); n < 4 {
			t.Errorf("the stages ran in %d calls; want those of both runs", n)
		}
	})
}
