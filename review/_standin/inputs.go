package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of lost inputs.
const (
	inputsTimeout = 12 * time.Second
	// inputsRetrievers is the number of retrievers, of which one crashes.
	inputsRetrievers = 4
	// inputsFillers is how often a request comes whose results fill the room of a first-stage
	// runner, every inputsFillerGap.
	inputsFillers   = 18
	inputsFillerGap = 150 * time.Millisecond
	inputsFilled    = "8"
	// inputsCallTime is the time of a call of most services; the summarizers and the archives
	// take longer.
	inputsCallTime      = 200 * time.Millisecond
	inputsSummarizeTime = 900 * time.Millisecond
	inputsArchiveTime   = 3 * time.Second
)

// inputsAfter are the stages of the route "report": encoders, retrievers, summarizers, rerankers,
// archives and mergers.
var inputsAfter = [][]int{{}, {0}, {}, {1, 2}, {}, {0, 4}}

func inputsConfig() map[string]any {
	stage := func(service string, after []int, bytes int) map[string]any {
		return map[string]any{"service": service, "after": after, "bytes": bytes}
	}
	route := func(name string, objective int, stages ...map[string]any) map[string]any {
		return map[string]any{
			"name": name, "host": "pule25.example", "pathPrefix": "/" + name + "/", "kind": "streaming", "timeoutMs": inputsTimeout.Milliseconds(),
			"targetLatencyMs": objective, "targetGapMs": 250, "priority": 1, "service": "engines", "attempts": 1, "public": false, "sticky": true,
			"resumable": false, "stages": stages,
		}
	}
	service := func(name string, call time.Duration, headroomMb float64) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": 280, "coldStartS": 0.0, "coldPerS": 0.0,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 22, "callMs": call.Milliseconds(), "itemMs": 7.8, "headroomMb": headroomMb, "handleS": 4.0, "linkMbps": 10000},
		}
	}
	return map[string]any{
		"version": 1, "limits": limits, "tenants": []any{},
		"routes": []map[string]any{
			route("report", 5000, stage("encoders", inputsAfter[0], 1500000), stage("retrievers", inputsAfter[1], 8000), stage("summarizers", inputsAfter[2], 8000),
				stage("rerankers", inputsAfter[3], 6000), stage("archives", inputsAfter[4], 8000), stage("mergers", inputsAfter[5], 6000)),
			route("guide", 8000, stage("encoders", []int{}, 1500000)),
		},
		"services": []map[string]any{
			{"name": "engines", "healthPath": "/health", "maxConnections": 280, "coldStartS": 0.0, "coldPerS": 0.0, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 808774}},
			service("encoders", inputsCallTime, 12), service("retrievers", inputsCallTime, 50), service("summarizers", inputsSummarizeTime, 50),
			service("rerankers", inputsCallTime, 50), service("archives", inputsArchiveTime, 50), service("mergers", inputsCallTime, 50),
		},
	}
}

// inputs runs the case of a piece that is given only some of its inputs.
func inputs(w *world) (broken, error) {
	made := newResults(w.log, inputsAfter)
	var retrievers []*runner
	for _, s := range []struct {
		service string
		call    time.Duration
	}{
		{"engines", 0}, {"encoders", inputsCallTime}, {"retrievers", inputsCallTime}, {"summarizers", inputsSummarizeTime},
		{"rerankers", inputsCallTime}, {"archives", inputsArchiveTime}, {"mergers", inputsCallTime},
	} {
		count := 2
		if s.service == "retrievers" {
			count = inputsRetrievers
		}
		for i := 1; i <= count; i++ {
			slots := 1
			if s.service == "engines" {
				slots = 64
			}
			r, err := w.addRunner(fmt.Sprintf("i-%s-%d", s.service, i), s.service, slots)
			if err != nil {
				return "", err
			}
			r.callTime, r.pieceTime, r.serve, r.results = s.call, 7800*time.Microsecond, streamAnswer, made
			if s.service == "retrievers" {
				retrievers = append(retrievers, r)
			}
		}
	}
	w.store.put("config", "main", inputsConfig())
	g, err := w.addGateway(nil)
	if err != nil {
		return "", err
	}
	if !g.waitReady(10 * time.Second) {
		return "", fmt.Errorf("%s did not become ready", g.name)
	}
	time.Sleep(time.Second)
	ask := func(id, path, pieces string) answer {
		return send(w.log, g, attempt{id: id, host: "pule25.example", path: path, body: []byte("{}"), limit: inputsTimeout, listen: time.Second, header: map[string]string{
			"X-Bergamotrudder-Model": "m", "X-Bergamotrudder-Token-Counts": "1460,80", "X-Bergamotrudder-Pieces": pieces, "X-Bergamotrudder-Piece-Key": "7c1e07a291bd",
		}})
	}
	var wg sync.WaitGroup
	id := newID()
	made.pieces[id] = []int{1, 1, 1, 1, 1, 1}
	var report answer
	wg.Go(func() { report = ask(id, "/report/a", "1,1,1,1,1,1") })
	time.Sleep(300 * time.Millisecond)
	for i := range inputsFillers {
		if i == 2 && w.trouble {
			for _, r := range retrievers {
				if made.holds(r) {
					r.crash()
					time.AfterFunc(3600*time.Millisecond, func() { w.store.remove("servers", r.id) })
				}
			}
		}
		wg.Go(func() { ask(newID(), "/guide/b", inputsFilled) })
		time.Sleep(inputsFillerGap)
	}
	wg.Wait()
	w.log.printf("the report: %s", report)
	if wrong := made.wrongInputs(); len(wrong) > 0 {
		return broken(wrong[0]), nil
	}
	if report.err != nil || report.status != http.StatusOK {
		return "", fmt.Errorf("the report was not served: %s", report)
	}
	return "", nil
}

// holds reports whether the runner holds a result.
func (s *results) holds(r *runner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.held {
		if m == r {
			return true
		}
	}
	return false
}
