package instance

import (
	"crypto/rand"
	"encoding/hex"
)

// incarnationBytes makes a collision among all process starts of a fleet negligible.
const incarnationBytes = 16

// NewIncarnation returns a random identity for one start of a process.
func NewIncarnation() string {
	var b [incarnationBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// NewSeed returns random bytes for a generator of ids that no other process makes.
func NewSeed() [32]byte {
	var b [32]byte
	_, _ = rand.Read(b[:])
	return b
}
