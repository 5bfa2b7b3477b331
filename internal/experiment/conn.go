package experiment

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the bytes in flight in one direction of a connection.
	maxQueuedBytes = 4 << 20
	readBytes      = 32 << 10
)

// delayedConn is the dialing side of a connection through a Network. Reading and writing
// are decoupled from delivery, so that a delay adds latency without reducing throughput.
type delayedConn struct {
	net.Conn
	network *Network
	from    Endpoint
	address string

	ctx    context.Context
	cancel context.CancelFunc
	// The queue out holds the bytes in flight to the other side.
	// The queue in holds the bytes in flight from the other side.
	// The queue ready holds the bytes from the other side that have arrived.
	out, in, ready *byteQueue

	mu sync.Mutex
	// unread is the rest of a chunk from ready that was not read yet.
	unread []byte
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

// Write queues the bytes. It returns the error of an earlier delivery, if any.
func (c *delayedConn) Write(p []byte) (int, error) {
	c.network.notifyWrite(c.from, p)
	if err := c.out.push(p, time.Now()); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Read returns bytes that have arrived.
func (c *delayedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unread) == 0 {
		data, _, err := c.ready.pop(true)
		if err != nil {
			return 0, err
		}
		c.unread = data
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// deliver waits until bytes that were sent at the given time have arrived.
func (c *delayedConn) deliver(at time.Time) error {
	return c.network.await(c.ctx, c.from, c.address, at.Add(c.network.path(c.from, c.address).delay))
}

// send delivers what was written, also after Close, and then closes the connection.
func (c *delayedConn) send() {
	defer c.abort()
	for {
		data, at, err := c.out.pop(false)
		if c.deliver(at) != nil || err != nil {
			return
		}
		if _, err := c.Conn.Write(data); err != nil {
			c.out.finish(err)
			return
		}
	}
}

// receive queues the bytes from the other side with their time of receipt.
func (c *delayedConn) receive() {
	for {
		buf := make([]byte, readBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 && c.in.push(buf[:n], time.Now()) != nil {
			return
		}
		if err != nil {
			c.in.finish(err)
			return
		}
	}
}

// deliverReceived makes received bytes, and the end of the stream, readable after the delay.
func (c *delayedConn) deliverReceived() {
	for {
		data, at, err := c.in.pop(false)
		if c.deliver(at) != nil {
			return
		}
		if err != nil {
			c.ready.finish(err)
			return
		}
		if c.ready.push(data, at) != nil {
			return
		}
	}
}

// Close makes reads fail immediately. What was written before is still delivered.
func (c *delayedConn) Close() error {
	c.ready.fail(net.ErrClosed)
	c.out.finish(net.ErrClosed)
	return nil
}

// abort closes the connection and discards what was not delivered.
func (c *delayedConn) abort() {
	c.cancel()
	for _, q := range []*byteQueue{c.out, c.in, c.ready} {
		q.fail(net.ErrClosed)
	}
	_ = c.Conn.Close()
	c.network.remove(c)
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

// byteQueue is a bounded queue of bytes with the times when they were sent.
type byteQueue struct {
	mu      sync.Mutex
	changed *sync.Cond
	chunks  []sentChunk
	size    int
	// ended is returned after the last chunk, failed instead of queued chunks.
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
	q.changed = sync.NewCond(&q.mu)
	return q
}

// push adds a copy of the data. It blocks while the queue is full.
func (q *byteQueue) push(data []byte, at time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.size >= maxQueuedBytes && q.err() == nil {
		q.changed.Wait()
	}
	if err := q.err(); err != nil {
		return err
	}
	q.chunks = append(q.chunks, sentChunk{data: append([]byte(nil), data...), at: at})
	q.size += len(data)
	q.changed.Broadcast()
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

// pop removes and returns the oldest chunk with the time when it was sent. It waits for
// one, until the deadline if expires is set. After the last chunk it returns the error of
// the end with the time of the end.
func (q *byteQueue) pop(expires bool) ([]byte, time.Time, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.chunks) == 0 && q.failed == nil && q.ended == nil && (!expires || !q.expired) {
		q.changed.Wait()
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
	q.changed.Broadcast()
	return c.data, c.at, nil
}

// finish makes push fail; queued chunks can still be popped.
func (q *byteQueue) finish(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended == nil {
		q.ended, q.endedAt = err, time.Now()
	}
	q.changed.Broadcast()
}

// fail makes push and pop fail and discards the queued chunks.
func (q *byteQueue) fail(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failed == nil {
		q.failed = err
	}
	q.chunks, q.size = nil, 0
	q.changed.Broadcast()
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
	var timer *time.Timer
	timer = time.AfterFunc(time.Until(t), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		// A timer that was replaced may still fire.
		if q.expiry == timer {
			q.expired = true
			q.changed.Broadcast()
		}
	})
	q.expiry = timer
}
