package availability

import (
	"maps"

	"bergamotrudder.example/bergamotrudder/internal/instance"
)

// Version is a version of the upstreams of a service.
type Version struct {
	Service string
	Version string
}

// Closure says what the upstreams of a version may get by a roll-out.
type Closure int

// Closures.
const (
	// NotClosed versions may get requests.
	NotClosed Closure = iota
	// ClosedForNew versions get nothing new; what was placed there is still sent.
	ClosedForNew
	// Closed versions get nothing.
	Closed
)

// SetClosures replaces the closures of versions, and reports whether they changed.
func (j *Judge) SetClosures(closures map[Version]Closure) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if maps.Equal(j.closures, closures) {
		return false
	}
	j.closures = closures
	for _, u := range j.upstreams {
		instance.Locked(&u.mu, func() { u.closure = closures[Version{Service: u.service, Version: u.version}] })
	}
	return true
}
