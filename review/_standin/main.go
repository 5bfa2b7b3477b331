// The stand-ins of the review's cases: the platform with its store, runners and clients, around
// the gateways that they start.
//
//	standin CASE DIR TROUBLE
//
// writes what was sent, answered and run to record.txt in DIR. It exits with 1 if the rule of
// the case was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE 0 it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// world is what a case runs in.
type world struct {
	dir     string
	trouble bool
	log     *record
	store   *store
	// prefix is the first three bytes of the loopback addresses of the case.
	prefix   string
	gateways []*gateway
}

// runLimit is how long a case may take.
const runLimit = 110 * time.Second

// broken is the verdict of a case: what broke the rule, or empty if it held.
type broken string

var cases = map[string]func(*world) (broken, error){
	"hang":   hang,
	"bodies": bodies,
	"silent": silent,
	"grace":  grace,
	"inputs": inputs,
	"storm":  storm,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR TROUBLE")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

func run(c func(*world) (broken, error), dir string, trouble bool) int {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(tmp) }()
	w := &world{dir: tmp, trouble: trouble, log: &record{file: file, started: time.Now()}, prefix: fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, os.Getpid()/200%250)}
	defer w.stopAll()
	watchdog := time.AfterFunc(runLimit, func() {
		w.log.printf("the case took longer than %v", runLimit)
		w.stopAll()
		_ = os.RemoveAll(tmp)
		os.Exit(2)
	})
	defer watchdog.Stop()
	w.log.printf("disruption: %v", trouble)
	if w.store, err = newStore(w.prefix + "1"); err == nil {
		var verdict broken
		if verdict, err = c(w); err == nil {
			return w.report(verdict)
		}
	}
	w.log.printf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		w.copyLogs(keep)
	}
	return 2
}

// stopAll ends the gateways that the case started.
func (w *world) stopAll() {
	for _, g := range w.gateways {
		g.stop()
	}
}

func (w *world) report(verdict broken) int {
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		w.copyLogs(keep)
	}
	if verdict != "" {
		w.log.printf("BROKEN: %s", verdict)
		fmt.Println("BROKEN:", verdict)
		return 1
	}
	w.log.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}

// copyLogs copies what the gateways logged.
func (w *world) copyLogs(to string) {
	for _, g := range w.gateways {
		if b, err := os.ReadFile(g.path + ".log"); err == nil {
			_ = os.WriteFile(filepath.Join(to, g.name+".log"), b, 0o600)
		}
	}
}

// addGateway starts a gateway and waits until it is ready.
func (w *world) addGateway(extra settings) (*gateway, error) {
	n := len(w.gateways)
	g, err := newGateway(w.dir, fmt.Sprintf("front-zone-a-%d", n+1), fmt.Sprintf("%s%d", w.prefix, 10+n), w.store.addr, extra, w.log)
	if err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, g.start()
}

// addRunner adds a runner that is registered at once.
func (w *world) addRunner(id, service string, slots int) (*runner, error) {
	return newRunner(w.prefix+"2", id, service, slots, w.store, w.log)
}

// limits are those of the configurations of both sites.
var limits = map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
