package instance

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// panicRestartDelay is the delay before a task that panicked is started again, so that one
// that panics at once doesn't use the processor and fill the log.
const panicRestartDelay = time.Second

// PanicError is the error of a function that panicked.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Guard runs fn and returns a *PanicError if it panics, and nil otherwise. A panic in any
// goroutine ends the process, so each goroutine that handles what other processes send is
// guarded.
func Guard(fn func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: debug.Stack()}
		}
	}()
	fn()
	return nil
}

// GuardLogged is Guard for a goroutine without a result: it logs the panic under the name.
func GuardLogged(logger *log.Logger, name string, fn func()) {
	if err := Guard(fn); err != nil {
		LogPanic(logger, name, err)
	}
}

// LogPanic logs the error of Guard, with the stack of a panic.
func LogPanic(logger *log.Logger, name string, err error) {
	entry := logger.Error().Err(err).Str("task", name)
	if p, ok := err.(*PanicError); ok {
		entry = entry.Bytes("stack", p.Stack)
	}
	entry.Msg("unexpected panic; the process goes on")
}

// Locked runs fn with the lock held, and releases it also if fn panics: a recovered panic must not
// leave a lock behind that everything else waits for.
func Locked(mu sync.Locker, fn func()) {
	mu.Lock()
	defer mu.Unlock()
	fn()
}

// Supervise runs the task until ctx ends, again after a delay if it panics.
func Supervise(ctx context.Context, logger *log.Logger, name string, run func(context.Context)) {
	for {
		err := Guard(func() { run(ctx) })
		if err == nil {
			return
		}
		LogPanic(logger, name, err)
		if !Pause(ctx, panicRestartDelay) {
			return
		}
	}
}
