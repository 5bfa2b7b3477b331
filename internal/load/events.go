package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// nextEvent reads one event. An event that is truncated by the end of the stream is an error.
func nextEvent(in *bufio.Reader) (event, error) {
	var e event
	found := false
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0 && found:
			return e, nil
		case bytes.HasPrefix(line, []byte("event:")):
			e.name = strings.TrimSpace(string(line[len("event:"):]))
		case bytes.HasPrefix(line, []byte("data:")):
			if found {
				e.data = append(e.data, '\n')
			}
			found = true
			e.data = append(e.data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
		}
	}
}

// readEvents reads a streamed response. Only a done event completes it.
func (r *Result) readEvents(body io.Reader) *failure {
	in := bufio.NewReader(io.LimitReader(body, MaxResponseBytes))
	var text strings.Builder
	r.FirstToken = 0
	for {
		e, err := nextEvent(in)
		if err != nil {
			return &failure{outcome: Unknown, reason: "stream truncated: " + err.Error()}
		}
		switch e.name {
		case "token":
			var token struct {
				Text string `json:"text"`
			}
			if err := json.Unmarshal(e.data, &token); err != nil {
				return &failure{outcome: WrongAnswer, reason: err.Error()}
			}
			if r.FirstToken == 0 {
				r.FirstToken = time.Since(r.Due)
			}
			text.WriteString(token.Text)
		case "done":
			return r.finishStream(e.data, text.String())
		case "error":
			return problemFailure(e.data)
		}
	}
}

func (r *Result) finishStream(data []byte, text string) *failure {
	var done struct {
		RequestID string `json:"requestId"`
		Tokens    int    `json:"tokens"`
	}
	if err := json.Unmarshal(data, &done); err != nil {
		return &failure{outcome: WrongAnswer, reason: err.Error()}
	}
	output, err := json.Marshal(text)
	if err != nil {
		return &failure{outcome: WrongAnswer, reason: err.Error()}
	}
	r.Response = Response{RequestID: done.RequestID, Output: output, Tokens: done.Tokens, Streamed: true}
	return nil
}
