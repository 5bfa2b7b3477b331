package experiment

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds what one direction of a connection holds back.
	maxQueuedBytes = 4 << 20
	readBytes      = 32 << 10
)

// delayedConn is the dialing side of a connection through a Network. Reading and
// writing are apart from delivering, so that a delay shifts the streams in time and
// doesn't slow them down.
type delayedConn struct {
	net.Conn
	network *Network
	from    Endpoint
	address string

	ctx    context.Context
	cancel context.CancelFunc
	// out is on the way to the other side, in on the way from it; ready has arrived.
	out, in, ready *byteQueue

	mu sync.Mutex
	// head is what was taken from ready and not read yet.
	head []byte
}

func newDelayedConn(raw net.Conn, n *Network, from Endpoint, address string) *delayedConn {
	ctx, cancel := context.WithCancel(context.Background())
	return &delayedConn{
		Conn:    raw,
		network: n,
		from:    from,
		address: address,
		ctx:     ctx,
		cancel:  cancel,
		out:     newByteQueue(),
		in:      newByteQueue(),
		ready:   newByteQueue(),
	}
}

// Write queues the bytes. The error is that of an earlier delivery.
func (c *delayedConn) Write(p []byte) (int, error) {
	c.network.notice(c.from, p)
	if err := c.out.push(p, time.Now()); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Read returns bytes that have arrived.
func (c *delayedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.head) == 0 {
		data, _, err := c.ready.pop(true)
		if err != nil {
			return 0, err
		}
		c.head = data
	}
	n := copy(p, c.head)
	c.head = c.head[n:]
	return n, nil
}

// deliver waits until bytes that were sent at the time arrive.
func (c *delayedConn) deliver(at time.Time) error {
	return c.network.await(c.ctx, c.from, c.address, at.Add(c.network.path(c.from, c.address).delay))
}

// send delivers what was written, also after Close, and then the end of the connection.
func (c *delayedConn) send() {
	defer c.abort()
	for {
		data, at, err := c.out.pop(false)
		if c.deliver(at) != nil || err != nil {
			return
		}
		if _, err := c.Conn.Write(data); err != nil {
			c.out.end(err)
			return
		}
	}
}

// receive notes when bytes come from the other side.
func (c *delayedConn) receive() {
	for {
		buf := make([]byte, readBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 && c.in.push(buf[:n], time.Now()) != nil {
			return
		}
		if err != nil {
			c.in.end(err)
			return
		}
	}
}

// arrive makes them, and the end of the stream, readable after the delay.
func (c *delayedConn) arrive() {
	for {
		data, at, err := c.in.pop(false)
		if c.deliver(at) != nil {
			return
		}
		if err != nil {
			c.ready.end(err)
			return
		}
		if c.ready.push(data, at) != nil {
			return
		}
	}
}

// Close ends reading at once. What was written before is still delivered.
func (c *delayedConn) Close() error {
	c.ready.fail(net.ErrClosed)
	c.out.end(net.ErrClosed)
	return nil
}

// abort ends the connection and discards what was not delivered.
func (c *delayedConn) abort() {
	c.cancel()
	for _, q := range []*byteQueue{c.out, c.in, c.ready} {
		q.fail(net.ErrClosed)
	}
	_ = c.Conn.Close()
	c.network.forget(c)
}

// SetDeadline sets the time after which reads and writes fail.
func (c *delayedConn) SetDeadline(t time.Time) error {
	c.ready.setDeadline(t)
	c.out.setDeadline(t)
	return nil
}

// SetReadDeadline sets the time after which reads fail.
func (c *delayedConn) SetReadDeadline(t time.Time) error {
	c.ready.setDeadline(t)
	return nil
}

// SetWriteDeadline sets the time after which writes fail.
func (c *delayedConn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(t)
	return nil
}

// byteQueue holds the bytes of one direction that are on their way.
type byteQueue struct {
	mu     sync.Mutex
	moved  *sync.Cond
	chunks []sentChunk
	size   int
	// ended is returned after the last chunk, failed before it.
	ended, failed error
	endedAt       time.Time
	expiry        *time.Timer
	expired       bool
}

type sentChunk struct {
	data []byte
	at   time.Time
}

func newByteQueue() *byteQueue {
	q := &byteQueue{}
	q.moved = sync.NewCond(&q.mu)
	return q
}

// push adds a copy of the data. It waits while the queue is full.
func (q *byteQueue) push(data []byte, at time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.size >= maxQueuedBytes && q.err() == nil {
		q.moved.Wait()
	}
	if err := q.err(); err != nil {
		return err
	}
	q.chunks = append(q.chunks, sentChunk{data: append([]byte(nil), data...), at: at})
	q.size += len(data)
	q.moved.Broadcast()
	return nil
}

func (q *byteQueue) err() error {
	switch {
	case q.failed != nil:
		return q.failed
	case q.ended != nil:
		return q.ended
	case q.expired:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// pop takes the oldest chunk and waits for one, up to the deadline if that counts.
// After the last chunk the error has its own time.
func (q *byteQueue) pop(expires bool) ([]byte, time.Time, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.chunks) == 0 && q.failed == nil && q.ended == nil && (!expires || !q.expired) {
		q.moved.Wait()
	}
	if q.failed != nil {
		return nil, time.Time{}, q.failed
	}
	if len(q.chunks) == 0 {
		return nil, q.endedAt, q.err()
	}
	c := q.chunks[0]
	q.chunks = q.chunks[1:]
	q.size -= len(c.data)
	q.moved.Broadcast()
	return c.data, c.at, nil
}

// end lets nothing more in.
func (q *byteQueue) end(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended == nil {
		q.ended, q.endedAt = err, time.Now()
	}
	q.moved.Broadcast()
}

// fail discards what is queued too.
func (q *byteQueue) fail(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failed == nil {
		q.failed = err
	}
	q.chunks, q.size = nil, 0
	q.moved.Broadcast()
}

func (q *byteQueue) setDeadline(t time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.expiry != nil {
		q.expiry.Stop()
		q.expiry = nil
	}
	q.expired = false
	if t.IsZero() {
		return
	}
	var own *time.Timer
	own = time.AfterFunc(time.Until(t), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		// A timer that was replaced may still fire.
		if q.expiry == own {
			q.expired = true
			q.moved.Broadcast()
		}
	})
	q.expiry = own
}
