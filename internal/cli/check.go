package cli

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
	"bergamotrudder.example/bergamotrudder/pkg/sheet"
)

// checkResult is the result of the check of one file.
type checkResult struct {
	File   string       `json:"file"`
	Kind   string       `json:"kind"`
	Valid  bool         `json:"valid"`
	Error  string       `json:"error,omitempty"`
	Faults []checkFault `json:"faults,omitempty"`
	code   int
}

type checkFault struct {
	Line   int    `json:"line,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// Run checks every file and reports all faults of all files.
func (c *checkCommand) Run(a *app) error {
	if c.Table != "" {
		return c.table(a)
	}
	if c.Configuration != "" {
		return c.configuration(a)
	}
	if c.Against != "" {
		return usageErrorf("--against needs --configuration")
	}
	if len(c.Files) == 0 {
		return usageErrorf("check needs a file, --configuration or --table")
	}
	results := make([]checkResult, 0, len(c.Files))
	code := ExitSuccess
	for _, name := range c.Files {
		r := checkFile(name)
		results = append(results, r)
		code = max(code, r.code)
		if !a.json {
			r.print(a)
		}
	}
	if a.json {
		if err := printJSON(a.out, results); err != nil {
			return err
		}
	}
	if code != ExitSuccess {
		return &reportedError{code: code}
	}
	return nil
}

func (c *checkCommand) table(a *app) error {
	if a.json {
		return printJSON(a.out, settings.Table(fleet.Role(c.Table)))
	}
	return settings.WriteTable(a.out, fleet.Role(c.Table))
}

func checkFile(name string) checkResult {
	r := checkResult{File: name, Kind: "settings"}
	limit := int64(settings.MaxFileBytes)
	if strings.EqualFold(filepath.Ext(name), ".csv") {
		r.Kind = "sheet"
		limit = sheet.MaxBytes
	}
	b, err := readInput(nil, name, limit)
	if err != nil {
		r.code = exitCode(err)
		r.Error = err.Error()
		return r
	}
	if r.Kind == "sheet" {
		r.sheet(b)
	} else {
		r.settings(b)
	}
	r.Valid = r.code == ExitSuccess
	return r
}

func (r *checkResult) sheet(b []byte) {
	_, err := sheet.Parse(bytes.NewReader(b))
	var invalid *sheet.InvalidError
	if errors.As(err, &invalid) {
		r.code = ExitUsage
		for _, f := range invalid.Faults {
			r.Faults = append(r.Faults, checkFault{Line: f.Row, Field: string(f.Column), Reason: f.Reason})
		}
	}
}

func (r *checkResult) settings(b []byte) {
	role, err := settings.RoleOf(b)
	if err != nil {
		r.code = ExitUsage
		r.Error = err.Error()
		return
	}
	in := settings.Input{File: r.File, Content: b, Offline: true}
	switch role {
	case fleet.RoleEntry:
		_, err = settings.NewEntry(in)
	case fleet.RoleGateway:
		_, err = settings.NewGateway(in)
	default:
		_, err = settings.NewSidecar(in)
	}
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		r.code = ExitUsage
		for _, f := range invalid.Faults {
			r.Faults = append(r.Faults, checkFault{Line: f.Line, Field: f.Field, Reason: f.Reason})
		}
	}
}

func (r *checkResult) print(a *app) {
	if r.Valid {
		printf(a.out, "%s: valid %s\n", r.File, r.Kind)
		return
	}
	if r.Error != "" {
		printf(a.errOut, "%s: %s\n", r.File, r.Error)
	}
	for _, f := range r.Faults {
		location := r.File
		if f.Line > 0 {
			location += fmt.Sprintf(":%d", f.Line)
		}
		if f.Field != "" {
			location += ": " + f.Field
		}
		printf(a.errOut, "%s: %s\n", location, f.Reason)
	}
}
