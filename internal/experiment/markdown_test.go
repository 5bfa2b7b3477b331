package experiment

import (
	"strings"
	"testing"
)

// Guards against a row that omits a bound that was not kept, or shows the wrong system.
func TestMarkdownRow(t *testing.T) {
	c := &Comparison{Scenario: "steady", Systems: []string{"a", "b"}, Metrics: map[string]map[string]Summary{
		"a": {MetricAttainment: {Value: 0.5}}, "b": {MetricAttainment: {Value: 0.9995}, MetricFailed: {Value: 3}},
	}}
	c.judge([]Bound{{Metric: MetricFailed, IsUpper: true}, {Metric: MetricP99, Value: 1}, {Metric: MetricAttainment, Value: 0.9}})
	var row strings.Builder
	if err := c.WriteMarkdown(&row); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| steady | 50.0 % | 99.95 % |", "| failed 3 (0); p99Ms not measured |"} {
		if !strings.Contains(row.String(), want) {
			t.Errorf("%q is not in %s", want, row.String())
		}
	}
	if n, m := strings.Count(row.String(), "|"), strings.Count(strings.SplitN(MarkdownHeader, "\n", 2)[0], "|"); n != m {
		t.Errorf("%d columns, the header has %d", n-1, m-1)
	}
}
