package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
)

// Guards against connections that are closed within the idle timeout or during a request, and
// against connections that are never closed.
func TestIdleConnectionsAreClosedAfterTheConfiguredTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 10 * time.Second
		idle := NewIdleConns(func() time.Duration { return limit }, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		caller, conn := net.Pipe()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			_, _ = caller.Read(make([]byte, 1))
		}()
		isClosed := func() bool {
			synctest.Wait()
			select {
			case <-closed:
				return true
			default:
				return false
			}
		}
		idle.Track(conn, http.StateIdle)
		time.Sleep(9 * time.Second)
		idle.Track(conn, http.StateActive)
		time.Sleep(5 * time.Second)
		idle.Sweep(t.Context())
		idle.Track(conn, http.StateIdle)
		time.Sleep(10 * time.Second)
		idle.Sweep(t.Context())
		if isClosed() {
			t.Fatal("closed within the idle timeout or during a request")
		}
		limit = 0
		time.Sleep(time.Minute)
		idle.Sweep(t.Context())
		if isClosed() {
			t.Fatal("closed without a limit")
		}
		limit = 10 * time.Second
		idle.Sweep(t.Context())
		if !isClosed() {
			t.Error("not closed after the idle timeout")
		}
	})
}
