package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Headers of the platform.
const (
	headerID          = "X-Bergamotrudder-Attempt-Id"
	headerRemaining   = "X-Bergamotrudder-Time-Remaining"
	headerSeal        = "X-Bergamotrudder-Response-Seal"
	headerExpected    = "X-Bergamotrudder-Expected-Instance"
	headerNotExecuted = "X-Bergamotrudder-Not-Executed"
	headerLeaving     = "Server-Leaving"
)

// Names of the one route, service and tenant of the deployment.
const (
	host    = "desk.example"
	path    = "/visits/"
	service = "dispatch"
	apiKey  = "k1"

	lookupPath    = "/parts/"
	chatPath      = "/chat/"
	engineService = "rudder-pool"
	engineTokens  = 808774
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu      sync.Mutex
	f       *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// arrival is a request that reached a server.
type arrival struct {
	id     string
	server string
	at     time.Time
}

// result is the end of one client attempt.
type result struct {
	id     string
	sent   time.Time
	status int
}

// deployment is a small deployment: gateways as processes, and stand-ins of everything else.
type deployment struct {
	rec   *record
	dir   string
	store *store

	// streamTime is how long a stream of the engines lasts.
	streamTime time.Duration

	storeAddress string
	gateways     []*gateway
	servers      []*server

	mu       sync.Mutex
	arrivals []arrival
	results  []result
	inFlight sync.WaitGroup
	next     int
	closers  []io.Closer
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: newStore()}
	d.storeAddress, err = d.serve(d.store)
	return d, err
}

// serve serves the handler on a free port of the loopback address.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, s)
	return l.Addr().String(), nil
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	for _, c := range d.closers {
		_ = c.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// configure writes the first configuration.
func (d *deployment) configure() {
	cfg := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "visit", "host": host, "pathPrefix": path, "kind": "unsafe", "service": service,
			"timeoutMs": 1000, "targetLatencyMs": 150, "attempts": 2, "priority": 0, "public": false,
		}, map[string]any{
			"name": "lookup", "host": host, "pathPrefix": lookupPath, "kind": "safe", "service": service,
			"timeoutMs": 1000, "targetLatencyMs": 150, "attempts": 2, "priority": 0, "public": false,
		}, map[string]any{
			"name": "chat", "host": host, "pathPrefix": chatPath, "kind": "streaming", "service": engineService, "sticky": true, "resumable": false,
			"timeoutMs": 12000, "targetLatencyMs": 730, "targetGapMs": 250, "attempts": 1, "priority": 1, "public": false,
		}, map[string]any{
			"name": "report", "host": host, "pathPrefix": stagePath, "kind": "streaming", "service": engineService, "sticky": true, "resumable": false,
			"timeoutMs": 6000, "targetLatencyMs": 1700, "targetGapMs": 250, "attempts": 1, "priority": 1, "public": false,
			"stages": []any{map[string]any{"service": stageService, "after": []int{}, "bytes": 1000}},
		}},
		"services": []any{map[string]any{"name": engineService, "healthPath": "/health", "maxConnections": 280, "coldStartS": 0, "coldPerS": 0,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": engineTokens, "handleS": 5}}, map[string]any{"name": stageService, "healthPath": "/health", "maxConnections": 280, "coldStartS": 0, "coldPerS": 0,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": stageBatch, "callMs": 200, "itemMs": 1.8, "headroomMb": 1.2, "handleS": 4, "linkMbps": 10000}}, map[string]any{"name": service, "healthPath": "/health", "maxConnections": 110, "coldStartS": 0, "coldPerS": 0}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []any{map[string]any{"name": "okafor", "apiKeys": []string{apiKey}}},
	}
	b, _ := json.Marshal(cfg)
	d.store.put("config", "main", string(b))
}

// server is a stand-in of a server of the service.
type server struct {
	d       *deployment
	id      string
	service string
	address string
	born    int64
	slots   chan struct{}
	http    *http.Server
	// calls is the number of calls of a stage that the server has.
	calls atomic.Int64
	// isLeaving is set once the server says in its answers that it leaves.
	isLeaving atomic.Bool
}

func (d *deployment) startServer(i int, service string, slots int) error {
	s := &server{d: d, id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: service, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.http = l.Addr().String(), &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	d.closers = append(d.closers, s.http)
	d.servers = append(d.servers, s)
	s.register("ready")
	return nil
}

// register writes the server's entry and returns the time of the acknowledgement.
func (s *server) register(state string) time.Time {
	b, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "houston-a", "version": "v1", "slots": cap(s.slots),
		"state": state, "coldRemainingMs": 0, "sequence": 0, "born": s.born,
	})
	return s.d.store.put("servers", s.id, string(b))
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/bergamotrudder/stage-run":
		s.runStage(w, r)
		return
	case "/bergamotrudder/stage-free":
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case s.slots <- struct{}{}:
	default:
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.d.arrive(arrival{id: id, server: s.id, at: time.Now()})
	if s.service == engineService {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(headerSeal, "seal."+id)
		s.stream(w, id)
		return
	}
	time.Sleep(30 * time.Millisecond)
	if s.isLeaving.Load() {
		w.Header().Set(headerLeaving, "1")
	}
	w.Header().Set(headerSeal, "seal."+id)
	_, _ = w.Write([]byte("visit " + id))
}

