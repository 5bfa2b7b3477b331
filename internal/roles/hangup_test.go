package roles

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

// Guards against a gateway that SIGHUP ends, with all its requests, while the reload of the
// settings isn't running: before it is started, and after it panicked.
func TestHangupDoesNotEndAGatewayThatDoesNotReload(t *testing.T) {
	p := &GatewayProcess{logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}}
	hangups := notifyHangups()
	hangup := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangup()
	time.Sleep(50 * time.Millisecond) // the signal would have ended the process by now
	reloads := make(chan struct{}, 1)
	reload := func() (*settings.Gateway, error) {
		reloads <- struct{}{}
		panic("malformed")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go instance.Supervise(ctx, p.logger, "reload", func(ctx context.Context) { p.reloadOnHangup(ctx, hangups, reload) })
	<-reloads
	time.Sleep(50 * time.Millisecond) // until the reload has ended
	hangup()
	<-reloads
}
