package proof

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const (
	sharedSecret = "shared secret of the proof"
	operatorKey  = "operators' key of the proof"
	callerKey    = "caller's key of the proof"
	// convergenceTimeout bounds the wait until a started fleet serves, on a busy machine too.
	convergenceTimeout = 20 * time.Second
	pollPeriod         = 20 * time.Millisecond
	// maxLogged is the number of bytes printed from the end of an exited process's output.
	maxLogged = 2000
)

// process is a program that a script started; it can be started again after its exit.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// processes holds the programs of one script and the addresses of their listeners.
type processes struct {
	dir       string
	mu        sync.Mutex
	byName    map[string]*process
	addresses map[string]string
	// keyed holds the requests that floods sent with an idempotency key, by key.
	keyed map[string]*keyedBooking
	// background delivers the responses to the requests of the command background.
	background map[string]chan response
}

type processesKey struct{}

func setup(env *testscript.Env) error {
	p := &processes{
		dir:        env.WorkDir,
		byName:     make(map[string]*process),
		addresses:  make(map[string]string),
		keyed:      make(map[string]*keyedBooking),
		background: make(map[string]chan response),
	}
	env.Values[processesKey{}] = p
	env.Defer(p.end)
	return nil
}

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

// The ports are below the ephemeral range of the operating system, so that a port that
// was selected for a program isn't assigned to another one before the program listens.
// Concurrent runs of the tests use different blocks of ports.
const (
	lowestPort  = 12_000
	portsPerRun = 400
	portRuns    = 48
)

// reservation stays open until the test process exits and so keeps its block of ports
// reserved.
var reservation net.Listener

// firstPort reserves a block of ports by listening on its first port.
var firstPort = sync.OnceValue(func() int {
	for n := range portRuns {
		port := lowestPort + (os.Getpid()+n)%portRuns*portsPerRun
		if l, err := listen(fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			reservation = l
			return port
		}
	}
	panic("all blocks of ports are in use")
})

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

// isFree reports whether a program can listen on the address. It holds the fork lock:
// until a forked process executes its program, it has a copy of the open listener, and
// the program that the address is meant for fails with "address in use".
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := listen(address)
	return err == nil && l.Close() == nil
}

var nextPort atomic.Int32

// address returns the address of a listener and selects it at the first use.
func (p *processes) address(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.addresses[name]
	for !ok {
		a = fmt.Sprintf("127.0.0.1:%d", firstPort()+int(nextPort.Add(1)))
		ok = isFree(a)
	}
	p.addresses[name] = a
	return a
}

func (p *processes) url(name string) string { return "http://" + p.address(name) }

// start runs a program and appends its standard output and standard error to a file.
func (p *processes) start(name string, args ...string) error {
	return p.startCommand(name, exec.CommandContext(context.Background(), filepath.Join(binaries, args[0]), args[1:]...), args)
}

// startLimited is start with a limit of open files.
func (p *processes) startLimited(descriptors int, name string, args ...string) error {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	command := append([]string{"-c", script, filepath.Join(binaries, args[0])}, args[1:]...)
	return p.startCommand(name, exec.CommandContext(context.Background(), "sh", command...), args)
}

