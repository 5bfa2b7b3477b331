package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
	"bergamotrudder.example/bergamotrudder/pkg/sheet"
)

func (s *Server) getConfiguration(w http.ResponseWriter, _ *http.Request) *problem.Problem {
	cfg, p := s.current()
	if p != nil {
		return p
	}
	setETag(w, cfg.Generation())
	return writeJSON(w, Configuration{Generation: cfg.Generation(), Document: cfg.Document()})
}

func (s *Server) getSheet(w http.ResponseWriter, _ *http.Request) *problem.Problem {
	cfg, p := s.current()
	if p != nil {
		return p
	}
	var b bytes.Buffer
	if err := sheet.Export(&b, cfg); err != nil {
		return problem.New(http.StatusInternalServerError, ReasonInternal, err.Error())
	}
	setETag(w, cfg.Generation())
	w.Header().Set("Content-Type", sheet.ContentType)
	_, _ = w.Write(b.Bytes())
	return nil
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) *problem.Problem {
	status, err := s.deps.Status(r.Context())
	if err != nil {
		return problem.New(http.StatusServiceUnavailable, ReasonInternal, err.Error())
	}
	status.FailureDomains = failureDomains(s.deps.Current(), status.Upstreams)
	return writeJSON(w, status)
}

// failureDomains counts the upstreams of each configured failure domain by state.
func failureDomains(cfg *fleet.Configuration, upstreams []UpstreamStatus) []FailureDomainStatus {
	if cfg == nil {
		return nil
	}
	domains := slices.Clone(cfg.Document().FailureDomains)
	slices.SortFunc(domains, func(a, b fleet.FailureDomain) int { return strings.Compare(a.Name, b.Name) })
	out := make([]FailureDomainStatus, 0, len(domains))
	index := make(map[string]int, len(domains))
	for _, d := range domains {
		index[d.Name] = len(out)
		out = append(out, FailureDomainStatus{
			Name:         d.Name,
			Region:       d.Region,
			OutOfService: d.OutOfService,
			States:       make(map[UpstreamState]int),
		})
	}
	for _, u := range upstreams {
		if i, ok := index[u.FailureDomain]; ok {
			out[i].Upstreams++
			out[i].States[u.State]++
		}
	}
	return out
}

func (s *Server) getDump(w http.ResponseWriter, r *http.Request) *problem.Problem {
	address, p := s.instanceAddress(r)
	if p != nil {
		return p
	}
	b, err := s.deps.Dump(r.Context(), address)
	if err != nil {
		return problem.New(http.StatusBadGateway, ReasonUnreachable, err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
	return nil
}

// instanceAddress returns the peer address of the instance in the query. Only known
// instances are called, because the call sends the shared secret.
func (s *Server) instanceAddress(r *http.Request) (string, *problem.Problem) {
	name := r.URL.Query().Get("instance")
	if name == "" {
		return "", nil
	}
	status, err := s.deps.Status(r.Context())
	if err != nil {
		return "", problem.New(http.StatusServiceUnavailable, ReasonInternal, err.Error())
	}
	for _, p := range status.Processes {
		if p.Name == name {
			return p.Address, nil
		}
	}
	return "", problem.New(http.StatusNotFound, ReasonUnknownInstance, "no instance has the name "+name)
}

func writeJSON(w http.ResponseWriter, v any) *problem.Problem {
	b, err := json.Marshal(v)
	if err != nil {
		return problem.New(http.StatusInternalServerError, ReasonInternal, err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
	return nil
}
