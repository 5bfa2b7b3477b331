package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	// Source is the file's name, "environment" or "flag".
	Source string `json:"source"`
	// Line is the line in the file, counted from 1; 0 outside files.
	Line int `json:"line,omitempty"`
	// Field is the path of the setting, such as platform.rates.claims.
	Field string `json:"field,omitempty"`
	// Reason says what is wrong and what is allowed.
	Reason string `json:"reason"`
}

// String gives the fault in one line.
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

// InvalidError lists every fault of the settings.
type InvalidError struct {
	Faults []Fault
}

// Error gives one fault per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, "invalid settings:")
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}
