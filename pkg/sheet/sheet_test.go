package sheet

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"bergamotrudder.example/bergamotrudder/internal/rapidtest"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 0) }

func testDocument() fleet.Document {
	return fleet.Document{
		Stages: []fleet.Stage{{Name: "generate", Protocol: fleet.ProtocolChat, Model: "m", Idempotent: true, Capacity: 8, ColdCapacity: 1}},
		Pipelines: []fleet.Pipeline{
			{Name: "diagnosis", Steps: []fleet.Step{{Stage: "generate"}}, DeadlineMs: 3000},
			{Name: "intake", Steps: []fleet.Step{{Stage: "generate"}}, DeadlineMs: 3000},
		},
		FailureDomains: []fleet.FailureDomain{{Name: "a"}, {Name: "b", ChangedAt: 41}},
		Upstreams: []fleet.Upstream{
			{Name: "runner-1", Stage: "generate", FailureDomain: "a", Capacity: 12},
			{Name: "runner-2", Stage: "generate", FailureDomain: "b", OutOfService: true, ChangedAt: 45},
		},
		Organisations: []fleet.Organisation{{Name: "acme", KeySHA256: strings.Repeat("a", 64), Weight: 1}},
		Rules: []fleet.Rule{
			{Organisation: "acme", Pipeline: "*", MaxPriority: fleet.PriorityHigh, DefaultPriority: fleet.PriorityHigh},
			{Organisation: "acme", Pipeline: "intake", MaxPriority: fleet.PriorityNormal},
		},
	}
}

