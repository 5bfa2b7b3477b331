package sheet

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Plan returns the changes of the sheet and the document with these changes. It doesn't
// update ChangedAt of the items, because the commit determines the generation. The error
// is an *InvalidError, or a *ConflictError if conflicts are the only faults.
func Plan(cfg *fleet.Configuration, s *Sheet) ([]Change, fleet.Document, error) {
	p := newPlanner(cfg, s)
	for _, rw := range s.rows {
		p.row(rw)
	}
	p.lowerDefaults()
	p.checkDocument()
	if err := p.err(); err != nil {
		return nil, fleet.Document{}, err
	}
	return p.changes, p.doc, nil
}

type planner struct {
	cfg       *fleet.Configuration
	sheet     *Sheet
	doc       fleet.Document
	changes   []Change
	faults    []Fault
	conflicts []Fault
	// The maps contain indices in the lists of doc by name; rulesOf is by organisation.
	domains   map[string]int
	upstreams map[string]int
	rules     map[string]int
	rulesOf   map[string][]int
}

func newPlanner(cfg *fleet.Configuration, s *Sheet) *planner {
	doc := cfg.Document()
	doc.FailureDomains = slices.Clone(doc.FailureDomains)
	doc.Upstreams = slices.Clone(doc.Upstreams)
	doc.Rules = slices.Clone(doc.Rules)
	p := &planner{
		cfg:       cfg,
		sheet:     s,
		doc:       doc,
		domains:   indexByName(doc.FailureDomains, func(d fleet.FailureDomain) string { return d.Name }),
		upstreams: indexByName(doc.Upstreams, func(u fleet.Upstream) string { return u.Name }),
		rules:     indexByName(doc.Rules, ruleName),
		rulesOf:   make(map[string][]int),
	}
	for i, r := range doc.Rules {
		p.rulesOf[r.Organisation] = append(p.rulesOf[r.Organisation], i)
	}
	if s.generation > cfg.Generation() {
		p.conflicts = append(p.conflicts, Fault{Reason: fmt.Sprintf(
			"is of generation %d, but this process has generation %d; try again", s.generation, cfg.Generation())})
	}
	return p
}

func indexByName[T any](items []T, name func(T) string) map[string]int {
	m := make(map[string]int, len(items))
	for i, item := range items {
		m[name(item)] = i
	}
	return m
}

// checkDocument validates the changed document and attributes its faults to the rows of their items.
func (p *planner) checkDocument() {
	_, err := fleet.New(p.cfg.Generation(), p.doc)
	if err == nil {
		return
	}
	var invalid *fleet.InvalidError
	if !errors.As(err, &invalid) {
		p.faults = append(p.faults, Fault{Reason: err.Error()})
		return
	}
	rows := make(map[string]int, len(p.sheet.rows))
	for _, rw := range p.sheet.rows {
		rows[fmt.Sprintf("%s %q", rw.kind, rw.name)] = rw.line
	}
	for _, f := range invalid.Faults {
		p.faults = append(p.faults, Fault{Row: rows[f.Item], Reason: f.Item + ": " + f.Reason})
	}
}

func (p *planner) err() error {
	if len(p.faults) > 0 {
		all := slices.Concat(p.faults, p.conflicts)
		sortFaults(all)
		return &InvalidError{Faults: all}
	}
	if len(p.conflicts) > 0 {
		return &ConflictError{Sheet: p.sheet.generation, Current: p.cfg.Generation(), Faults: p.conflicts}
	}
	return nil
}

func (p *planner) fail(rw row, c Column, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: rw.line, Column: c, Reason: fmt.Sprintf(format, args...)})
}

func (p *planner) reportUnknown(rw row) {
	p.fail(rw, ColumnName, "%s %q does not exist in generation %d", rw.kind, rw.name, p.cfg.Generation())
}

// change records a change or a conflict, and reports whether the change is to be applied.
// changedAt is the generation that last changed the item.
func (p *planner) change(rw row, name string, c Column, from, to string, changedAt uint64) bool {
	if from == to {
		return false
	}
	if changedAt > p.sheet.generation {
		p.conflicts = append(p.conflicts, Fault{Row: rw.line, Column: c, Reason: fmt.Sprintf(
			"would change %q to %q, but the item was changed in generation %d, after the sheet's generation %d",
			from, to, changedAt, p.sheet.generation)})
		return false
	}
	kind := rw.kind
	if kind == KindOrganisation {
		kind = KindRule
	}
	p.changes = append(p.changes, Change{Row: rw.line, Kind: kind, Name: name, Field: c, From: from, To: to})
	return true
}

func (p *planner) row(rw row) {
	switch rw.kind {
	case KindFailureDomain:
		p.failureDomain(rw)
	case KindUpstream:
		p.upstream(rw)
	case KindOrganisation:
		p.organisation(rw)
	case KindRule:
		p.rule(rw)
	}
}

func (p *planner) failureDomain(rw row) {
	i, ok := p.domains[rw.name]
	if !ok {
		p.reportUnknown(rw)
		return
	}
	d := &p.doc.FailureDomains[i]
	if to, ok := rw.cells[ColumnState]; ok && p.change(rw, rw.name, ColumnState, stateOf(d.OutOfService), to, d.ChangedAt) {
		d.OutOfService = to == stateOut
	}
}

