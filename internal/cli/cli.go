package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/operator"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
	"bergamotrudder.example/bergamotrudder/pkg/sheet"
)

const (
	programName = "bergamotrudder"
	description = "Serves multi-stage model pipelines. Exit codes: 0 success, 1 failed operation, 2 usage error or invalid input."
)

// Exit codes.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// app is the state that commands use besides their flags.
type app struct {
	ctx     context.Context
	runners Runners
	json    bool
	in      io.Reader
	out     io.Writer
	errOut  io.Writer
}

// usageError is an error of the command line or of an input file.
type usageError struct {
	cause error
}

func (e *usageError) Error() string { return e.cause.Error() }

func (e *usageError) Unwrap() error { return e.cause }

func usageErrorf(format string, args ...any) error {
	return &usageError{cause: errors.Errorf(format, args...)}
}

// reportedError is a failure whose message was already printed.
type reportedError struct {
	code int
}

func (e *reportedError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// Main runs the command line of this process and returns the exit code. The first SIGINT or
// SIGTERM starts the graceful shutdown. A second SIGINT ends the process; a second SIGTERM
// doesn't, because a platform that sends it again still grants the grace period.
func Main(runners Runners) int {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	a := &app{ctx: ctx, runners: runners, in: os.Stdin, out: os.Stdout, errOut: os.Stderr}
	return a.run(os.Args[1:])
}

// exit is the value that kong's exit function panics with, so that run returns instead of
// the process exiting.
type exit int

func (a *app) run(args []string) (code int) {
	defer func() {
		v := recover()
		if e, ok := v.(exit); ok {
			code = int(e)
		} else if v != nil {
			panic(v)
		}
	}()
	o := &options{}
	k, err := kong.New(o, a.kongOptions()...)
	if err != nil {
		return a.fail(err)
	}
	command, err := k.Parse(args)
	if err != nil {
		return a.fail(&usageError{cause: errors.Errorf("%v; --help lists commands and flags", err)})
	}
	a.json = o.JSON
	if err := command.Run(a); err != nil {
		return a.fail(err)
	}
	return ExitSuccess
}

func (a *app) kongOptions() []kong.Option {
	opts := []kong.Option{
		kong.Name(programName),
		kong.Description(description),
		kong.Writers(a.out, a.errOut),
		kong.Exit(func(code int) { panic(exit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}
	if a.runners.Entry != nil {
		opts = append(opts, kong.DynamicCommand("entry", "Run an entry.", "", &entryCommand{}))
	}
	if a.runners.Sidecar != nil {
		opts = append(opts, kong.DynamicCommand("sidecar", "Run the sidecar of one upstream.", "", &sidecarCommand{}))
	}
	if a.runners.Gateway != nil {
		opts = append(opts, kong.DynamicCommand("gateway", "Run a gateway in front of upstreams without sidecars.", "", &gatewayCommand{}))
	}
	if a.runners.Demo != nil {
		opts = append(opts, kong.DynamicCommand("demo", "Run the embedded demonstration.", "", &demoCommand{}))
	}
	return opts
}

// fail prints the error and returns its exit code.
func (a *app) fail(err error) int {
	var reported *reportedError
	if errors.As(err, &reported) {
		return reported.code
	}
	printf(a.errOut, "%s: %v\n", programName, err)
	var refused *operator.ProblemError
	if errors.As(err, &refused) {
		a.printFaults(refused)
	}
	return exitCode(err)
}

func (a *app) printFaults(refused *operator.ProblemError) {
	for _, f := range refused.Problem.Faults {
		location := f.Item
		if f.Row > 0 {
			location = fmt.Sprintf("row %d", f.Row)
		}
		if f.Field != "" {
			location += ", " + f.Field
		}
		printf(a.errOut, "  %s: %s\n", location, f.Reason)
	}
}

func exitCode(err error) int {
	var (
		wrongUse        *usageError
		invalidSettings *settings.InvalidError
		invalidSheet    *sheet.InvalidError
		refused         *operator.ProblemError
	)
	switch {
	case errors.As(err, &wrongUse), errors.As(err, &invalidSettings), errors.As(err, &invalidSheet):
		return ExitUsage
	case errors.As(err, &refused):
		switch refused.Problem.Status {
		case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
			return ExitUsage
		}
	}
	return ExitFailure
}
