package faultproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	p      *Proxy
	draw   float64
	client net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	once   sync.Once
	// silent is set once nothing more is delivered in either direction.
	silent atomic.Bool

	mu     sync.Mutex
	target net.Conn
}

// chunk is a section of a byte stream with the time at which it was read.
type chunk struct {
	data []byte
	at   time.Time
}

func newProxiedConn(p *Proxy, client net.Conn) *proxiedConn {
	ctx, cancel := context.WithCancel(context.Background())
	return &proxiedConn{p: p, draw: p.draw(), client: client, ctx: ctx, cancel: cancel}
}

// run forwards bytes in both directions until both have ended or the connection is cut.
func (c *proxiedConn) run() {
	defer c.close()
	target, err := c.p.cfg.Dial(c.ctx, "tcp", c.p.cfg.Target)
	if err != nil {
		resetOnClose(c.client)
		return
	}
	c.mu.Lock()
	c.target = target
	c.mu.Unlock()
	if c.ctx.Err() != nil {
		_ = target.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(toTarget, c.client, target) })
	wg.Go(func() { c.forward(toClient, target, c.client) })
	wg.Wait()
}

// forward copies one direction. Reading and writing run concurrently, so that a delay
// adds latency without reducing the throughput.
func (c *proxiedConn) forward(d direction, from, to net.Conn) {
	chunks := make(chan chunk, queuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { c.read(from, chunks) })
	c.write(d, to, chunks)
	if c.ctx.Err() != nil {
		_ = from.Close()
	}
	wg.Wait()
}

func (c *proxiedConn) read(from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], at: time.Now()}:
			case <-c.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *proxiedConn) write(d direction, to net.Conn, chunks <-chan chunk) {
	var passed int64
	var epoch uint64
	for next := range chunks {
		f, ok := c.waitToDeliver(d, next.at)
		if !ok {
			return
		}
		if _, e, _ := c.p.current(); e != epoch {
			epoch, passed = e, 0
		}
		if d == toClient && f.DropReplies {
			c.cut()
			return
		}
		if d == toClient && f.HalfCloseClient {
			c.endStream(to, chunks)
			return
		}
		data, cut := next.data, false
		if n := f.truncation(d); n > 0 && passed+int64(len(data)) >= n {
			data, cut = data[:max(0, n-passed)], true
		}
		if _, err := to.Write(data); err != nil {
			c.cancel()
			return
		}
		passed += int64(len(data))
		if cut {
			c.cut()
			return
		}
		if d == toTarget && f.HalfCloseTarget {
			c.endStream(to, chunks)
			return
		}
	}
	if _, ok := c.waitToDeliver(d, time.Now()); ok {
		closeWrite(to)
	}
}

// endStream ends the stream to the connection and discards the remaining chunks.
func (c *proxiedConn) endStream(to net.Conn, chunks <-chan chunk) {
	closeWrite(to)
	for range chunks {
		continue
	}
}

// waitToDeliver waits until a chunk that was read at the time may be delivered, and returns
// the faults that then affect the connection. It returns false when the connection has ended.
func (c *proxiedConn) waitToDeliver(d direction, at time.Time) (Faults, bool) {
	draw := c.p.draw()
	for {
		f, _, changed := c.p.current()
		if !f.affects(c.draw) {
			f = Faults{}
		}
		var due <-chan time.Time
		if !c.silent.Load() && !f.blocks(d) {
			wait := time.Until(at.Add(f.delay(draw)))
			if wait <= 0 {
				return f, c.ctx.Err() == nil
			}
			t := time.NewTimer(wait)
			defer t.Stop()
			due = t.C
		}
		select {
		case <-due:
		case <-changed:
		case <-c.ctx.Done():
			return Faults{}, false
		}
	}
}

// cut ends the connection in both directions because of a fault.
func (c *proxiedConn) cut() {
	f, _, _ := c.p.current()
	c.p.mu.Lock()
	c.p.cuts++
	c.p.mu.Unlock()
	if f.Reset {
		resetOnClose(c.client)
	}
	c.close()
}

func (c *proxiedConn) close() {
	c.once.Do(func() {
		c.cancel()
		_ = c.client.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.target != nil {
			_ = c.target.Close()
		}
	})
}

// resetOnClose makes the next close of the connection send a TCP reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// closeWrite ends the stream to the connection; a connection without half-close is closed.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		return
	}
	_ = conn.Close()
}
