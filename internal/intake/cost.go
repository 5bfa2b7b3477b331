package intake

import "net/http"

// Memory that is held for a part of a request beside its bytes.
const (
	// fieldBytes is what a parsed field takes: its place in the map, the list of its values and the
	// strings, and the same again in the copy that is sent on.
	fieldBytes = 256
	// partBytes is what a parsed part of a prompt takes in the lists of a request.
	partBytes = 64
)

// HeadCost returns the memory for a head of so many bytes with so many fields.
func HeadCost(bytes, fields int) int64 { return int64(bytes) + fieldBytes*int64(fields) }

// RequestCost returns the memory for the parsed head of the request with a prompt of so many parts.
func RequestCost(r *http.Request, parts int) int64 {
	size, fields := len(r.Method)+len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			fields++
		}
	}
	return HeadCost(size, fields) + partBytes*int64(parts)
}
