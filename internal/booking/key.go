package booking

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Key is a caller's idempotency key. Equal values of different organisations are different
// keys.
type Key struct {
	Organisation string
	Value        string
}

// digestBytes is the length of the SHA-256 prefix that identifies a key in a claim object.
const digestBytes = 16

// digest identifies a key in 128 bits.
type digest [digestBytes]byte

func (k Key) digest() digest {
	h := sha256.New()
	// The length prefix makes the concatenation unambiguous.
	_, _ = fmt.Fprintf(h, "%d:%s%s", len(k.Organisation), k.Organisation, k.Value)
	var d digest
	copy(d[:], h.Sum(nil))
	return d
}

// partition returns the index, from 0 to n-1, of the partition that stores the key.
func (d digest) partition(n int) int {
	return int(binary.BigEndian.Uint64(d[:8]) % uint64(n))
}

func (d digest) String() string { return base64.RawURLEncoding.EncodeToString(d[:]) }

func (d digest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

func (d *digest) UnmarshalText(b []byte) error {
	if base64.RawURLEncoding.DecodedLen(len(b)) != digestBytes {
		return errDigestLength
	}
	_, err := base64.RawURLEncoding.Decode(d[:], b)
	return err
}

// String identifies the key across processes without disclosing it.
func (k Key) String() string { return k.digest().String() }

// createdAt returns the creation time of a key that is a version 7 UUID in the textual
// form of RFC 9562.
func (k Key) createdAt() (time.Time, bool) {
	v := k.Value
	if len(v) != 36 || v[8] != '-' || v[13] != '-' || v[18] != '-' || v[23] != '-' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(v, "-", ""))
	if err != nil || len(b) != 16 || b[6]>>4 != 7 || b[8]>>6 != 2 {
		return time.Time{}, false
	}
	ms := binary.BigEndian.Uint64(append([]byte{0, 0}, b[:6]...))
	return time.UnixMilli(int64(ms)), true
}
