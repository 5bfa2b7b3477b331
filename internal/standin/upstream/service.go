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
	// LookupPath is idempotent.
	LookupPath = "/lookup"
	// BookingPath takes effect each time that it is called.
	BookingPath = "/booking"
	// LoadPath gives the service's own load report.
	LoadPath = "/load"
)

// ServiceConfig describes a stand-in for a plain service. Zero values take the defaults.
type ServiceConfig struct {
	// Name begins the identity.
	Name string
	// Kind is named in the answers and is the same for services that stand in for each other.
	Kind string
	Load LoadConfig
	// Time is the time of one call.
	Time time.Duration
	// Padding is added to each reply, in bytes.
	Padding int
	// MaxRecords bounds the records that are kept.
	MaxRecords int
}

// Service is a stand-in for a plain service. A booking that has begun takes
// effect even when its client has gone; a lookup does not.
type Service struct {
	*standin
	cfg ServiceConfig
}

// NewService returns a stand-in service, which is an http.Handler.
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
		refuse(w, http.StatusBadRequest, errors.New("the body is not a JSON document"))
		return
	}
	rec := Record{
		Path:     r.URL.Path,
		Input:    string(input),
		Digest:   Digest(input),
		Priority: r.Header.Get(engine.PriorityHeader),
	}
	booking := r.URL.Path == BookingPath
	s.run(w, r, rec, 0, func(ctx context.Context, v *visit) (int, error) {
		if booking {
			ctx = context.WithoutCancel(ctx)
		}
		if err := v.work(ctx, s.cfg.Time); err != nil {
			return 0, err
		}
		return 0, s.reply(w, ServiceOutput(s.cfg.Kind, input, s.cfg.Padding))
	})
}
