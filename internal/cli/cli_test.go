package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/operator"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

const operatorKey = "operators-key-0123"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		programName: func() {
			os.Exit(Main(Runners{
				Entry: func(_ context.Context, cfg *settings.Entry) error {
					_, err := fmt.Println("entry", cfg.Name(), cfg.LogLevel(), cfg.MaxBodyBytes())
					return err
				},
				Sidecar: func(context.Context, *settings.Sidecar) error { return errors.New("address in use") },
				Dialect: testDialect(),
			}))
		},
		"withoutRoles": func() { os.Exit(Main(Runners{})) },
	})
}

var errChanged = errors.New("changed")

// fleetAPI is an operators' API with a configuration in memory. If stuck is set, its
// sidecar stays at generation 9.
type fleetAPI struct {
	mu    sync.Mutex
	cfg   *fleet.Configuration
	stuck bool
}

func newFleetAPI(generation uint64) (*fleetAPI, error) {
	f := &fleetAPI{}
	return f, f.set(generation, fleet.Document{
		Stages:         []fleet.Stage{{Name: "generate", Protocol: fleet.ProtocolChat, Model: "m", Capacity: 8, ColdCapacity: 1}},
		Pipelines:      []fleet.Pipeline{{Name: "diagnosis", Steps: []fleet.Step{{Stage: "generate"}}, DeadlineMs: 3000}},
		FailureDomains: []fleet.FailureDomain{{Name: "a"}, {Name: "b", ChangedAt: 9}},
		Upstreams:      []fleet.Upstream{{Name: "runner-1", Stage: "generate", FailureDomain: "a", Capacity: 4}},
	})
}

func (f *fleetAPI) set(generation uint64, doc fleet.Document) (err error) {
	f.cfg, err = fleet.New(generation, doc)
	return err
}

func (f *fleetAPI) current() *fleet.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg
}

func (f *fleetAPI) commit(_ context.Context, base uint64, doc fleet.Document) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if base != f.cfg.Generation() {
		return 0, errChanged
	}
	return base + 1, f.set(base+1, doc)
}

func (f *fleetAPI) status(context.Context) (operator.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	side := operator.ProcessStatus{Name: "side-1", Role: fleet.RoleSidecar, Phase: fleet.PhaseLive, Generation: f.cfg.Generation()}
	if f.stuck {
		side.Generation = 9
	}
	return operator.Status{
		Instance:   "entry-1",
		Generation: f.cfg.Generation(),
		Pipelines:  []operator.PipelineStatus{{Name: "diagnosis", DeadlineMs: 3000, InFlight: 2}},
		Upstreams: []operator.UpstreamStatus{
			{Name: "runner-1", Stage: "generate", FailureDomain: "a", State: operator.StateEjected, Reason: "failures", EjectedForMs: 1500},
			{Name: "runner-2", Stage: "generate", FailureDomain: "a", State: operator.StateActive},
		},
		Processes: []operator.ProcessStatus{side},
	}, nil
}

func (f *fleetAPI) server() *httptest.Server {
	return httptest.NewServer(operator.New(operator.Dependencies{
		Key:     func() (string, error) { return operatorKey, nil },
		Current: f.current,
		Commit:  f.commit,
		Classify: func(err error) operator.CommitFailure {
			if errors.Is(err, errChanged) {
				return operator.CommitConflict
			}
			return operator.CommitFailed
		},
		Status: f.status,
		Dump: func(_ context.Context, address string) ([]byte, error) {
			return []byte(`{"role":"entry","address":"` + address + `"}`), nil
		},
		Logger: &log.Logger{Level: log.PanicLevel},
		Scope:  tally.NoopScope,
	}))
}

// callerAPI completes every second request of pipeline diagnosis and rejects the others.
func callerAPI() *httptest.Server {
	var n atomic.Int64
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/pipelines/diagnosis/requests" || r.Header.Get("Authorization") != "Bearer caller-key" || n.Add(1)%2 == 0 {
			p := problem.New(http.StatusServiceUnavailable, "overloaded", "full")
			p.Execution = fleet.NotStarted
			p.Write(w)
			return
		}
		_, _ = w.Write([]byte(`{"requestId":"r","pipeline":"diagnosis","output":{}}`))
	}))
}

