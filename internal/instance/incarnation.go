package instance

import (
	"crypto/rand"
	"encoding/hex"
)

// incarnationBytes is long enough for a negligible collision probability among all
// process starts of a fleet.
const incarnationBytes = 16

// NewIncarnation returns a random identifier for one start of a process.
func NewIncarnation() string {
	var b [incarnationBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// NewSeed returns a random seed for a generator, so that its ids differ from those of
// other processes.
func NewSeed() [32]byte {
	var b [32]byte
	_, _ = rand.Read(b[:])
	return b
}
