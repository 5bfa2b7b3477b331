package intake

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

const (
	// firstChunkBytes is the first part of a body, and chunkBytes the largest one: what a caller
	// may announce without sending it costs at most one chunk.
	firstChunkBytes = 4 << 10
	chunkBytes      = 64 << 10
)

// ErrTooLarge is returned for a body over its limit.
var ErrTooLarge = errors.New("the body is larger than the limit")

// ReadBody reads a body of the announced length, or -1 for an unknown one, of at most limit bytes.
// Its memory is taken from the share as it arrives, and the share is settled at its end. The body
// is returned in parts, as it isn't copied when it grows. The error is ErrTooLarge, an error of
// Share.Take, or that of r.
func ReadBody(ctx context.Context, r io.Reader, length, limit int64, share *Share) ([][]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > limit {
		return nil, ErrTooLarge
	}
	var body [][]byte
	for got, size := int64(0), int64(firstChunkBytes); ; size = min(4*size, chunkBytes) {
		if length > 0 {
			size = min(size, length-got)
		} else {
			size = min(size, limit+1-got)
		}
		if err := share.Take(ctx, size); err != nil {
			return nil, err
		}
		chunk := make([]byte, size)
		n, err := fill(r, chunk)
		if n > 0 {
			body = append(body, chunk[:n])
		}
		if got += int64(n); got > limit {
			return nil, ErrTooLarge
		}
		if got == length || length < 0 && err == io.EOF {
			return body, share.Settle()
		}
		if err != nil {
			if yielded := share.Settle(); yielded != nil {
				err = yielded
			}
			return nil, err
		}
	}
}

// fill reads until b is full or r returns an error.
func fill(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var read int
		read, err = r.Read(b[n:])
		n += read
	}
	return n, err
}
