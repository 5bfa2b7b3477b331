package problem

import (
	"encoding/json"
	"fmt"
	"net/http"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// ContentType is the media type of problem documents (RFC 9457, section 3).
const ContentType = "application/problem+json"

// TypeBase is the URI prefix of problem types, to which the reason is appended.
const TypeBase = "https://bergamotrudder.example/problems/"

// Problem is a problem document (RFC 9457, section 3.1) with extension members.
type Problem struct {
	// Type is TypeBase followed by the reason, or about:blank.
	Type string `json:"type"`
	// Title is the text of the HTTP status.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail is a human-readable explanation of this occurrence.
	Detail string `json:"detail,omitempty"`
	// Instance is the URI path of the request.
	Instance string `json:"instance,omitempty"`
	// RequestID is the id of the request in logs.
	RequestID string `json:"requestId,omitempty"`
	// Execution reports whether the request was run; it is empty for requests that run nothing.
	Execution fleet.Execution `json:"execution,omitempty"`
	// Reason is a stable, machine-readable code, such as queueFull, unlike the prose of
	// Fault.Reason.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMs is the time to wait before a retry, in milliseconds; 0 means not specified.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Generation is the configuration generation in force, where it is relevant.
	Generation uint64 `json:"generation,omitempty"`
	// Faults lists all errors in a document that the request contained.
	Faults []Fault `json:"faults,omitempty"`
}

// Fault is one error in a document that the request contained.
type Fault struct {
	// Row is the line of the document, counted from 1; 0 means the whole document.
	Row int `json:"row,omitempty"`
	// Field is the column, or the path of the member.
	Field string `json:"field,omitempty"`
	// Item names the item, such as `pipeline "diagnosis"`.
	Item string `json:"item,omitempty"`
	// Reason describes the error and the allowed values in prose for people, unlike the
	// code in Problem.Reason.
	Reason string `json:"reason"`
}

// New returns a problem with the type of the reason. An empty reason results in the type
// about:blank.
func New(status int, reason, detail string) *Problem {
	p := &Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail, Reason: reason}
	if reason != "" {
		p.Type = TypeBase + reason
	}
	return p
}

// String returns the status, the reason, the execution and the detail as one line.
func (p *Problem) String() string {
	text := fmt.Sprintf("%d %s", p.Status, p.Title)
	if p.Reason != "" {
		text += " (" + p.Reason + ")"
	}
	if p.Execution != "" {
		text += ", execution " + string(p.Execution)
	}
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	return text
}

// JSON returns the encoded document, as sent in the terminal event of a stream.
func (p *Problem) JSON() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		return []byte(`{"type":"about:blank","title":"Internal Server Error","status":500}`)
	}
	return b
}
