package forward

import (
	"bufio"
	"io"
	"math"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// conn is one connection to an upstream. One exchange uses it at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// target is the upstream that the connection was opened to, and opened when.
	target Target
	opened time.Time
	// idleSince is when the last exchange ended.
	idleSince time.Time
	// expires is the time from which the connection must no longer be used, because the
	// upstream may close it as idle.
	expires time.Time
	// reused is set after the first exchange, or once a response to another request came.
	reused bool
	// refused are hashes of the ids of the attempts that were refused on the connection: callers choose
	// the ids, which may be long.
	refused []uint64
	// limit bounds what is read until the head of a response is complete.
	limit *io.LimitedReader
	// headLimit is the present bound, or 0 if there is none.
	headLimit int
}

func newConn(raw net.Conn, t Target) *conn {
	limit := &io.LimitedReader{R: raw, N: math.MaxInt64}
	return &conn{Conn: raw, target: t, opened: time.Now(), br: bufio.NewReaderSize(limit, readBuffer), limit: limit}
}

// limitHead makes reads end after n more bytes.
func (c *conn) limitHead(n int) { c.headLimit, c.limit.N = n, int64(n) }

func (c *conn) unlimitHead() { c.headLimit, c.limit.N = 0, math.MaxInt64 }

// boundOr returns a *BoundError if the limit of the head was reached, and err otherwise: at
// the limit, reads end like those of a closed connection.
func (c *conn) boundOr(err error) error {
	if c.headLimit > 0 && c.limit.N <= 0 {
		return &BoundError{Bound: boundHead, Limit: c.headLimit}
	}
	return err
}

// recordRefusal remembers that the attempt was refused and returns the number of refusals.
func (c *conn) recordRefusal(id string) int {
	c.refused = append(c.refused, xxhash.Sum64String(id))
	return len(c.refused)
}

// hasRefused reports whether the attempt was refused on the connection.
func (c *conn) hasRefused(id string) bool {
	return len(c.refused) > 0 && slices.Contains(c.refused, xxhash.Sum64String(id))
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
