package engine

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// restartWindow is the time within which the upstream must have closed at least
	// restartConnections connections, leaving none open, for that to count as a restart. A
	// process that exits closes all of them at once.
	restartWindow = 100 * time.Millisecond
	// restartConnections is the minimum number of closed connections. A single one may
	// have been closed for another reason, such as the upstream's idle timeout.
	restartConnections = 2
)

// connectionTracker counts the open connections to an upstream, to detect a restart that
// the upstream itself doesn't announce.
type connectionTracker struct {
	onRestart func()

	mu               sync.Mutex
	open             int
	closedByUpstream int
	firstClosed      time.Time
}

func (c *connectionTracker) opened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
}

// closed records a connection that was closed by the upstream or by this process.
func (c *connectionTracker) closed(byUpstream bool) {
	if c.recordClosed(byUpstream, time.Now()) && c.onRestart != nil {
		c.onRestart()
	}
}

// recordClosed counts a closed connection and reports whether the upstream closed it, no
// connection is open, and the upstream closed at least restartConnections connections
// within restartWindow.
func (c *connectionTracker) recordClosed(byUpstream bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if !byUpstream {
		return false
	}
	if now.Sub(c.firstClosed) > restartWindow {
		c.firstClosed, c.closedByUpstream = now, 0
	}
	c.closedByUpstream++
	return c.open == 0 && c.closedByUpstream >= restartConnections
}

// isClosedByUpstream reports whether the read error means that the upstream closed the
// connection.
func isClosedByUpstream(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}
