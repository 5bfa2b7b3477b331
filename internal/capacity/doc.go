// Package capacity derives what each role costs at a planned size from the results
// of the repository's benchmarks.
//
// Parse reads the output of `go test -bench`. Fit puts a line through the figures of
// one benchmark over its sizes. Table evaluates the lines at a Plan and compares them
// with the budgets of a node.
//
// # Usage
//
//	results, err := capacity.Parse(os.Stdin)
//	rows, err := capacity.Table(results, capacity.Target())
//	err = capacity.WriteMarkdown(os.Stdout, rows)
package capacity
