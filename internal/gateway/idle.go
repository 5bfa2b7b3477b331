package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
)

// idleMargin is added to the configured idle timeout, so that a request sent just before
// the timeout is not cut off.
const idleMargin = time.Second

const (
	// connOvershootDivisor bounds the connections above the bound, which replace ended ones that are
	// not closed yet.
	connOvershootDivisor = 16
	// http2Weight is how many connections of HTTP/1 one of HTTP/2 counts for: it has buffers for what
	// its streams receive, and the goroutines of several requests.
	http2Weight = 16
	// maxSampledConns bounds the search for a connection to end.
	maxSampledConns = 64
	// minWaitBeforeEnd is how long a connection must have waited for a request to be ended for a
	// new one: a caller that has just connected sends within this time.
	minWaitBeforeEnd = 250 * time.Millisecond
)

// http2Preface is what the server reads first of a connection of HTTP/2 without TLS (RFC 9113,
// section 3.4).
var http2Preface = []byte("PRI * HTTP/2.0")

// errNoRoom ends a connection of HTTP/2 for which there is no room.
var errNoRoom = errors.New("too many connections of HTTP/2")

// expiredDeadline is a read deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// IdleConns ends callers' connections that exceed the configured idle timeout. The
// IdleTimeout of http.Server can't be changed while the server runs.
//
// For http.Server, a connection is idle until the next request is parsed, so closing it could
// cut off a request that was already read. Instead, the wait for the first byte of the next
// request times out, and the server's goroutine closes the connection. Once a byte was read,
// the connection isn't touched any more. The requests on a connection of HTTP/2 aren't tracked:
// http.Server.Shutdown ends it without losing one.
//
// It also bounds the connections, those of HTTP/2 apart. At the bound, the connection that has waited
// longest without a request, or inside a head, among some, is ended for a new one, or else the request
// whose body makes no progress.
type IdleConns struct {
	limit  func() time.Duration
	budget *intake.Budget
	logger *log.Logger
	// servesHTTP2 is set before the first connection.
	servesHTTP2 bool

	mu    sync.Mutex
	conns map[*callerConn]bool
	// http2 has the connections of HTTP/2.
	http2 map[*callerConn]bool
}

// NewIdleConns returns an empty tracker. A limit of 0 disables the timeout.
func NewIdleConns(limit func() time.Duration, budget *intake.Budget, logger *log.Logger) *IdleConns {
	return &IdleConns{limit: limit, budget: budget, logger: logger, conns: make(map[*callerConn]bool), http2: make(map[*callerConn]bool)}
}

// ServeHTTP2 makes the tracker tell connections of HTTP/2 apart. It must be called before the first
// connection. Without it, one that begins like these is a caller with an odd request.
func (i *IdleConns) ServeHTTP2() { i.servesHTTP2 = true }

// Listener returns a listener whose connections are tracked.
func (i *IdleConns) Listener(l net.Listener) net.Listener {
	return &trackingListener{Listener: l, conns: i}
}

type trackingListener struct {
	net.Listener
	conns *IdleConns
}

// Accept returns the next connection for which there is room. It waits for its first request.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(raw, time.Now()); c != nil {
			return c, nil
		}
		// Nothing of it was read, so nothing is lost if the close fails.
		_ = raw.Close()
	}
}

// admit tracks a new connection, or returns nil if there is no room for it.
func (i *IdleConns) admit(raw net.Conn, now time.Time) *callerConn {
	i.mu.Lock()
	defer i.mu.Unlock()
	bound, open := i.budget.MaxConnections(), len(i.conns)+len(i.http2)
	if open >= bound {
		i.budget.Count(intake.CauseConnections)
		// A connection that is refused must not end another one.
		if open > bound+bound/connOvershootDivisor || !i.endOldest(now) && !i.budget.YieldOldest(now) {
			return nil
		}
	}
	c := &callerConn{Conn: raw, conns: i, waiting: true, isNew: true, since: now}
	c.setReadDeadline, c.setWriteDeadline = c.SetReadDeadline, c.SetWriteDeadline
	c.openHead()
	i.conns[c] = true
	return c
}

// endOldest ends the connection that has been without a request for longest, among a sample, and
// reports whether there was one. The caller holds mu.
func (i *IdleConns) endOldest(now time.Time) bool {
	var oldest *callerConn
	sampled := 0
	for c := range i.conns {
		if sampled++; sampled > maxSampledConns {
			break
		}
		if c.isWithoutRequest(now) && (oldest == nil || c.withoutRequestSince().Before(oldest.withoutRequestSince())) {
			oldest = c
		}
	}
	return oldest != nil && oldest.end()
}

