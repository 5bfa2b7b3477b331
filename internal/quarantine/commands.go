package quarantine

import (
	"slices"
	"time"
)

// Crash is a crash of an upstream, or what one gateway knows of it.
type Crash struct {
	Service string
	// Upstream identifies the upstream and its start.
	Upstream string
	At       time.Time
	// Prompts are those of the requests on which the upstream may have crashed.
	Prompts [][]string
}

// ChangeKind is what happened to a set of parts.
type ChangeKind string

// Kinds of changes.
const (
	Confined ChangeKind = "confined"
	// Renewed sets crashed an upstream after their quarantine.
	Renewed ChangeKind = "renewed"
	// Adopted sets were put in quarantine by another gateway.
	Adopted ChangeKind = "adopted"
	// Narrowed sets lost a part that was found to be sound.
	Narrowed ChangeKind = "narrowed"
	// Released sets have no part left that could be to blame.
	Released ChangeKind = "released"
	// Expired sets have been on probation without a crash.
	Expired ChangeKind = "expired"
)

// Change is a change of a set of parts in quarantine.
type Change struct {
	Kind    ChangeKind
	Service string
	Parts   []string
	Crashes int
	// Left is the remaining time of the quarantine.
	Left time.Duration
}

func (s *service) change(now time.Time, kind ChangeKind, e *entry) Change {
	return Change{Kind: kind, Service: s.name, Parts: e.parts, Crashes: e.crashes, Left: max(0, e.until.Sub(now))}
}

// RecordSuccess records a whole response to the prompt.
func (t *Table) RecordSuccess(now time.Time, serviceName string, prompt []string) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	if s == nil {
		return nil
	}
	s.responses++
	parts := boundIDs(prompt)
	if n := len(parts); n > 1 && len(s.crashes) == 0 && len(s.entries) == 0 {
		// The last part is of this request or its session alone, and matters only to evidence.
		parts = parts[:n-1]
	}
	return s.recordSound(now, parts)
}

// RecordSound records that the parts were in whole responses at another gateway.
func (t *Table) RecordSound(now time.Time, serviceName string, parts []string) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	if s == nil {
		return nil
	}
	return s.recordSound(now, boundIDs(parts))
}

// recordSound removes the sound parts from the sets.
func (s *service) recordSound(now time.Time, parts []string) []Change {
	for _, p := range parts {
		s.setSound(p, now)
	}
	var changes []Change
	s.entries = slices.DeleteFunc(s.entries, func(e *entry) bool {
		rest := without(e.parts, parts)
		switch len(rest) {
		case len(e.parts):
			return false
		case 0:
			changes = append(changes, s.change(now, Released, e))
			return true
		}
		e.parts = rest
		changes = append(changes, s.change(now, Narrowed, e))
		return false
	})
	return changes
}

// RecordCrash records a crash, or adds to it what another gateway knows of it. A set on
// probation that explains the crash is in quarantine again.
func (t *Table) RecordCrash(now time.Time, c Crash) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(c.Service)
	if s == nil {
		return nil
	}
	changes := s.expire(now)
	known := s.findCrash(c)
	if known == nil {
		known = &crash{upstream: c.Upstream, at: c.At, responsesBefore: s.responses}
		s.crashes = append(s.crashes, known)
		if len(s.crashes) > maxCrashes {
			s.crashes = slices.Delete(s.crashes, 0, len(s.crashes)-maxCrashes)
		}
	}
	if c.At.Before(known.at) {
		known.at = c.At
	}
	for _, prompt := range c.Prompts {
		if suspected := s.suspected(known, boundIDs(prompt)); len(suspected) > 0 && len(known.prompts) < maxPrompts {
			known.prompts = append(known.prompts, suspected)
		}
	}
	return append(changes, s.renew(now, known)...)
}

// findCrash returns the crash of which another gateway has reported before, or nil.
func (s *service) findCrash(c Crash) *crash {
	for _, known := range s.crashes {
		if known.upstream == c.Upstream && c.At.Sub(known.at).Abs() < mergeWindow {
			return known
		}
	}
	return nil
}

