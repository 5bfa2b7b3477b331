package engine

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// restartWindow is the time in which the upstream must have closed all connections
	// for that to count as a restart. A dying process closes them at once.
	restartWindow = 100 * time.Millisecond
	// restartConnections is the least number of them. A single one may have been
	// closed for another reason, such as the upstream's idle timeout.
	restartConnections = 2
)

// connections follows the open connections to an upstream, to notice a restart that
// the upstream itself doesn't announce.
type connections struct {
	onRestart func()

	mu        sync.Mutex
	open      int
	lost      int
	firstLost time.Time
}

func (c *connections) opened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
}

// closed takes in the end of a connection, which the upstream closed or this process.
func (c *connections) closed(byUpstream bool) {
	if c.note(byUpstream, time.Now()) && c.onRestart != nil {
		c.onRestart()
	}
}

// note reports whether the upstream has now closed all connections at once.
func (c *connections) note(byUpstream bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if !byUpstream {
		return false
	}
	if now.Sub(c.firstLost) > restartWindow {
		c.firstLost, c.lost = now, 0
	}
	c.lost++
	return c.open == 0 && c.lost >= restartConnections
}

// isClosedByUpstream reports whether the error of a read means that the other end
// closed the connection.
func isClosedByUpstream(err error) bool {
	if errors.Is(err, net.ErrClosed) {
		return false
	}
	var netErr net.Error
	return !errors.As(err, &netErr) || !netErr.Timeout()
}
