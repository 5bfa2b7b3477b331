package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in of one runner. It registers itself in the store.
type runner struct {
	id, service, addr string
	slots             int
	log               *record
	// serve runs a request that is no call of the stage protocol.
	serve func(r *runner, w http.ResponseWriter, req *http.Request, body []byte)
	// callTime and pieceTime are the times of a stage call.
	callTime, pieceTime time.Duration

	mu sync.Mutex
	// slowdown multiplies the time of all work.
	slowdown float64
	handles  int
	running  int
	server   *http.Server
	// results are shared by all runners of the case; nil for a case that doesn't follow them.
	results *results
	turn    chan struct{}
}

func newRunner(ip, id, service string, slots int, s *store, log *record) (*runner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, addr: l.Addr().String(), slots: slots, log: log, slowdown: 1, turn: make(chan struct{}, slots)}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	s.put("servers", id, map[string]any{
		"service": service, "address": r.addr, "zone": "zone-a", "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return r, nil
}

func (r *runner) setSlowdown(x float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = x
}

func (r *runner) addRunning(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += n
}

// isRunning reports whether the runner runs a request.
func (r *runner) isRunning() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running > 0
}

// work takes so long, times the slowdown at each moment.
func (r *runner) work(d time.Duration) {
	const step = 10 * time.Millisecond
	for last := time.Now(); d > 0; {
		r.mu.Lock()
		slowdown := r.slowdown
		r.mu.Unlock()
		time.Sleep(min(step, time.Duration(float64(d)*slowdown)))
		now := time.Now()
		d -= time.Duration(float64(now.Sub(last)) / slowdown)
		last = now
	}
}

// ServeHTTP serves one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("X-Bergamotrudder-Expected-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Bergamotrudder-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch req.URL.Path {
	case "/bergamotrudder/stage-run":
		r.stageRun(w, body)
	case "/bergamotrudder/stage-free":
		r.results.free(body)
		w.WriteHeader(http.StatusOK)
	default:
		id := req.Header.Get("X-Bergamotrudder-Attempt-Id")
		w.Header().Set("X-Bergamotrudder-Attempt-Id", id)
		if id == "" {
			w.Header().Set("X-Bergamotrudder-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.log.printf("runner %s runs request %s", r.id, id)
		r.addRunning(1)
		defer r.addRunning(-1)
		r.serve(r, w, req, body)
	}
}

// seal returns a value for the header of the runner's own answers.
func (r *runner) seal(id string) string { return r.id + "." + id }

// crash ends the runner: it accepts no channels any more and loses its results.
func (r *runner) crash() {
	_ = r.server.Close()
	r.results.loseAll(r)
	r.log.printf("runner %s has crashed", r.id)
}

// item is one piece of a stage call.
type item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Inputs []string `json:"inputs"`
}

// outcome is the outcome of a piece.
type outcome struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func (r *runner) stageRun(w http.ResponseWriter, body []byte) {
	var in struct {
		Items []item `json:"items"`
	}
	if err := json.Unmarshal(body, &in); err != nil || len(in.Items) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	out := make([]outcome, len(in.Items))
	for i, it := range in.Items {
		if !r.results.fetch(it) {
			out[i].Reason = "gone"
			r.log.printf("runner %s finds an input of stage %d piece %d of request %s gone", r.id, it.Stage, it.Piece, it.ID)
			continue
		}
		r.log.printf("runner %s begins stage %d piece %d of request %s, %d inputs", r.id, it.Stage, it.Piece, it.ID, len(it.Inputs))
	}
	r.work(r.callTime + time.Duration(len(in.Items))*r.pieceTime)
	for i, it := range in.Items {
		if out[i].Reason != "" {
			continue
		}
		r.mu.Lock()
		r.handles++
		out[i].Handle = fmt.Sprintf("%s/%s%x", r.addr, r.id, r.handles)
		r.mu.Unlock()
		r.results.add(out[i].Handle, r, it)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": out})
}