func (p *planner) upstream(rw row) {
	i, ok := p.upstreams[rw.name]
	if !ok {
		p.newUpstream(rw)
		return
	}
	u := &p.doc.Upstreams[i]
	p.checkUnchanged(rw, ColumnStage, u.Stage)
	p.checkUnchanged(rw, ColumnFailureDomain, u.FailureDomain)
	if to, ok := rw.cells[ColumnState]; ok && p.change(rw, rw.name, ColumnState, stateOf(u.OutOfService), to, u.ChangedAt) {
		u.OutOfService = to == stateOut
	}
	if to, ok := rw.cells[ColumnCapacity]; ok && p.change(rw, rw.name, ColumnCapacity, strconv.Itoa(u.Capacity), to, u.ChangedAt) {
		u.Capacity = number(to)
	}
}

// checkUnchanged reports a value that differs from the current one in a column that a sheet
// can't change.
func (p *planner) checkUnchanged(rw row, c Column, have string) {
	if want, ok := rw.cells[c]; ok && want != have {
		p.fail(rw, c, "is %q, but the upstream has %q, which a sheet can't change", want, have)
	}
}

func (p *planner) newUpstream(rw row) {
	stage, domain := rw.cells[ColumnStage], rw.cells[ColumnFailureDomain]
	if stage == "" || domain == "" {
		p.fail(rw, ColumnName, "upstream %q does not exist in generation %d; a new one needs stage and failureDomain", rw.name, p.cfg.Generation())
		return
	}
	u := fleet.Upstream{
		Name:          rw.name,
		Stage:         stage,
		FailureDomain: domain,
		Capacity:      number(rw.cells[ColumnCapacity]),
		OutOfService:  rw.cells[ColumnState] == stateOut,
	}
	p.upstreams[u.Name] = len(p.doc.Upstreams)
	p.doc.Upstreams = append(p.doc.Upstreams, u)
	p.change(rw, rw.name, ColumnStage, "", stage, 0)
	p.change(rw, rw.name, ColumnFailureDomain, "", domain, 0)
	p.change(rw, rw.name, ColumnState, "", stateOf(u.OutOfService), 0)
	p.change(rw, rw.name, ColumnCapacity, "", strconv.Itoa(u.Capacity), 0)
}

func (p *planner) organisation(rw row) {
	known := slices.ContainsFunc(p.doc.Organisations, func(o fleet.Organisation) bool { return o.Name == rw.name })
	if !known {
		p.reportUnknown(rw)
		return
	}
	to, ok := rw.cells[ColumnPriority]
	if !ok {
		return
	}
	for _, i := range p.rulesOf[rw.name] {
		p.maxPriority(rw, &p.doc.Rules[i], to)
	}
	if len(p.rulesOf[rw.name]) == 0 {
		p.fail(rw, ColumnPriority, "organisation %q has no rules whose priority could change", rw.name)
	}
}

func (p *planner) rule(rw row) {
	i, ok := p.rules[rw.name]
	if !ok {
		p.reportUnknown(rw)
		return
	}
	r := &p.doc.Rules[i]
	if to, ok := rw.cells[ColumnPriority]; ok {
		p.maxPriority(rw, r, to)
	}
	to, ok := rw.cells[ColumnDefaultPriority]
	if ok && p.change(rw, rw.name, ColumnDefaultPriority, r.DefaultPriority.String(), to, r.ChangedAt) {
		r.DefaultPriority = priority(to)
	}
}

func (p *planner) maxPriority(rw row, r *fleet.Rule, to string) {
	if p.change(rw, ruleName(*r), ColumnPriority, r.MaxPriority.String(), to, r.ChangedAt) {
		r.MaxPriority = priority(to)
	}
}

// lowerDefaults lowers each default priority that is above a lowered priority. It runs
// after all rows have been applied, so that their order makes no difference.
func (p *planner) lowerDefaults() {
	explicit := make(map[string]row)
	for _, rw := range p.sheet.rows {
		if _, ok := rw.cells[ColumnDefaultPriority]; ok {
			explicit[rw.name] = rw
		}
	}
	for _, rw := range p.sheet.rows {
		switch rw.kind {
		case KindOrganisation:
			for _, i := range p.rulesOf[rw.name] {
				p.lowerDefault(rw, &p.doc.Rules[i], explicit)
			}
		case KindRule:
			if i, ok := p.rules[rw.name]; ok {
				p.lowerDefault(rw, &p.doc.Rules[i], explicit)
			}
		}
	}
}

func (p *planner) lowerDefault(rw row, r *fleet.Rule, explicit map[string]row) {
	if r.DefaultPriority <= r.MaxPriority || r.ChangedAt > p.sheet.generation {
		return
	}
	if setter, ok := explicit[ruleName(*r)]; ok {
		p.fail(setter, ColumnDefaultPriority, "is %q, above the rule's priority %q", r.DefaultPriority, r.MaxPriority)
	} else {
		p.change(rw, ruleName(*r), ColumnDefaultPriority, r.DefaultPriority.String(), r.MaxPriority.String(), r.ChangedAt)
	}
	r.DefaultPriority = r.MaxPriority
}

// number returns the value of a cell that Parse has validated; a blank cell is 0.
func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// priority returns the value of a cell that Parse has validated.
func priority(text string) fleet.Priority {
	p, err := fleet.ParsePriority(text)
	if err != nil {
		return fleet.PriorityBatch
	}
	return p
}
