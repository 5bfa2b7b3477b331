package admission

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if !isSet("rapid.seed") {
		if err := flag.Set("rapid.seed", "20260701"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func isSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
