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
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// expires is the time from which the connection must no longer be used, because the
	// upstream may close it as idle.
	expires time.Time
}

// isReusable reports whether the connection is open and has no bytes to read.
func (c *conn) isReusable() bool {
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
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
