package store

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Defaults of Config.
const (
	DefaultHistory          = 4096
	DefaultHistoryBytes     = 32 << 20
	DefaultMaxObjectBytes   = 1 << 20
	DefaultBookmarkInterval = 10 * time.Second
)

// Config sets the limits of the stand-in; zero values take the defaults.
type Config struct {
	// History is the maximum number of events stored for watches.
	History int
	// HistoryBytes bounds the total size of the specs of these events.
	HistoryBytes int
	// MaxObjectBytes bounds the size of the spec of an object.
	MaxObjectBytes int
	// BookmarkInterval is the time between the bookmarks of a watch.
	BookmarkInterval time.Duration
	// Seed makes the selection of lost replies reproducible.
	Seed uint64
}

// Faults are the failures that the store injects.
type Faults struct {
	// Down closes every connection without a reply and without an effect.
	Down bool `json:"down"`
	// DelayMs delays each call before its effect, in milliseconds. The call takes
	// effect even when the caller has disconnected by then.
	DelayMs int64 `json:"delayMs"`
	// LoseProbability is the fraction of writes whose reply is lost after the effect.
	LoseProbability float64 `json:"loseProbability"`
	// LoseNextWrites is the number of following writes whose reply is lost after the effect.
	LoseNextWrites int `json:"loseNextWrites"`
}

// Counters is the number of calls by kind and verb.
type Counters map[string]map[string]int64

// Server is the stand-in, which is an http.Handler.
type Server struct {
	cfg Config
	mux *http.ServeMux

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	counters Counters
	version  uint64
	dropped  uint64
	objects  map[collection]map[string]object
	history  []event
	// historyBytes is the size of the specs in history.
	historyBytes int
	changed      chan struct{}
}

type collection struct {
	namespace string
	kind      string
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	Namespace       string `json:"namespace,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

// event is a change of an object; versions increase over all collections.
type event struct {
	version   uint64
	in        collection
	eventType string
	object    object
}

// New returns an empty store.
func New(cfg Config) *Server {
	if cfg.History <= 0 {
		cfg.History = DefaultHistory
	}
	if cfg.HistoryBytes <= 0 {
		cfg.HistoryBytes = DefaultHistoryBytes
	}
	if cfg.MaxObjectBytes <= 0 {
		cfg.MaxObjectBytes = DefaultMaxObjectBytes
	}
	if cfg.BookmarkInterval <= 0 {
		cfg.BookmarkInterval = DefaultBookmarkInterval
	}
	s := &Server{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		counters: make(Counters),
		objects:  make(map[collection]map[string]object),
		changed:  make(chan struct{}),
		// A watch treats version 0 as "from now on", so the first list must have another version.
		version: 1,
		dropped: 1,
	}
	const items = "/apis/bergamotrudder.example/v1/namespaces/{namespace}/{kind}"
	s.mux.HandleFunc("GET "+items, s.api(s.list))
	s.mux.HandleFunc("POST "+items, s.api(s.create))
	s.mux.HandleFunc("GET "+items+"/{name}", s.api(s.get))
	s.mux.HandleFunc("PUT "+items+"/{name}", s.api(s.update))
	s.mux.HandleFunc("PUT "+items+"/{name}/status", s.api(s.updateStatus))
	s.mux.HandleFunc("DELETE "+items+"/{name}", s.api(s.remove))
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /admin/counters", s.getCounters)
	s.mux.HandleFunc("DELETE /admin/counters", s.resetCounters)
	return s
}

// ServeHTTP serves the object API and the admin paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// notifyWatches makes the watches read new events. The caller holds mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}
