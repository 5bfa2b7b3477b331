package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the deployment of the case: those of the stage services of lpm-wipe, with less room
// at the last one, and of its streaming routes.
const (
	hangSlowFactor = 5.0
	hangSlowFor    = 6500 * time.Millisecond
	hangContact    = 3 * time.Second
	hangTimeout    = 5 * time.Second
	// hangFirstEvent is how long an engine takes to its first event.
	hangFirstEvent = 700 * time.Millisecond
)

func hangConfig(version int, routes ...string) map[string]any {
	stage := func(service string, after []int, bytes int) map[string]any {
		return map[string]any{"service": service, "after": after, "bytes": bytes}
	}
	var list []map[string]any
	for i, prefix := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": "pule25.example", "pathPrefix": prefix, "kind": "streaming",
			"timeoutMs": hangTimeout.Milliseconds(), "targetLatencyMs": 1600, "targetGapMs": 250, "priority": 0, "service": "engines",
			"attempts": 1, "public": false, "sticky": true, "resumable": false,
			"stages": []map[string]any{stage("encoders", []int{}, 8000), stage("retrievers", []int{0}, 8000), stage("rerankers", []int{1}, 60000)},
		})
	}
	pieces := func(batch int, itemMs, headroomMb float64) map[string]any {
		return map[string]any{"slots": 1, "queue": 2, "batch": batch, "callMs": 200.0, "itemMs": itemMs, "headroomMb": headroomMb, "handleS": 4.0, "linkMbps": 10000}
	}
	service := func(name, key string, v map[string]any) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 280, "coldStartS": 0.0, "coldPerS": 0.0, key: v}
	}
	return map[string]any{
		"version": version, "routes": list, "limits": limits, "tenants": []any{},
		"services": []map[string]any{
			service("engines", "engine", map[string]any{"slots": 64, "kvCapacityTokens": 808774}),
			service("encoders", "pieces", pieces(22, 7.8, 50)),
			service("retrievers", "pieces", pieces(22, 7.8, 50)),
			service("rerankers", "pieces", pieces(60, 2.9, 1.2)),
		},
	}
}

// streamAnswer answers with a stream of a few events.
func streamAnswer(r *runner, w http.ResponseWriter, req *http.Request, _ []byte) {
	id := req.Header.Get("X-Bergamotrudder-Attempt-Id")
	r.work(hangFirstEvent)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Bergamotrudder-Response-Seal", r.seal(id))
	for i := 1; i <= 4; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: tokens of %s\n\n", i, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
	r.log.printf("runner %s has answered request %s", r.id, id)
}

// hang runs the case of a queue of pieces whose gateway hangs.
func hang(w *world) (broken, error) {
	const perService = 4
	// slow are the runners that turn slow: one of each service.
	slow := make(map[string]*runner)
	var engines []*runner
	for _, s := range []struct {
		service string
		piece   time.Duration
	}{{"encoders", 7800 * time.Microsecond}, {"retrievers", 7800 * time.Microsecond}, {"rerankers", 2900 * time.Microsecond}, {"engines", 0}} {
		for i := 1; i <= perService; i++ {
			slots := 1
			if s.service == "engines" {
				slots = 64
			}
			r, err := w.addRunner(fmt.Sprintf("i-%s-%d", s.service, i), s.service, slots)
			if err != nil {
				return "", err
			}
			r.callTime, r.pieceTime, r.serve = 200*time.Millisecond, s.piece, streamAnswer
			if i == 1 {
				slow[s.service] = r
			}
			if s.service == "engines" {
				engines = append(engines, r)
			}
		}
	}
	w.store.put("config", "main", hangConfig(1, "/wipe/"))
	g, err := w.addGateway(nil)
	if err != nil {
		return "", err
	}
	if !g.waitReady(10 * time.Second) {
		return "", fmt.Errorf("%s did not become ready", g.name)
	}
	time.Sleep(time.Second)
	ask := func(path, pieces string, limit time.Duration) answer {
		return send(w.log, g, attempt{host: "pule25.example", path: path, body: []byte("{}"), limit: limit, listen: 3 * time.Second, header: map[string]string{
			"X-Bergamotrudder-Model": "m", "X-Bergamotrudder-Token-Counts": "1460,80", "X-Bergamotrudder-Pieces": pieces, "X-Bergamotrudder-Piece-Key": "7c1e07a291bd",
		}})
	}
	if a := ask("/wipe/a", "1,1,4", hangTimeout); a.err != nil || a.status != http.StatusOK {
		return "", fmt.Errorf("a request before the disruption got: %s", a)
	}
	var wg sync.WaitGroup
	var earlier, late answer
	wg.Go(func() { earlier = ask("/wipe/b", "22,22,20", hangTimeout) })
	time.Sleep(1100 * time.Millisecond)
	for _, r := range engines {
		if r.isRunning() {
			slow["engines"] = r
		}
	}
	if w.trouble {
		w.log.printf("one of %d runners of each service turns slow, %.0f times, for %v", perService, hangSlowFactor, hangSlowFor)
		for _, r := range slow {
			r.setSlowdown(hangSlowFactor)
		}
	}
	began := time.Now()
	wg.Go(func() { late = ask("/wipe/c", "22,22,4", 2900*time.Millisecond) })
	time.Sleep(time.Until(began.Add(hangSlowFor)))
	for _, r := range slow {
		r.setSlowdown(1)
	}
	w.log.printf("all runners are as fast as before")
	wg.Wait()
	time.Sleep(time.Until(began.Add(hangSlowFor + hangContact + time.Second)))
	version := w.store.put("config", "main", hangConfig(2, "/wipe/", "/added/"))
	w.log.printf("the store has acknowledged configuration 2 with the route /added/, at revision %d", version)
	time.Sleep(3 * time.Second)
	const calm = 8
	answers := make([]answer, calm)
	for i := range answers {
		wg.Go(func() { answers[i] = ask("/wipe/d", "1,1,4", hangTimeout) })
	}
	var added answer
	wg.Go(func() { added = ask("/added/e", "1,1,4", hangTimeout) })
	wg.Wait()
	unanswered, served := 0, 0
	for _, a := range answers {
		if a.isUnanswered() {
			unanswered++
		}
		if a.err == nil && a.status == http.StatusOK && a.sealed {
			served++
		}
	}
	w.log.printf("readiness of %s: %v; the earlier request: %s; the late request: %s", g.name, g.isReady(), earlier, late)
	w.log.printf("of %d calm requests %d were served and %d had no answer 3 s after the timeout of their route; the one on the added route: %s", calm, served, unanswered, added)
	if unanswered > calm/2 {
		return broken(fmt.Sprintf("%d of %d calm requests have no answer 0.5 s after their route's timeout", unanswered, calm)), nil
	}
	if added.err == nil && added.status == http.StatusNotFound {
		return "a route is refused with 404 3 s after the ack of its configuration", nil
	}
	if served < calm {
		return "", fmt.Errorf("only %d of %d calm requests were served", served, calm)
	}
	return "", nil
}