// admitHTTP2 reports whether there is room for a connection that turns out to be of HTTP/2. At the bound,
// the one that has been without requests for longest is closed for it.
func (i *IdleConns) admitHTTP2(c *callerConn, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
	if len(i.http2) >= max(i.budget.MaxConnections()/http2Weight, 1) {
		i.budget.Count(intake.CauseConnections)
		var oldest *callerConn
		for other := range i.http2 {
			if other.isIdleHTTP2(now) && (oldest == nil || other.withoutRequestSince().Before(oldest.withoutRequestSince())) {
				oldest = other
			}
		}
		if oldest == nil {
			return false
		}
		delete(i.http2, oldest)
		_ = oldest.Conn.Close()
	}
	i.http2[c] = true
	return true
}

// callerConn is a tracked connection of a caller.
type callerConn struct {
	net.Conn
	conns *IdleConns

	mu sync.Mutex
	// isNew is set until the first byte is read.
	isNew bool
	// waiting is set until the first byte of the next request is read.
	waiting bool
	// idleSince is the time of the last response, or zero before the first one.
	idleSince time.Time
	// expired is set once the wait for the next request was made to time out.
	expired bool
	// untracked is set for a connection of HTTP/2 and a trusted one.
	untracked bool
	// streams is the number of requests in progress on a connection of HTTP/2.
	streams int
	// ended is set once the connection was ended to make room.
	ended bool
	// inHead is set from the first byte of a request until its head is complete.
	inHead bool
	// since is the time of the accept, of the last response, or of the first byte of a head.
	since time.Time

	// parsed is what was read of the present head.
	parsed headSize

	// head is the memory for a head, and headTaken how much of it was taken. Only the goroutine of the
	// server uses them.
	head      intake.Share
	headTaken int64
	// setReadDeadline and setWriteDeadline are the methods, which each use would allocate anew.
	setReadDeadline, setWriteDeadline func(time.Time) error
}

// headSize counts the bytes and the lines of a head as it arrives. Its lines stand for its fields.
type headSize struct {
	bytes, lines int
	// lineBytes is the length of the last line so far, and last its last byte.
	lineBytes int
	last      byte
	// isComplete is set from the empty line on that ends the head.
	isComplete bool
}

// add counts what follows of the head, up to its end.
func (s *headSize) add(b []byte) {
	for len(b) > 0 && !s.isComplete {
		n := bytes.IndexByte(b, '\n')
		if n < 0 {
			s.bytes += len(b)
			s.lineBytes += len(b)
			s.last = b[len(b)-1]
			return
		}
		s.bytes += n + 1
		s.lineBytes += n
		if n > 0 {
			s.last = b[n-1]
		}
		isEmpty := s.lineBytes == 0 || s.lineBytes == 1 && s.last == '\r'
		s.isComplete = isEmpty && s.lines > 0
		s.lines++
		s.lineBytes = 0
		b = b[n+1:]
	}
}

// Read reads from the connection and ends the wait for a request at its first byte. Memory is taken
// for a costly head before it is returned, as the server parses each line at once.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	isNew, headCost := c.beginHead(b[:n])
	if isNew && c.conns.servesHTTP2 && bytes.HasPrefix(b[:n], http2Preface) {
		c.untrack()
		if !c.conns.admitHTTP2(c, time.Now()) {
			return 0, errNoRoom
		}
		return n, err
	}
	if headCost > intake.FreeHeadBytes {
		if takeErr := c.takeHead(headCost); takeErr != nil {
			return 0, takeErr
		}
	}
	return n, err
}

// untrack ends the tracking of requests on the connection: one of HTTP/2 has several at a time.
func (c *callerConn) untrack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.inHead, c.untracked = false, false, true
}

// addStream counts the requests in progress on a connection of HTTP/2.
func (c *callerConn) addStream(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams += n
	c.since = time.Now()
}

// isIdleHTTP2 reports whether a connection of HTTP/2 has been without requests for a while.
func (c *callerConn) isIdleHTTP2(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams == 0 && now.Sub(c.since) >= minWaitBeforeEnd
}

// openHead opens the memory for the next head.
func (c *callerConn) openHead() {
	c.head.Open(c.conns.budget)
	c.head.AllowYield(c.setReadDeadline)
}

// takeHead takes what is missing of the cost of a head. With an error, the server closes the connection.
func (c *callerConn) takeHead(cost int64) error {
	n := cost - c.headTaken
	if n <= 0 {
		return nil
	}
	err := c.head.Take(context.Background(), n)
	switch {
	case errors.Is(err, intake.ErrYielded):
		c.conns.budget.Count(intake.CauseStalled)
	case err != nil:
		c.conns.budget.Count(intake.CauseMemory)
	default:
		c.headTaken = cost
	}
	return err
}

