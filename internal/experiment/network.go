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
	// Domains is the delay between two failure domains, and between a process and the
	// object API.
	Domains time.Duration
	// Clients is the delay between the callers (the clients) and the entries.
	Clients time.Duration
}

// DefaultNetworkDelays returns the delays in the users' fleets.
func DefaultNetworkDelays() NetworkDelays {
	return NetworkDelays{Domains: 500 * time.Microsecond, Clients: time.Millisecond}
}

// Endpoint is one end of a connection.
type Endpoint struct {
	// Process is the name of a process or an upstream of the run, or a constant below.
	Process       string
	FailureDomain string
}

// Names of the endpoints that are neither processes of the system under test nor upstreams.
const (
	callersEndpoint  = "callers"
	platformEndpoint = "platform"
)

// Cut reports whether the network delivers nothing between two endpoints until the cut
// ends. It must be symmetric, because a connection is cut in both directions.
type Cut func(a, b Endpoint) bool

// Network delays and cuts the connections of a run that are opened with one of its dial
// functions. It is safe for concurrent use.
type Network struct {
	delays NetworkDelays

	mu sync.Mutex
	// endpoints holds the registered endpoints by address.
	endpoints map[string]Endpoint
	cut       Cut
	// changed is closed and replaced on each change of the cut.
	changed chan struct{}
	// onWrite is called with the data of each write and may return a cut to set.
	onWrite func(from Endpoint, data []byte) Cut
	conns   map[*delayedConn]struct{}
	closed  bool
}

// NewNetwork returns a network without cuts.
func NewNetwork(d NetworkDelays) *Network {
	return &Network{
		delays:    d,
		endpoints: make(map[string]Endpoint),
		changed:   make(chan struct{}),
		conns:     make(map[*delayedConn]struct{}),
	}
}

// Register records the endpoint that listens on the IP address and port.
func (n *Network) Register(address string, endpoint Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[address] = endpoint
}

// registerURL registers the host of a URL; it ignores an empty URL.
func (n *Network) registerURL(raw string, e Endpoint) {
	if u, err := url.Parse(raw); err == nil && u.Host != "" {
		n.Register(u.Host, e)
	}
}

// SetCut replaces the cut, for open connections too; nil delivers everything. What was
// written during a cut is delivered after it, as TCP does by retransmission.
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

// CutAtWrite calls the function at each write and sets the cut that it returns, if any.
// The cut applies to that write already. A nil function removes the hook.
func (n *Network) CutAtWrite(hook func(from Endpoint, data []byte) Cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onWrite = hook
}

// CloseProcess closes the connections of a process that has ended. All processes of a run
// share one operating system process, so nothing else closes connections that were
// accepted by a listener, such as those of net/rpc, and goroutines of the ended process
// would keep serving them.
func (n *Network) CloseProcess(process string) {
	n.mu.Lock()
	var ended []*delayedConn
	for c := range n.conns {
		if c.from.Process == process || n.endpoints[c.address].Process == process {
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

// Dialer returns a dial function for the connections of an endpoint.
func (n *Network) Dialer(from Endpoint) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		// The TCP handshake takes one round trip.
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
	go c.deliverReceived()
	return c, nil
}

func (n *Network) remove(c *delayedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// callers returns an HTTP client with the delay between callers and entries.
func (n *Network) callers(connections int) *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         n.Dialer(Endpoint{Process: callersEndpoint}),
			DisableCompression:  true,
			MaxIdleConns:        connections,
			MaxIdleConnsPerHost: connections,
		},
	}
}

// path is the state of the network between two endpoints.
type path struct {
	delay   time.Duration
	cut     bool
	changed <-chan struct{}
}

func (n *Network) path(from Endpoint, address string) path {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.endpoints[address]
	p := path{cut: n.cut != nil && n.cut(from, to), changed: n.changed}
	switch {
	case from.Process == callersEndpoint:
		p.delay = n.delays.Clients
	case to.Process == platformEndpoint || (to.FailureDomain != "" && to.FailureDomain != from.FailureDomain):
		p.delay = n.delays.Domains
	}
	return p
}

// await waits until the due time and until the path is not cut.
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

// notifyWrite calls the hook of CutAtWrite for a write.
func (n *Network) notifyWrite(from Endpoint, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.onWrite == nil {
		return
	}
	if cut := n.onWrite(from, data); cut != nil {
		n.setCut(cut)
	}
}
