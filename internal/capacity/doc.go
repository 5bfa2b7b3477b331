// Package capacity estimates the memory, processor time and network traffic of each
// role at a planned fleet size from the results of the repository's benchmarks.
//
// Parse reads the output of `go test -bench`. Fit fits a line to the results of one
// benchmark over its sizes. Table evaluates the lines at a Plan and compares the values
// with the budgets of a node.
//
// # Usage
//
//	results, err := capacity.Parse(os.Stdin)
//	rows, err := capacity.Table(results, capacity.Target())
//	err = capacity.WriteMarkdown(os.Stdout, rows)
package capacity
