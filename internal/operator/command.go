package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
	"bergamotrudder.example/bergamotrudder/pkg/sheet"
)

func (s *Server) putSheet(w http.ResponseWriter, r *http.Request) *problem.Problem {
	b, p := readBody(w, r, sheet.MaxBytes)
	if p != nil {
		return p
	}
	parsed, err := sheet.Parse(bytes.NewReader(b))
	if err != nil {
		return s.sheetProblem(err)
	}
	for try := 0; ; try++ {
		result, p := s.applySheet(r, parsed)
		if p == nil {
			setETag(w, result.Generation)
			return writeJSON(w, result)
		}
		if p.Reason != ReasonConfigurationChanged || try == maxReplans || r.Context().Err() != nil {
			return p
		}
		s.pause(r.Context(), replanDelay)
	}
}

func (s *Server) applySheet(r *http.Request, parsed *sheet.Sheet) (PutResult, *problem.Problem) {
	cfg, p := s.current()
	if p != nil {
		return PutResult{}, p
	}
	if p := precondition(r, cfg.Generation(), false); p != nil {
		return PutResult{}, p
	}
	changes, doc, err := sheet.Plan(cfg, parsed)
	if err != nil {
		return PutResult{}, s.sheetProblem(err)
	}
	result := PutResult{Generation: cfg.Generation(), Changes: changes, DryRun: isDryRun(r)}
	if result.DryRun || len(changes) == 0 {
		return result, nil
	}
	result.Generation, p = s.commit(r, cfg.Generation(), doc)
	if p != nil {
		return PutResult{}, p
	}
	for _, c := range changes {
		s.deps.Logger.Info().Uint64("generation", result.Generation).Str("kind", string(c.Kind)).Str("item", c.Name).
			Str("field", string(c.Field)).Str("from", c.From).Str("to", c.To).Msg("sheet changed an item")
	}
	return result, nil
}

// putConfiguration commits a whole document. On an entry without a configuration the
// generation in force is 0, which lets operators commit the first one.
func (s *Server) putConfiguration(w http.ResponseWriter, r *http.Request) *problem.Problem {
	base := uint64(0)
	if cfg := s.deps.Current(); cfg != nil {
		base = cfg.Generation()
	}
	if p := precondition(r, base, true); p != nil {
		return p
	}
	b, p := readBody(w, r, MaxDocumentBytes)
	if p != nil {
		return p
	}
	doc, p := decodeDocument(b)
	if p != nil {
		return p
	}
	if _, err := fleet.New(base+1, doc); err != nil {
		return configurationProblem(err)
	}
	result := PutResult{Generation: base, DryRun: isDryRun(r)}
	if !result.DryRun {
		if result.Generation, p = s.commit(r, base, doc); p != nil {
			return p
		}
	}
	setETag(w, result.Generation)
	return writeJSON(w, result)
}

// commit publishes the document and converts a failure to a problem that reports
// whether the commit may be in force.
func (s *Server) commit(r *http.Request, base uint64, doc fleet.Document) (uint64, *problem.Problem) {
	generation, err := s.deps.Commit(r.Context(), base, doc)
	if err == nil {
		return generation, nil
	}
	var invalid *fleet.InvalidError
	if errors.As(err, &invalid) {
		return 0, configurationProblem(err)
	}
	p := problem.New(http.StatusInternalServerError, ReasonInternal, err.Error())
	switch s.deps.Classify(err) {
	case CommitConflict:
		p = problem.New(http.StatusConflict, ReasonConfigurationChanged, err.Error())
		p.RetryAfterMs = retryAfterMs
	case CommitNotWritten:
		p = problem.New(http.StatusServiceUnavailable, ReasonNotWritten, err.Error())
		p.RetryAfterMs = retryAfterMs
	case CommitUnresolved:
		p = problem.New(http.StatusGatewayTimeout, ReasonUnresolved, err.Error())
		p.RetryAfterMs = retryAfterMs
		p.Execution = fleet.Unknown
		return 0, p
	}
	p.Execution = fleet.NotStarted
	p.Generation = base
	return 0, p
}

