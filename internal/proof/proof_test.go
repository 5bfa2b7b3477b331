package proof

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the directory with the compiled programs.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.CommandContext(context.Background(), "go", "build", "-o", dir+string(filepath.Separator),
		"bergamotrudder.example/bergamotrudder", "bergamotrudder.example/bergamotrudder/internal/standin/cmd/...")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the programs:", err)
		return 1
	}
	return m.Run()
}

// TestScripts runs each script on a fleet of its own.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("testdata", "script"),
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":            cmdFleet,
			"start":            cmdStart,
			"signal":           cmdSignal,
			"fault":            cmdFault,
			"request":          cmdRequest,
			"flood":            cmdFlood,
			"executions":       cmdExecutions,
			"executionsAtMost": cmdExecutionsAtMost,
			"clear":            cmdClear,
			"state":            cmdState,
			"serving":          cmdServing,
			"cold":             cmdCold,
			"order":            cmdOrder,
			"orders":           cmdOrders,
			"bookings":         cmdBookings,
			"oversized":        cmdOversized,
			"background":       cmdBackground,
			"finish":           cmdFinish,
		},
	})
}