func (p *processes) startCommand(name string, cmd *exec.Cmd, args []string) error {
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Env = append(os.Environ(), "PROOF_SECRET="+sharedSecret, "PROOF_OPERATOR_KEY="+operatorKey)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	proc := &process{name: name, args: args, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(proc.done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byName[name] = proc
	return nil
}

// logExited prints the end of the output of each process that has exited.
func (p *processes) logExited(ts *testscript.TestScript) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, proc := range p.byName {
		select {
		case <-proc.done:
			output, err := os.ReadFile(filepath.Join(p.dir, name+".log"))
			ts.Logf("%s has exited: %s %v", name, output[max(0, len(output)-maxLogged):], err)
		default:
		}
	}
}

func (p *processes) get(name string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

func (p *processes) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.byName {
		_ = proc.cmd.Process.Signal(syscall.SIGKILL)
		<-proc.done
	}
}

// upstreams are the upstreams of the fleet with the stand-in program that each runs.
var upstreams = []struct{ name, program, stage, domain string }{
	{"lookup-1", "service", "lookup", "fd-a"},
	{"lookup-2", "service", "lookup", "fd-b"},
	{"book-1", "service", "book", "fd-a"},
	{"book-2", "service", "book", "fd-b"},
	{"model-1", "engine", "generate", "fd-a"},
	{"model-2", "engine", "generate", "fd-b"},
}

var entries = []string{"entry-1", "entry-2"}

// cmdFleet starts the fleet: the store behind a proxy, upstreams, sidecars behind
// proxies, and two entries; it commits the configuration and waits until the entries
// serve. The arguments are passed to every service and engine, except proxiedEngines,
// which puts a proxy between each engine and its sidecar.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	defer p.logExited(ts)
	ts.Check(p.startProxied("store", "store", "-listen", p.address("store")))
	ts.Check(p.await(p.url("store") + "/admin/counters"))
	for _, u := range upstreams {
		start, address := p.start, p.address(u.name)
		if u.program == "engine" && slices.Contains(args, proxiedEngines) {
			start, address = p.startProxied, p.address(u.name+".proxy")
		}
		ts.Check(start(u.name, upstreamCommand(u.name, u.program, u.stage, p.address(u.name), args)...))
		sidecar := "sidecar-" + u.name
		ts.Check(p.startProxied(sidecar, "bergamotrudder", "sidecar",
			"--set=name="+sidecar, "--set=failureDomain="+u.domain, "--set=secretEnv=PROOF_SECRET",
			"--set=peerListen="+p.address(sidecar), "--set=advertise="+p.address(sidecar+".proxy"),
			"--set=upstream.name="+u.name, "--set=upstream.stage="+u.stage, "--set=upstream.address="+address,
			"--set=drain.delaySeconds=0"))
		ts.Check(p.list(fleet.InstanceRecord{Name: sidecar, Role: fleet.RoleSidecar, FailureDomain: u.domain,
			Address: p.address(sidecar + ".proxy"), Stage: u.stage, Upstream: u.name, Phase: fleet.PhaseLive}))
	}
	for _, name := range entries {
		ts.Check(p.startEntry(name))
		ts.Check(p.list(fleet.InstanceRecord{Name: name, Role: fleet.RoleEntry, FailureDomain: "fd-a", Address: p.address(name + ".peers"), Phase: fleet.PhaseLive}))
	}
	ts.Check(p.await(p.url("entry-1") + "/healthz"))
	ts.Check(p.configure())
	for _, name := range entries {
		ts.Check(p.awaitServing(name, "status", "guidance"))
	}
	ts.Setenv("BR", filepath.Join(binaries, "bergamotrudder"))
	ts.Setenv("BERGAMOTRUDDER_CLIENT_KEY", operatorKey)
	ts.Setenv("OPERATOR1", p.address("entry-1.operators"))
	ts.Setenv("OPERATOR2", p.address("entry-2.operators"))
}

// upstreamCommand returns the command line of a stand-in. It omits flags of the script
// that this kind of stand-in does not have.
func upstreamCommand(name, program, stage, address string, flags []string) []string {
	command := []string{program, "--listen", address, "--name", name, "--warm-up", "1s", "--tolerance", "50ms"}
	omitted := engineFlags
	if program == "service" {
		command = append(command, "--kind", stage, "--time", "20ms")
	} else {
		omitted = serviceFlags
	}
	for _, f := range flags {
		name, _, _ := strings.Cut(f, "=")
		if name != proxiedEngines && !slices.Contains(omitted, name) {
			command = append(command, f)
		}
	}
	return command
}

// Flags that exist for only one kind of stand-in.
var (
	engineFlags  = []string{"--per-token", "--tokens", "--ignore-fencing", "--resume-window", "--lacks"}
	serviceFlags = []string{"--time"}
)

// proxiedEngines is the argument of fleet that puts proxies in front of the engines.
const proxiedEngines = "proxiedEngines"

func (p *processes) startEntry(name string) error { return p.start(name, p.entryCommand(name)...) }

func (p *processes) entryCommand(name string) []string {
	return []string{
		"bergamotrudder", "entry",
		"--set=name=" + name, "--set=failureDomain=fd-a", "--set=secretEnv=PROOF_SECRET", "--set=operatorKeyEnv=PROOF_OPERATOR_KEY",
		"--set=callerListen=" + p.address(name), "--set=operatorListen=" + p.address(name+".operators"), "--set=peerListen=" + p.address(name+".peers"),
		"--set=platform.address=" + p.address("store.proxy"), "--set=platform.namespace=proof",
		"--set=seedPeers=" + p.address("entry-1.peers") + "," + p.address("entry-2.peers"),
		"--set=drain.delaySeconds=1",
	}
}

