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

// recordedConn replays the bytes of a peer and discards what is written.
type recordedConn struct{ io.Reader }

func (recordedConn) Write(p []byte) (int, error) { return len(p), nil }

func (recordedConn) Close() error { return nil }

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

// Guards against a panic or a blocked server on malformed calls of a peer.
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
		// Echo.Hold would never return, because its release channel is nil.
		if bytes.Contains(b, []byte("Hold")) {
			return
		}
		conn := recordedConn{bytes.NewReader(b)}
		server.rpc.ServeCodec(&serverCodec{gobStream: newGobStream(conn, bufio.NewReader(conn)), slots: make(chan struct{}, MaxCallsPerConnection)})
	})
}

// replyAfterWrite is a connection that returns its bytes after the first write.
type replyAfterWrite struct {
	bytes   *bytes.Reader
	written chan struct{}
}

func (c *replyAfterWrite) Write(p []byte) (int, error) {
	close(c.written)
	return len(p), nil
}

func (c *replyAfterWrite) Read(p []byte) (int, error) {
	<-c.written
	return c.bytes.Read(p)
}

func (c *replyAfterWrite) Close() error { return nil }

// Guards against a call that never returns, and against a panic, on malformed replies of
// a peer.
func FuzzReplies(f *testing.F) {
	whole := encoded(f, &rpc.Response{ServiceMethod: "Echo.Echo"}, &RunReply{Attempt: "a", Execution: fleet.Completed, Output: []byte(`1`)})
	f.Add(whole)
	f.Add(whole[:len(whole)-2])
	f.Add(encoded(f, &rpc.Response{ServiceMethod: "Echo.Echo", Error: "no"}, &Empty{}))
	f.Add(encoded(f, &rpc.Response{ServiceMethod: "Echo.Echo", Seq: 9}, &RunReply{Attempt: "b"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		conn := &replyAfterWrite{bytes: bytes.NewReader(b), written: make(chan struct{})}
		client := rpc.NewClientWithCodec(&clientCodec{gobStream: newGobStream(conn, bufio.NewReader(conn))})
		call := <-client.Go("Echo.Echo", &RunRequest{Attempt: "a"}, &RunReply{}, make(chan *rpc.Call, 1)).Done
		// The length of the method's name is a lower bound on the size of a valid reply,
		// in which gob also sends the type definitions.
		if call.Error == nil && len(b) < len("Echo.Echo") {
			t.Fatalf("%q was accepted as a reply", b)
		}
	})
}

// Guards against accepting a truncated or corrupted stream as a complete response.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("{\"text\":\"a\"}\n{\"reply\":{\"Execution\":\"completed\"}}\n"))
	f.Add([]byte("{\"text\":\"a\"}\n"))
	f.Add([]byte("{\"reply\":null}\n{}\n[1]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		chunks := 0
		reply, err := readFrames("address", bytes.NewReader(b), func(string) error {
			chunks++
			return nil
		})
		var lost *NoReplyError
		if (reply == nil) == (err == nil) || (err != nil && !errors.As(err, &lost)) {
			t.Fatalf("reply %+v, error %v", reply, err)
		}
		hasReply := false
		for _, line := range bytes.Split(b, []byte("\n")) {
			var frame StreamFrame
			hasReply = hasReply || (json.Unmarshal(line, &frame) == nil && frame.Reply != nil)
		}
		if reply != nil && !hasReply {
			t.Fatalf("%q was accepted as a complete response after %d chunks", b, chunks)
		}
	})
}
