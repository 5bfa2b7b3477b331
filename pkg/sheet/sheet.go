package sheet

import (
	"strings"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Size limit and media type of a sheet.
const (
	// MaxBytes is the largest sheet, in bytes.
	MaxBytes = 4 << 20
	// ContentType is the media type of a sheet (RFC 7111).
	ContentType = "text/csv"
)

// Kind is the kind of item that a row describes.
type Kind string

// Kinds of rows.
const (
	KindGeneration    Kind = "generation"
	KindFailureDomain Kind = "failureDomain"
	KindUpstream      Kind = "upstream"
	KindOrganisation  Kind = "organisation"
	KindRule          Kind = "rule"
)

// Column is a column of the sheet and the field of an item that the column sets.
type Column string

// Columns, in the order that Export writes.
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

// applicable contains the columns, besides kind and name, that a row of each kind may set.
var applicable = map[Kind][]Column{
	KindGeneration:    nil,
	KindFailureDomain: {ColumnState},
	KindUpstream:      {ColumnState, ColumnCapacity, ColumnStage, ColumnFailureDomain},
	KindOrganisation:  {ColumnPriority},
	KindRule:          {ColumnPriority, ColumnDefaultPriority},
}

const kindNames = "generation, failureDomain, upstream, organisation, rule"

// Sheet is a parsed sheet without syntax errors or contradictions.
type Sheet struct {
	generation uint64
	rows       []row
}

// row is one row of a sheet; empty cells leave values unchanged.
type row struct {
	// line is the number of the line in which the row starts, counted from 1.
	line  int
	kind  Kind
	name  string
	cells map[Column]string
}

// Generation returns the configuration generation that the sheet was exported from.
func (s *Sheet) Generation() uint64 { return s.generation }

// Rows returns the number of rows that describe items.
func (s *Sheet) Rows() int { return len(s.rows) }

// Change is one field that a sheet changes.
type Change struct {
	// Row is the number of the line in which the row starts, counted from 1.
	Row  int    `json:"row"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Field is the column of the changed value.
	Field Column `json:"field"`
	// From is the previous value, or empty for a new upstream.
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
