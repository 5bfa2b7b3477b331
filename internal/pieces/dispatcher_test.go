package pieces

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

func testDialect() *dialect.Dialect {
	return &dialect.Dialect{
		BatchPath:     "/batch",
		ReleasePath:   "/release",
		EncodeBatch:   func(pieces []dialect.Piece) ([]byte, error) { return json.Marshal(pieces) },
		EncodeRelease: func(handles []string) ([]byte, error) { return json.Marshal(handles) },
		DecodeBatch: func(b []byte) ([]dialect.Result, error) {
			var results []dialect.Result
			return results, json.Unmarshal(b, &results)
		},
		BatchHeader: func(instance string) http.Header { return http.Header{"Instance": {instance}} },
	}
}

// withDispatcher runs a test with a dispatcher for one upstream that handles raw connections.
func withDispatcher(t *testing.T, handle func(c net.Conn, br *bufio.Reader), test func(t *testing.T, d *Dispatcher)) {
	synctest.Test(t, func(t *testing.T) {
		var n pipe.Network
		m := members(1)
		stop := n.Handle(m[0].Address, func(c net.Conn) {
			defer func() { _ = c.Close() }()
			handle(c, bufio.NewReader(c))
		})
		defer stop()
		judge := newJudge()
		pool := forward.New(forward.Config{Observe: judge.Observe, ReadResponseInfo: func(h http.Header) dialect.ResponseInfo {
			return dialect.ResponseInfo{NotExecuted: h.Get("Not-Run") != ""}
		}}, n.Dial)
		defer pool.CloseAll()
		d := NewDispatcher("billing", judge, pool, testDialect(), &log.Logger{Level: log.ErrorLevel}, tally.NoopScope)
		d.SetUpstreams(testBatch, m)
		test(t, d)
		time.Sleep(time.Minute) // until all timers have ended
	})
}

// readBatch reads one call and returns its pieces, or nil at the end of the connection.
func readBatch(br *bufio.Reader) []dialect.Piece {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	var batch []dialect.Piece
	_ = json.NewDecoder(r.Body).Decode(&batch)
	return batch
}

// respondBatch responds to the call with a handle for each piece that names it.
func respondBatch(w io.Writer, batch []dialect.Piece) {
	results := make([]dialect.Result, len(batch))
	for i, p := range batch {
		results[i].Handle = fmt.Sprint("result of ", p.ID)
	}
	body, _ := json.Marshal(results)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against the results of one request for another: an upstream sends a second copy of
// its response, late, just after the next call on the connection, and calls have no id. The
// connection must not be used again either, as its next response is that of the second call.
func TestLateCopyOfAResponseIsNotAResult(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		// As with sockets, responses wait for their reader without holding up the upstream.
		responses := make(chan []dialect.Piece, 16)
		defer close(responses)
		go func() {
			for batch := range responses {
				respondBatch(c, batch)
			}
		}()
		var earlier []dialect.Piece
		for batch := readBatch(br); batch != nil; batch = readBatch(br) {
			if earlier != nil {
				responses <- earlier
			}
			responses <- batch
			earlier = batch
		}
	}
	for _, patient := range []bool{true, false} {
		t.Run(fmt.Sprint("patient ", patient), func(t *testing.T) {
			withDispatcher(t, serve, func(t *testing.T, d *Dispatcher) {
				for i := range 6 {
					ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
					if !patient && i == 1 {
						// This request ends before its piece is rerun, so that its first response
						// would be the next one on the connection.
						cancel()
						ctx, cancel = context.WithTimeout(t.Context(), backoffBounds.Min/2)
					}
					id := fmt.Sprint("r", i)
					job := Job{Piece: dialect.Piece{ID: id}, Bytes: 10, Due: time.Now().Add(time.Second), GiveUp: time.Now().Add(20 * time.Second), Deadline: time.Now().Add(20 * time.Second)}
					results, err := d.Run(ctx, job.Copies(1))
					cancel()
					if err != nil && (patient || i != 1) {
						t.Fatal(err)
					}
					if want := "result of " + id; err == nil && results[0].Handle != want {
						t.Errorf("request %s got %q (failure %v), want %q", id, results[0].Handle, results[0].Failure, want)
					}
				}
			})
		})
	}
}

