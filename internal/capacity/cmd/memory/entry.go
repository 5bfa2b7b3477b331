package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	kibibyte = 1 << 10
	// clockTicks is the number of units of processor time in /proc per second.
	clockTicks = 100
)

// entryProcess is the entry process under measurement.
type entryProcess struct {
	gogc        string
	peerAddress string
	command     *exec.Cmd
	trace       *traceWriter
}

// startEntry starts the binary as an entry that logs one trace line per garbage collection.
func startEntry(ctx context.Context, binary, gogc, platform string) (*entryProcess, error) {
	e := &entryProcess{gogc: gogc, trace: &traceWriter{}}
	var err error
	if e.peerAddress, err = freeAddress(ctx); err != nil {
		return nil, err
	}
	e.command = exec.CommandContext(ctx, binary, "entry",
		"--set=name=entry-measured", "--set=failureDomain=domain-0", "--set=peerListen="+e.peerAddress,
		"--set=callerListen=127.0.0.1:0", "--set=operatorListen=127.0.0.1:0", "--set=logLevel=error",
		"--set=secretEnv=SECRET", "--set=operatorKeyEnv=OPERATOR_KEY",
		"--set=platform.address="+strings.TrimPrefix(platform, "http://"), "--set=platform.namespace=local")
	e.command.Env = []string{"SECRET=" + sharedSecret, "OPERATOR_KEY=" + operatorKey, "GODEBUG=gctrace=1"}
	if gogc != "default" {
		e.command.Env = append(e.command.Env, "GOGC="+gogc)
	}
	e.command.Stderr = e.trace
	return e, errors.Wrapf(e.command.Start(), "starting %s", binary)
}

func (e *entryProcess) stop() {
	_ = e.command.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(entryWait, func() { _ = e.command.Process.Kill() })
	_ = e.command.Wait()
}

// measure prints one row of the table.
func (e *entryProcess) measure(state string, d time.Duration) error {
	collections, _ := e.trace.summary()
	before, err := e.processorTime()
	if err != nil {
		return err
	}
	time.Sleep(d)
	after, err := e.processorTime()
	if err != nil {
		return err
	}
	all, last := e.trace.summary()
	if last == nil {
		return errNoCollection
	}
	resident, anonymous, err := e.resident()
	if err != nil {
		return err
	}
	fmt.Printf("| %s | %s | %.1f | %.1f | %s | %s | %.1f | %.2f |\n", e.gogc, state, resident, anonymous, last[1], last[2],
		float64(all-collections)/d.Minutes(), 100*(after-before).Seconds()/d.Seconds())
	return nil
}

// processorTime returns the user and system time of the process.
func (e *entryProcess) processorTime() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.command.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "reading the processor time")
	}
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		return 0, errors.Wrap(err, "reading the user time")
	}
	system, err := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks, errors.Wrap(err, "reading the system time")
}

// resident returns the resident memory and the anonymous part of it, which is not backed
// by a file, in MB.
func (e *entryProcess) resident() (all, anonymous float64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "reading the resident memory")
	}
	value := func(key string) float64 {
		m := regexp.MustCompile(key + `:\s+(\d+) kB`).FindSubmatch(b)
		if m == nil {
			return 0
		}
		n, _ := strconv.Atoi(string(m[1]))
		return float64(n) / kibibyte
	}
	return value("VmRSS"), value("RssAnon"), nil
}

// traceWriter buffers the lines that GODEBUG=gctrace=1 writes for garbage collections.
type traceWriter struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// collection matches the live heap after a garbage collection and the next heap goal.
var collection = regexp.MustCompile(`(?m)^gc .*->(\d+) MB, (\d+) MB goal`)

// Write appends to the buffered trace.
func (w *traceWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.Write(p)
}

// summary returns the number of collections and the submatches of the last line.
func (w *traceWriter) summary() (int, []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := collection.FindAllStringSubmatch(w.lines.String(), -1)
	if len(all) == 0 {
		return 0, nil
	}
	return len(all), all[len(all)-1]
}

func freeAddress(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "finding a free port")
	}
	return l.Addr().String(), l.Close()
}