// startProxied starts a program and a proxy NAME.proxy in front of its listener NAME.
func (p *processes) startProxied(name string, args ...string) error {
	if err := p.start(name, args...); err != nil {
		return err
	}
	return p.start(name+".proxy", "faultproxy", "--listen", p.address(name+".proxy"), "--target", p.address(name), "--admin", p.address(name+".admin"))
}

// list adds an instance to the platform's list.
func (p *processes) list(r fleet.InstanceRecord) error {
	body := map[string]any{
		"apiVersion": "bergamotrudder.example/v1", "kind": "Instance",
		"metadata": map[string]any{"name": r.Name, "namespace": "proof"}, "spec": r,
	}
	_, err := send(http.MethodPost, p.url("store")+"/apis/bergamotrudder.example/v1/namespaces/proof/instances", body, nil)
	return err
}

// configure commits the first configuration through an entry.
func (p *processes) configure() error {
	header := map[string]string{"Authorization": "Bearer " + operatorKey, "If-Match": `"0"`}
	until := time.Now().Add(convergenceTimeout)
	for {
		_, err := send(http.MethodPut, p.url("entry-1.operators")+"/v1/configuration", document(), header)
		if err == nil || time.Now().After(until) {
			return err
		}
		time.Sleep(pollPeriod)
	}
}

func document() fleet.Document {
	sum := sha256.Sum256([]byte(callerKey))
	return fleet.Document{
		Stages: []fleet.Stage{
			{Name: "lookup", Protocol: fleet.ProtocolJSON, Path: upstream.LookupPath, Idempotent: true, Capacity: 16, ColdCapacity: 3, WarmUpMs: 1000},
			{Name: "book", Protocol: fleet.ProtocolJSON, Path: upstream.BookingPath, Capacity: 16, ColdCapacity: 3, WarmUpMs: 1000},
			{Name: "generate", Protocol: fleet.ProtocolChat, Model: "small", Idempotent: true, Capacity: 16, ColdCapacity: 3, WarmUpMs: 1000},
		},
		Pipelines: []fleet.Pipeline{
			{Name: "status", Steps: []fleet.Step{{Stage: "lookup"}}, DeadlineMs: 3000},
			{Name: "booking", Steps: []fleet.Step{{Stage: "book"}}, DeadlineMs: 3000},
			{Name: "visit", Steps: []fleet.Step{{Stage: "lookup"}, {Stage: "book"}}, DeadlineMs: 3000},
			{Name: "guidance", Steps: []fleet.Step{{Stage: "lookup"}, {Stage: "generate"}}, DeadlineMs: 3000},
		},
		FailureDomains: []fleet.FailureDomain{{Name: "fd-a"}, {Name: "fd-b"}},
		Organisations:  []fleet.Organisation{{Name: "okafor", KeySHA256: hex.EncodeToString(sum[:]), Weight: 1}},
		Rules:          []fleet.Rule{{Organisation: "okafor", Pipeline: fleet.AnyPipeline, MaxPriority: fleet.PriorityCritical, DefaultPriority: fleet.PriorityNormal}},
	}
}

// await returns nil once the URL responds with a status below 400, or the last error after
// convergenceTimeout.
func (p *processes) await(url string) error {
	until := time.Now().Add(convergenceTimeout)
	for {
		_, err := send(http.MethodGet, url, nil, nil)
		if err == nil || time.Now().After(until) {
			return err
		}
		time.Sleep(pollPeriod)
	}
}

// awaitServing returns nil once the entry serves the pipelines, or an error after
// convergenceTimeout.
func (p *processes) awaitServing(name string, pipelines ...string) error {
	until := time.Now().Add(convergenceTimeout)
	for _, pipeline := range pipelines {
		for {
			resp := post(p.url(name), pipeline, `"is it up"`, nil)
			if resp.status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s does not serve %s: %s", name, pipeline, resp)
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

// send sends a request with a JSON body; a status of 400 or more is an error.
func send(method, url string, body any, header map[string]string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	status, responseBody, err := do(r)
	if err == nil && status >= http.StatusBadRequest {
		err = fmt.Errorf("%s %s: status %d: %s", method, url, status, responseBody)
	}
	return responseBody, err
}
