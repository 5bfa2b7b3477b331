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

// boundedReader returns an error after MaxMessageBytes were read since the last reset.
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

// ReadByte makes the reader an io.ByteReader, so that gob adds no buffer of its own.
func (r *boundedReader) ReadByte() (byte, error) {
	var b [1]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return 0, err
	}
	return b[0], nil
}

// timedConn sets a deadline on each write and records when bytes were last received.
type timedConn struct {
	net.Conn
	lastRead atomic.Pointer[time.Time]
}

func newTimedConn(conn net.Conn) *timedConn {
	c := &timedConn{Conn: conn}
	c.recordRead()
	return c
}

func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordRead()
	}
	return n, err
}

func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// recordRead keeps the monotonic clock reading: a step of the wall clock is no silence.
func (c *timedConn) recordRead() {
	now := time.Now()
	c.lastRead.Store(&now)
}

func (c *timedConn) lastReadAt() time.Time { return *c.lastRead.Load() }

// gobStream is the gob encoding that both codecs share.
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

// ReadRequestHeader waits for a free call slot, which limits the calls in progress.
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

// trackedArgs records whether the write of a call was started, because net/rpc returns
// the same error for a call that was never written and for one whose connection failed.
type trackedArgs struct {
	args         any
	writeStarted atomic.Bool
}

type clientCodec struct {
	gobStream
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if t, ok := body.(*trackedArgs); ok {
		t.writeStarted.Store(true)
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
