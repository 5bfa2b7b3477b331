package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the metadata of an object in the platform's store.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	rev     uint64
	at      time.Time
}

// store is a stand-in of the platform's store: objects by kind and name, one revision counter
// and long polls for changes. It is linearizable and loses nothing.
type store struct {
	addr string
	// onWatch is called when a long poll of the kind begins.
	onWatch func(kind string)
	// log gets the long polls whose history is gone; it may be nil.
	log *record

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []event
	changed chan struct{}
	// forgotten is the newest revision whose change is no longer in the history.
	forgotten uint64
}

// historyTime is how long the store keeps its history: historyS of both sites.
const historyTime = 20 * time.Second

func newStore(ip string) (*store, error) {
	s := &store{rev: 100, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object as the operator or a runner does, and returns the revision.
func (s *store) put(kind, name string, spec any) uint64 {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, object{Metadata: metadata{Name: name}, Specification: b})
}

// write stores the object at the next revision. The caller holds mu.
func (s *store) write(kind string, o object) uint64 {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, ok := s.objects[kind][o.Metadata.Name]
	s.rev++
	o.Metadata.Created = s.rev
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	o.Metadata.Revision = s.rev
	s.objects[kind][o.Metadata.Name] = o
	s.announce(event{Object: o, kind: kind, rev: s.rev})
	return s.rev
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// drop removes the object if it exists. The caller holds mu.
func (s *store) drop(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Revision = s.rev
	s.announce(event{Object: o, Deleted: true, kind: kind, rev: s.rev})
}

func (s *store) announce(e event) {
	e.at = time.Now()
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

const objectsPath = "/bergamotrudder/objects/"

// ServeHTTP serves the calls on objects.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	default:
		s.single(w, r, kind, name, body)
	}
}

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": rev})
}

// forget drops the history beyond historyTime. The caller holds mu.
func (s *store) forget(now time.Time) {
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > historyTime {
		s.forgotten = s.history[n].rev
		n++
	}
	s.history = s.history[n:]
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if s.onWatch != nil {
		s.onWatch(kind)
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		s.forget(time.Now())
		if since < s.forgotten {
			s.mu.Unlock()
			s.log.printf("a watch of %s from revision %d gets 410: its history is gone", kind, since)
			reply(w, http.StatusGone, nil)
			return
		}
		events := make([]event, 0)
		for _, e := range s.history {
			if e.kind == kind && e.rev > since {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) single(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var in object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	revision := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		_, _ = fmt.Sscan(q, &revision)
	}
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		s.write(kind, in)
		reply(w, http.StatusOK, s.objects[kind][name])
	case !exists:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, old)
	case revision != 0 && revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut:
		s.write(kind, in)
		reply(w, http.StatusOK, s.objects[kind][name])
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}
