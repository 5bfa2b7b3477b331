package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards channels to a target. The open ones can be made silent: nothing more passes on
// them in either direction, while new ones work.
type proxy struct {
	addr   string
	target string

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

type pair struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(ip, target string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, pairs: make(map[*pair]struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	pr := &pair{client: c, server: server}
	p.mu.Lock()
	p.pairs[pr] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { pr.forward(server, c) })
	wg.Go(func() { pr.forward(c, server) })
	wg.Wait()
	p.mu.Lock()
	delete(p.pairs, pr)
	p.mu.Unlock()
}

// forward copies bytes until one end closes. Of a silent channel, bytes and the close are lost.
func (pr *pair) forward(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		silent := pr.silent.Load()
		if n > 0 && !silent {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// silence makes the open channels silent and returns their number.
func (p *proxy) silence() []*pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*pair
	for pr := range p.pairs {
		pr.silent.Store(true)
		list = append(list, pr)
	}
	return list
}

// reset resets the channel at both ends.
func (pr *pair) reset() {
	for _, c := range []net.Conn{pr.client, pr.server} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}
