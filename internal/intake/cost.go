package intake

import "net/http"

// Memory that is held for a part of a request beside its bytes.
const (
	// fieldBytes is what a parsed field takes: its place in the map, the list of its values and the
	// strings, and the same again in the copy that is sent on.
	fieldBytes = 256
	// itemBytes is what a parsed item of a list in a field, such as a part of a prompt, takes in the
	// lists of a request.
	itemBytes = 64
)

// HeadCost returns the memory for a head of so many bytes with so many fields.
func HeadCost(bytes, fields int) int64 { return int64(bytes) + fieldBytes*int64(fields) }

// RequestCost returns the memory for the parsed head of the request with so many items in lists.
func RequestCost(r *http.Request, items int) int64 {
	size, fields := len(r.Method)+len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
			fields++
		}
	}
	return HeadCost(size, fields) + itemBytes*int64(items)
}
