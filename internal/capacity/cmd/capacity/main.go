// Command capacity prints the cost of each role at the target size from benchmark
// results on its standard input.
//
//	make capacity
package main

import (
	"fmt"
	"os"

	"bergamotrudder.example/bergamotrudder/internal/capacity"
)

func run() error {
	results, err := capacity.Parse(os.Stdin)
	if err != nil {
		return err
	}
	rows, err := capacity.Table(results, capacity.Target())
	if err != nil {
		return err
	}
	return capacity.WriteMarkdown(os.Stdout, rows)
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
