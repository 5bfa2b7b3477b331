package faultproxy

import (
	"encoding/json"
	"net/http"
)

const maxRequestBytes = 64 << 10

// Admin returns the handler of the admin paths.
func (p *Proxy) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.State()) })
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.State().Faults) })
	mux.HandleFunc("PUT /admin/faults", p.putFaults)
	mux.HandleFunc("POST /admin/cut", func(http.ResponseWriter, *http.Request) { p.Cut() })
	return mux
}

func (p *Proxy) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
