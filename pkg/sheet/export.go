package sheet

import (
	"cmp"
	"encoding/csv"
	"io"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Export writes the sheet of the configuration, with rows grouped by kind and sorted by
// name. Planning this sheet against the same configuration results in no changes.
func Export(w io.Writer, cfg *fleet.Configuration) error {
	out := csv.NewWriter(w)
	for _, record := range records(cfg) {
		if err := out.Write(record); err != nil {
			return errors.Wrap(err, "writing the sheet")
		}
	}
	out.Flush()
	return errors.Wrap(out.Error(), "writing the sheet")
}

func records(cfg *fleet.Configuration) [][]string {
	doc := cfg.Document()
	header := make([]string, 0, len(columns))
	for _, c := range columns {
		header = append(header, string(c))
	}
	all := [][]string{header, record(KindGeneration, strconv.FormatUint(cfg.Generation(), 10), nil)}
	for _, d := range sorted(doc.FailureDomains, func(d fleet.FailureDomain) string { return d.Name }) {
		all = append(all, record(KindFailureDomain, d.Name, map[Column]string{ColumnState: stateOf(d.OutOfService)}))
	}
	for _, u := range sorted(doc.Upstreams, func(u fleet.Upstream) string { return u.Name }) {
		all = append(all, record(KindUpstream, u.Name, map[Column]string{
			ColumnState:    stateOf(u.OutOfService),
			ColumnCapacity: strconv.Itoa(u.Capacity),
		}))
	}
	for _, o := range sorted(doc.Organisations, func(o fleet.Organisation) string { return o.Name }) {
		all = append(all, record(KindOrganisation, o.Name, nil))
	}
	for _, r := range sorted(doc.Rules, ruleName) {
		all = append(all, record(KindRule, ruleName(r), map[Column]string{
			ColumnPriority:        r.MaxPriority.String(),
			ColumnDefaultPriority: r.DefaultPriority.String(),
		}))
	}
	return all
}

func record(kind Kind, name string, cells map[Column]string) []string {
	out := make([]string, len(columns))
	for i, c := range columns {
		switch c {
		case ColumnKind:
			out[i] = string(kind)
		case ColumnName:
			out[i] = name
		default:
			out[i] = cells[c]
		}
	}
	return out
}

func sorted[T any](items []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(items), func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}
