package capacity

import (
	"math"
	"strings"
	"testing"
)

const output = `goos: linux
BenchmarkMembershipMerge/records=10-8   5   100 ns/op   20 heldBytes/record
BenchmarkMembershipMerge/records=20-8   5   200 ns/op   20 heldBytes/record
BenchmarkMembershipMerge/records=40-8   5   400 ns/op   20 heldBytes/record
PASS
`

// Guards against a fitted line that doesn't go through points that lie on a line.
func TestFitMatchesLinearPoints(t *testing.T) {
	results, err := Parse(strings.NewReader(output))
	if err != nil {
		t.Fatal(err)
	}
	l, err := Fit(results, "BenchmarkMembershipMerge", "records", "ns/op")
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(l.Slope-10) > 1e-9 || math.Abs(l.At(1000)-10_000) > 1e-6 || l.Residual > 1e-9 {
		t.Fatalf("got %+v", l)
	}
}

// Guards against a table that silently omits components whose benchmark was not run.
func TestMissingBenchmarkIsAnError(t *testing.T) {
	results, err := Parse(strings.NewReader(output))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Table(results, Target()); err == nil {
		t.Fatal("Table accepted the results of a single benchmark")
	}
	if _, err := Parse(strings.NewReader("PASS\n")); err == nil {
		t.Fatal("Parse accepted an output without results")
	}
}