// renew puts a set on probation that explains the crash in quarantine again.
func (s *service) renew(now time.Time, c *crash) []Change {
	var changes []Change
	for _, e := range s.entries {
		if e.isActive(now) || !c.at.After(e.until) {
			continue
		}
		if slices.ContainsFunc(c.prompts, func(prompt []string) bool { return containsAll(prompt, e.parts) }) {
			e.crashes++
			e.confine(now)
			changes = append(changes, s.change(now, Renewed, e))
		}
	}
	return changes
}

// Confine puts the suspect in quarantine.
func (t *Table) Confine(now time.Time, suspect Suspect) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(suspect.Service)
	if s == nil || s.covering(suspect.Parts) != nil {
		return nil
	}
	e := &entry{parts: slices.Clone(suspect.Parts), crashes: suspect.Crashes}
	e.confine(now)
	s.add(e)
	return []Change{s.change(now, Confined, e)}
}

// covering returns an entry whose parts are all among the given ones, or nil.
func (s *service) covering(parts []string) *entry {
	for _, e := range s.entries {
		if containsAll(parts, e.parts) {
			return e
		}
	}
	return nil
}

// add adds the entry and removes those that it covers. Beyond maxEntries, the one that ends
// first makes room.
func (s *service) add(e *entry) {
	s.entries = slices.DeleteFunc(s.entries, func(old *entry) bool { return containsAll(old.parts, e.parts) })
	if len(s.entries) >= maxEntries {
		first := slices.MinFunc(s.entries, func(a, b *entry) int { return a.until.Compare(b.until) })
		s.entries = slices.DeleteFunc(s.entries, func(old *entry) bool { return old == first })
	}
	s.entries = append(s.entries, e)
}

// Notice is a set in quarantine as one gateway tells it to another. Times are relative, because
// the clocks of gateways differ.
type Notice struct {
	Service string
	Parts   []string
	Round   int
	Crashes int
	// Age is the time since the beginning of the quarantine, and Left the time to its end.
	Age  time.Duration
	Left time.Duration
}

// Adopt puts a set in quarantine that is in quarantine at another gateway, without the parts
// that this gateway knows to be sound. A set that is known is adopted again only with a higher
// round: otherwise gateways would extend a quarantine among each other for ever.
func (t *Table) Adopt(now time.Time, n Notice) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(n.Service)
	if s == nil || n.Left <= 0 || n.Age < 0 || n.Round < 1 || n.Round > maxRound {
		return nil
	}
	n.Age = min(n.Age, maxConfinement)
	changes := s.expire(now)
	var parts []string
	for _, p := range boundIDs(n.Parts) {
		if s.soundAt(p).Before(now.Add(-n.Age - soundBefore)) {
			parts = append(parts, p)
		}
	}
	if len(parts) == 0 {
		return changes
	}
	if known := s.covering(parts); known != nil && (n.Round <= known.round || len(known.parts) != len(parts)) {
		return changes
	}
	e := &entry{parts: parts, round: n.Round, crashes: n.Crashes, since: now.Add(-n.Age), until: now.Add(min(n.Left, maxConfinement))}
	s.add(e)
	return append(changes, s.change(now, Adopted, e))
}

// Expire drops crashes that are no longer evidence and sets whose probation has ended.
func (t *Table) Expire(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, s := range t.services {
		changes = append(changes, s.expire(now)...)
	}
	return changes
}

func (s *service) expire(now time.Time) []Change {
	var changes []Change
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return now.Sub(c.at) > crashRetention })
	s.entries = slices.DeleteFunc(s.entries, func(e *entry) bool {
		if e.isExpired(now) {
			changes = append(changes, s.change(now, Expired, e))
			return true
		}
		return false
	})
	return changes
}

// Refusal is why a prompt is refused.
type Refusal struct {
	// Parts are the parts in quarantine that the prompt has.
	Parts   []string
	Crashes int
	Left    time.Duration
}

// Refuse reports whether the prompt has all parts of a set in quarantine, and counts its request
// as refused.
func (t *Table) Refuse(now time.Time, serviceName string, prompt []string) (Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil || len(s.entries) == 0 || len(prompt) == 0 {
		return Refusal{}, false
	}
	parts := boundIDs(prompt)
	for _, e := range s.entries {
		if e.isActive(now) && containsAll(parts, e.parts) {
			e.refused++
			return Refusal{Parts: e.parts, Crashes: e.crashes, Left: e.until.Sub(now)}, true
		}
	}
	return Refusal{}, false
}
