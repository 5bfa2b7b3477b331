package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"encoding/json"
	"io"
	"net/rpc"
	"testing"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// recorded is a connection that brings the bytes of a peer and takes what it is sent.
type recorded struct{ io.Reader }

func (recorded) Write(p []byte) (int, error) { return len(p), nil }

func (recorded) Close() error { return nil }

func encoded(f *testing.F, messages ...any) []byte {
	f.Helper()
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	for _, m := range messages {
		if err := enc.Encode(m); err != nil {
			f.Fatal(err)
		}
	}
	return buf.Bytes()
}

// Guards against a peer that ends or holds up the process with what it sends as calls.
func FuzzCalls(f *testing.F) {
	call := encoded(f, &rpc.Request{ServiceMethod: "Echo.Echo", Seq: 1}, &RunRequest{Attempt: "a", Input: []byte(`{}`)})
	f.Add(call)
	f.Add(call[:len(call)-3])
	f.Add(encoded(f, &rpc.Request{ServiceMethod: "Echo.None", Seq: 1}, &Empty{}, &rpc.Request{ServiceMethod: "Echo.Echo"}, &Load{InFlight: -1}))
	server := NewServer("s")
	if err := server.Register("Echo", &echoService{}); err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		if bytes.Contains(b, []byte("Hold")) {
			return
		}
		conn := recorded{bytes.NewReader(b)}
		server.rpc.ServeCodec(&serverCodec{gobStream: newGobStream(conn, bufio.NewReader(conn)), slots: make(chan struct{}, MaxCallsPerConnection)})
	})
}

// afterWrite is a connection that brings its bytes once something was written to it.
type afterWrite struct {
	bytes   *bytes.Reader
	written chan struct{}
}

func (c *afterWrite) Write(p []byte) (int, error) {
	close(c.written)
	return len(p), nil
}

func (c *afterWrite) Read(p []byte) (int, error) {
	<-c.written
	return c.bytes.Read(p)
}

func (c *afterWrite) Close() error { return nil }

// Guards against a call that never ends, and a process that does, whatever a peer answers.
func FuzzReplies(f *testing.F) {
	whole := encoded(f, &rpc.Response{ServiceMethod: "Echo.Echo"}, &RunReply{Attempt: "a", Execution: fleet.Completed, Output: []byte(`1`)})
	f.Add(whole)
	f.Add(whole[:len(whole)-2])
	f.Add(encoded(f, &rpc.Response{ServiceMethod: "Echo.Echo", Error: "no"}, &Empty{}))
	f.Add(encoded(f, &rpc.Response{ServiceMethod: "Echo.Echo", Seq: 9}, &RunReply{Attempt: "b"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		conn := &afterWrite{bytes: bytes.NewReader(b), written: make(chan struct{})}
		client := rpc.NewClientWithCodec(&clientCodec{gobStream: newGobStream(conn, bufio.NewReader(conn))})
		call := <-client.Go("Echo.Echo", &RunRequest{Attempt: "a"}, &RunReply{}, make(chan *rpc.Call, 1)).Done
		if call.Error == nil && len(b) < len("Echo.Echo") {
			t.Fatalf("%q is taken for a reply", b)
		}
	})
}

// Guards against a cut or changed stream that is taken for a whole answer.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("{\"text\":\"a\"}\n{\"reply\":{\"Execution\":\"completed\"}}\n"))
	f.Add([]byte("{\"text\":\"a\"}\n"))
	f.Add([]byte("{\"reply\":null}\n{}\n[1]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		texts := 0
		reply, err := readFrames("address", bytes.NewReader(b), func(string) error {
			texts++
			return nil
		})
		var lost *NoReplyError
		if (reply == nil) == (err == nil) || (err != nil && !errors.As(err, &lost)) {
			t.Fatalf("reply %+v, error %v", reply, err)
		}
		ends := false
		for _, line := range bytes.Split(b, []byte("\n")) {
			var frame StreamFrame
			ends = ends || (json.Unmarshal(line, &frame) == nil && frame.Reply != nil)
		}
		if reply != nil && !ends {
			t.Fatalf("%q is taken for a whole answer after %d texts", b, texts)
		}
	})
}
