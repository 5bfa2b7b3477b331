package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Bounds and figures of the case of a storm of configurations.
const (
	// stormRoutes is the size of the configuration, which stays below valueBytes: six times
	// big_config with 350 routes.
	stormRoutes = 6 * 350
	// stormFor and stormGap are those of config_storm.
	stormFor   = 2 * time.Second
	stormGap   = 80 * time.Millisecond
	stormBound = 2 * time.Second
	stormWatch = 25 * time.Second
	// stormKey is the key that is taken away, stormKept the one that stays.
	stormKey  = "jnbanfqasnmgkcuyj8pj"
	stormKept = "9dnn2ctnfzs989anu6ws"
)

func stormConfig(version int, keys ...string) map[string]any {
	routes := []map[string]any{{
		"name": "book", "host": "jepu9.example", "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 1000, "targetLatencyMs": 100,
		"priority": 2, "service": "desk", "attempts": 1, "public": false, "sticky": false, "resumable": false,
	}}
	for i := range stormRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%07d", i), "host": "pule25.example", "pathPrefix": fmt.Sprintf("/idle%d/", i), "kind": "streaming", "timeoutMs": 6000,
			"targetLatencyMs": 1700, "targetGapMs": 250, "priority": 1, "service": "desk", "attempts": 1, "public": false, "sticky": true, "resumable": false,
			"stages": []map[string]any{
				{"service": "first", "after": []int{}, "bytes": 1500000}, {"service": "first", "after": []int{}, "bytes": 8000},
				{"service": "second", "after": []int{1}, "bytes": 60000}, {"service": "third", "after": []int{2}, "bytes": 6000},
			},
		})
	}
	return map[string]any{
		"version": version, "limits": limits, "routes": routes,
		"tenants":  []map[string]any{{"name": "bozi300", "apiKeys": keys, "priority": 1}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 51, "coldStartS": 0.0, "coldPerS": 0.0}},
	}
}

// storm runs the case of configurations that come in quick succession while the channels to the
// store are silent.
func storm(w *world) (broken, error) {
	w.store.log = w.log
	p, err := newProxy(w.prefix+"3", w.store.addr)
	if err != nil {
		return "", err
	}
	for i := 1; i <= 2; i++ {
		r, err := w.addRunner(fmt.Sprintf("i-desk-%d", i), "desk", 6)
		if err != nil {
			return "", err
		}
		r.serve = func(r *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
			id := req.Header.Get("X-Bergamotrudder-Attempt-Id")
			r.work(15 * time.Millisecond)
			rw.Header().Set("X-Bergamotrudder-Response-Seal", r.seal(id))
			_, _ = fmt.Fprintf(rw, "booked %s", id)
		}
	}
	version := 1
	b, err := json.Marshal(stormConfig(version, stormKept, stormKey))
	if err != nil {
		return "", err
	}
	w.log.printf("the configuration has %d bytes; valueBytes is 1048576", len(b))
	w.store.put("config", "main", stormConfig(version, stormKept, stormKey))
	for range 2 {
		g, err := w.addGateway(settings{"platform.address": p.addr})
		if err != nil {
			return "", err
		}
		if !g.waitReady(10 * time.Second) {
			return "", fmt.Errorf("%s did not become ready", g.name)
		}
	}
	ask := func(g *gateway, key string) answer {
		return send(w.log, g, attempt{host: "jepu9.example", path: "/book/1", body: []byte("{}"), limit: time.Second, listen: time.Second,
			header: map[string]string{"Authorization": "Token " + key}})
	}
	for _, g := range w.gateways {
		if a := ask(g, stormKey); a.status != http.StatusOK {
			return "", fmt.Errorf("the key is not served before the storm: %s", a)
		}
	}
	time.Sleep(4 * time.Second)
	silence := time.Now()
	if w.trouble {
		list := p.silence()
		w.log.printf("%d open channels to the store go silent; new ones work", len(list))
		time.AfterFunc(silentKeepAlive, func() {
			for _, pr := range list {
				pr.reset()
			}
		})
	}
	keys := []string{stormKept, stormKey}
	for end := silence.Add(stormFor); time.Now().Before(end); time.Sleep(stormGap) {
		version++
		w.store.put("config", "main", stormConfig(version, keys...))
	}
	version++
	w.store.put("config", "main", stormConfig(version, stormKept))
	ack := time.Now()
	w.log.printf("the store has acknowledged version %d, the last one of the storm, without the key %s", version, stormKey)
	// Both bounds: configPropagationMs after the ack, and contactMs after the channels went silent.
	time.Sleep(max(time.Until(ack.Add(stormBound)), time.Until(silence.Add(silentContact))) + 500*time.Millisecond)
	run, refused, last := 0, 0, time.Duration(0)
	for end := ack.Add(stormWatch); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, g := range w.gateways {
			sent := time.Since(ack)
			switch a := ask(g, stormKey); {
			case a.status == http.StatusOK && a.sealed:
				run++
				last = sent
			case a.status == http.StatusUnauthorized:
				refused++
			}
		}
	}
	kept := 0
	for _, g := range w.gateways {
		if a := ask(g, stormKept); a.status == http.StatusOK {
			kept++
		}
	}
	w.log.printf("with the key that was taken away: %d requests run, the last one sent %.1f s after the ack, and %d refused with 401; with the kept key %d of %d served", run, last.Seconds(), refused, kept, len(w.gateways))
	if run > 0 {
		return broken(fmt.Sprintf("%d requests with a dropped key were run later than configPropagationMs after the ack, the last one sent %.1f s after it", run, last.Seconds())), nil
	}
	if kept < len(w.gateways) {
		return "", fmt.Errorf("the kept key is not served")
	}
	return "", nil
}
