package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"
)

// link is one connection through the proxy.
type link struct {
	p      *Proxy
	draw   float64
	client net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	once   sync.Once

	mu     sync.Mutex
	target net.Conn
}

// chunk is a part of a byte stream; one without data is the end of the stream.
type chunk struct {
	data []byte
	at   time.Time
}

func newLink(p *Proxy, client net.Conn) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{p: p, draw: p.draw(), client: client, ctx: ctx, cancel: cancel}
}

// run passes bytes in both directions until both have ended or the link is cut.
func (l *link) run() {
	defer l.close()
	target, err := l.p.cfg.Dial(l.ctx, "tcp", l.p.cfg.Target)
	if err != nil {
		reset(l.client)
		return
	}
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = target.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.pass(toTarget, l.client, target) })
	wg.Go(func() { l.pass(toClient, target, l.client) })
	wg.Wait()
}

// pass moves one direction. Reading and writing are apart, so that a delay
// shifts the stream in time and doesn't slow it down.
func (l *link) pass(d direction, from, to net.Conn) {
	chunks := make(chan chunk, queuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.read(from, chunks) })
	l.write(d, to, chunks)
	if l.ctx.Err() != nil {
		_ = from.Close()
	}
	wg.Wait()
}

func (l *link) read(from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], at: time.Now()}:
			case <-l.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) write(d direction, to net.Conn, chunks <-chan chunk) {
	var passed int64
	var epoch uint64
	for c := range chunks {
		f, ok := l.await(d, c.at)
		if !ok {
			return
		}
		if _, e, _ := l.p.current(); e != epoch {
			epoch, passed = e, 0
		}
		if d == toClient && f.DropReplies {
			l.cut()
			return
		}
		if d == toClient && f.HalfCloseClient {
			l.endStream(to, chunks)
			return
		}
		data, cut := c.data, false
		if n := f.truncation(d); n > 0 && passed+int64(len(data)) >= n {
			data, cut = data[:max(0, n-passed)], true
		}
		if _, err := to.Write(data); err != nil {
			l.cancel()
			return
		}
		passed += int64(len(data))
		if cut {
			l.cut()
			return
		}
		if d == toTarget && f.HalfCloseTarget {
			l.endStream(to, chunks)
			return
		}
	}
	if _, ok := l.await(d, time.Now()); ok {
		closeWrite(to)
	}
}

// endStream ends the stream to the connection and discards what follows.
func (l *link) endStream(to net.Conn, chunks <-chan chunk) {
	closeWrite(to)
	for range chunks {
		continue
	}
}

// await waits until the direction delivers what was read at the time, and returns
// the faults that hit the link then. It returns false when the link has ended.
func (l *link) await(d direction, at time.Time) (Faults, bool) {
	draw := l.p.draw()
	for {
		f, _, changed := l.p.current()
		if !f.hits(l.draw) {
			f = Faults{}
		}
		var due <-chan time.Time
		if !f.holds(d) {
			wait := time.Until(at.Add(f.delay(draw)))
			if wait <= 0 {
				return f, l.ctx.Err() == nil
			}
			t := time.NewTimer(wait)
			defer t.Stop()
			due = t.C
		}
		select {
		case <-due:
		case <-changed:
		case <-l.ctx.Done():
			return Faults{}, false
		}
	}
}

// cut ends the link in both directions by a fault.
func (l *link) cut() {
	f, _, _ := l.p.current()
	l.p.mu.Lock()
	l.p.cuts++
	l.p.mu.Unlock()
	if f.Reset {
		reset(l.client)
	}
	l.close()
}

func (l *link) close() {
	l.once.Do(func() {
		l.cancel()
		_ = l.client.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.target != nil {
			_ = l.target.Close()
		}
	})
}

// reset makes the later close of the connection send a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// closeWrite ends the stream to the connection; one without half-close is closed.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		return
	}
	_ = conn.Close()
}
