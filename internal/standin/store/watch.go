package store

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

type list struct {
	APIVersion string   `json:"apiVersion"`
	Kind       string   `json:"kind"`
	Metadata   metadata `json:"metadata"`
	Items      []object `json:"items"`
}

type watchEvent struct {
	Type   string `json:"type"`
	Object any    `json:"object"`
}

const maxWatchSeconds = 3600

func isWatch(r *http.Request) bool {
	v := r.URL.Query().Get("watch")
	return v == "1" || v == "true"
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, in collection) *response {
	if isWatch(r) {
		return s.watch(w, r, in)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := list{APIVersion: "bergamotrudder.example/v1", Kind: "List", Metadata: metadata{ResourceVersion: fmt.Sprint(s.version)}, Items: []object{}}
	for _, o := range s.objects[in] {
		l.Items = append(l.Items, o)
	}
	slices.SortFunc(l.Items, func(a, b object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	return &response{status: http.StatusOK, body: l}
}

// watch streams the events after the resourceVersion. Without one it starts at the current version.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, in collection) *response {
	query := r.URL.Query()
	seconds := maxWatchSeconds
	if v := query.Get("timeoutSeconds"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			return errorResponse(http.StatusBadRequest, "BadRequest", "timeoutSeconds must be a positive number")
		}
		seconds = min(n, maxWatchSeconds)
	}
	s.mu.Lock()
	after := s.version
	if v := query.Get("resourceVersion"); v != "" && v != "0" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil || n > s.version {
			s.mu.Unlock()
			return errorResponse(http.StatusBadRequest, "BadRequest", fmt.Sprintf("resourceVersion %q is not of this store", v))
		}
		after = n
	}
	expired := after < s.dropped
	s.mu.Unlock()
	if expired {
		return expiredVersion(after)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	s.stream(w, r, in, after, time.Duration(seconds)*time.Second)
	return nil
}

func expiredVersion(after uint64) *response {
	return errorResponse(http.StatusGone, "Expired", fmt.Sprintf("resourceVersion %d is too old", after))
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, in collection, after uint64, limit time.Duration) {
	end := time.NewTimer(limit)
	defer end.Stop()
	bookmark := time.NewTicker(s.cfg.BookmarkInterval)
	defer bookmark.Stop()
	bookmarks := r.URL.Query().Get("allowWatchBookmarks") == "true"
	enc := json.NewEncoder(w)
	out := http.NewResponseController(w)
	if err := out.Flush(); err != nil {
		return
	}
	for {
		events, last, changed, ok := s.since(in, after)
		if !ok {
			_ = enc.Encode(watchEvent{Type: "ERROR", Object: expiredVersion(after).body})
			return
		}
		after = last
		for _, e := range events {
			if err := enc.Encode(watchEvent{Type: e.eventType, Object: e.object}); err != nil {
				return
			}
		}
		if err := out.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-bookmark.C:
			if !bookmarks {
				continue
			}
			o := object{APIVersion: "bergamotrudder.example/v1", Metadata: metadata{ResourceVersion: fmt.Sprint(after)}}
			if err := enc.Encode(watchEvent{Type: "BOOKMARK", Object: o}); err != nil {
				return
			}
		case <-end.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the events of the collection after a version, the current version
// and a channel that is closed by the next change. It returns false when events after
// the version were dropped. A store that is down closes the connection.
func (s *Server) since(in collection, after uint64) ([]event, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		panic(http.ErrAbortHandler)
	}
	if after < s.dropped {
		return nil, after, nil, false
	}
	start, _ := slices.BinarySearchFunc(s.history, after+1, func(e event, v uint64) int { return cmp.Compare(e.version, v) })
	var events []event
	for _, e := range s.history[start:] {
		if e.in == in {
			events = append(events, e)
		}
	}
	return events, s.version, s.changed, true
}
