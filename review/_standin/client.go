package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var nextAttempt atomic.Int64

// attempt is one request of a client.
type attempt struct {
	id     string
	host   string
	path   string
	body   []byte
	header map[string]string
	// limit is the time that the client waits.
	limit time.Duration
	// listen is how long the stand-in goes on listening for an answer after the limit.
	listen time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	sealed bool
	body   []byte
	err    error
	took   time.Duration
	// retryAfter is the header of this name.
	retryAfter string
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer after %.3f s: %v", a.took.Seconds(), a.err)
	}
	text := fmt.Sprintf("status %d after %.3f s", a.status, a.took.Seconds())
	if a.sealed {
		return text + ", sealed"
	}
	return text + fmt.Sprintf(", no seal, %.160q", bytes.TrimSpace(a.body))
}

// isUnanswered reports whether no answer had come when the stand-in stopped listening.
func (a answer) isUnanswered() bool {
	var timeout net.Error
	return a.err != nil && (errors.Is(a.err, context.DeadlineExceeded) || errors.As(a.err, &timeout) && timeout.Timeout())
}

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+nextAttempt.Add(1)) }

// send sends the attempt on a new channel and records it with its answer.
func send(log *record, g *gateway, a attempt) answer {
	if a.id == "" {
		a.id = newID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.limit+a.listen)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+a.path, bytes.NewReader(a.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = a.host
	req.Header.Set("X-Bergamotrudder-Attempt-Id", a.id)
	req.Header.Set("X-Bergamotrudder-Time-Remaining", strconv.FormatInt(a.limit.Milliseconds(), 10))
	for k, v := range a.header {
		req.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	log.printf("client sends request %s to %s: %s%s, %d bytes, time limit %d ms", a.id, g.name, a.host, a.path, len(a.body), a.limit.Milliseconds())
	started := time.Now()
	out := answer{}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		out.err = err
	} else {
		out.status, out.sealed = resp.StatusCode, resp.Header.Get("X-Bergamotrudder-Response-Seal") != ""
		out.retryAfter = resp.Header.Get("Retry-After")
		out.body, out.err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	out.took = time.Since(started)
	log.printf("client's request %s: %s", a.id, out)
	return out
}
