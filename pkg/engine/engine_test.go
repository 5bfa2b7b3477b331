package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const completeStream = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n" +
	`data: {"choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]}` + "\n\n" +
	`data: {"choices":[],"usage":{"completion_tokens":2}}` + "\n\n" +
	"data: [DONE]\n\n"

func serve(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return New(Config{BaseURL: server.URL}, nil)
}

func respond(status int, header map[string]string, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for k, v := range header {
			w.Header().Set(k, v)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func chatCall() Call {
	return Call{Protocol: fleet.ProtocolChat, Model: "m", Input: json.RawMessage(`"hi"`), MaxTokens: 7, Priority: fleet.PriorityHigh, Attempt: "a1"}
}

// Guards against requests that engines don't accept and output read from the wrong member.
func TestMapping(t *testing.T) {
	cases := []struct {
		name, path, body, reply, output string
		call                            Call
	}{
		{
			name: "chat with text", call: chatCall(), path: ChatPath,
			body:   `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":7,"stream":false,"priority":1}`,
			reply:  `{"choices":[{"message":{"content":"a<b"},"finish_reason":"length"}],"usage":{"completion_tokens":3}}`,
			output: `"a\u003cb"`,
		},
		{
			name: "chat with an object", path: ChatPath,
			call:   Call{Protocol: fleet.ProtocolChat, Model: "m", Input: json.RawMessage(`{"k": 1}`)},
			body:   `{"model":"m","messages":[{"role":"user","content":"{\"k\": 1}"}],"stream":false,"priority":3}`,
			reply:  `{"choices":[{"message":{"content":""},"finish_reason":"stop"}]}`,
			output: `""`,
		},
		{
			name: "embeddings", path: EmbeddingsPath,
			call:   Call{Protocol: fleet.ProtocolEmbeddings, Model: "e", Input: json.RawMessage(`["x"]`)},
			body:   `{"model":"e","input":["x"]}`,
			reply:  `{"data":[{"embedding":[0.5,1]}]}`,
			output: `[0.5,1]`,
		},
		{
			name: "json", path: "/book",
			call: Call{Protocol: fleet.ProtocolJSON, Path: "/book", Input: json.RawMessage(`[1, 2]`)},
			body: `[1, 2]`, reply: `{"ok":true}`, output: `{"ok":true}`,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := serve(t, func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if r.URL.Path != tc.path || string(body) != tc.body || r.Header.Get(AttemptHeader) != tc.call.Attempt {
					t.Errorf("got path %s, body %s, attempt %q", r.URL.Path, body, r.Header.Get(AttemptHeader))
				}
				_, _ = io.WriteString(w, tc.reply)
			})
			got, err := c.Run(context.Background(), tc.call)
			if err != nil || string(got.Output) != tc.output {
				t.Fatalf("got output %s and error %v", got.Output, err)
			}
		})
	}
}

// Guards against a wrong report of whether a failed call was run.
func TestExecutionOfReplies(t *testing.T) {
	complete := `{"choices":[{"message":{"content":"x"},"finish_reason":"stop"}]}`
	notStarted := map[string]string{ExecutionHeader: "notStarted"}
	cases := []struct {
		name   string
		status int
		header map[string]string
		body   string
		want   fleet.Execution
	}{
		{"complete", 200, nil, complete, fleet.Completed},
		{"too many", 429, map[string]string{"Retry-After": "2"}, "", fleet.NotStarted},
		{"bad request", 400, nil, `{"error":{"message":"no"}}`, fleet.NotStarted},
		{"bad request of another form", 400, nil, `{"error":"no"}`, fleet.NotStarted},
		{"request timeout", 408, nil, "", fleet.Unknown},
		{"unavailable", 503, nil, "", fleet.Unknown},
		{"unavailable by header", 503, notStarted, "", fleet.NotStarted},
		{"unavailable by body", 503, nil, `{"execution":"notStarted"}`, fleet.NotStarted},
		{"conflict that ran", 409, nil, `{"execution":"unknown"}`, fleet.Unknown},
		{"conflict, broken off by length", 409, map[string]string{"Content-Length": "500"}, `{"title":"conflict"`, fleet.Unknown},
		{"conflict, ended inside the document", 409, nil, `{"title":"conflict","execution":"unk`, fleet.Unknown},
		{"broken off, with header", 409, map[string]string{"Content-Length": "500", ExecutionHeader: "notStarted"}, "{", fleet.NotStarted},
		{"failed", 500, nil, "x", fleet.Unknown},
		{"no status of HTTP, by header", 600, notStarted, "", fleet.Unknown},
		{"no status of HTTP, by body", 999, nil, `{"execution":"notStarted"}`, fleet.Unknown},
		{"redirect", 307, map[string]string{"Location": "/elsewhere"}, "", fleet.Unknown},
		{"accepted", 202, nil, complete, fleet.Unknown},
		{"abort", 200, nil, `{"choices":[{"message":{"content":"x"},"finish_reason":"abort"}]}`, fleet.Unknown},
		{"no choice", 200, nil, `{"choices":[]}`, fleet.Unknown},
		{"truncated", 200, map[string]string{"Content-Length": "500"}, complete, fleet.Unknown},
		{"other attempt", 200, map[string]string{AttemptHeader: "a2"}, complete, fleet.Unknown},
		{"too large", 200, nil, `"` + strings.Repeat("x", MaxReplyBytes) + `"`, fleet.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := serve(t, respond(tc.status, tc.header, tc.body))
			_, err := c.Run(context.Background(), chatCall())
			if got := ExecutionOf(err); got != tc.want {
				t.Fatalf("got %s (%v), want %s", got, err, tc.want)
			}
		})
	}
}