func configuration(t interface{ Fatal(...any) }) *fleet.Configuration {
	cfg, err := fleet.New(45, testDocument())
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func plan(t *testing.T, text string) ([]Change, fleet.Document, error) {
	t.Helper()
	s, err := Parse(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return Plan(configuration(t), s)
}

const head = "kind,name,state,capacity,priority,defaultPriority,stage,failureDomain\n"

// Guards against a plan that misses a change or adds one, and against one that modifies
// the configuration in force.
func TestPlanAppliesEachRow(t *testing.T) {
	changes, doc, err := plan(t, "\ufeff"+head+`generation,44
# Domain a leaves at noon.
failureDomain,a,out
upstream,runner-1,,0
upstream, runner-2 ,out,,,,generate,b
upstream,runner-3,,5,,,generate,b
rule,acme/*,,,normal
organisation,acme
`)
	if err != nil {
		t.Fatal(err)
	}
	want := []Change{
		{4, KindFailureDomain, "a", ColumnState, "in", "out"},
		{5, KindUpstream, "runner-1", ColumnCapacity, "12", "0"},
		{7, KindUpstream, "runner-3", ColumnStage, "", "generate"},
		{7, KindUpstream, "runner-3", ColumnFailureDomain, "", "b"},
		{7, KindUpstream, "runner-3", ColumnState, "", "in"},
		{7, KindUpstream, "runner-3", ColumnCapacity, "", "5"},
		{8, KindRule, "acme/*", ColumnPriority, "high", "normal"},
		{8, KindRule, "acme/*", ColumnDefaultPriority, "high", "normal"},
	}
	if !reflect.DeepEqual(changes, want) {
		t.Errorf("got changes\n%v, want\n%v", changes, want)
	}
	wantDoc := testDocument()
	wantDoc.FailureDomains[0].OutOfService = true
	wantDoc.Upstreams[0].Capacity = 0
	wantDoc.Upstreams = append(wantDoc.Upstreams, fleet.Upstream{Name: "runner-3", Stage: "generate", FailureDomain: "b", Capacity: 5})
	wantDoc.Rules[0].MaxPriority, wantDoc.Rules[0].DefaultPriority = fleet.PriorityNormal, fleet.PriorityNormal
	if !reflect.DeepEqual(doc, wantDoc) {
		t.Errorf("got document %+v", doc)
	}
	if got := configuration(t).Document(); !reflect.DeepEqual(got, testDocument()) {
		t.Error("the plan changed the configuration in force")
	}
}

func checkFaults(t *testing.T, faults []Fault, want []string) {
	t.Helper()
	var got []string
	for _, f := range faults {
		got = append(got, f.String())
	}
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) || !strings.HasPrefix(got[i], want[i]) {
			t.Fatalf("got faults\n%s\nwant prefixes\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

// Guards against accepting an invalid sheet, and against reporting only its first fault.
func TestParseReportsEveryFaultByRow(t *testing.T) {
	_, err := Parse(strings.NewReader(head + `generation,x
generation,44
failureDomain,a,in
failureDomain,a,out
failureDomain,b,gone,7
upstream,runner-1,in,many
upstream,"runner"2,in
upstream,,in
zone,a,in
rule,acme,,,high
rule,acme/*,,,urgent
rule,acme/intake,,,normal
organisation,acme,,,high
organisation,acme,,,,,,,extra
`))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	checkFaults(t, invalid.Faults, []string{
		`row 2, name: is "x"`,
		"row 3: names the generation again after row 2",
		`row 4, state: is "in" here and "out" in row 5`,
		`row 5, state: is "out" here and "in" in row 4`,
		`row 6, state: is "gone", allowed are in, out`,
		"row 6, capacity: doesn't apply to a row of kind failureDomain",
		`row 7, capacity: is "many", allowed are 0`,
		"row 8: is no valid CSV",
		"row 9, name: is missing",
		`row 10, kind: is "zone"`,
		`row 11, name: is "acme", a rule's name`,
		`row 12, priority: is "urgent", allowed are`,
		`row 12, priority: is "urgent" here and "high" in row 14`,
		`row 13, priority: is "normal" here and "high" in row 14`,
		`row 14, priority: is "high" here and "urgent" in row 12`,
		`row 14, priority: is "high" here and "normal" in row 13`,
		`row 15: has the value "extra" beyond the last column`,
	})
}

// Guards against an unreadable sheet that is rejected without a reason.
func TestParseRefusesUnreadableSheets(t *testing.T) {
	for text, want := range map[string]string{
		"":                                  "sheet: has no header",
		"kind;name;state\n":                 "row 1: the columns must be separated by commas",
		"kind,nome,kind\n":                  `row 1: column "nome" is unknown`,
		"kind,name\nfailureDomain,a\n":      "sheet: has no row of kind generation",
		strings.Repeat("#\n", MaxBytes/2+1): "sheet: has more than the allowed",
	} {
		_, err := Parse(strings.NewReader(text))
		var invalid *InvalidError
		if !errors.As(err, &invalid) || !strings.HasPrefix(invalid.Faults[0].String(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// Guards against a sheet that reverts another operator's changes made after its export,
// and against rejecting a sheet that is resent after a lost response.
func TestPlanRefusesRowsChangedAfterTheSheet(t *testing.T) {
	_, _, err := plan(t, head+"generation,44\nfailureDomain,b,out\nupstream,runner-2,in\nupstream,runner-2,in,3\n")
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Sheet != 44 || conflict.Current != 45 {
		t.Fatalf("got %v", err)
	}
	checkFaults(t, conflict.Faults, []string{
		`row 4, state: would change "out" to "in", but the item was changed in generation 45`,
		`row 5, state: would change`,
		`row 5, capacity: would change`,
	})
	if changes, _, err := plan(t, head+"generation,44\nupstream,runner-2,out\n"); err != nil || len(changes) != 0 {
		t.Errorf("a row whose values are in force returned %v, %v", changes, err)
	}
	if _, _, err := plan(t, head+"generation,46\nfailureDomain,a,out\n"); !errors.As(err, &conflict) {
		t.Errorf("a sheet from a later generation returned %v", err)
	}
}

// Guards against accepting unknown names, and against restoring a removed upstream.
func TestPlanRefusesUnknownNames(t *testing.T) {
	_, _, err := plan(t, head+`generation,45
failureDomain,z,out
upstream,runner-9,in,4
upstream,runner-1,in,,,,rerank,
upstream,Runner,in,,,,rerank,z
rule,acme/billing,,,high
rule,acme/intake,,,normal,high
organisation,nobody,,,high
`)
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	checkFaults(t, invalid.Faults, []string{
		`row 3, name: failureDomain "z" does not exist in generation 45`,
		`row 4, name: upstream "runner-9" does not exist in generation 45; a new one needs`,
		`row 5, stage: is "rerank", but the upstream has "generate"`,
		`row 6: upstream "Runner": the name must be`,
		`row 6: upstream "Runner": stage "rerank" does not exist`,
		`row 6: upstream "Runner": failureDomain "z" does not exist`,
		`row 7, name: rule "acme/billing" does not exist`,
		`row 8, defaultPriority: is "high", above the rule's priority "normal"`,
		`row 9, name: organisation "nobody" does not exist`,
	})
}

// Guards against an export that is not a fixed point: applying it must change nothing, and
// a modified cell must be the only change.
func TestExportedSheetChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := testDocument()
		for i := range rapid.IntRange(0, 20).Draw(t, "upstreams") {
			doc.Upstreams = append(doc.Upstreams, fleet.Upstream{
				Name: fmt.Sprintf("extra-%d", i), Stage: "generate", FailureDomain: "a",
				Capacity:     rapid.IntRange(0, fleet.MaxCapacity).Draw(t, "capacity"),
				OutOfService: rapid.Bool().Draw(t, "out"),
				ChangedAt:    rapid.Uint64Range(0, 50).Draw(t, "changedAt"),
			})
		}
		cfg, err := fleet.New(50, doc)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		if err := Export(&b, cfg); err != nil {
			t.Fatal(err)
		}
		s, err := Parse(bytes.NewReader(b.Bytes()))
		if err != nil {
			t.Fatal(err)
		}
		if changes, got, err := Plan(cfg, s); err != nil || len(changes) != 0 || !reflect.DeepEqual(got, doc) {
			t.Fatalf("the plan of the export is %v, %v", changes, err)
		}
		i := rapid.IntRange(0, len(doc.Upstreams)-1).Draw(t, "changed")
		from := fmt.Sprintf("upstream,%s,%s,%d,", doc.Upstreams[i].Name, stateOf(doc.Upstreams[i].OutOfService), doc.Upstreams[i].Capacity)
		to := fmt.Sprintf("upstream,%s,%s,%d,", doc.Upstreams[i].Name, stateOf(!doc.Upstreams[i].OutOfService), doc.Upstreams[i].Capacity)
		s, err = Parse(strings.NewReader(strings.Replace(b.String(), from, to, 1)))
		if err != nil {
			t.Fatal(err)
		}
		changes, _, err := Plan(cfg, s)
		if err != nil || len(changes) != 1 || changes[0].Name != doc.Upstreams[i].Name || changes[0].Field != ColumnState {
			t.Fatalf("one modified cell returned %v, %v", changes, err)
		}
	})
}

// Guards against crashes, and against plans that result in an invalid document.
func FuzzParse(f *testing.F) {
	var b bytes.Buffer
	if err := Export(&b, configuration(f)); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte(head + "generation,45\nupstream,n,out,3,,,generate,a\norganisation,acme,,,batch\nrule,acme/*,,,,batch\n"))
	f.Add([]byte("name,kind\n\"a\nb,generation\n"))
	cfg := configuration(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(bytes.NewReader(text))
		if err != nil {
			var invalid *InvalidError
			if !errors.As(err, &invalid) || len(invalid.Faults) == 0 {
				t.Fatalf("got %v, want an InvalidError with faults", err)
			}
			return
		}
		changes, doc, err := Plan(cfg, s)
		if err != nil {
			return
		}
		if _, err := fleet.New(46, doc); err != nil {
			t.Fatalf("the plan's document is invalid: %v", err)
		}
		if same := reflect.DeepEqual(doc, cfg.Document()); same != (len(changes) == 0) {
			t.Fatalf("%d changes are reported, but document unchanged = %v", len(changes), same)
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	doc := testDocument()
	for i := range 2700 {
		doc.Upstreams = append(doc.Upstreams, fleet.Upstream{Name: "u" + strconv.Itoa(i), Stage: "generate", FailureDomain: "a"})
	}
	cfg, err := fleet.New(50, doc)
	if err != nil {
		b.Fatal(err)
	}
	var text bytes.Buffer
	if err := Export(&text, cfg); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		s, err := Parse(bytes.NewReader(text.Bytes()))
		if err != nil {
			b.Fatal(err)
		}
		if _, _, err := Plan(cfg, s); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against an example in the documentation that would be rejected.
func TestOperationsPageExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(page), "```csv\n")
	if !ok {
		t.Fatal("the page has no example")
	}
	example, _, _ := strings.Cut(rest, "```")
	if s, err := Parse(strings.NewReader(example)); err != nil || s.Generation() != 42 || s.Rows() != 5 {
		t.Errorf("the example results in %+v, %v", s, err)
	}
}