// Guards against the memory of a response to a call that has no end.
func TestEndlessBatchResponseIsBounded(t *testing.T) {
	sent := make(chan int, maxTries)
	serve := func(c net.Conn, br *bufio.Reader) {
		readBatch(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n[")
		n := 0
		for n < 32<<20 {
			k, err := c.Write([]byte(`{"Handle":"x"},`))
			n += k
			if err != nil {
				break
			}
		}
		sent <- n
	}
	withDispatcher(t, serve, func(t *testing.T, d *Dispatcher) {
		job := Job{Piece: dialect.Piece{ID: "r"}, Bytes: 10, Due: time.Now().Add(time.Second), GiveUp: time.Now().Add(20 * time.Second), Deadline: time.Now().Add(20 * time.Second)}
		results, err := d.Run(t.Context(), job.Copies(1))
		if err != nil || results[0].Failure != dialect.FailureExecution {
			t.Errorf("got %+v, %v", results, err)
		}
		for range maxTries {
			if n := <-sent; n > maxResponseBytes+8<<10 {
				t.Errorf("%d bytes were read", n)
			}
		}
	})
}

// Guards against results of a response that was broken off and ends with its connection.
func TestBrokenOffBatchResponseHasNoResults(t *testing.T) {
	const whole = `[{"Handle":"10.1.0.1:80/a"},{"Handle":"10.1.0.1:80/b"}]`
	for _, n := range []int{0, 1, len(whole) / 2, len(whole) - 1} {
		serve := func(c net.Conn, br *bufio.Reader) {
			readBatch(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+whole[:n])
			_ = c.Close()
		}
		withDispatcher(t, serve, func(t *testing.T, d *Dispatcher) {
			job := Job{Piece: dialect.Piece{ID: "r"}, Bytes: 10, Due: time.Now().Add(time.Second), GiveUp: time.Now().Add(20 * time.Second), Deadline: time.Now().Add(20 * time.Second)}
			results, err := d.Run(t.Context(), job.Copies(2))
			if err != nil || len(results) != 2 || results[0].Handle != "" || results[1].Handle != "" {
				t.Errorf("%d bytes: got %+v, %v", n, results, err)
			}
		})
	}
}

// Guards against a process that ends because one response can't be handled: the call counts
// as failed, and the queue goes on.
func TestPanicOfACallFailsTheCallOnly(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for batch := readBatch(br); batch != nil; batch = readBatch(br) {
			respondBatch(c, batch)
		}
	}
	withDispatcher(t, serve, func(t *testing.T, d *Dispatcher) {
		decode, calls := d.dialect.DecodeBatch, 0
		d.dialect.DecodeBatch = func(b []byte) ([]dialect.Result, error) {
			if calls++; calls == 1 {
				panic("malformed")
			}
			return decode(b)
		}
		job := Job{Piece: dialect.Piece{ID: "r"}, Bytes: 10, Due: time.Now().Add(time.Second), GiveUp: time.Now().Add(20 * time.Second), Deadline: time.Now().Add(20 * time.Second)}
		results, err := d.Run(t.Context(), job.Copies(1))
		if err != nil || results[0].Handle != "result of r" || calls < 2 {
			t.Errorf("got %+v, %v after %d calls", results, err, calls)
		}
	})
}

// Guards against a connection that is used again after a response that may be a late copy of an
// earlier one: a refusal, or one whose pieces all failed. The true response is then the next one
// on the connection, and the next call's pieces would get its results.
func TestUnprovenResponseClosesItsConnection(t *testing.T) {
	copies := map[string]string{
		"refusal":         "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected":     "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"failures of all": "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n[{\"Failure\":\"work\"}]  ",
	}
	for name, lateCopy := range copies {
		t.Run(name, func(t *testing.T) {
			first := true
			serve := func(c net.Conn, br *bufio.Reader) {
				responses := make(chan func(), 16)
				defer close(responses)
				go func() {
					for respond := range responses {
						respond()
					}
				}()
				used := false
				for batch := readBatch(br); batch != nil; batch = readBatch(br) {
					if used && first {
						first = false
						responses <- func() {
							time.Sleep(fullBackoff)
							_, _ = io.WriteString(c, lateCopy)
						}
					}
					used = true
					responses <- func() { respondBatch(c, batch) }
				}
			}
			withDispatcher(t, serve, func(t *testing.T, d *Dispatcher) {
				for i := range 4 {
					id := fmt.Sprint("r", i)
					wait := 20 * time.Second
					if i == 1 {
						wait = fullBackoff / 2 // this caller leaves before the copy, so that its piece isn't run again
					}
					ctx, cancel := context.WithTimeout(t.Context(), wait)
					job := Job{Piece: dialect.Piece{ID: id}, Bytes: 10, Due: time.Now().Add(time.Second), GiveUp: time.Now().Add(20 * time.Second), Deadline: time.Now().Add(20 * time.Second)}
					results, err := d.Run(ctx, job.Copies(1))
					cancel()
					if want := "result of " + id; i != 1 && (err != nil || results[0].Handle != want) {
						t.Errorf("request %s got %+v, %v, want %q", id, results, err, want)
					}
				}
			})
		})
	}
}
