package capacity

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Result is one line of benchmark output.
type Result struct {
	// Name is the benchmark with its sub-benchmarks, without the processor count.
	Name string
	// Metrics holds the values by unit, such as ns/op.
	Metrics map[string]float64
}

// Size returns the value of the parameter in the name, such as 300 for "records=300".
func (r Result) Size(parameter string) (float64, bool) {
	for _, part := range strings.Split(r.Name, "/") {
		value, ok := strings.CutPrefix(part, parameter+"=")
		if !ok {
			continue
		}
		size, err := strconv.ParseFloat(value, 64)
		return size, err == nil
	}
	return 0, false
}

// Parse reads the output of `go test -bench` and skips lines that are no results. Input
// without any result is an error.
func Parse(r io.Reader) ([]Result, error) {
	var results []Result
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if result, ok := parseLine(lines.Text()); ok {
			results = append(results, result)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "reading benchmark results")
	}
	if len(results) == 0 {
		return nil, errors.New("the input has no benchmark results")
	}
	return results, nil
}

func parseLine(line string) (Result, bool) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return Result{}, false
	}
	name := fields[0]
	if i := strings.LastIndexByte(name, '-'); i > 0 {
		name = name[:i]
	}
	result := Result{Name: name, Metrics: make(map[string]float64)}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Result{}, false
		}
		result.Metrics[fields[i+1]] = value
	}
	return result, true
}
