package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in the settings.
type Fault struct {
	// Source is the name of the file, "environment", "flag" or "default".
	Source string `json:"source"`
	// Line is the line in the file, counted from 1, or 0 for other sources.
	Line int `json:"line,omitempty"`
	// Field is the path of the setting, such as platform.rates.claims.
	Field string `json:"field,omitempty"`
	// Reason describes the error and the allowed values.
	Reason string `json:"reason"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	text := f.Source
	if f.Line > 0 {
		text += fmt.Sprintf(":%d", f.Line)
	}
	if f.Field != "" {
		text += ": " + f.Field
	}
	return text + ": " + f.Reason
}

// InvalidError lists all faults of the settings.
type InvalidError struct {
	Faults []Fault
}

// Error returns one line per fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, "invalid settings:")
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}
