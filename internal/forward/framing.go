package forward

import (
	"net/http"
	"slices"
)

// Framing is how the end of a response's body is marked (RFC 9112, section 6.3).
type Framing string

// Framings of a body; one that may not have a body counts as framed by length. A body that ends
// with its connection looks complete after a crash of its sender too.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

func framingOf(resp *http.Response) Framing {
	switch {
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return FramedByChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByConnection
}
