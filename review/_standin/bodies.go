package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case of large bodies.
const (
	// bodiesLimitMB is memoryMb of the gateways; the stand-in kills a process only above as many
	// MiB, which is more.
	bodiesLimitMB = 284
	// bodiesSize is a little below bodyBytes of the configuration.
	bodiesSize = 4_000_000
	// bodiesPerS is the usual number of requests in a second, at all gateways together, and
	// bodiesBurst and bodiesBurstFor are the burst.
	bodiesPerS     = 18.0
	bodiesBurst    = 2.6
	bodiesBurstFor = 6600 * time.Millisecond
	bodiesBursts   = 3
	bodiesGap      = 6 * time.Second
	bodiesLimit    = 12 * time.Second
	// bodiesFirstEvent and bodiesEvents are the time to the first event of a stream and their
	// number, and bodiesPause the pause between them.
	bodiesFirstEvent = 300 * time.Millisecond
	bodiesEvents     = 47
	bodiesPause      = 60 * time.Millisecond
)

// memoryGuard ends a gateway whose memory exceeds its limit, as the platform does, and starts it
// again.
type memoryGuard struct {
	g      *gateway
	peak   atomic.Int64
	kills  atomic.Int64
	paused chan struct{}
}

// rss returns the resident memory of the process in bytes.
func rss(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

func (m *memoryGuard) run(stop <-chan struct{}) {
	defer close(m.paused)
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		used := rss(m.g.cmd.Process.Pid)
		if used > m.peak.Load() {
			m.peak.Store(used)
		}
		if used <= bodiesLimitMB<<20 {
			continue
		}
		m.g.log.printf("%s uses %d MiB, more than memoryMb %d: the platform kills it", m.g.name, used>>20, bodiesLimitMB)
		m.kills.Add(1)
		m.g.signal(syscall.SIGKILL)
		<-m.g.ended
		time.Sleep(500 * time.Millisecond)
		if err := m.g.start(); err != nil {
			m.g.log.printf("%s was not started again: %v", m.g.name, err)
			return
		}
	}
}

// bodiesCounts counts how requests ended.
type bodiesCounts struct {
	sent, whole, refused, lost, other atomic.Int64
}

// channel is a kept channel of a client.
type channel struct {
	c  net.Conn
	br *bufio.Reader
}

// exchange sends one request on a kept channel, and reports whether the channel may be kept.
func (ch *channel) exchange(w *world, g *gateway, id string, body []byte, n *bodiesCounts, passedOn *sync.Map) (keep bool) {
	head := fmt.Sprintf("POST /guide/x HTTP/1.1\r\nHost: pule25.example\r\nX-Bergamotrudder-Attempt-Id: %s\r\nX-Bergamotrudder-Model: m\r\n"+
		"X-Bergamotrudder-Token-Counts: 9000,280\r\nX-Bergamotrudder-Time-Remaining: %d\r\nContent-Length: %d\r\n\r\n", id, bodiesLimit.Milliseconds(), len(body))
	n.sent.Add(1)
	w.log.printf("client sends request %s to %s on a kept channel, %d bytes", id, g.name, len(body))
	_ = ch.c.SetDeadline(time.Now().Add(bodiesLimit + 2*time.Second))
	if _, err := ch.c.Write([]byte(head)); err == nil {
		_, _ = ch.c.Write(body)
	}
	resp, err := http.ReadResponse(ch.br, nil)
	if err == nil {
		var got bytes.Buffer
		_, err = got.ReadFrom(resp.Body)
		_ = resp.Body.Close()
	}
	_, ran := passedOn.Load(id)
	switch {
	case err != nil && ran:
		n.lost.Add(1)
		w.log.printf("client's request %s had been passed on, and its channel ended without a complete answer: %v", id, err)
		return false
	case err != nil:
		n.other.Add(1)
		w.log.printf("client's request %s: %v", id, err)
		return false
	case resp.StatusCode == http.StatusOK:
		n.whole.Add(1)
	default:
		n.refused.Add(1)
		w.log.printf("client's request %s: status %d", id, resp.StatusCode)
	}
	return !resp.Close
}

