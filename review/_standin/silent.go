package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds and figures of the case of silent channels to the store.
const (
	silentContact = 3 * time.Second
	silentDrain   = 2 * time.Second
	// silentMargin is added to both bounds, for the clocks of the stand-ins.
	silentMargin = 50 * time.Millisecond
	// silentKeepAlive is when the gateway's own keep-alive probes would end a silent channel: 2 to 3 s.
	silentKeepAlive = 2500 * time.Millisecond
	silentServes    = 8 * time.Second
	// silentPerS requests come in a second, silentClump at a time.
	silentPerS  = 60
	silentClump = 3
)

// arrival is a request that reached the runner that leaves.
type arrival struct {
	id string
	at time.Time
}

// silent runs the case of a runner that leaves while the channels to the store are silent.
func silent(w *world) (broken, error) {
	p, err := newProxy(w.prefix+"3", w.store.addr)
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	var arrivals []arrival
	sentAt := make(map[string]time.Time)
	serve := func(r *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
		id := req.Header.Get("X-Bergamotrudder-Attempt-Id")
		if r.id == "i-desk-1" {
			mu.Lock()
			arrivals = append(arrivals, arrival{id: id, at: time.Now()})
			mu.Unlock()
		}
		r.work(15 * time.Millisecond)
		rw.Header().Set("X-Bergamotrudder-Response-Seal", r.seal(id))
		_, _ = fmt.Fprintf(rw, "booked %s", id)
	}
	for i := 1; i <= 3; i++ {
		r, err := w.addRunner(fmt.Sprintf("i-desk-%d", i), "desk", 6)
		if err != nil {
			return "", err
		}
		r.serve = serve
	}
	w.store.put("config", "main", map[string]any{
		"version": 1, "limits": limits, "tenants": []any{},
		"routes": []map[string]any{{
			"name": "book", "host": "jepu9.example", "pathPrefix": "/book/", "kind": "unsafe", "timeoutMs": 1000,
			"targetLatencyMs": 100, "priority": 2, "service": "desk", "attempts": 1, "public": false, "sticky": false,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 51, "coldStartS": 0.0, "coldPerS": 0.0}},
	})
	polls := make(chan struct{}, 1)
	w.store.onWatch = func(kind string) {
		if kind == "servers" {
			select {
			case polls <- struct{}{}:
			default:
			}
		}
	}
	g, err := w.addGateway(settings{"platform.address": p.addr})
	if err != nil {
		return "", err
	}
	if !g.waitReady(10 * time.Second) {
		return "", fmt.Errorf("%s did not become ready", g.name)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served atomic.Int64
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second * silentClump / silentPerS):
			}
			for range silentClump {
				wg.Go(func() {
					id := newID()
					mu.Lock()
					sentAt[id] = time.Now()
					mu.Unlock()
					a := send(w.log, g, attempt{id: id, host: "jepu9.example", path: "/book/1", body: []byte("{}"), limit: time.Second, listen: time.Second})
					if a.err == nil && a.status == http.StatusOK && a.sealed {
						served.Add(1)
					}
				})
			}
		}
	})
	// The traffic begins; the machine is in touch by the time of the disruption.
	time.Sleep(4 * time.Second)
	select {
	case <-polls:
	default:
	}
	<-polls
	time.Sleep(300 * time.Millisecond)
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
	time.Sleep(200 * time.Millisecond)
	w.store.remove("servers", "i-desk-1")
	ack := time.Now()
	w.log.printf("the entry of i-desk-1 is removed: it leaves without having said so, and goes on to serve for %v", silentServes)
	time.Sleep(silentServes)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, a := range arrivals {
		last = max(last, a.at.Sub(ack))
		inTouch := !w.trouble || sentAt[a.id].Sub(silence) > silentContact+silentMargin
		if inTouch && a.at.Sub(ack) > silentDrain+silentMargin {
			late++
			w.log.printf("request %s, sent %.3f s after the channels went silent, reached i-desk-1 %.3f s after the ack", a.id, sentAt[a.id].Sub(silence).Seconds(), a.at.Sub(ack).Seconds())
		}
	}
	w.log.printf("%d requests were served; the last one reached i-desk-1 %.3f s after the ack", served.Load(), last.Seconds())
	if late > 0 {
		return broken(fmt.Sprintf("%d requests reached a runner over drainMs after the ack that it is gone, sent on by a machine in touch", late)), nil
	}
	if served.Load() == 0 {
		return "", fmt.Errorf("no request was served")
	}
	return "", nil
}