// Guards against an incomplete stream that is accepted as complete.
func TestStreamIsWholeOrFails(t *testing.T) {
	events := map[string]string{"Content-Type": contentTypeEvents}
	for cut := range len(completeStream) {
		_, err := readStream(strings.NewReader(completeStream[:cut]), func(Chunk) error { return nil })
		var truncated *TruncatedError
		if !errors.As(err, &truncated) {
			t.Fatalf("a stream truncated after %d bytes returned %v", cut, err)
		}
	}
	for name, body := range map[string]string{
		"no finish reason":  "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n",
		"text after finish": "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n",
		"error event":       "data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n",
		"long event":        "data: " + strings.Repeat("x", 2*MaxEventBytes) + "\n\n",
		"long stream":       strings.Repeat(":"+strings.Repeat("x", 1000)+"\n", MaxReplyBytes/1000) + completeStream,
	} {
		t.Run(name, func(t *testing.T) {
			c := serve(t, respond(200, events, body))
			if _, err := c.Stream(context.Background(), chatCall(), func(Chunk) error { return nil }); ExecutionOf(err) != fleet.Unknown {
				t.Fatalf("got %v", err)
			}
		})
	}
	t.Run("complete", func(t *testing.T) {
		var text string
		c := serve(t, respond(200, events, ": comment\r\n"+completeStream))
		got, err := c.Stream(context.Background(), chatCall(), func(p Chunk) error { text += p.Text; return nil })
		if err != nil || text != "ab" || string(got.Output) != `"ab"` || got.Tokens != 2 {
			t.Fatalf("got %q, %+v, %v", text, got, err)
		}
	})
}

