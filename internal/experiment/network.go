package experiment

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// NetworkDelays are the one-way delays of the network between the processes of a run; a
// round trip takes twice as long.
type NetworkDelays struct {
	// Domains is between two failure domains, and between a process and the object API.
	Domains time.Duration
	// Clients is between the callers and the entries.
	Clients time.Duration
}

// DefaultNetworkDelays are those of the users' fleets.
func DefaultNetworkDelays() NetworkDelays {
	return NetworkDelays{Domains: 500 * time.Microsecond, Clients: time.Millisecond}
}

// Endpoint is one end of a connection.
type Endpoint struct {
	// Process is the name of the instance.
	Process       string
	FailureDomain string
}

// Ends of connections that are no instances of the system under test.
const (
	callersEnd  = "callers"
	platformEnd = "platform"
)

// Cut reports whether the network between two ends delivers nothing. It must be
// symmetric, because a connection is cut in both directions.
type Cut func(a, b Endpoint) bool

// Network delays and cuts the connections of a run that the dialing side opens with
// a dial function from it. It is safe for concurrent use.
type Network struct {
	distances NetworkDelays

	mu sync.Mutex
	// ends are the known ends by address.
	ends map[string]Endpoint
	cut  Cut
	// changed is closed on each change of the cut.
	changed chan struct{}
	// watched is called with what is written and may return a cut to set.
	watched func(from Endpoint, data []byte) Cut
	conns   map[*delayedConn]struct{}
	closed  bool
}

// NewNetwork returns a network without cuts.
func NewNetwork(d NetworkDelays) *Network {
	return &Network{
		distances: d,
		ends:      make(map[string]Endpoint),
		changed:   make(chan struct{}),
		conns:     make(map[*delayedConn]struct{}),
	}
}

// Register says which end listens at the IP address and port.
func (n *Network) Register(address string, e Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[address] = e
}

// registerURL does so with the host of a URL; an empty URL names nobody.
func (n *Network) registerURL(raw string, e Endpoint) {
	if u, err := url.Parse(raw); err == nil && u.Host != "" {
		n.Register(u.Host, e)
	}
}

// SetCut replaces the cut, for open connections too; nil delivers everything. What
// was written during a cut is delivered after it, as TCP does by sending it again.
func (n *Network) SetCut(cut Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setCut(cut)
}

func (n *Network) setCut(cut Cut) {
	n.cut = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// CutAtWrite calls the function at each write and sets the cut that it returns, if
// any. The bytes of that write are under the cut already. A nil function ends this.
func (n *Network) CutAtWrite(next func(from Endpoint, data []byte) Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watched = next
}

// CloseProcess closes the connections of a process that has ended. Within one process nothing
// else closes those that a listener has handed over, such as for net/rpc, and what
// remains of the ended process would go on serving them.
func (n *Network) CloseProcess(process string) {
	n.mu.Lock()
	var ended []*delayedConn
	for c := range n.conns {
		if c.from.Process == process || n.ends[c.address].Process == process {
			ended = append(ended, c)
		}
	}
	n.mu.Unlock()
	for _, c := range ended {
		c.abort()
	}
}

// Close closes every connection.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	conns := n.conns
	n.conns = make(map[*delayedConn]struct{})
	n.setCut(nil)
	n.mu.Unlock()
	for c := range conns {
		c.abort()
	}
}

// Dialer returns a function that opens the connections of an end.
func (n *Network) Dialer(from Endpoint) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		// Connecting takes one round trip.
		due := time.Now().Add(2 * n.path(from, address).delay)
		if err := n.await(ctx, from, address, due); err != nil {
			return nil, err
		}
		raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(raw, from, address)
	}
}

func (n *Network) wrap(raw net.Conn, from Endpoint, address string) (net.Conn, error) {
	c := newDelayedConn(raw, n, from, address)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	n.conns[c] = struct{}{}
	go c.send()
	go c.receive()
	go c.arrive()
	return c, nil
}

func (n *Network) forget(c *delayedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// callers returns an HTTP client at the callers' distance from the entries.
func (n *Network) callers(connections int) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         n.Dialer(Endpoint{Process: callersEnd}),
			DisableCompression:  true,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
		},
	}
}

// path is the way between two ends at one moment.
type path struct {
	delay   time.Duration
	cut     bool
	changed <-chan struct{}
}

func (n *Network) path(from Endpoint, address string) path {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.ends[address]
	p := path{cut: n.cut != nil && n.cut(from, to), changed: n.changed}
	switch {
	case from.Process == callersEnd:
		p.delay = n.distances.Clients
	case to.Process == platformEnd || (to.FailureDomain != "" && to.FailureDomain != from.FailureDomain):
		p.delay = n.distances.Domains
	}
	return p
}

// await waits until the time is due and the path is not cut.
func (n *Network) await(ctx context.Context, from Endpoint, address string, due time.Time) error {
	pause(time.Until(due))
	for {
		p := n.path(from, address)
		if !p.cut {
			return ctx.Err()
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notice shows a write to the watcher.
func (n *Network) notice(from Endpoint, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.watched == nil {
		return
	}
	if cut := n.watched(from, data); cut != nil {
		n.setCut(cut)
	}
}
