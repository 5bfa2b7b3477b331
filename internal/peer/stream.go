package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// StreamPath is the path of streamed stage runs. The request body is a RunRequest
// in JSON. The response is one StreamFrame in JSON per line; it is complete only if its
// last frame has a Reply.
const StreamPath = "/v1/stream"

// StreamFrame is one line of a streamed response.
type StreamFrame struct {
	// Text is the next chunk of the output.
	Text string `json:"text,omitempty"`
	// Reply ends the stream.
	Reply *RunReply `json:"reply,omitempty"`
}

// Stream runs a stage at the address and passes each chunk of the output to sink.
// A request that can't be encoded, a failed dial and a response with another status than
// 200 give a *NotSentError; the cause of the last one is a *RefusedError. An error of sink
// is returned unchanged and closes the stream, which stops the run. Every other failure
// gives a *NoReplyError.
func (c *Client) Stream(ctx context.Context, address string, run *RunRequest, sink func(text string) error) (*RunReply, error) {
	body, err := json.Marshal(run)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+StreamPath, bytes.NewReader(body))
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	// Without GetBody, net/http can't send the body a second time, such as after a lost
	// connection or a redirect, so the run isn't started twice.
	r.GetBody = nil
	Authorize(r, c.secrets.newest())
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, streamError(address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return nil, &NotSentError{Address: address, Cause: &RefusedError{Status: resp.StatusCode, Message: string(bytes.TrimSpace(text))}}
	}
	return readFrames(address, resp.Body, sink)
}

func streamError(address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotSentError{Address: address, Cause: err}
	}
	return &NoReplyError{Address: address, Cause: err}
}

func readFrames(address string, body io.Reader, sink func(text string) error) (*RunReply, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), MaxMessageBytes)
	for lines.Scan() {
		var frame StreamFrame
		if err := json.Unmarshal(lines.Bytes(), &frame); err != nil {
			return nil, &NoReplyError{Address: address, Cause: err}
		}
		if frame.Reply != nil {
			return frame.Reply, nil
		}
		if err := sink(frame.Text); err != nil {
			return nil, err
		}
	}
	cause := lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return nil, &NoReplyError{Address: address, Cause: cause}
}
