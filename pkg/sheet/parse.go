package sheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

var byteOrderMark = []byte("\xef\xbb\xbf")

// Parse reads a sheet. The error is an *InvalidError that lists all faults, unless
// reading from r fails.
func Parse(r io.Reader) (*Sheet, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading the sheet")
	}
	p := &parser{sheet: &Sheet{}, cells: make(map[cellKey]cell)}
	if len(b) > MaxBytes {
		p.fail(0, "", "has more than the allowed %d bytes", MaxBytes)
	} else {
		p.read(bytes.TrimPrefix(b, byteOrderMark))
	}
	if len(p.faults) > 0 {
		sortFaults(p.faults)
		return nil, &InvalidError{Faults: p.faults}
	}
	return p.sheet, nil
}

type parser struct {
	sheet  *Sheet
	header []Column
	// generationRow is the number of the line in which the row of kind generation starts, or 0.
	generationRow int
	// cells contains the first value of each field, to detect contradictions.
	cells  map[cellKey]cell
	faults []Fault
}

type cellKey struct {
	kind   Kind
	name   string
	column Column
}

type cell struct {
	line  int
	value string
}

func (p *parser) fail(line int, column Column, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: line, Column: column, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) read(b []byte) {
	r := csv.NewReader(bytes.NewReader(b))
	r.FieldsPerRecord = -1
	r.Comment = '#'
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.syntax(err)
			continue
		}
		line, _ := r.FieldPos(0)
		if p.header == nil {
			if !p.readHeader(line, record) {
				return
			}
			continue
		}
		p.record(line, record)
	}
	p.finish()
}

func (p *parser) syntax(err error) {
	var syntax *csv.ParseError
	if errors.As(err, &syntax) {
		p.fail(syntax.StartLine, "", "is no valid CSV: %v", syntax.Err)
		return
	}
	p.fail(0, "", "is no valid CSV: %v", err)
}

func (p *parser) readHeader(line int, record []string) bool {
	before := len(p.faults)
	for _, text := range record {
		c := Column(strings.TrimSpace(text))
		switch {
		case len(record) == 1 && strings.ContainsAny(text, ";\t"):
			p.fail(line, "", "the columns must be separated by commas")
			return false
		case !slices.Contains(columns, c):
			p.fail(line, "", "column %q is unknown, allowed are %s", c, columnNames())
		case slices.Contains(p.header, c):
			p.fail(line, c, "the column appears twice")
		}
		p.header = append(p.header, c)
	}
	for _, c := range []Column{ColumnKind, ColumnName} {
		if !slices.Contains(p.header, c) {
			p.fail(line, c, "the column is missing")
		}
	}
	return len(p.faults) == before
}

func columnNames() string {
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, string(c))
	}
	return strings.Join(names, ", ")
}

func (p *parser) record(line int, record []string) {
	rw := row{line: line, cells: make(map[Column]string)}
	for i, text := range record {
		text = strings.TrimSpace(text)
		switch {
		case text == "":
		case i >= len(p.header):
			p.fail(line, "", "has the value %q beyond the last column", text)
		case p.header[i] == ColumnKind:
			rw.kind = Kind(text)
		case p.header[i] == ColumnName:
			rw.name = text
		default:
			rw.cells[p.header[i]] = text
		}
	}
	if rw.kind == "" && rw.name == "" && len(rw.cells) == 0 {
		return
	}
	p.row(rw)
}

func (p *parser) row(rw row) {
	allowed, ok := applicable[rw.kind]
	if !ok {
		p.fail(rw.line, ColumnKind, "is %q, allowed are %s", rw.kind, kindNames)
		return
	}
	for _, c := range columns {
		text, ok := rw.cells[c]
		if !ok {
			continue
		}
		if !slices.Contains(allowed, c) {
			p.fail(rw.line, c, "doesn't apply to a row of kind %s", rw.kind)
			continue
		}
		p.cell(&rw, c, text)
	}
	switch {
	case rw.name == "":
		p.fail(rw.line, ColumnName, "is missing")
	case rw.kind == KindGeneration:
		p.generation(rw)
	case rw.kind == KindRule && strings.Count(rw.name, "/") != 1:
		p.fail(rw.line, ColumnName, "is %q, a rule's name is organisation/pipeline or organisation/*", rw.name)
	default:
		p.contradictions(rw)
		p.sheet.rows = append(p.sheet.rows, rw)
	}
}

// cell checks one value and stores it in its canonical form.
func (p *parser) cell(rw *row, c Column, text string) {
	switch c {
	case ColumnState:
		if text != stateIn && text != stateOut {
			p.fail(rw.line, c, "is %q, allowed are in, out", text)
		}
	case ColumnCapacity:
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > fleet.MaxCapacity {
			p.fail(rw.line, c, "is %q, allowed are 0 (the stage's capacity) to %d calls in flight", text, fleet.MaxCapacity)
			return
		}
		rw.cells[c] = strconv.Itoa(n)
	case ColumnPriority, ColumnDefaultPriority:
		if _, err := fleet.ParsePriority(text); err != nil {
			p.fail(rw.line, c, "is %q, allowed are batch, normal, high, critical", text)
		}
	}
}

func (p *parser) generation(rw row) {
	if p.generationRow > 0 {
		p.fail(rw.line, "", "names the generation again after row %d", p.generationRow)
		return
	}
	n, err := strconv.ParseUint(rw.name, 10, 64)
	if err != nil {
		p.fail(rw.line, ColumnName, "is %q, the generation must be a whole number", rw.name)
	}
	p.generationRow = rw.line
	p.sheet.generation = n
}

// contradictions reports values that differ from those of an earlier row for the same field.
func (p *parser) contradictions(rw row) {
	for _, c := range columns {
		value, ok := rw.cells[c]
		if !ok {
			continue
		}
		key := cellKey{kind: rw.kind, name: rw.name, column: c}
		first, ok := p.cells[key]
		if !ok {
			p.cells[key] = cell{line: rw.line, value: value}
		} else if first.value != value {
			p.contradiction(first, cell{line: rw.line, value: value}, c)
		}
	}
}

func (p *parser) contradiction(a, b cell, c Column) {
	p.fail(a.line, c, "is %q here and %q in row %d", a.value, b.value, b.line)
	p.fail(b.line, c, "is %q here and %q in row %d", b.value, a.value, a.line)
}

func (p *parser) finish() {
	if p.header == nil {
		p.fail(0, "", "has no header, the columns are %s", columnNames())
		return
	}
	if p.generationRow == 0 {
		p.fail(0, "", "has no row of kind generation with the generation that it was exported from")
	}
	for _, rw := range p.sheet.rows {
		value, ok := rw.cells[ColumnPriority]
		if rw.kind != KindRule || !ok {
			continue
		}
		organisationCell, ok := p.cells[cellKey{kind: KindOrganisation, name: organisationOf(rw.name), column: ColumnPriority}]
		if ok && organisationCell.value != value {
			p.contradiction(organisationCell, cell{line: rw.line, value: value}, ColumnPriority)
		}
	}
}
