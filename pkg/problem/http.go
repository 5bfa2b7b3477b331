package problem

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// MaxBytes is the largest problem document that FromResponse reads, in bytes.
const MaxBytes = 1 << 20

const msPerSecond = 1000

// Write sends the problem as the complete response. The Retry-After header is in whole
// seconds, rounded up (RFC 9110, section 10.2.3).
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Cache-Control", "no-store")
	h.Del("Content-Length")
	if p.RetryAfterMs > 0 {
		seconds := (p.RetryAfterMs + msPerSecond - 1) / msPerSecond
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.JSON())
}

// FromResponse reads the problem document in the body of an HTTP response. A response
// with another media type or an invalid document is an error. It doesn't close the body.
// If the document has no RetryAfterMs, it is taken from a Retry-After header in seconds.
func FromResponse(resp *http.Response) (*Problem, error) {
	media, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || media != ContentType {
		return nil, errors.Errorf("status %d without a problem document", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxBytes))
	if err != nil {
		return nil, errors.Wrap(err, "reading a problem document")
	}
	p := &Problem{}
	if err := json.Unmarshal(b, p); err != nil {
		return nil, errors.Wrap(err, "decoding a problem document")
	}
	if p.Status == 0 {
		p.Status = resp.StatusCode
	}
	if s, err := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 32); err == nil && p.RetryAfterMs == 0 {
		p.RetryAfterMs = s * msPerSecond
	}
	return p, nil
}
