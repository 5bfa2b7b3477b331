package peer

import (
	"slices"
	"sync"
)

// maxSecrets bounds the secrets that are known at once.
const maxSecrets = 4

// secrets are the shared secrets that a process knows, the newest one first. It is safe for
// concurrent use.
type secrets struct {
	mu    sync.Mutex
	known []string
}

func newSecrets(secret string) *secrets { return &secrets{known: []string{secret}} }

// add makes the secret the newest one.
func (s *secrets) add(secret string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := []string{secret}
	for _, k := range s.known {
		if k != secret && len(known) < maxSecrets {
			known = append(known, k)
		}
	}
	s.known = known
}

func (s *secrets) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.known)
}

func (s *secrets) newest() string { return s.all()[0] }
