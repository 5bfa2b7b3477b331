package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Suspect is a set of parts that the suspected prompts of several crashes have in common.
type Suspect struct {
	Service string
	Parts   []string
	Crashes int
	// Since is the time of the first of these crashes.
	Since time.Time
}

// IsWithin reports whether the suspect is the other one, or what is left of it.
func (s Suspect) IsWithin(other Suspect) bool {
	return s.Service == other.Service && containsAll(other.Parts, s.Parts)
}

// Suspects returns the sets that the crashes of which nothing is in quarantine yet give reason
// to confine, at most one for each service.
func (t *Table) Suspects(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var suspects []Suspect
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		if suspect, ok := t.services[name].suspect(now); ok {
			suspects = append(suspects, suspect)
		}
	}
	return suspects
}

// evidence is a crash with what may have caused it.
type evidence struct {
	crash   *crash
	prompts [][]string
}

func (e evidence) has(part string) bool {
	return slices.ContainsFunc(e.prompts, func(prompt []string) bool { return slices.Contains(prompt, part) })
}

// suspect returns the set with the most crashes that may be confined.
func (s *service) suspect(now time.Time) (Suspect, bool) {
	all := s.evidence(now)
	if len(all) < minCrashes {
		return Suspect{}, false
	}
	counts := countCrashes(all)
	parts := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for _, p := range parts {
		if counts[p] < minCrashes {
			break
		}
		if suspect, ok := s.suspectOf(p, parts, all); ok {
			return suspect, true
		}
	}
	return Suspect{}, false
}

// countCrashes returns the number of crashes with each part.
func countCrashes(all []evidence) map[string]int {
	counts := make(map[string]int)
	for _, e := range all {
		seen := make(map[string]bool)
		for _, prompt := range e.prompts {
			for _, p := range prompt {
				if !seen[p] {
					seen[p] = true
					counts[p]++
				}
			}
		}
	}
	return counts
}

// evidence returns the crashes that nothing in quarantine explains, in the order of their
// times, with the parts that are not sound.
func (s *service) evidence(now time.Time) []evidence {
	var all []evidence
	for _, c := range s.crashes {
		if now.Sub(c.at) > crashRetention || s.isExplained(c) {
			continue
		}
		e := evidence{crash: c}
		for _, prompt := range c.prompts {
			if suspected := s.suspected(c, prompt); len(suspected) > 0 {
				e.prompts = append(e.prompts, suspected)
			}
		}
		if len(e.prompts) > 0 {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b evidence) int { return a.crash.at.Compare(b.crash.at) })
	return all
}

// suspectOf returns the set of the parts that come with the part in each suspected prompt that
// has it, if there are enough crashes with it and the service had as many whole responses
// meanwhile: otherwise all requests fail, and nothing tells these apart.
func (s *service) suspectOf(part string, parts []string, all []evidence) (Suspect, bool) {
	var with []evidence
	var set []string
	for _, e := range all {
		if !e.has(part) {
			continue
		}
		with = append(with, e)
		for _, prompt := range e.prompts {
			switch {
			case !slices.Contains(prompt, part):
			case set == nil:
				set = slices.Clone(prompt)
			default:
				set = intersect(set, prompt)
			}
		}
	}
	n := countSeparate(with)
	if n < minCrashes || s.responses-with[0].crash.responsesBefore < n {
		return Suspect{}, false
	}
	if n < ambiguousCrashes && isAmbiguous(set, parts, with) {
		return Suspect{}, false
	}
	return Suspect{Service: s.name, Parts: set, Crashes: len(with), Since: with[0].crash.at}, true
}

// countSeparate counts the crashes that are at least minCrashGap apart.
func countSeparate(all []evidence) int {
	n := 0
	var last time.Time
	for _, e := range all {
		if n == 0 || e.crash.at.Sub(last) >= minCrashGap {
			n, last = n+1, e.crash.at
		}
	}
	return n
}

// isAmbiguous reports whether a part outside the set is in all of the crashes too.
func isAmbiguous(set, parts []string, with []evidence) bool {
	for _, p := range parts {
		if slices.Contains(set, p) {
			continue
		}
		if !slices.ContainsFunc(with, func(e evidence) bool { return !e.has(p) }) {
			return true
		}
	}
	return false
}

// Suspected returns what each prompt has of parts that may have caused a crash now, without
// prompts that have none and beyond the bound of one crash.
func (t *Table) Suspected(now time.Time, serviceName string, prompts [][]string) [][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	var rest [][]string
	for _, prompt := range prompts {
		parts := boundIDs(prompt)
		if s != nil {
			parts = s.suspected(&crash{at: now}, parts)
		}
		if len(parts) > 0 {
			rest = append(rest, parts)
		}
		if len(rest) == maxPrompts {
			break
		}
	}
	return rest
}

// SoundBefore returns those of the prompts' parts that were in whole responses since shortly
// before the crash.
func (t *Table) SoundBefore(crashed time.Time, serviceName string, prompts [][]string) []string {
	var sound []string
	for _, prompt := range prompts[:min(len(prompts), maxPrompts)] {
		sound = append(sound, t.Sound(crashed.Add(-soundBefore), serviceName, prompt)...)
	}
	slices.Sort(sound)
	return slices.Compact(sound)
}

// Sound returns those of the parts that were in whole responses since the time.
func (t *Table) Sound(since time.Time, serviceName string, parts []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return nil
	}
	var sound []string
	for _, p := range boundIDs(parts) {
		if at := s.soundAt(p); !at.IsZero() && !at.Before(since) {
			sound = append(sound, p)
		}
	}
	return sound
}

// Notices returns the sets in quarantine for other gateways.
func (t *Table) Notices(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	var notices []Notice
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		for _, e := range t.services[name].entries {
			if e.isActive(now) {
				notices = append(notices, Notice{Service: name, Parts: e.parts, Round: e.round, Crashes: e.crashes, Age: now.Sub(e.since), Left: e.until.Sub(now)})
			}
		}
	}
	return notices
}

// State is the state of one set, for the dump of the process's state.
type State struct {
	Service string   `json:"service"`
	Parts   []string `json:"parts"`
	// Round is the number of quarantines of the set.
	Round   int `json:"round"`
	Crashes int `json:"crashes"`
	// SinceMs is the time since the beginning of the last quarantine, and LeftMs the time to its
	// end; a set with 0 is on probation.
	SinceMs int64 `json:"sinceMs"`
	LeftMs  int64 `json:"leftMs"`
	// Refused is the number of requests that this gateway has refused.
	Refused int64 `json:"refused"`
}

// States returns the state of all sets.
func (t *Table) States(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []State{}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		for _, e := range t.services[name].entries {
			list = append(list, State{
				Service: name, Parts: e.parts, Round: e.round, Crashes: e.crashes, SinceMs: now.Sub(e.since).Milliseconds(),
				LeftMs: max(0, e.until.Sub(now).Milliseconds()), Refused: e.refused,
			})
		}
	}
	return list
}
