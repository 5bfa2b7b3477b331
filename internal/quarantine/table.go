package quarantine

import (
	"strings"
	"sync"
	"time"
)

// Table holds what is known of crashes and of the parts that cause them. It is safe for
// concurrent use.
type Table struct {
	mu       sync.Mutex
	services map[string]*service
}

// New returns an empty table.
func New() *Table { return &Table{services: make(map[string]*service)} }

// service is the state of one service.
type service struct {
	name string
	// sound and soundBefore are when parts last were in the prompt of a whole response, in two
	// generations: the older one is dropped when the newer one is full.
	sound    map[string]time.Time
	oldSound map[string]time.Time
	// responses counts the whole responses.
	responses int
	crashes   []*crash
	entries   []*entry
}

// crash is one crash of an upstream.
type crash struct {
	upstream string
	at       time.Time
	prompts  [][]string
	// responsesBefore is the number of whole responses of the service when the crash was
	// recorded.
	responsesBefore int
}

// entry is a set of parts in quarantine, or on probation after it.
type entry struct {
	parts []string
	// round is the number of quarantines of the set.
	round   int
	crashes int
	since   time.Time
	until   time.Time
	refused int64
}

func (e *entry) isActive(now time.Time) bool { return now.Before(e.until) }

func (e *entry) isExpired(now time.Time) bool { return now.After(e.until.Add(probation)) }

// confinement returns how long the present quarantine lasts.
func (e *entry) confinement() time.Duration {
	return min(minConfinement<<min(e.round-1, 10), maxConfinement)
}

// confine begins a quarantine of the set.
func (e *entry) confine(now time.Time) {
	e.round++
	e.since, e.until = now, now.Add(e.confinement())
}

// service returns the state of the service and creates it, or nil beyond maxServices. The
// caller holds mu.
func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil && len(t.services) < maxServices {
		s = &service{name: name, sound: make(map[string]time.Time), oldSound: make(map[string]time.Time)}
		t.services[name] = s
	}
	return s
}

// soundAt returns when the part last was in the prompt of a whole response.
func (s *service) soundAt(part string) time.Time {
	if at, ok := s.sound[part]; ok {
		return at
	}
	return s.oldSound[part]
}

// setSound keeps a copy of a new part: the ids of a request are parts of one header, which each of them
// keeps in memory as a whole.
func (s *service) setSound(part string, at time.Time) {
	if len(s.sound) >= maxSound {
		s.oldSound, s.sound = s.sound, make(map[string]time.Time)
	}
	if _, ok := s.sound[part]; !ok {
		part = strings.Clone(part)
	}
	s.sound[part] = at
}

// suspected returns copies of the parts of the prompt that may have caused the crash.
func (s *service) suspected(c *crash, prompt []string) []string {
	var parts []string
	for _, p := range prompt {
		if s.soundAt(p).Before(c.at.Add(-soundBefore)) {
			parts = append(parts, strings.Clone(p))
		}
	}
	return parts
}

// isExplained reports whether a set in quarantine or on probation explains the crash.
func (s *service) isExplained(c *crash) bool {
	for _, e := range s.entries {
		for _, prompt := range c.prompts {
			if containsAll(prompt, e.parts) {
				return true
			}
		}
	}
	return false
}
