package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type chatResponse struct {
	Choices []struct {
		Message struct {
			Content *string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage usage `json:"usage"`
}

type embeddingsResponse struct {
	Data []struct {
		Embedding json.RawMessage `json:"embedding"`
	} `json:"data"`
}

// problem holds the members of an RFC 9457 problem document, or of the engines' error
// document, that describe a failure.
type problem struct {
	Title     string          `json:"title"`
	Detail    string          `json:"detail"`
	Execution fleet.Execution `json:"execution"`
	Error     struct {
		Message string `json:"message"`
	} `json:"error"`
}

// checkResponse returns a *RejectedError or an *UnknownError for a failed response, depending
// on its status, headers and body. It reads the body only of a failed response.
func checkResponse(resp *http.Response, attempt string) error {
	if got := resp.Header.Get(AttemptHeader); got != "" && got != attempt {
		err := &InvalidReplyError{Reason: fmt.Sprintf("it belongs to attempt %q", got)}
		return &UnknownError{Status: resp.StatusCode, Cause: err}
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return &UnknownError{Status: resp.StatusCode, Cause: &InvalidReplyError{Reason: "its status is invalid"}}
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxErrorBytes))
	p, complete := parseProblem(text)
	reported := p.Execution
	if err != nil || !complete {
		// The part that is missing may say that the call ran.
		reported = fleet.Unknown
	}
	if isRejection(resp, reported) {
		return &RejectedError{Status: resp.StatusCode, Message: p.message(text), RetryAfter: retryAfter(resp)}
	}
	return &UnknownError{Status: resp.StatusCode, Message: p.message(text)}
}

// isRejection reports whether the response proves that the call was not run. An execution
// reported by the upstream takes precedence, first in the header, then in the body.
// Without one, a 4xx status is a rejection except 408, which an upstream also sends when
// a running call takes too long.
func isRejection(resp *http.Response, reported fleet.Execution) bool {
	if h := resp.Header.Get(ExecutionHeader); h != "" {
		reported = fleet.Execution(h)
	}
	if reported != "" {
		return reported == fleet.NotStarted
	}
	if resp.StatusCode == http.StatusRequestTimeout {
		return false
	}
	return resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError
}

// parseProblem returns the members of a JSON document, or none of a text that isn't one. It is
// incomplete if it begins like a document and doesn't end like one.
func parseProblem(text []byte) (p problem, complete bool) {
	if err := json.Unmarshal(text, &p); err != nil {
		return problem{}, json.Valid(text) || !bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
	}
	return p, true
}

// message returns the problem's detail, error message or title, or else the text itself,
// truncated to MaxMessageBytes.
func (p problem) message(text []byte) string {
	for _, s := range []string{p.Detail, p.Error.Message, p.Title} {
		if s != "" {
			return truncateMessage(s)
		}
	}
	return truncateMessage(strings.TrimSpace(string(text)))
}

func truncateMessage(s string) string {
	if len(s) > MaxMessageBytes {
		s = s[:MaxMessageBytes]
	}
	return strings.ToValidUTF8(s, "")
}

func retryAfter(resp *http.Response) time.Duration {
	n, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

func hasContentType(resp *http.Response, want string) bool {
	got, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && got == want
}

// parseResponse returns the result in the body of a successful response that is not streamed.
func parseResponse(protocol fleet.Protocol, body []byte) (Result, error) {
	switch protocol {
	case fleet.ProtocolChat:
		return parseChat(body)
	case fleet.ProtocolEmbeddings:
		return parseEmbeddings(body)
	default:
		return parseJSON(body)
	}
}

func parseChat(body []byte) (Result, error) {
	var response chatResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return Result{}, &InvalidReplyError{Reason: err.Error()}
	}
	if len(response.Choices) == 0 || response.Choices[0].Message.Content == nil {
		return Result{}, &InvalidReplyError{Reason: "choices[0].message.content is missing"}
	}
	choice := response.Choices[0]
	if !isCompleteReason(choice.FinishReason) {
		return Result{}, &TruncatedError{Reason: fmt.Sprintf("finish_reason is %q", choice.FinishReason)}
	}
	return chatResult(*choice.Message.Content, choice.FinishReason, response.Usage.CompletionTokens)
}

func chatResult(content, finishReason string, tokens int) (Result, error) {
	output, err := json.Marshal(content)
	if err != nil {
		return Result{}, &InvalidReplyError{Reason: err.Error()}
	}
	return Result{Output: output, Tokens: tokens, FinishReason: finishReason}, nil
}

// isCompleteReason reports whether the finish reason is that of a complete response.
// Engines report abort or error for a response that they abandoned.
func isCompleteReason(finishReason string) bool {
	return finishReason != "" && finishReason != "abort" && finishReason != "error"
}

func parseEmbeddings(body []byte) (Result, error) {
	var response embeddingsResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return Result{}, &InvalidReplyError{Reason: err.Error()}
	}
	if len(response.Data) == 0 || len(response.Data[0].Embedding) == 0 || response.Data[0].Embedding[0] != '[' {
		return Result{}, &InvalidReplyError{Reason: "data[0].embedding is not an array"}
	}
	return Result{Output: response.Data[0].Embedding}, nil
}

func parseJSON(body []byte) (Result, error) {
	if !json.Valid(body) {
		return Result{}, &InvalidReplyError{Reason: "it is not a JSON document"}
	}
	return Result{Output: body}, nil
}
