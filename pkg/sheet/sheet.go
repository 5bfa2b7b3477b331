package sheet

import (
	"strings"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Bounds of a sheet.
const (
	// MaxBytes is the largest sheet, in bytes.
	MaxBytes = 4 << 20
	// ContentType is the media type of a sheet (RFC 7111).
	ContentType = "text/csv"
)

// Kind is what a row is about.
type Kind string

// Kinds of rows.
const (
	KindGeneration    Kind = "generation"
	KindFailureDomain Kind = "failureDomain"
	KindUpstream      Kind = "upstream"
	KindOrganisation  Kind = "organisation"
	KindRule          Kind = "rule"
)

// Column is a column of the sheet, and the field of an item that it sets.
type Column string

// Columns in the order of Export.
const (
	ColumnKind            Column = "kind"
	ColumnName            Column = "name"
	ColumnState           Column = "state"
	ColumnCapacity        Column = "capacity"
	ColumnPriority        Column = "priority"
	ColumnDefaultPriority Column = "defaultPriority"
	ColumnStage           Column = "stage"
	ColumnFailureDomain   Column = "failureDomain"
)

// Values of the state column.
const (
	stateIn  = "in"
	stateOut = "out"
)

var columns = []Column{
	ColumnKind, ColumnName, ColumnState, ColumnCapacity, ColumnPriority, ColumnDefaultPriority, ColumnStage, ColumnFailureDomain,
}

// applicable lists the columns that a row of each kind may fill in besides kind and name.
var applicable = map[Kind][]Column{
	KindGeneration:    nil,
	KindFailureDomain: {ColumnState},
	KindUpstream:      {ColumnState, ColumnCapacity, ColumnStage, ColumnFailureDomain},
	KindOrganisation:  {ColumnPriority},
	KindRule:          {ColumnPriority, ColumnDefaultPriority},
}

const kindNames = "generation, failureDomain, upstream, organisation, rule"

// Sheet is a parsed sheet without faults of its own.
type Sheet struct {
	generation uint64
	rows       []row
}

// row is one row; empty cells leave values as they are.
type row struct {
	// line is the line of the file, counted from 1.
	line  int
	kind  Kind
	name  string
	cells map[Column]string
}

// Generation returns the configuration generation that the sheet was exported from.
func (s *Sheet) Generation() uint64 { return s.generation }

// Rows returns the number of rows about items.
func (s *Sheet) Rows() int { return len(s.rows) }

// Change is one field that a sheet changes.
type Change struct {
	// Row is the line of the sheet, counted from 1.
	Row  int    `json:"row"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Field is the column that sets the value.
	Field Column `json:"field"`
	// From is the value in force, or empty for a new upstream.
	From string `json:"from"`
	To   string `json:"to"`
}

func stateOf(outOfService bool) string {
	if outOfService {
		return stateOut
	}
	return stateIn
}

func ruleName(r fleet.Rule) string { return r.Organisation + "/" + r.Pipeline }

func organisationOf(rule string) string {
	name, _, _ := strings.Cut(rule, "/")
	return name
}