// precondition checks If-Match against the generation in force.
func precondition(r *http.Request, generation uint64, required bool) *problem.Problem {
	match := strings.TrimSpace(r.Header.Get("If-Match"))
	tag := strconv.Quote(strconv.FormatUint(generation, 10))
	if match == tag || match == "*" || (match == "" && !required) {
		return nil
	}
	p := problem.New(http.StatusPreconditionFailed, ReasonPreconditionFailed,
		fmt.Sprintf("If-Match is %s, but generation %s is in force", match, tag))
	if match == "" {
		p = problem.New(http.StatusPreconditionRequired, ReasonPreconditionMissing,
			"If-Match with the quoted generation that the document is based on is required")
	}
	p.Execution = fleet.NotStarted
	p.Generation = generation
	return p
}

// sheetProblem converts an error of parsing or planning to a problem that lists the
// faulty rows.
func (s *Server) sheetProblem(err error) *problem.Problem {
	var invalid *sheet.InvalidError
	var conflict *sheet.ConflictError
	p := problem.New(http.StatusBadRequest, ReasonMalformed, err.Error())
	switch {
	case errors.As(err, &invalid):
		p = problem.New(http.StatusUnprocessableEntity, ReasonInvalidSheet, "the sheet has faults; nothing was changed")
		p.Faults = sheetFaults(invalid.Faults)
	case errors.As(err, &conflict):
		p = problem.New(http.StatusConflict, ReasonSheetConflict, fmt.Sprintf(
			"the sheet of generation %d conflicts with generation %d in force; nothing was changed", conflict.Sheet, conflict.Current))
		p.Faults = sheetFaults(conflict.Faults)
		p.Generation = conflict.Current
	}
	p.Execution = fleet.NotStarted
	return p
}

func sheetFaults(faults []sheet.Fault) []problem.Fault {
	out := make([]problem.Fault, 0, len(faults))
	for _, f := range faults {
		out = append(out, problem.Fault{Row: f.Row, Field: string(f.Column), Reason: f.Reason})
	}
	return out
}

func configurationProblem(err error) *problem.Problem {
	p := problem.New(http.StatusUnprocessableEntity, ReasonInvalidConfiguration, "the configuration has faults; nothing was changed")
	p.Execution = fleet.NotStarted
	var invalid *fleet.InvalidError
	if !errors.As(err, &invalid) {
		p.Detail = err.Error()
		return p
	}
	for _, f := range invalid.Faults {
		p.Faults = append(p.Faults, problem.Fault{Item: f.Item, Reason: f.Reason})
	}
	return p
}

func decodeDocument(b []byte) (fleet.Document, *problem.Problem) {
	var doc fleet.Document
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	err := dec.Decode(&doc)
	if err == nil && dec.More() {
		err = errors.New("there is more after the document")
	}
	if err != nil {
		p := problem.New(http.StatusBadRequest, ReasonMalformed, "the document is malformed: "+err.Error())
		p.Execution = fleet.NotStarted
		p.Faults = []problem.Fault{{Row: 1 + bytes.Count(b[:min(int(dec.InputOffset()), len(b))], []byte("\n")), Reason: err.Error()}}
		return doc, p
	}
	return doc, nil
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *problem.Problem) {
	control := http.NewResponseController(w)
	// Not every response writer supports a read deadline; those of tests don't.
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return b, nil
	}
	var tooLarge *http.MaxBytesError
	p := problem.New(http.StatusBadRequest, ReasonMalformed, "the body could not be read: "+err.Error())
	if errors.As(err, &tooLarge) {
		p = problem.New(http.StatusRequestEntityTooLarge, ReasonTooLarge, fmt.Sprintf("the body has more than the allowed %d bytes", maxBytes))
	}
	p.Execution = fleet.NotStarted
	return nil, p
}

func isDryRun(r *http.Request) bool {
	v, err := strconv.ParseBool(r.URL.Query().Get("dryRun"))
	return err == nil && v
}