// stream sends one event at once and, if streams last, one more each half second.
func (s *server) stream(w http.ResponseWriter, id string) {
	for i, end := 1, time.Now().Add(s.d.streamTime); ; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, id); err != nil || !time.Now().Before(end) {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(500 * time.Millisecond)
	}
}

func (d *deployment) arrive(a arrival) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals = append(d.arrivals, a)
	d.rec.add("run %s at %s", a.id, a.server)
}

// gateway is a process of the system.
type gateway struct {
	name     string
	settings string
	front    string
	ready    string
	cmd      *exec.Cmd
	done     chan struct{}
	isReady  bool
}

// freeAddress returns a loopback address with a free port below those that the kernel gives to
// connections, so that it is still free when a process starts again.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20_000+rand.N(12_000))); err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String(), nil
		}
	}
	return "", err
}

// addGateway writes the settings of a gateway as deploy/gateway.json.template has them, and starts it
// with the command of the deploy file.
func (d *deployment) addGateway(i int) error {
	var addresses [4]string
	for k := range addresses {
		var err error
		if addresses[k], err = freeAddress(); err != nil {
			return err
		}
	}
	g := &gateway{name: fmt.Sprintf("front-houston-a-%d", i+1), front: addresses[0], ready: addresses[1]}
	b, _ := json.Marshal(map[string]any{
		"role": "gateway", "name": g.name, "failureDomain": "houston-a", "callerListen": addresses[0], "readyListen": addresses[1],
		"peerListen": addresses[2], "metricsListen": addresses[3], "platform": map[string]any{"address": d.storeAddress},
		"shutdown": map[string]any{"graceSeconds": 8}, "memory": map[string]any{"limitMB": 284},
	})
	g.settings = filepath.Join(d.dir, g.name+".json")
	if err := os.WriteFile(g.settings, b, 0o600); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	return d.startGateway(g)
}

func (d *deployment) startGateway(g *gateway) error {
	out, err := os.Create(filepath.Join(d.dir, g.name+"."+strconv.FormatInt(time.Now().UnixNano(), 10)+".log"))
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/bergamotrudder", "gateway")
	g.cmd.Env = append(os.Environ(), "BERGAMOTRUDDER_SETTINGS="+g.settings, "BERGAMOTRUDDER_DESCRIPTORS_LIMIT=4100",
		"BERGAMOTRUDDER_PROCESSOR_SHARE=0.304", "BERGAMOTRUDDER_PROCESSOR_CORES=1", "BERGAMOTRUDDER_NETWORK_LINK_MBPS=1000")
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		_ = out.Close()
		d.rec.add("end of %s: %v", g.name, err)
		close(done)
	}(g.cmd, g.done)
	d.rec.add("start %s", g.name)
	return nil
}

func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGKILL)
	<-g.done
}

// probe asks each gateway for its readiness once a second, as the platform does, until stop.
func (d *deployment) probe(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, len(d.gateways))
	for {
		for i, g := range d.gateways {
			resp, err := client.Get("http://" + g.ready + "/bergamotrudder/readiness")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			if misses[i]++; ok {
				misses[i] = 0
			}
			d.mu.Lock()
			g.isReady = ok || g.isReady && misses[i] < 2
			d.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns a gateway as the platform does: one in rotation, or any if fewer than half are.
func (d *deployment) pick() *gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ready []*gateway
	for _, g := range d.gateways {
		if g.isReady {
			ready = append(ready, g)
		}
	}
	if 2*len(ready) < len(d.gateways) {
		ready = d.gateways
	}
	return ready[rand.N(len(ready))]
}

// waitReady waits until all gateways are in rotation.
func (d *deployment) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		d.mu.Lock()
		for _, g := range d.gateways {
			if g.isReady {
				n++
			}
		}
		d.mu.Unlock()
		if n == len(d.gateways) {
			return true
		}
	}
	return false
}

// send sends one request on a new channel. It isn't sent again.
func (d *deployment) send() {
	d.mu.Lock()
	d.next++
	id := fmt.Sprintf("%016x", d.next)
	d.mu.Unlock()
	g := d.pick()
	res := result{id: id, sent: time.Now()}
	d.rec.add("send %s to %s", id, g.name)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, _ := http.NewRequest(http.MethodPost, "http://"+g.front+path+"2f", nil)
	r.Host = host
	r.Header.Set(headerID, id)
	r.Header.Set(headerRemaining, "1000")
	r.Header.Set("Authorization", "Token "+apiKey)
	text := ""
	resp, err := client.Do(r)
	if err == nil {
		b, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res.status, text = resp.StatusCode, string(b)
		if readErr != nil {
			err = readErr
		}
	}
	d.rec.add("answer %s %d %.120q %v", id, res.status, text, err)
	if err != nil || res.status == http.StatusOK && resp.Header.Get(headerSeal) != "seal."+id {
		res.status = 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, res)
}

// traffic sends requests at the rate until stop.
func (d *deployment) traffic(perSecond int, stop chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			d.inFlight.Add(1)
			go func() {
				defer d.inFlight.Done()
				d.send()
			}()
		}
	}
}

// served returns the requests that were sent in the time, and how many were answered with success.
func (d *deployment) served(from, to time.Time) (sent, served int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.results {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			served++
		}
	}
	return sent, served
}

// latest returns how many requests reached the server later than the time, and the last of them.
func (d *deployment) later(server string, at time.Time) (n int, last time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.arrivals {
		if a.server == server && a.at.After(at) {
			n, last = n+1, a.at
		}
	}
	return n, last
}
