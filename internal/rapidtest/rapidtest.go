// Package rapidtest runs the tests of a package that uses rapid with a fixed seed.
//
// # Usage
//
//	func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 50) }
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	// The package registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Main runs the tests with the seed, so that every run checks the same cases, and with
// the number of checks for each property, and exits; 0 checks selects the default of
// rapid. Flags on the command line take precedence.
func Main(m *testing.M, seed uint64, checks int) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if given[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.seed", strconv.FormatUint(seed, 10))
	if checks > 0 {
		set("rapid.checks", strconv.Itoa(checks))
	}
	os.Exit(m.Run())
}