// gatewayAPI is the metrics listener of a gateway that keeps a part of prompts in quarantine, and
// whose upstreams of one service leave or want quiet.
func gatewayAPI() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"instance":"gateway-1","generation":7,"gateways":[{"name":"gateway-2","live":true}],
			"upstreams":[{"id":"runner-1","service":"model"},{"id":"runner-2","service":"model","failedShare":0.4}],
			"quarantine":[{"service":"model","parts":["5c1e07a2","91bd3f06"],"crashes":3,"refused":12,"leftMs":90000}],
			"services":[{"service":"encode","upstreams":2,"open":0,"byReason":{"quiet":1,"leaving":1},"closedMs":2500},{"service":"model","upstreams":2,"open":2}],
			"closed":[{"id":"runner-3","service":"encode","reason":"quiet","closedMs":2500,"request":"5c001629","ageMs":500},{"id":"runner-4","service":"encode","reason":"leaving","request":"5c00162a","ageMs":9000}]}`))
	}))
}

// testDialect reads a configuration in the words of package catalog from a store that has a
// namespace. Its paths begin with a dollar sign.
func testDialect() *dialect.Dialect {
	return &dialect.Dialect{
		Store:             platform.KubernetesWire("test"),
		ConfigurationName: "main",
		Configuration: func(spec []byte) (cfg catalog.Configuration, err error) {
			err = json.Unmarshal(spec, &cfg)
			return cfg, errors.Wrap(err, "decoding the configuration")
		},
		ConfigurationPath: func(path string) string { return "$." + path },
	}
}

// storeAPI is the store of testDialect with the configuration, or without one if it is empty.
func storeAPI(spec string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if spec == "" || r.Method != http.MethodGet || !strings.HasSuffix(r.URL.Path, "/namespaces/test/configurations/main") || r.Header.Get("Authorization") != "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = fmt.Fprintf(w, `{"metadata":{"name":"main","resourceVersion":"3"},"spec":%s}`, spec)
	}))
}

// exits runs a program and requires the exit code: exits CODE PROGRAM ARGS...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var failed *exec.ExitError
		if !errors.As(err, &failed) {
			ts.Fatalf("%v", err)
		}
		got = failed.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// Guards against commands that accept malformed input, apply a sheet without
// confirmation, or return a wrong exit code.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
		Setup: func(env *testscript.Env) error {
			f, err := newFleetAPI(10)
			if err != nil {
				return err
			}
			g, err := newFleetAPI(10)
			if err != nil {
				return err
			}
			g.stuck = true
			hs, stuck := f.server(), g.server()
			env.Defer(hs.Close)
			env.Defer(stuck.Close)
			caller := callerAPI()
			env.Defer(caller.Close)
			env.Setenv("CALLER", caller.Listener.Addr().String())
			env.Setenv("ADDRESS", hs.Listener.Addr().String())
			gateway := gatewayAPI()
			env.Defer(gateway.Close)
			env.Setenv("GATEWAY", gateway.Listener.Addr().String())
			// Only the scripts that compare configurations have the file.
			spec, _ := os.ReadFile(filepath.Join(env.WorkDir, "current.json"))
			store, empty := storeAPI(string(spec)), storeAPI("")
			env.Defer(store.Close)
			env.Defer(empty.Close)
			env.Setenv("STORE", store.Listener.Addr().String())
			env.Setenv("EMPTYSTORE", empty.Listener.Addr().String())
			env.Setenv("STUCK", stuck.Listener.Addr().String())
			env.Setenv("BERGAMOTRUDDER_CLIENT_KEY", operatorKey)
			// The race detector otherwise sleeps for 1 s at each exit.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
	})
}

// Guards against commands and flags without a help text.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, command := range []string{"check", "apply", "status", "dump", "load", "entry", "sidecar", "demo"} {
		var out strings.Builder
		a := &app{ctx: context.Background(), out: &out, errOut: &out, runners: Runners{
			Entry:   func(context.Context, *settings.Entry) error { return nil },
			Sidecar: func(context.Context, *settings.Sidecar) error { return nil },
			Demo:    func(context.Context, DemoOptions) error { return nil },
		}}
		if code := a.run([]string{command, "--help"}); code != ExitSuccess {
			t.Errorf("%s --help exits with %d", command, code)
		}
		lines := strings.Split(out.String(), "\n")
		if i := slices.IndexFunc(lines, func(l string) bool { return strings.HasPrefix(l, "Usage: "+programName+" "+command) }); i < 0 || len(lines) < 5 {
			t.Errorf("the help of %s is %q", command, out.String())
		}
	}
}
