package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store. Its specification may hold any bytes, as its writer left them.
type object struct {
	name     string
	revision int
	created  int
	spec     string
	status   string
}

func (o object) text() string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":%d,"finalizers":[],"deleting":false},"specification":%s,"status":%s}`, o.name, o.revision, o.created, orNull(o.spec), orNull(o.status))
}

func orNull(s string) string {
	if s == "" {
		return "null"
	}
	return s
}

type change struct {
	kind    string
	object  object
	deleted bool
}

// store is a stand-in of the platform's store: linearizable, with lists in pages, conditional
// writes and watches with a bounded history.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	revision int
	history  []change
	at       []time.Time
	dropped  int
	keep     time.Duration
	changed  chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]object), revision: 1, dropped: 1, keep: 20 * time.Second, changed: make(chan struct{})}
}

const (
	objectsPath = "/bergamotrudder/objects/"
	pageItems   = 500
)

// put writes an object as the operator, a server or another writer does, and returns the time of
// the acknowledgement.
func (s *store) put(kind, name, spec string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.name, o.spec = name, spec
	s.set(kind, o)
	return time.Now()
}

// remove removes an object and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
	return time.Now()
}

func (s *store) set(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if old, ok := s.objects[kind][o.name]; ok && old.spec == o.spec && old.status == o.status {
		return old
	}
	s.revision++
	o.revision = s.revision
	if o.created == 0 {
		o.created = s.revision
	}
	s.objects[kind][o.name] = o
	s.record(change{kind: kind, object: o})
	return o
}

func (s *store) delete(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.revision = s.revision
	s.record(change{kind: kind, object: o, deleted: true})
}

func (s *store) record(c change) {
	now := time.Now()
	s.history, s.at = append(s.history, c), append(s.at, now)
	for len(s.at) > 0 && now.Sub(s.at[0]) > s.keep {
		s.dropped = s.history[0].object.revision
		s.history, s.at = s.history[1:], s.at[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, r, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text))
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o, ok := s.objects[kind][name]; ok {
			reply(w, http.StatusOK, o.text())
			return
		}
		reply(w, http.StatusNotFound, "{}")
		return
	}
	var names []string
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var items []string
	for _, n := range names[:min(len(names), pageItems)] {
		items = append(items, s.objects[kind][n].text())
	}
	reply(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"hasMore":%t,"currentRev":%d}`, strings.Join(items, ","), len(names) > pageItems, s.revision))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		text, code, found, changed := s.changesSince(kind, after)
		if code != http.StatusOK || found {
			reply(w, code, text)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, code, text)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesSince(kind string, after int) (text string, code int, found bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped || after > s.revision {
		return "{}", http.StatusGone, false, nil
	}
	var events []string
	for _, c := range s.history {
		if c.kind == kind && c.object.revision > after {
			events = append(events, fmt.Sprintf(`{"deleted":%t,"object":%s}`, c.deleted, c.object.text()))
		}
	}
	return fmt.Sprintf(`{"events":[%s],"currentRev":%d}`, strings.Join(events, ","), s.revision), http.StatusOK, len(events) > 0, s.changed
}

// write serves the writes of the system's processes.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int    `json:"revision"`
		} `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
		Status        json.RawMessage `json:"status"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, "{}")
			return
		}
	}
	revision := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.Atoi(text)
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	if name == "" {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, revision != 0 && exists && old.revision != revision:
		reply(w, http.StatusConflict, old.text())
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.set(kind, object{name: name, spec: string(body.Specification)}).text())
	case !exists:
		reply(w, http.StatusNotFound, "{}")
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		reply(w, http.StatusOK, "{}")
	case isStatus:
		old.status = string(body.Status)
		reply(w, http.StatusOK, s.set(kind, old).text())
	default:
		old.spec = string(body.Specification)
		reply(w, http.StatusOK, s.set(kind, old).text())
	}
}
