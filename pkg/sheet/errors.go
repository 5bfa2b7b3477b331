package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with a sheet.
type Fault struct {
	// Row is the line of the sheet, counted from 1; 0 means the whole sheet.
	Row int `json:"row,omitempty"`
	// Column is empty when the whole row is at fault.
	Column Column `json:"column,omitempty"`
	// Reason says what is wrong and what is allowed.
	Reason string `json:"reason"`
}

// String gives the fault in one line.
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

// InvalidError lists everything wrong with a sheet, rows in conflict included.
type InvalidError struct {
	Faults []Fault
}

// Error gives one fault per line.
func (e *InvalidError) Error() string { return "invalid sheet:\n" + join(e.Faults) }

// ConflictError lists the rows of an otherwise valid sheet that would change items
// that were changed after the sheet was exported.
type ConflictError struct {
	// Sheet is the generation that the sheet was exported from.
	Sheet uint64
	// Current is the generation in force.
	Current uint64
	Faults  []Fault
}

// Error gives one row per line.
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
