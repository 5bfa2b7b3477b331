package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a sheet.
type Fault struct {
	// Row is the number of the line in which the row starts, counted from 1; 0 means the
	// whole sheet.
	Row int `json:"row,omitempty"`
	// Column is the column of the cell, or empty if the fault applies to the whole row.
	Column Column `json:"column,omitempty"`
	// Reason describes the error and the allowed values.
	Reason string `json:"reason"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	where := "sheet"
	if f.Row > 0 {
		where = fmt.Sprintf("row %d", f.Row)
	}
	if f.Column != "" {
		where += ", " + string(f.Column)
	}
	return where + ": " + f.Reason
}

// InvalidError lists all faults of a sheet, including conflicting rows.
type InvalidError struct {
	Faults []Fault
}

// Error returns one line per fault.
func (e *InvalidError) Error() string { return "invalid sheet:\n" + join(e.Faults) }

// ConflictError lists the rows of an otherwise valid sheet that would modify items that
// were changed after the sheet was exported. A sheet from a generation later than Current
// is a conflict of the whole sheet.
type ConflictError struct {
	// Sheet is the generation that the sheet was exported from.
	Sheet uint64
	// Current is the generation in force.
	Current uint64
	Faults  []Fault
}

// Error returns one line per conflicting row.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the sheet of generation %d conflicts with generation %d in force:\n%s", e.Sheet, e.Current, join(e.Faults))
}

func join(faults []Fault) string {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Row, b.Row) })
}