// bodies runs the case of gateways that exceed their memory.
func bodies(w *world) (broken, error) {
	var passedOn sync.Map
	serve := func(r *runner, rw http.ResponseWriter, req *http.Request, _ []byte) {
		id := req.Header.Get("X-Bergamotrudder-Attempt-Id")
		passedOn.Store(id, true)
		r.work(bodiesFirstEvent)
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set("X-Bergamotrudder-Response-Seal", r.seal(id))
		for i := 1; i <= bodiesEvents; i++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: tokens of %s\n\n", i, id); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(bodiesPause)
		}
	}
	for i := 1; i <= 6; i++ {
		r, err := w.addRunner(fmt.Sprintf("i-engines-%d", i), "engines", 64)
		if err != nil {
			return "", err
		}
		r.serve = serve
	}
	w.store.put("config", "main", map[string]any{
		"version": 1, "limits": limits, "tenants": []any{},
		"routes": []map[string]any{{
			"name": "guide", "host": "pule25.example", "pathPrefix": "/guide/", "kind": "streaming", "timeoutMs": bodiesLimit.Milliseconds(),
			"targetLatencyMs": 730, "targetGapMs": 250, "priority": 2, "service": "engines", "attempts": 1, "public": false, "sticky": true, "resumable": false,
		}},
		"services": []map[string]any{{
			"name": "engines", "healthPath": "/health", "maxConnections": 280, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": 808774},
		}},
	})
	var guards []*memoryGuard
	stop := make(chan struct{})
	for range 2 {
		g, err := w.addGateway(settings{"limits.memoryMb": strconv.Itoa(bodiesLimitMB)})
		if err != nil {
			return "", err
		}
		if !g.waitReady(10 * time.Second) {
			return "", fmt.Errorf("%s did not become ready", g.name)
		}
		guards = append(guards, &memoryGuard{g: g, paused: make(chan struct{})})
	}
	for _, m := range guards {
		go m.run(stop)
	}
	body := bytes.Repeat([]byte("x"), bodiesSize)
	var n bodiesCounts
	var wg sync.WaitGroup
	idle := make([]chan *channel, len(guards))
	for i := range idle {
		idle[i] = make(chan *channel, 256)
	}
	one := func(i int) {
		m := guards[i]
		var ch *channel
		select {
		case ch = <-idle[i]:
		default:
			c, err := net.DialTimeout("tcp", m.g.front, time.Second)
			if err != nil {
				n.other.Add(1)
				return
			}
			ch = &channel{c: c, br: bufio.NewReader(c)}
		}
		if ch.exchange(w, m.g, newID(), body, &n, &passedOn) {
			idle[i] <- ch
			return
		}
		_ = ch.c.Close()
	}
	load := func(perS float64, d time.Duration) {
		end := time.Now().Add(d)
		for i := 0; time.Now().Before(end); i++ {
			wg.Go(func() { one(i % len(guards)) })
			time.Sleep(time.Duration(float64(time.Second) / perS))
		}
	}
	for range bodiesBursts {
		load(bodiesPerS, bodiesGap)
		if w.trouble {
			w.log.printf("many users come at once: %.1f times the traffic for %v", bodiesBurst, bodiesBurstFor)
			load(bodiesPerS*bodiesBurst, bodiesBurstFor)
		} else {
			load(bodiesPerS, bodiesBurstFor)
		}
	}
	load(bodiesPerS, bodiesGap)
	wg.Wait()
	close(stop)
	w.log.printf("%d requests: %d answered whole, %d refused, %d lost after they had been passed on, %d others", n.sent.Load(), n.whole.Load(), n.refused.Load(), n.lost.Load(), n.other.Load())
	killed, often := "", 0
	for _, m := range guards {
		<-m.paused
		w.log.printf("%s: at most %d MiB, ended %d times over its limit of %d MB", m.g.name, m.peak.Load()>>20, m.kills.Load(), bodiesLimitMB)
		killed += fmt.Sprintf(" %s %d times", m.g.name, m.kills.Load())
		if m.kills.Load() >= 3 {
			often++
		}
	}
	if n.lost.Load() > 3 {
		return broken(fmt.Sprintf("%d requests from kept channels were passed on and their channels closed without an answer; processes ended over their memory limit:%s", n.lost.Load(), killed)), nil
	}
	if often >= 2 {
		return broken("processes of both machines ended three times over their memory limit:" + killed), nil
	}
	if n.whole.Load() == 0 {
		return "", fmt.Errorf("no request was served")
	}
	return "", nil
}
