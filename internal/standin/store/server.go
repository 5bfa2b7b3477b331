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

// Config bounds the stand-in; zero values take the defaults.
type Config struct {
	// History is the number of events kept for watches.
	History int
	// HistoryBytes bounds the specs of these events.
	HistoryBytes int
	// MaxObjectBytes bounds the spec of an object.
	MaxObjectBytes int
	// BookmarkInterval is the time between the bookmarks of a watch.
	BookmarkInterval time.Duration
	// Seed seeds the choice of lost replies.
	Seed uint64
}

// Faults is what is wrong with the store.
type Faults struct {
	// Down cuts every connection without a reply and without an effect.
	Down bool `json:"down"`
	// DelayMs delays each call before its effect, in milliseconds. The effect
	// happens even when the caller has gone by then.
	DelayMs int64 `json:"delayMs"`
	// LoseProbability is the share of writes whose reply is lost after the effect.
	LoseProbability float64 `json:"loseProbability"`
	// LoseNextWrites is the number of writes from now whose reply is lost after the effect.
	LoseNextWrites int `json:"loseNextWrites"`
}

// Counters is the number of calls by kind and verb.
type Counters map[string]map[string]int64

// Server is the stand-in. It is an http.Handler.
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
}

// event is one change; version orders all events.
type event struct {
	version uint64
	in      collection
	verb    string
	object  object
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
		// A watch takes version 0 for "from now on", so the first list must be at another.
		version: 1,
		dropped: 1,
	}
	const items = "/apis/bergamotrudder.example/v1/namespaces/{namespace}/{kind}"
	s.mux.HandleFunc("GET "+items, s.api(s.list))
	s.mux.HandleFunc("POST "+items, s.api(s.create))
	s.mux.HandleFunc("GET "+items+"/{name}", s.api(s.get))
	s.mux.HandleFunc("PUT "+items+"/{name}", s.api(s.update))
	s.mux.HandleFunc("DELETE "+items+"/{name}", s.api(s.remove))
	s.mux.HandleFunc("GET /admin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("GET /admin/counters", s.getCounters)
	s.mux.HandleFunc("DELETE /admin/counters", s.resetCounters)
	return s
}

// ServeHTTP serves the object API and the admin path.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// wake lets the watches look at the history again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
