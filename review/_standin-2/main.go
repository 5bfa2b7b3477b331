// Command review-2 plays the scripted cases of review/REPORT-2.md. It starts the gateways of a small
// deployment as processes, on loopback addresses and the real clock, with stand-ins of the store, of
// the servers, of the clients and of the platform's balancer.
//
// # Usage
//
//	target/review-2 CASE RECORD
//
// With TROUBLE=0 in the environment it plays the case without the disruption. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errSetup means that the deployment didn't come up before the disruption.
var errSetup = errors.New("the deployment did not come up")

// cases plays a case and reports whether the rule was broken, with what was seen.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, seen string, err error){
	"odd-entries-recover": oddEntriesRecover,
	"odd-entries-drain":   oddEntriesDrain,
	"leaving":             leaving,
	"long-prompts":        longPrompts,
	"many-fields":         manyFields,
	"many-pieces":         manyPieces,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return exitFailed
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = f.Close() }()
	rec := &record{f: f, started: time.Now()}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, seen, err := cases[os.Args[1]](d, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		rec.add("not run: %v", err)
		return exitFailed
	}
	verdict, code := "held", exitHeld
	if broken {
		verdict, code = "broken", exitBroken
	}
	rec.add("%s: %s", verdict, seen)
	fmt.Printf("%s: %s\n", verdict, seen)
	return code
}
