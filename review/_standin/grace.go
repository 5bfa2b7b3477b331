package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// graceStarts is how often the platform starts a process again that ends by itself, after
	// graceDelay each time.
	graceStarts = 3
	graceDelay  = 500 * time.Millisecond
	graceReady  = 8 * time.Second
)

// grace runs the case of a grace period that is changed to a fraction of a second.
func grace(w *world) (broken, error) {
	r, err := w.addRunner("i-desk-1", "desk", 6)
	if err != nil {
		return "", err
	}
	r.serve = func(r *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
		id := req.Header.Get("X-Bergamotrudder-Attempt-Id")
		r.work(15 * time.Millisecond)
		rw.Header().Set("X-Bergamotrudder-Response-Seal", r.seal(id))
		_, _ = fmt.Fprintf(rw, "booked %s", id)
	}
	w.store.put("config", "main", map[string]any{
		"version": 1, "limits": limits, "tenants": []any{},
		"routes": []map[string]any{{
			"name": "book", "host": "jepu9.example", "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 1000,
			"targetLatencyMs": 100, "priority": 2, "service": "desk", "attempts": 1, "public": false, "sticky": false,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 51, "coldStartS": 0.0, "coldPerS": 0.0}},
	})
	for range 2 {
		g, err := w.addGateway(nil)
		if err != nil {
			return "", err
		}
		if !g.waitReady(10 * time.Second) {
			return "", fmt.Errorf("%s did not become ready", g.name)
		}
	}
	serves := func(g *gateway) bool {
		a := send(w.log, g, attempt{host: "jepu9.example", path: "/book/1", body: []byte("{}"), limit: time.Second, listen: time.Second})
		return a.err == nil && a.status == http.StatusOK && a.sealed
	}
	for _, g := range w.gateways {
		if !serves(g) {
			return "", fmt.Errorf("%s does not serve before the change", g.name)
		}
	}
	graceS := "9"
	if w.trouble {
		graceS = "7.5"
	}
	w.log.printf("the platform changes graceS from 8 to %s", graceS)
	for _, g := range w.gateways {
		if err := g.changeSettings(settings{"bounds.graceS": graceS}); err != nil {
			return "", err
		}
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second)
	down := 0
	for _, g := range w.gateways {
		g.signal(syscall.SIGTERM)
		select {
		case <-g.ended:
		case <-time.After(8 * time.Second):
			g.signal(syscall.SIGKILL)
			<-g.ended
		}
		ready := false
		for range graceStarts {
			time.Sleep(graceDelay)
			if err := g.start(); err != nil {
				return "", err
			}
			if ready = g.waitReady(graceReady); ready || !g.hasEnded() {
				break
			}
		}
		if !ready {
			down++
			w.log.printf("%s does not start: %s; it wrote: %s", g.name, g.state, g.lastOutput())
		} else if !serves(g) {
			return "", fmt.Errorf("%s does not serve after its restart", g.name)
		}
	}
	if down > 0 {
		return broken(fmt.Sprintf("%d of %d programs don't start with graceS = %s", down, len(w.gateways), graceS)), nil
	}
	return "", nil
}

// lastOutput returns the end of what the process wrote.
func (g *gateway) lastOutput() string {
	lines := strings.Split(strings.TrimSpace(readText(g.path+".log")), "\n")
	return strings.ReplaceAll(strings.TrimSpace(lines[len(lines)-1]), filepath.Dir(g.path)+"/", "")
}
