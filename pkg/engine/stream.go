package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// eventReader reads the data of server-sent events. Source: the WHATWG HTML
// standard, section "Server-sent events".
type eventReader struct {
	in        *bufio.Reader
	remaining int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{in: bufio.NewReader(r), remaining: MaxReplyBytes}
}

// next returns the data of the next event that has any, or io.EOF at the end of the
// stream. The data of an incomplete last event is dropped.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	found := false
	for {
		line, err := r.line()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if found {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		found = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > MaxEventBytes {
			return nil, ErrReplyTooLarge
		}
	}
}

// line returns the next line without its line break. The line is valid until the next call.
func (r *eventReader) line() ([]byte, error) {
	part, err := r.in.ReadSlice('\n')
	line := part
	if errors.Is(err, bufio.ErrBufferFull) {
		line = append([]byte(nil), part...)
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(line) > MaxEventBytes {
			return nil, ErrReplyTooLarge
		}
		part, err = r.in.ReadSlice('\n')
		line = append(line, part...)
	}
	if err != nil {
		return nil, err
	}
	r.remaining -= len(line)
	if r.remaining < 0 {
		return nil, ErrReplyTooLarge
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// chatStream accumulates the response to a streamed chat call.
type chatStream struct {
	text         strings.Builder
	chunks       int
	tokens       int
	finishReason string
}

// readStream reads events up to [DONE] and passes their text to sink.
func readStream(body io.Reader, sink func(Chunk) error) (Result, error) {
	events := newEventReader(body)
	s := &chatStream{}
	for {
		data, err := events.next()
		if err != nil {
			return Result{}, streamError(err)
		}
		if string(data) == doneEvent {
			return s.result()
		}
		if err := s.event(data, sink); err != nil {
			return Result{}, err
		}
	}
}

func streamError(err error) error {
	if errors.Is(err, ErrReplyTooLarge) {
		return err
	}
	return &TruncatedError{Reason: "the stream ended before " + doneEvent + ": " + err.Error(), ConnectionLost: true}
}

func (s *chatStream) event(data []byte, sink func(Chunk) error) error {
	var e chatEvent
	if err := json.Unmarshal(data, &e); err != nil {
		return &InvalidReplyError{Reason: err.Error()}
	}
	if e.Error != nil {
		return &TruncatedError{Reason: "the engine reports: " + truncateMessage(e.Error.Message)}
	}
	if e.Usage != nil {
		s.tokens = e.Usage.CompletionTokens
	}
	if len(e.Choices) == 0 {
		return nil
	}
	choice := e.Choices[0]
	if s.finishReason != "" && choice.Delta.Content != "" {
		return &InvalidReplyError{Reason: "text follows the finish reason"}
	}
	if choice.FinishReason != "" {
		s.finishReason = choice.FinishReason
	}
	if choice.Delta.Content == "" {
		return nil
	}
	s.chunks++
	s.text.WriteString(choice.Delta.Content)
	if err := sink(Chunk{Text: choice.Delta.Content}); err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}

// result returns the result if the response is complete. Without a reported usage, the
// token count is the number of chunks, as such engines send one token in each chunk.
func (s *chatStream) result() (Result, error) {
	if !isCompleteReason(s.finishReason) {
		return Result{}, &TruncatedError{Reason: "finish_reason is \"" + s.finishReason + "\""}
	}
	tokens := s.tokens
	if tokens == 0 {
		tokens = s.chunks
	}
	return chatResult(s.text.String(), s.finishReason, tokens)
}
