package forward

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// conn is one connection to an upstream. One exchange uses it at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// idleSince is when the last exchange ended, and expires when the upstream closes
	// the connection for idleness.
	idleSince time.Time
	expires   time.Time
}

// isQuiet reports whether the connection is open and holds no bytes to read.
func (c *conn) isQuiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