// beginHead ends the wait for a request at its first byte, and counts what was read. It reports
// whether it is the first of the connection, and the cost of the head, or 0 outside one.
func (c *callerConn) beginHead(b []byte) (isNew bool, headCost int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasWaiting := c.waiting
	if wasWaiting {
		c.waiting, c.inHead, c.since = false, true, time.Now()
	}
	if c.expired || c.ended && wasWaiting {
		// The request came before the wait timed out. A connection that can't be read any more
		// fails at the next read.
		c.expired, c.ended = false, false
		_ = c.SetReadDeadline(time.Time{})
	}
	isNew = c.isNew
	c.isNew = false
	if !c.inHead {
		return isNew, 0
	}
	c.parsed.add(b)
	return isNew, intake.HeadCost(c.parsed.bytes, c.parsed.lines)
}

// endHead marks the head of a request as complete.
func (c *callerConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.untracked {
		return
	}
	yielded := c.head.Settle() != nil
	c.parsed = headSize{}
	c.waiting, c.inHead = false, false
	if yielded || c.ended {
		// The head was completed just before its time-out, which would end the request as well.
		c.ended = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// isWithoutRequest reports whether the connection has waited for a request or its head for a while.
func (c *callerConn) isWithoutRequest(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.waiting || c.inHead) && !c.ended && now.Sub(c.since) >= minWaitBeforeEnd
}

// withoutRequestSince returns when the wait for a request or its head began.
func (c *callerConn) withoutRequestSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

// end makes the wait for a request or its head time out, and reports whether there is one.
func (c *callerConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting && !c.inHead {
		return false
	}
	c.ended = true
	_ = c.SetReadDeadline(expiredDeadline)
	return true
}

// SetLinger is SetLinger of a TCP connection.
func (c *callerConn) SetLinger(sec int) error {
	if l, ok := c.Conn.(lingerer); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// CloseWrite is CloseWrite of a TCP connection. The server calls it before it closes a connection
// with unread bytes, whose close resets it.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// expire ends the wait for a request if it is due, and reports whether it was not ended before.
func (c *callerConn) expire(isDue func(idleSince time.Time) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || !isDue(c.idleSince) {
		return false
	}
	first := !c.expired
	c.expired = true
	// The server may have set its own deadline since the last time. A connection that was closed
	// meanwhile needs none.
	_ = c.SetReadDeadline(expiredDeadline)
	return first
}

// Handler returns the handler of the server for callers, which marks the heads of requests as complete
// and serves them with h. The server needs WithConn.
func (i *IdleConns) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*callerConn)
		if ok && r.ProtoMajor == 2 {
			c.addStream(1)
			defer c.addStream(-1)
		} else if ok {
			c.endHead()
		}
		h.ServeHTTP(w, r)
	})
}

// Track is the ConnState callback of the callers' http.Server.
func (i *IdleConns) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.untracked {
			return
		}
		c.head.Release()
		c.headTaken = 0
		c.openHead()
		now := time.Now()
		c.waiting, c.idleSince, c.since = true, now, now
	case http.StateClosed, http.StateHijacked:
		c.head.Release()
		i.remove(c)
	}
}

func (i *IdleConns) remove(c *callerConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
	delete(i.http2, c)
}

// Sweep ends the connections that exceed the idle timeout.
func (i *IdleConns) Sweep(context.Context) {
	limit := i.limit()
	if limit <= 0 {
		return
	}
	now := time.Now()
	ended, open := i.expire(func(idleSince time.Time) bool {
		return !idleSince.IsZero() && now.Sub(idleSince) > limit+idleMargin
	})
	if ended > 0 {
		i.logger.Info().Int("closed", ended).Int("open", open).Dur("idleTimeout", limit).Msg("idle connections of callers closed")
	}
}

// Drain ends the connections that wait for a request, and waits until all connections are
// closed or ctx ends. No further connections may be accepted.
func (i *IdleConns) Drain(ctx context.Context) error {
	return instance.WaitUntil(ctx, func() bool {
		_, open := i.expire(func(time.Time) bool { return true })
		return open == 0
	})
}

// expire ends the waits for requests that are due, and returns how many were not ended before
// and how many connections are open.
func (i *IdleConns) expire(isDue func(idleSince time.Time) bool) (ended, open int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if c.expire(isDue) {
			ended++
		}
	}
	return ended, len(i.conns)
}
