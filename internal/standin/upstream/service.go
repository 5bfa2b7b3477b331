package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

// Paths of a plain service.
const (
	// LookupPath is the path of an idempotent call.
	LookupPath = "/lookup"
	// BookingPath is the path of a call that is not idempotent: each call takes effect.
	BookingPath = "/booking"
	// LoadPath returns the load report of the service.
	LoadPath = "/load"
)

// ServiceConfig describes a stand-in for a plain service. Zero values take the defaults.
type ServiceConfig struct {
	// Name is the prefix of the identity.
	Name string
	// Kind is part of each response; interchangeable services have the same kind.
	Kind string
	Load LoadConfig
	// Time is the duration of one call.
	Time time.Duration
	// Padding is the number of bytes added to each response.
	Padding int
	// MaxRecords bounds the number of stored records.
	MaxRecords int
}

// Service is a stand-in for a plain service. A booking that has started takes
// effect even when its client disconnects; a lookup is aborted.
type Service struct {
	*standin
	cfg ServiceConfig
}

// NewService returns a stand-in for a plain service, which is an http.Handler.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{standin: newStandin(cfg.Name, cfg.Load, cfg.MaxRecords), cfg: cfg}
	s.mux.HandleFunc("POST "+LookupPath, s.serve)
	s.mux.HandleFunc("POST "+BookingPath, s.serve)
	s.mux.HandleFunc("GET "+LoadPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.capacity.report()) })
	return s
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	if err != nil || !json.Valid(input) {
		writeError(w, http.StatusBadRequest, errors.New("the body is not a JSON document"))
		return
	}
	rec := Record{
		Path:     r.URL.Path,
		Input:    string(input),
		Digest:   Digest(input),
		Priority: r.Header.Get(engine.PriorityHeader),
	}
	booking := r.URL.Path == BookingPath
	s.run(w, r, rec, 0, func(ctx context.Context, a *activeCall) (int, error) {
		if booking {
			ctx = context.WithoutCancel(ctx)
		}
		if err := a.work(ctx, s.cfg.Time); err != nil {
			return 0, err
		}
		return 0, s.reply(w, ServiceOutput(s.cfg.Kind, input, s.cfg.Padding))
	})
}