// rawServer reads requests from TCP connections and passes each to f, which returns
// whether to keep the connection open.
func rawServer(t *testing.T, f func(conn net.Conn, r *http.Request, nth int) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serveConn := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for nth := 0; ; nth++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if !f(conn, r, nth) {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

const smallReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// Guards against calls that are resent when a reused connection breaks. The control
// shows that the transport resends requests that have an Idempotency-Key.
func TestCallIsSentOnce(t *testing.T) {
	var seen atomic.Int32
	url := rawServer(t, func(conn net.Conn, _ *http.Request, nth int) bool {
		seen.Add(1)
		if nth == 0 {
			_, _ = io.WriteString(conn, smallReply)
		}
		return nth == 0
	})
	hc := NewHTTPClient(Config{}, nil)
	c := New(Config{BaseURL: url}, hc)
	call := Call{Protocol: fleet.ProtocolJSON, Path: "/book", Input: json.RawMessage(`{}`)}
	if _, err := c.Run(context.Background(), call); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Run(context.Background(), call); ExecutionOf(err) != fleet.Unknown {
		t.Fatalf("got %v, want an unknown execution", err)
	}
	if n := seen.Swap(0); n != 2 {
		t.Fatalf("the upstream received %d requests from 2 calls", n)
	}
	for range 2 {
		r, _ := http.NewRequest(http.MethodPost, url, strings.NewReader("{}"))
		r.Header.Set("Idempotency-Key", "k")
		resp, err := hc.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if n := seen.Load(); n != 3 {
		t.Fatalf("control: the upstream received %d requests from 2, want 3: the test does not cause a resend", n)
	}
}

// Guards against a wrong report or a resent call when connections break at any moment:
// an upstream must never receive a call that is reported as not started.
func TestReportedExecutionUnderBrokenConnections(t *testing.T) {
	const calls, workers = 3000, 8
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(1, 2))
	seen := make(map[string]int)
	url := rawServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		mu.Lock()
		seen[r.Header.Get(AttemptHeader)]++
		outcome := rng.IntN(8)
		mu.Unlock()
		if tcp, ok := conn.(*net.TCPConn); ok && outcome == 0 {
			_ = tcp.SetLinger(0)
		}
		if outcome > 1 {
			_, _ = io.WriteString(conn, smallReply)
		}
		return outcome > 3
	})
	c := New(Config{BaseURL: url}, nil)
	var wg sync.WaitGroup
	reported := make([]fleet.Execution, calls)
	for w := range workers {
		wg.Go(func() {
			for i := w; i < calls; i += workers {
				call := Call{Protocol: fleet.ProtocolJSON, Path: "/b", Input: json.RawMessage(`{}`), Attempt: fmt.Sprint(i)}
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%50)*100*time.Microsecond)
				if i%3 > 0 {
					ctx = context.Background()
				}
				_, err := c.Run(ctx, call)
				cancel()
				reported[i] = ExecutionOf(err)
			}
		})
	}
	wg.Wait()
	time.Sleep(100 * time.Millisecond) // A request that is still in transit must count.
	counts := make(map[fleet.Execution]int)
	mu.Lock()
	defer mu.Unlock()
	for i, e := range reported {
		counts[e]++
		n := seen[fmt.Sprint(i)]
		if n > 1 || (e == fleet.NotStarted && n > 0) || (e == fleet.Completed && n != 1) {
			t.Errorf("call %d is reported as %s and was received %d times", i, e, n)
		}
	}
	if counts[fleet.NotStarted] == 0 || counts[fleet.Unknown] == 0 || counts[fleet.Completed] == 0 {
		t.Fatalf("the calls did not have all three outcomes: %v", counts)
	}
	t.Log(counts)
}

// Guards against a call that is sent after it was reported as not sent.
func TestConnectionOfUnsentCallRejectsWrites(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	conn := &countingConn{Conn: a}
	trace := &sendTrace{gotConnection: true, conn: conn}
	if trace.wasSent() {
		t.Fatal("a call without a write is reported as sent")
	}
	if _, err := conn.Write([]byte("x")); !errors.Is(err, errWritesDisabled) {
		t.Fatalf("got %v, want %v", err, errWritesDisabled)
	}
}

// Guards against a call to a stopped upstream that is reported as possibly run.
func TestDialFailureIsNotStarted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	c := New(Config{BaseURL: "http://" + l.Addr().String()}, nil)
	if _, err := c.Run(context.Background(), chatCall()); ExecutionOf(err) != fleet.NotStarted {
		t.Fatalf("got %v", err)
	}
}

// Guards against a call that continues after its deadline, or is not reported as possibly run.
func TestDeadline(t *testing.T) {
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	for name, f := range map[string]func(context.Context) error{
		"run": func(ctx context.Context) error { _, err := c.Run(ctx, chatCall()); return err },
		"stream": func(ctx context.Context) error {
			_, err := c.Stream(ctx, chatCall(), func(Chunk) error { return nil })
			return err
		},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		err := f(ctx)
		cancel()
		if ExecutionOf(err) != fleet.Unknown || !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("%s: got %v", name, err)
		}
	}
}

// Guards against a copy of an earlier refusal that is taken for the response to the next call on
// the connection, which runs: engines need not echo the attempt.
func TestCopyOfAnEarlierRefusalProvesNothing(t *testing.T) {
	for name, refusal := range map[string]string{
		"with a body":    "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 4\r\n\r\nfull",
		"without a body": "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
		"chunked":        "HTTP/1.1 429 Too Many Requests\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			url := rawServer(t, func(conn net.Conn, _ *http.Request, nth int) bool {
				if nth > 0 {
					ran.Add(1)
				}
				_, _ = io.WriteString(conn, refusal)
				return true
			})
			c := New(Config{BaseURL: url}, nil)
			for i := range 4 {
				before := ran.Load()
				_, err := c.Run(context.Background(), Call{Protocol: fleet.ProtocolJSON, Path: "/b", Input: json.RawMessage(`{}`), Attempt: fmt.Sprint(i)})
				var rejected *RejectedError
				if !errors.As(err, &rejected) || ran.Load() != before {
					t.Errorf("call %d, which was run %d times: %v, want a refusal of a call that has not run", i, ran.Load()-before, err)
				}
			}
		})
	}
}
