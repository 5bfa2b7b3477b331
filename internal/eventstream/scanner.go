package eventstream

import "strings"

// Scanner follows a stream of events. Its zero value is at the beginning of a stream.
type Scanner struct {
	events int
	// lineLength is the length of the present line so far, and comment is set if it is one.
	lineLength int
	comment    bool
	// hasField is set if the present event has a line that isn't a comment.
	hasField bool
	afterCR  bool
}

// Add reads further bytes and reports whether an event was completed in them.
func (s *Scanner) Add(b []byte) bool {
	before := s.events
	for _, ch := range b {
		switch {
		case ch == '\n' && s.afterCR:
			s.afterCR = false
			continue
		case ch == '\n' || ch == '\r':
			s.endLine()
		default:
			if s.lineLength == 0 {
				s.comment = ch == ':'
			}
			s.lineLength++
		}
		s.afterCR = ch == '\r'
	}
	return s.events > before
}

// endLine ends the present line. A blank line completes an event with at least one field.
func (s *Scanner) endLine() {
	if s.lineLength > 0 {
		s.hasField = s.hasField || !s.comment
		s.lineLength = 0
		return
	}
	if s.hasField {
		s.events++
	}
	s.hasField = false
}

// Events returns the number of complete events so far.
func (s *Scanner) Events() int { return s.events }

// IsInside reports whether the bytes so far end in a line or in an event that lacks its blank
// line.
func (s *Scanner) IsInside() bool { return s.hasField || s.lineLength > 0 }

// HasMediaType reports whether the content type is text/event-stream.
func HasMediaType(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}
