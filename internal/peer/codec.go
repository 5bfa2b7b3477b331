package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

// boundedReader fails once more than MaxMessageBytes were read since the last reset.
type boundedReader struct {
	r    io.Reader
	left int
}

func (r *boundedReader) reset() { r.left = MaxMessageBytes }

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errMessageTooLarge
	}
	if len(p) > r.left {
		p = p[:r.left]
	}
	n, err := r.r.Read(p)
	r.left -= n
	return n, err
}

// ReadByte lets gob read without a buffer of its own.
func (r *boundedReader) ReadByte() (byte, error) {
	var b [1]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return 0, err
	}
	return b[0], nil
}

// timedConn bounds each write and remembers when bytes last came in.
type timedConn struct {
	net.Conn
	lastRead atomic.Int64
}

func newTimedConn(conn net.Conn) *timedConn {
	c := &timedConn{Conn: conn}
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *timedConn) silentSince() time.Time { return time.Unix(0, c.lastRead.Load()) }

// gobStream is the part that both codecs share.
type gobStream struct {
	conn   io.Closer
	in     *boundedReader
	dec    *gob.Decoder
	enc    *gob.Encoder
	outBuf *bufio.Writer
}

func newGobStream(conn io.ReadWriteCloser, r *bufio.Reader) gobStream {
	in := &boundedReader{r: r}
	in.reset()
	out := bufio.NewWriter(conn)
	return gobStream{conn: conn, in: in, dec: gob.NewDecoder(in), enc: gob.NewEncoder(out), outBuf: out}
}

func (s *gobStream) write(header, body any) error {
	if err := s.enc.Encode(header); err != nil {
		return err
	}
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	return s.outBuf.Flush()
}

func (s *gobStream) readHeader(header any) error {
	s.in.reset()
	return s.dec.Decode(header)
}

func (s *gobStream) readBody(body any) error { return s.dec.Decode(body) }

// Close closes the connection.
func (s *gobStream) Close() error { return s.conn.Close() }

type serverCodec struct {
	gobStream
	slots chan struct{}
}

// ReadRequestHeader waits for a free call slot, which bounds the calls in progress.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	return c.readHeader(r)
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	if err := c.write(r, body); err != nil {
		_ = c.Close()
		return err
	}
	return nil
}

// trackedArgs remembers whether the write of a call was begun. net/rpc returns the
// same error for a call that it never wrote and for one whose connection broke.
type trackedArgs struct {
	args    any
	written atomic.Bool
}

type clientCodec struct {
	gobStream
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if t, ok := body.(*trackedArgs); ok {
		t.written.Store(true)
		body = t.args
	}
	if err := c.write(r, body); err != nil {
		_ = c.Close()
		return err
	}
	return nil
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }
